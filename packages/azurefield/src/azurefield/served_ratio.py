"""How often the requests of each workspace are served, and how often those of the worst-served."""

from __future__ import annotations

from math import ceil

from msgspec import Struct, field

# The ratios cover the time since the last but one of these periods began.
PERIOD_S = 30.0
# Fewer requests of a workspace say little about how it is served.
REQUESTS_MIN = 10
WORST_FRACTION = 0.1


class RequestCount(Struct, kw_only=True):
    """Requests of one workspace in one period."""

    asked: int = 0
    served: int = 0


class ServedRatios(Struct, kw_only=True):
    """Counts the requests of each workspace in this period and in the one before.

    >>> ratios = ServedRatios()
    >>> for number in range(20):
    ...     ratios.record(0.0, "a", served=True)
    ...     ratios.record(0.0, "b", served=number < 5)
    >>> ratios.worst(0.0)
    0.25
    """

    period_began_at: float = float("-inf")
    counts: dict[str, RequestCount] = field(default_factory=dict)
    earlier: dict[str, RequestCount] = field(default_factory=dict)

    def record(self, now: float, workspace: str, *, served: bool) -> None:
        """Count a request that has ended."""
        self.begin_period(now)
        count = self.counts.setdefault(workspace, RequestCount())
        count.asked += 1
        count.served += served

    def begin_period(self, now: float) -> None:
        """Begin another period if it is time; older counts are dropped."""
        elapsed_s = now - self.period_began_at
        if elapsed_s < PERIOD_S:
            return
        self.earlier = self.counts if elapsed_s < 2 * PERIOD_S else {}
        self.counts = {}
        self.period_began_at = now

    def ratio(self, workspace: str) -> float | None:
        """Return the served fraction of a workspace's requests; None if there are too few."""
        counts = [
            of_one[workspace] for of_one in (self.counts, self.earlier) if workspace in of_one
        ]
        asked = sum(count.asked for count in counts)
        if asked < REQUESTS_MIN:
            return None
        return sum(count.served for count in counts) / asked

    def worst(self, now: float) -> float:
        """Return the mean ratio of the worst-served tenth of workspaces; 1 if none is known."""
        self.begin_period(now)
        known = (self.ratio(workspace) for workspace in self.counts.keys() | self.earlier.keys())
        ratios = sorted(ratio for ratio in known if ratio is not None)
        worst = ratios[: ceil(WORST_FRACTION * len(ratios))]
        return sum(worst) / len(worst) if worst else 1.0
