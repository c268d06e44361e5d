"""What one instance has observed of one backend server."""

from __future__ import annotations

from msgspec import Struct, field

from azurefield.server_load import ReportedLoad, ServerLoad

LATENCY_EWMA_WEIGHT = 0.2
# While a server gets no calls, its latency estimate decays with this half-life to the median of the
# leaf's servers. Otherwise a slow server would never get calls again.
OBSERVATION_HALF_LIFE_S = 5.0
# The failure rate decays to 0 with a half-life that doubles when the server fails again after it:
# a single failure is soon forgotten, and a server that keeps failing is tried rarely.
FAILURE_HALF_LIFE_MIN_S = 1.0
FAILURE_HALF_LIFE_MAX_S = 10.0
# After this time without a failure the shortest half-life applies again.
FAILURE_HALF_LIFE_RESET_S = 30.0
DEFAULT_LATENCY_S = 0.01
# After a failed call, a server gets no calls for this time as long as another server can take them.
# The time doubles with each further failure up to the maximum.
BACKOFF_BASE_S = 0.1
BACKOFF_MAX_S = 2.0
FAILURE_RATE_EWMA_WEIGHT = 0.2
# A server has stalled if its oldest pending call has taken longer than this multiple of the median
# latency of its leaf's servers, and it has answered nothing since that call was sent.
STALL_LATENCY_FACTOR = 3.0
STALL_SILENCE_MIN_S = 0.03


class ServerView(Struct, kw_only=True):
    """What one instance observed of one backend server.

    :param usual_s: median latency of its leaf's servers when it was last chosen; None if unknown
    :param reported: the load that it has reported; None if it reports none
    """

    sent_at: list[float] = field(default_factory=list)
    latency_s: float | None = None
    calls: int = 0
    observed_at: float = 0.0
    consecutive_failures: int = 0
    ejected_until: float = float("-inf")
    ejection_s: float = 0.0
    backoff_until: float = float("-inf")
    backoff_s: float = 0.0
    answered_at: float = float("-inf")
    failure_rate: float = 0.0
    failure_half_life_s: float = FAILURE_HALF_LIFE_MIN_S
    failed_at: float = float("-inf")
    ended_at: float = float("-inf")
    usual_s: float | None = None
    reported: ReportedLoad | None = None

    def observe(self, now: float, latency_s: float) -> None:
        """Update the moving average of the latency with one observation."""
        # The older the last observation is, the less the previous estimate counts.
        gain = 1.0 - (1.0 - LATENCY_EWMA_WEIGHT) * self.observation_weight(now)
        self.calls += 1
        self.observed_at = now
        if self.latency_s is None:
            self.latency_s = latency_s
        else:
            self.latency_s += gain * (latency_s - self.latency_s)

    def estimate(self, now: float, median_latency_s: float) -> float:
        """Return the latency estimate.

        It decays to ``median_latency_s`` while there are no calls.
        """
        if self.latency_s is None:
            return median_latency_s
        return median_latency_s + (self.latency_s - median_latency_s) * self.observation_weight(now)

    @property
    def outstanding(self) -> int:
        """The number of calls that have not ended."""
        return len(self.sent_at)

    def waiting_s(self, now: float) -> float:
        """Return the time since the oldest outstanding call was sent; 0 without such a call."""
        return now - self.sent_at[0] if self.sent_at else 0.0

    def on_load(self, now: float, load: ServerLoad) -> None:
        """Record a report of the server's load."""
        if self.reported is None:
            self.reported = ReportedLoad.first(now, load)
        else:
            self.reported.update(now, load)

    def latency_factor(self, now: float) -> float:
        """Return how much longer an answer takes now than observed, as the server reports it."""
        return 1.0 if self.reported is None else self.reported.latency_factor(now)

    def record_outcome(self, now: float, *, failed: bool) -> None:
        """Update the moving average of the failure rate with one call."""
        rate = self.recent_failure_rate(now)
        if failed:
            self.lengthen_failure_memory(now)
        self.failure_rate = rate + FAILURE_RATE_EWMA_WEIGHT * (failed - rate)
        self.ended_at = now

    def recent_failure_rate(self, now: float) -> float:
        """Return the failure rate, which decays to 0 while there are no calls."""
        idle_s = max(0.0, now - self.ended_at)
        return float(self.failure_rate * 0.5 ** (idle_s / self.failure_half_life_s))

    def lengthen_failure_memory(self, now: float) -> None:
        """Double the half-life if the server fails again after it; reset it after a long pause."""
        since_s = now - self.failed_at
        if since_s > FAILURE_HALF_LIFE_RESET_S:
            self.failure_half_life_s = FAILURE_HALF_LIFE_MIN_S
        elif since_s > self.failure_half_life_s:
            doubled_s = 2 * self.failure_half_life_s
            self.failure_half_life_s = min(FAILURE_HALF_LIFE_MAX_S, doubled_s)
        self.failed_at = now

    def stalled(self, now: float, median_latency_s: float) -> bool:
        """Whether the server has answered nothing since its oldest call, which is overdue."""
        if not self.sent_at or self.answered_at >= self.sent_at[0]:
            return False
        return now - self.sent_at[0] > max(
            STALL_SILENCE_MIN_S, STALL_LATENCY_FACTOR * median_latency_s
        )

    def was_silent(self, now: float, waited_s: float) -> bool:
        """Whether a call ended unanswered after a long wait, and no other call was answered."""
        expected_s = DEFAULT_LATENCY_S if self.latency_s is None else self.latency_s
        too_long = waited_s > max(STALL_SILENCE_MIN_S, STALL_LATENCY_FACTOR * expected_s)
        return too_long and self.answered_at < now - waited_s

    def back_off(self, now: float) -> None:
        """Start a backoff after a failed call, unless one is running."""
        if self.backoff_until > now:
            return
        self.backoff_s = (
            min(BACKOFF_MAX_S, 2 * self.backoff_s) if self.backoff_s else BACKOFF_BASE_S
        )
        self.backoff_until = now + self.backoff_s

    def remove_call(self, sent_at: float) -> None:
        """Remove the outstanding call whose send time is closest to ``sent_at``."""
        if self.sent_at:
            self.sent_at.remove(min(self.sent_at, key=lambda at: abs(at - sent_at)))

    def observation_weight(self, now: float) -> float:
        """Return the weight of the latency estimate: 1 right after a call, decaying to 0."""
        return float(0.5 ** (max(0.0, now - self.observed_at) / OBSERVATION_HALF_LIFE_S))
