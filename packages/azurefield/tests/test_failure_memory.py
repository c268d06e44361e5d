"""How long a server of the own zone is avoided after failures, on virtual time."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest

from azurefield import routing, server_view
from azurefield.call_result import CallResult
from azurefield.routing import OwnObservationRouter

SERVERS = ("own", "other1", "other2")
WORK_S, ZONE_ROUND_TRIP_S, OTHER_ZONE_PENALTY_S = 0.0075, 0.009, 0.015
CALLS_PER_S = 6.0
FAULT_FROM_S, END_S = 10.0, 60.0
RUNS = 30
# After the end of a fault, the calls of this time are counted.
RETURN_S = 15.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Fault:
    """The server of the own zone loses a share of its answers for a while."""

    duration_s: float
    lost_share: float


BLIP = Fault(duration_s=0.2, lost_share=1.0)
SHORT = Fault(duration_s=4.0, lost_share=0.4)
LASTING = Fault(duration_s=40.0, lost_share=0.4)


@dataclass(slots=True, kw_only=True)
class Outcome:
    """What the calls of all runs got.

    :param lost: calls without an answer, in each run on average
    :param left_zone: share of the calls after the fault that went to other zones
    """

    lost: float
    left_zone: float


def play(fault: Fault) -> Outcome:
    """Let one instance call a shard that has a server in each of three zones."""
    lost = after = left = 0
    until = FAULT_FROM_S + fault.duration_s
    for seed in range(RUNS):
        random, order = Random(seed), count()
        router = OwnObservationRouter(random=Random(seed), failure_cost_s=1.0)
        for name in SERVERS[1:]:
            router.set_wait_penalty(name, OTHER_ZONE_PENALTY_S)
        events: list[tuple[float, int, tuple[str, CallResult, float] | None]] = [(0.0, 0, None)]
        while events[0][0] < END_S:
            now, _, ended = heappop(events)
            if ended is not None:
                router.on_result(now, *ended)
                continue
            heappush(events, (now + random.expovariate(CALLS_PER_S), next(order), None))
            name = router.choose(now, SERVERS) or ""
            assert name
            router.on_dispatch(now, name)
            fails = name == "own" and FAULT_FROM_S <= now < until
            fails = fails and random.random() < fault.lost_share
            took_s = WORK_S * random.uniform(0.6, 1.4) + ZONE_ROUND_TRIP_S * (name != "own")
            result = CallResult.FAILED if fails else CallResult.ANSWERED
            heappush(events, (now + took_s, next(order), (name, result, took_s)))
            lost += fails
            if until <= now < until + RETURN_S:
                after += 1
                left += name != "own"
    return Outcome(lost=lost / RUNS, left_zone=left / max(1, after))


# A lasting fault may cost one instance a call in 8 s, and after a short one two thirds of the calls
# must be back in the zone within the time that is counted.
LOST_MAX, LEFT_ZONE_MAX = LASTING.duration_s / 8.0, 1 / 3


@pytest.mark.parametrize("fault", [BLIP, SHORT], ids=["one-failure", "4-s"])
def test_a_server_that_has_recovered_gets_its_calls_again(fault: Fault) -> None:
    """Guards against calls that leave their zone long after the last failure."""
    assert play(fault).left_zone < LEFT_ZONE_MAX


def test_a_server_that_keeps_failing_costs_few_calls() -> None:
    """Guards against trying a failing server with callers' requests again and again."""
    assert play(LASTING).lost < LOST_MAX


@pytest.mark.parametrize(
    ("half_life_s", "fault"),
    [(1.0, LASTING), (5.0, BLIP), (10.0, SHORT)],
    ids=["short", "5-s", "long"],
)
def test_a_fixed_half_life_is_found(
    monkeypatch: pytest.MonkeyPatch, half_life_s: float, fault: Fault
) -> None:
    """Shows that the bounds above find weakened copies of the decision."""
    monkeypatch.setattr(server_view.ServerView, "lengthen_failure_memory", lambda *_: None)
    fixed = partial(server_view.ServerView, failure_half_life_s=half_life_s)
    monkeypatch.setattr(routing, "ServerView", fixed)
    outcome = play(fault)
    assert outcome.lost >= LOST_MAX or outcome.left_zone >= LEFT_ZONE_MAX
