"""Hedging: a second call to another backend server when the first is slow."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from msgspec import Struct
from msgspec import field as struct_field

from azurefield.retry import WindowedBudget

HEDGE_QUANTILE = 0.95
# Used while less than half of the tokens are left. Only slower calls are then hedged, which saves
# tokens for the time when a server becomes slow.
LOW_BUDGET_HEDGE_QUANTILE = 0.98
# The token bucket is refilled with this fraction of the budget. The rest is a margin for a burst
# that spends a full bucket, so that over 1,000 calls or more the hedges stay within the budget.
TOKEN_REFILL_FRACTION = 0.8
LATENCY_WINDOW_CALLS = 256
QUANTILE_CALLS_MIN = 20
# The quantile is recomputed after this many observations, since sorting after each one is slow.
QUANTILE_REFRESH_CALLS = 16
RECENT_CALLS = 16
# If this fraction of the recent calls of a leaf exceeds the hedge delay, all its servers are slow
# and a second call only adds load.
ALL_SLOW_FRACTION = 0.5
HEDGE_TOKENS_MAX = 10.0
# Hedges may use this fraction of a budget shared with retries. Without a retry a leaf is missing,
# without a hedge it is late.
SHARED_BUDGET_FRACTION = 0.75


class HedgePolicy(Protocol):
    """Decides when a pending idempotent leaf call is hedged, within a budget of extra load."""

    def on_first_call(self, leaf: str) -> None:
        """Credit one first call to the budget of extra load."""

    def observe(self, leaf: str, latency_s: float) -> None:
        """Record how long a leaf took from its first call to its answer or to the deadline."""

    def delay_s(self, leaf: str) -> float | None:
        """Return how long a call may be pending before it is hedged; None means never."""

    def try_spend(self, now: float, leaf: str) -> bool:
        """Spend one hedge if the budget allows it; return whether it did."""


class NoHedging:
    """Never hedges; the baseline."""

    def on_first_call(self, leaf: str) -> None:
        """Do nothing."""

    def observe(self, leaf: str, latency_s: float) -> None:
        """Do nothing."""

    def delay_s(self, leaf: str) -> float | None:  # noqa: ARG002
        """Return None."""
        return None

    def try_spend(self, now: float, leaf: str) -> bool:  # noqa: ARG002
        """Return False."""
        return False


@dataclass(slots=True, kw_only=True)
class LeafLatencies:
    """Recent latencies of one leaf and the hedge delays computed from them.

    :param recent_calls: the number of calls that decide whether all servers are slow
    """

    quantile: float = HEDGE_QUANTILE
    window: deque[float] = field(default_factory=lambda: deque(maxlen=LATENCY_WINDOW_CALLS))
    recent_calls: int = RECENT_CALLS
    exceeded_delay: deque[bool] = field(init=False)
    delay_s: float | None = None
    low_budget_delay_s: float | None = None
    calls_since_refresh: int = 0

    def __post_init__(self) -> None:
        self.exceeded_delay = deque(maxlen=self.recent_calls)

    def observe(self, latency_s: float) -> None:
        """Add one latency."""
        self.window.append(latency_s)
        if self.delay_s is not None:
            self.exceeded_delay.append(latency_s > self.delay_s)
        self.calls_since_refresh += 1
        if len(self.window) >= QUANTILE_CALLS_MIN and (
            self.delay_s is None or self.calls_since_refresh >= QUANTILE_REFRESH_CALLS
        ):
            self.calls_since_refresh = 0
            ordered = sorted(self.window)
            self.delay_s = ordered[int(self.quantile * len(ordered))]
            self.low_budget_delay_s = ordered[int(LOW_BUDGET_HEDGE_QUANTILE * len(ordered))]

    @property
    def all_servers_slow(self) -> bool:
        """Whether so many recent calls were slow that other servers are unlikely to be faster."""
        recent = self.exceeded_delay
        slow = sum(recent) >= ALL_SLOW_FRACTION * self.recent_calls
        return len(recent) == self.recent_calls and slow


class BudgetedHedging(Struct, kw_only=True):
    """Hedges after the observed p95 latency of the leaf, under a budget of extra load.

    ``budget`` is the number of hedges allowed per first call over time. The token bucket starts
    empty, so that the bound holds from the first call on. All queries of a service share one
    object.
    """

    budget: float
    tokens_max: float = HEDGE_TOKENS_MAX
    tokens: float = 0.0
    leafs: dict[str, LeafLatencies] = struct_field(default_factory=dict)

    def on_first_call(self, leaf: str) -> None:  # noqa: ARG002
        """Credit one first call."""
        self.tokens = min(self.tokens_max, self.tokens + TOKEN_REFILL_FRACTION * self.budget)

    def observe(self, leaf: str, latency_s: float) -> None:
        """Record one leaf's latency in one query."""
        self.leafs.setdefault(leaf, LeafLatencies()).observe(latency_s)

    def delay_s(self, leaf: str) -> float | None:
        """Return the leaf's observed quantile; None if it is unknown or all servers are slow."""
        latencies = self.leafs.get(leaf)
        if latencies is None or latencies.all_servers_slow:
            return None
        return (
            latencies.low_budget_delay_s
            if self.tokens < 0.5 * self.tokens_max
            else latencies.delay_s
        )

    def try_spend(self, now: float, leaf: str) -> bool:  # noqa: ARG002
        """Spend one hedge if the budget allows it; return whether it did."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class SharedDelayHedging(Struct, kw_only=True):
    """Hedges after one observed quantile for all leafs, under a budget shared with retries.

    It suits leafs with similar latencies: their observations are pooled, so that few requests are
    enough. The query credits its first calls to the budget, so ``on_first_call`` does nothing.

    :param initial_delay_s: the delay while too few calls were observed; None to send no hedges then
    """

    latencies: LeafLatencies
    budget: WindowedBudget
    initial_delay_s: float | None = None

    def on_first_call(self, leaf: str) -> None:
        """Do nothing."""

    def observe(self, leaf: str, latency_s: float) -> None:  # noqa: ARG002
        """Record how long a leaf took."""
        self.latencies.observe(latency_s)

    def delay_s(self, leaf: str) -> float | None:  # noqa: ARG002
        """Return the observed quantile; None if all servers are slow."""
        if self.latencies.all_servers_slow:
            return None
        observed_s = self.latencies.delay_s
        return self.initial_delay_s if observed_s is None else observed_s

    def try_spend(self, now: float, leaf: str) -> bool:
        """Spend one hedge if the budget allows it; return whether it did."""
        return self.budget.try_spend(now, leaf, fraction=SHARED_BUDGET_FRACTION)
