"""Event loop in simulated time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count

Callback = Callable[[], None]


@dataclass(slots=True, kw_only=True)
class VirtualLoop:
    """Runs callbacks in order of their time; those with the same time in order of scheduling."""

    now: float = 0.0
    events: list[tuple[float, int, Callback]] = field(default_factory=list)
    sequence: count[int] = field(default_factory=count)

    def at(self, when: float, callback: Callback) -> None:
        """Schedule a callback; a time in the past means now."""
        heappush(self.events, (max(when, self.now), next(self.sequence), callback))

    def after(self, delay_s: float, callback: Callback) -> None:
        """Schedule a callback after a delay."""
        self.at(self.now + delay_s, callback)

    def run(self, until: float) -> None:
        """Run all callbacks that are due up to a time, and set the clock to it."""
        while self.events and self.events[0][0] <= until:
            self.now, _, callback = heappop(self.events)
            callback()
        self.now = until
