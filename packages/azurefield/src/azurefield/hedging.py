"""Hedging: a second call to another backend server when the first is slow."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from azurefield.retry import WindowedBudget

HEDGE_QUANTILE = 0.95
# While less than half of the tokens is left, only later calls are hedged, so that there are tokens
# when a server turns slow.
SAVING_QUANTILE = 0.98
# The bucket is refilled with this part of the budget; the rest allows for a full bucket spent in a
# burst, so that over 1,000 calls or more the hedges stay within the budget.
REFILL_FRACTION = 0.8
WINDOW_CALLS = 256
MIN_CALLS = 20
# The quantile is computed anew after this many observations, since sorting on each one is slow.
REFRESH_CALLS = 16
RECENT_CALLS = 16
# If half of the recent calls of a leaf outlast the delay, its servers are slow alike and a second
# call only adds load.
SLOW_ALIKE_FRACTION = 0.5
HEDGE_TOKENS_MAX = 10.0


class HedgePolicy(Protocol):
    """Decides when a pending repeatable leaf call gets a second call, and pays for it."""

    def on_first_call(self, leaf: str) -> None:
        """Credit one first call to the budget of extra load."""

    def observe(self, leaf: str, latency_s: float) -> None:
        """Learn how long a leaf took from its first call to its answer or to the deadline."""

    def delay_s(self, leaf: str) -> float | None:
        """Return how long a call may be pending before it is hedged; None means never."""

    def try_spend(self, now: float, leaf: str) -> bool:
        """Take one hedge from the budget, if it has one."""


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
    """Recent latencies of one leaf and the hedge delay that follows from them.

    :param recent_calls: how many calls tell whether all servers are slow alike
    """

    quantile: float = HEDGE_QUANTILE
    window: deque[float] = field(default_factory=lambda: deque(maxlen=WINDOW_CALLS))
    recent_calls: int = RECENT_CALLS
    outlasted: deque[bool] = field(init=False)
    delay_s: float | None = None
    saving_delay_s: float | None = None
    since_refresh: int = 0

    def __post_init__(self) -> None:
        self.outlasted = deque(maxlen=self.recent_calls)

    def observe(self, latency_s: float) -> None:
        """Add one latency."""
        self.window.append(latency_s)
        if self.delay_s is not None:
            self.outlasted.append(latency_s > self.delay_s)
        self.since_refresh += 1
        if len(self.window) >= MIN_CALLS and (
            self.delay_s is None or self.since_refresh >= REFRESH_CALLS
        ):
            self.since_refresh = 0
            ordered = sorted(self.window)
            self.delay_s = ordered[int(self.quantile * len(ordered))]
            self.saving_delay_s = ordered[int(SAVING_QUANTILE * len(ordered))]

    @property
    def slow_alike(self) -> bool:
        """Whether so many recent calls were slow that another server is no faster."""
        recent = self.outlasted
        slow = sum(recent) >= SLOW_ALIKE_FRACTION * self.recent_calls
        return len(recent) == self.recent_calls and slow


@dataclass(slots=True, kw_only=True)
class BudgetedHedging:
    """Hedges after the observed p95 of the leaf, under a budget of extra load.

    ``budget`` is the number of hedges allowed per first call over time; the bucket starts empty, so
    the bound holds from the first call on. One object serves all queries of a service.
    """

    budget: float
    tokens_max: float = HEDGE_TOKENS_MAX
    tokens: float = 0.0
    leafs: dict[str, LeafLatencies] = field(default_factory=dict)

    def on_first_call(self, leaf: str) -> None:  # noqa: ARG002
        """Credit one first call."""
        self.tokens = min(self.tokens_max, self.tokens + REFILL_FRACTION * self.budget)

    def observe(self, leaf: str, latency_s: float) -> None:
        """Learn from one leaf's latency in one query."""
        self.leafs.setdefault(leaf, LeafLatencies()).observe(latency_s)

    def delay_s(self, leaf: str) -> float | None:
        """Return the leaf's observed quantile; None with few calls or if all servers are slow."""
        known = self.leafs.get(leaf)
        if known is None or known.slow_alike:
            return None
        return known.saving_delay_s if self.tokens < 0.5 * self.tokens_max else known.delay_s

    def try_spend(self, now: float, leaf: str) -> bool:  # noqa: ARG002
        """Take one hedge from the budget, if it has one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclass(slots=True, kw_only=True)
class SharedDelayHedging:
    """Hedges after one observed quantile for all leafs, under a budget that retries use too.

    For leafs that answer equally well, so that few observations are enough. The budget counts the
    first calls itself.

    :param initial_delay_s: the delay while too few calls were observed; None for no hedges then
    """

    latencies: LeafLatencies
    budget: WindowedBudget
    initial_delay_s: float | None = None

    def on_first_call(self, leaf: str) -> None:
        """Do nothing."""

    def observe(self, leaf: str, latency_s: float) -> None:  # noqa: ARG002
        """Learn how long a leaf took."""
        self.latencies.observe(latency_s)

    def delay_s(self, leaf: str) -> float | None:  # noqa: ARG002
        """Return the observed quantile; None if all servers are slow."""
        if self.latencies.slow_alike:
            return None
        known_s = self.latencies.delay_s
        return self.initial_delay_s if known_s is None else known_s

    def try_spend(self, now: float, leaf: str) -> bool:
        """Take one hedge from the budget, if it has one."""
        return self.budget.try_spend(now, leaf)
