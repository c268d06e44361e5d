"""Retry budgets: retries and hedges are limited to a fraction of the first calls."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import TYPE_CHECKING, Protocol

from msgspec import Struct, field

if TYPE_CHECKING:
    from collections.abc import Collection

RETRY_TOKENS_MAX = 20.0
# Calls in a window are counted in time slices of this length, which bounds the memory.
WINDOW_SLICE_S = 0.5


class CallBudget(Protocol):
    """Limits the further calls to each leaf, which are its retries and hedges."""

    def on_first_attempt(self, now: float, leaf: str) -> None:
        """Credit the first call of a request to a leaf."""

    def can_spend(self, now: float, leaf: str) -> bool:
        """Whether the budget allows a further call to a leaf."""

    def try_spend(self, now: float, leaf: str) -> bool:
        """Spend one further call to a leaf if the budget allows it; return whether it did."""


class RetryBudget(Struct, kw_only=True):
    """Token bucket for all leafs of a service, refilled by first attempts and spent by retries.

    ``ratio`` is the number of retries allowed per first attempt over time. The bucket starts full,
    so that a few failures right after the start can be retried.
    """

    ratio: float
    tokens_max: float = RETRY_TOKENS_MAX
    tokens: float = RETRY_TOKENS_MAX

    def on_first_attempt(self, now: float, leaf: str) -> None:  # noqa: ARG002
        """Credit one first attempt."""
        self.tokens = min(self.tokens_max, self.tokens + self.ratio)

    def can_spend(self, now: float, leaf: str) -> bool:  # noqa: ARG002
        """Whether the budget allows a retry."""
        return self.tokens >= 1.0

    def try_spend(self, now: float, leaf: str) -> bool:  # noqa: ARG002
        """Spend one retry if the budget allows it; return whether it did."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class WindowCount(Struct, kw_only=True):
    """First and further calls to one leaf within the window, counted per time slice."""

    slices: deque[list[float]] = field(default_factory=deque)
    first: float = 0.0
    further: float = 0.0

    def add(self, now: float, *, first: float, further: float) -> None:
        """Count calls that are sent now."""
        if not self.slices or now - self.slices[-1][0] >= WINDOW_SLICE_S:
            self.slices.append([now, 0.0, 0.0])
        self.slices[-1][1] += first
        self.slices[-1][2] += further
        self.first += first
        self.further += further

    def forget(self, before: float) -> None:
        """Drop the slices that began before a time."""
        while self.slices and self.slices[0][0] < before:
            _, first, further = self.slices.popleft()
            self.first -= first
            self.further -= further


class WindowedBudget(Struct, kw_only=True):
    """Limits further calls to a leaf, in any window, to a ratio of the first calls in that window.

    Each instance applies the ratio to its own first calls. The sum over all instances therefore
    stays within the ratio too, for any number of instances and without messages between them.
    ``allowance`` is the number of further calls per window that are allowed without first calls,
    and ``leaf_allowances`` holds those of the leafs for which it differs.
    """

    ratio: float
    window_s: float
    allowance: float = 0.0
    leaf_allowances: Mapping[str, float] = field(default_factory=dict)
    counts: dict[str, WindowCount] = field(default_factory=dict)

    def on_first_attempt(self, now: float, leaf: str) -> None:
        """Count a first call."""
        self.count(leaf).add(now, first=1.0, further=0.0)

    def can_spend(self, now: float, leaf: str, *, fraction: float = 1.0) -> bool:
        """Whether the window allows a further call.

        :param fraction: the part of the allowed calls that may be used
        """
        count = self.count(leaf)
        # Slices expire by their start time. They are kept for one slice length longer, so that no
        # further call inside the window is dropped.
        count.forget(now - self.window_s - WINDOW_SLICE_S)
        allowed = self.ratio * count.first + self.allowance_of(leaf)
        return count.further + 1.0 <= fraction * allowed

    def try_spend(self, now: float, leaf: str, *, fraction: float = 1.0) -> bool:
        """Count a further call if the window allows it; return whether it did."""
        if not self.can_spend(now, leaf, fraction=fraction):
            return False
        self.count(leaf).add(now, first=0.0, further=1.0)
        return True

    def share(self, now: float, leafs: Collection[str]) -> float:
        """Return how many further calls the budget allows per first call to these leafs."""
        first = allowance = 0.0
        for leaf in leafs:
            allowance += self.allowance_of(leaf)
            count = self.count(leaf)
            count.forget(now - self.window_s - WINDOW_SLICE_S)
            first += count.first
        return self.ratio + (allowance / first if first else 0.0)

    def allowance_of(self, leaf: str) -> float:
        """Return the further calls to a leaf that are allowed without first calls."""
        return self.leaf_allowances.get(leaf, self.allowance)

    def count(self, leaf: str) -> WindowCount:
        """Return the counts of a leaf."""
        return self.counts.setdefault(leaf, WindowCount())

    def retain_only(self, leafs: frozenset[str]) -> None:
        """Drop the counts of leafs that are no longer in use."""
        self.counts = {leaf: count for leaf, count in self.counts.items() if leaf in leafs}
