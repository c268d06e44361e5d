from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

import pytest

from azurefield.hedging import BudgetedHedging, HedgePolicy


@dataclass(slots=True, kw_only=True)
class UnboundedHedging:
    """Hedges every call that exceeds a fixed delay: the fault that the budget prevents."""

    latencies: list[float] = field(default_factory=list)

    def on_first_call(self, leaf: str) -> None:
        pass

    def observe(self, leaf: str, latency_s: float) -> None:
        pass

    def delay_s(self, leaf: str) -> float | None:  # noqa: ARG002
        return 0.02

    def try_spend(self, now: float, leaf: str) -> bool:  # noqa: ARG002
        return True


def extra_load(policy: HedgePolicy, *, slow_from: int, calls: int = 4000) -> float:
    """Simulate calls of 10 ms on average, 100 ms from ``slow_from`` on; return hedges per call."""
    random = Random(1)
    hedges = 0
    for index in range(calls):
        policy.on_first_call("leaf")
        latency_s = random.expovariate(100.0) * (10.0 if index >= slow_from else 1.0)
        delay_s = policy.delay_s("leaf")
        hedges += (
            delay_s is not None and latency_s > delay_s and policy.try_spend(float(index), "leaf")
        )
        policy.observe("leaf", latency_s)
    return hedges / calls


@pytest.mark.parametrize(
    ("policy", "least", "most"),
    [
        (BudgetedHedging(budget=0.05), 0.0, 0.05),
        (UnboundedHedging(), 0.5, 1.0),
    ],
    ids=["budgeted", "unbounded"],
)
def test_extra_load_stays_within_the_budget_when_all_servers_slow_down(
    policy: HedgePolicy, least: float, most: float
) -> None:
    """Guards against hedging nearly every call while all servers are slow.

    The second calls would nearly double the load of servers that are overloaded already.
    """
    assert least <= extra_load(policy, slow_from=1000) <= most


def test_the_delay_is_the_observed_quantile_of_the_leaf() -> None:
    """Guards against one delay for all leafs, which would hedge every call of a slow leaf."""
    policy = BudgetedHedging(budget=0.05)
    steps = [index + 1 for index in range(100)] * 2
    Random(2).shuffle(steps)
    for step in steps:
        policy.observe("fast", 0.001 * step)
        policy.observe("slow", 0.01 * step)
    assert policy.delay_s("fast") == pytest.approx(0.095, rel=0.2)
    assert policy.delay_s("slow") == pytest.approx(0.95, rel=0.2)
    assert policy.delay_s("unknown") is None


@pytest.mark.parametrize(
    ("slow_every", "hedged"), [(1, False), (4, True)], ids=["all-slow", "a-quarter-slow"]
)
def test_no_hedge_is_sent_while_all_servers_of_a_leaf_are_slow(
    slow_every: int, hedged: bool
) -> None:
    """Guards against spending the hedge budget on a leaf that has no faster server."""
    policy = BudgetedHedging(budget=0.05)
    for _ in range(256):
        policy.observe("leaf", 0.01)
    for index in range(16):
        policy.observe("leaf", 0.1 if index % slow_every == 0 else 0.01)
    assert (policy.delay_s("leaf") is not None) == hedged
