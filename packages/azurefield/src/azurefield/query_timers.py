"""Due times of a query's hedges and repeated calls, as heaps, so that no event scans all leafs."""

from __future__ import annotations

from heapq import heappop, heappush
from typing import Any

from msgspec import Struct, field

from azurefield.leaf_progress import LeafProgress


class QueryTimers(Struct, kw_only=True):
    """The due times of all leafs of one query; those of settled leafs are dropped when they come.

    :param progress: the state of each leaf, in shard-map order
    """

    progress: list[LeafProgress[Any]] = field(default_factory=list)
    hedges: list[tuple[float, int]] = field(default_factory=list)
    resends: list[tuple[float, int]] = field(default_factory=list)

    def set_hedge(self, progress: LeafProgress[Any], at: float | None) -> None:
        """Set when a leaf's call is hedged, in place of an earlier time; None for never."""
        progress.hedge_at = at
        if at is not None:
            heappush(self.hedges, (at, progress.position))

    def set_resend(self, progress: LeafProgress[Any], at: float) -> None:
        """Set when a leaf's call is sent again, in place of an earlier time."""
        progress.resend_at = at
        heappush(self.resends, (at, progress.position))

    def take_due_hedges(self, now: float) -> list[int]:
        """Remove the due hedges and return the positions of their leafs in shard-map order."""
        due = []
        while self.hedges and self.hedges[0][0] <= now:
            at, position = heappop(self.hedges)
            if self.is_current_hedge(at, position):
                due.append(position)
        return sorted(due)

    def take_due_resends(self, now: float) -> list[int]:
        """Remove the due repeated calls and return the positions of their leafs."""
        due = []
        while self.resends and self.resends[0][0] <= now:
            at, position = heappop(self.resends)
            if self.progress[position].resend_at == at:
                due.append(position)
        return due

    def is_current_hedge(self, at: float, position: int) -> bool:
        """Whether a due time is the current one of a leaf that has not settled."""
        progress = self.progress[position]
        return not progress.settled and progress.hedge_at == at

    def next_due(self) -> float:
        """Return the earliest due time; infinity if there is none."""
        while self.hedges and not self.is_current_hedge(*self.hedges[0]):
            heappop(self.hedges)
        while self.resends and self.progress[self.resends[0][1]].resend_at != self.resends[0][0]:
            heappop(self.resends)
        return min(
            [heap[0][0] for heap in (self.hedges, self.resends) if heap], default=float("inf")
        )
