"""Retry budgets: calls beyond the first are a bounded fraction of first calls."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Collection

RETRY_TOKENS_MAX = 20.0
# Windows are counted in slices of this length, which bounds the memory.
SLICE_S = 0.5


class CallBudget(Protocol):
    """Bounds the calls beyond the first of each leaf."""

    def on_first_attempt(self, now: float, leaf: str) -> None:
        """Credit the first call of a request to a leaf."""

    def can_spend(self, now: float, leaf: str) -> bool:
        """Whether the budget has a further call to a leaf."""

    def try_spend(self, now: float, leaf: str) -> bool:
        """Take one further call to a leaf from the budget, if it has one."""


@dataclass(slots=True, kw_only=True)
class RetryBudget:
    """Token bucket that first attempts fill and retries empty, for all leafs of a service.

    ``ratio`` is the number of retries allowed per first attempt over time. The bucket starts full
    so that a few failures right after a start can be retried.
    """

    ratio: float
    tokens_max: float = RETRY_TOKENS_MAX
    tokens: float = RETRY_TOKENS_MAX

    def on_first_attempt(self, now: float, leaf: str) -> None:  # noqa: ARG002
        """Credit one first attempt."""
        self.tokens = min(self.tokens_max, self.tokens + self.ratio)

    def can_spend(self, now: float, leaf: str) -> bool:  # noqa: ARG002
        """Whether the budget has a retry."""
        return self.tokens >= 1.0

    def try_spend(self, now: float, leaf: str) -> bool:  # noqa: ARG002
        """Take one retry from the budget, if it has one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclass(slots=True, kw_only=True)
class WindowCount:
    """First and further calls of one leaf within the window, in slices of time."""

    slices: deque[list[float]] = field(default_factory=deque)
    first: float = 0.0
    further: float = 0.0

    def add(self, now: float, *, first: float, further: float) -> None:
        """Count calls that are sent now."""
        if not self.slices or now - self.slices[-1][0] >= SLICE_S:
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


@dataclass(slots=True, kw_only=True)
class WindowedBudget:
    """Further calls per leaf within any window, as a share of the first calls in that window.

    Each instance keeps to the ratio of its own first calls, so the sum over all instances keeps to
    it too, however many there are and without any message between them. ``allowance`` is the
    number of further calls in a window that need no first calls.
    """

    ratio: float
    window_s: float
    allowance: float = 0.0
    counts: dict[str, WindowCount] = field(default_factory=dict)

    def on_first_attempt(self, now: float, leaf: str) -> None:
        """Count a first call."""
        self.count(leaf).add(now, first=1.0, further=0.0)

    def can_spend(self, now: float, leaf: str) -> bool:
        """Whether the window has room for a further call."""
        count = self.count(leaf)
        # A slice is dropped by its begin; further calls are kept one slice longer than needed.
        count.forget(now - self.window_s - SLICE_S)
        return count.further + 1.0 <= self.ratio * count.first + self.allowance

    def try_spend(self, now: float, leaf: str) -> bool:
        """Count a further call if the window has room for it."""
        if not self.can_spend(now, leaf):
            return False
        self.count(leaf).add(now, first=0.0, further=1.0)
        return True

    def share(self, now: float, leafs: Collection[str]) -> float:
        """Return how many further calls the budget allows per first call to these leafs."""
        first = 0.0
        for leaf in leafs:
            count = self.count(leaf)
            count.forget(now - self.window_s - SLICE_S)
            first += count.first
        return self.ratio + (self.allowance * len(leafs) / first if first else 0.0)

    def count(self, leaf: str) -> WindowCount:
        """Return the counts of a leaf."""
        return self.counts.setdefault(leaf, WindowCount())

    def forget_except(self, leafs: frozenset[str]) -> None:
        """Drop the counts of leafs that are no longer in use."""
        self.counts = {leaf: count for leaf, count in self.counts.items() if leaf in leafs}
