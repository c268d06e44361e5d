"""Adaptive limit on the requests that an instance has in flight to a service."""

from __future__ import annotations

from collections import deque
from statistics import median

from msgspec import Struct, field

# The recent latency is the median of this many requests; a mean would follow one slow leaf.
LATENCY_WINDOW_REQUESTS = 31
# The limit changes only after this many requests, so that the latency reflects the last change.
LIMIT_UPDATE_INTERVAL_REQUESTS = 16
LIMIT_INCREASE_FRACTION = 0.25
LIMIT_DECREASE_FACTOR_MIN = 0.7
# Ratio of target to recent latency from which the limit rises quickly. At such low latencies the
# backend servers are not the reason why requests wait. One slow leaf may be, since a request waits
# for all its leafs.
FAST_INCREASE_RATIO_MIN = 2.0
FAST_INCREASE_FACTOR = 1.25
LIMIT_MAX = 10_000.0


class ConcurrencyLimit(Struct, kw_only=True):
    """Adaptive limit on the cost in flight that keeps the latency of leaf calls near a target.

    ``target_s`` is the same on all instances, so that their limits converge to similar values. If
    each instance learned its own target, the one with the highest target would crowd out the
    others. ``floor`` is the instance's share of the servers' slots; a limit this low can't overload
    them.
    """

    limit: float
    target_s: float
    floor: float = 1.0
    ceiling: float = LIMIT_MAX
    recent_latencies_s: deque[float] = field(
        default_factory=lambda: deque(maxlen=LATENCY_WINDOW_REQUESTS)
    )
    requests_since_update: int = 0

    def observe(self, latency_s: float, *, in_use: bool) -> None:
        """Record the latency of a request that ended, and update the limit if it is due.

        :param latency_s: median latency of its leaf calls
        :param in_use: whether the load is high enough to change the limit
        """
        self.recent_latencies_s.append(latency_s)
        self.requests_since_update += 1
        if self.requests_since_update < LIMIT_UPDATE_INTERVAL_REQUESTS or not in_use:
            return
        self.requests_since_update = 0
        ratio = self.target_s / max(median(self.recent_latencies_s), 1e-9)
        factor = (
            FAST_INCREASE_FACTOR
            if ratio >= FAST_INCREASE_RATIO_MIN
            else min(1.0, max(LIMIT_DECREASE_FACTOR_MIN, ratio))
        )
        step = max(1.0, LIMIT_INCREASE_FRACTION * self.floor)
        self.limit = min(self.ceiling, max(self.floor, factor * self.limit + step))
