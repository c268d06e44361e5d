"""Choice of the backend server for a leaf call."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from random import Random
from statistics import median
from typing import TYPE_CHECKING, Protocol

from azurefield.failures import LeafFailure, LeafFailureReason

if TYPE_CHECKING:
    from collections.abc import Collection

LATENCY_EWMA_WEIGHT = 0.2
# While a server gets no calls, its latency estimate decays with this half-life to the median of the
# leaf's servers, and its failure rate to 0. Otherwise a slow server would never get calls again.
OBSERVATION_HALF_LIFE_S = 5.0
DEFAULT_LATENCY_S = 0.01
SLOW_START_S = 5.0
SLOW_START_SHARE_MIN = 0.1
# Number of randomly sampled servers that are compared per call. Leafs usually have three servers,
# and all of them are compared, because comparing only two sends more calls to slow servers. For
# leafs with more servers, sampling bounds the work and the herding of calls on one server.
SAMPLED_SERVERS = 3
CONSECUTIVE_FAILURES_TO_EJECT = 3
OUTLIER_CALLS_MIN = 5
EJECTED_FRACTION_MAX = 1 / 3
EJECTION_BASE_S = 1.0
EJECTION_MAX_S = 30.0
# A server that was not ejected for this long starts again with the shortest ejection.
EJECTION_RESET_S = 60.0
SCORE_TIE_FRACTION = 0.05
# After a failed call, a server gets no calls for this time as long as another server can take them.
# The time doubles with each further failure up to the maximum.
BACKOFF_BASE_S = 0.1
BACKOFF_MAX_S = 2.0
FAILURE_RATE_EWMA_WEIGHT = 0.2
# A server has stalled if its oldest pending call has taken longer than this multiple of the median
# latency of its leaf's servers, and it has answered nothing since that call was sent.
STALL_LATENCY_FACTOR = 3.0
STALL_SILENCE_MIN_S = 0.03


class CallResult(StrEnum):
    """How a leaf call ended, as far as routing is concerned.

    ``NOT_SENT`` says nothing about the server.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


FAILURE_RESULTS = frozenset({CallResult.REFUSED, CallResult.FAILED, CallResult.TIMED_OUT})
# The server did not run the call.
REFUSAL_REASONS = frozenset(
    {
        LeafFailureReason.DRAINING,
        LeafFailureReason.SHEDDING,
        LeafFailureReason.VERSION_MISSING,
        LeafFailureReason.WRONG_LEAF,
        LeafFailureReason.WRONG_SERVER,
        LeafFailureReason.NO_CAPACITY,
    }
)


class Router(Protocol):
    """Chooses backend servers and observes the calls sent to them."""

    def choose(
        self, now: float, candidates: tuple[str, ...], tried: Collection[str] = ()
    ) -> str | None:
        """Choose one of the candidates that are not in ``tried``, or None if there is none.

        :param candidates: all usable servers of the leaf; the maximum fraction of ejected servers
            refers to them
        """

    def on_dispatch(self, now: float, server: str) -> None:
        """Record that a call was sent."""

    def on_result(self, now: float, server: str, result: CallResult, latency_s: float) -> None:
        """Record how a call ended, after ``latency_s`` seconds."""


@dataclass(slots=True, kw_only=True)
class RoundRobinRouter:
    """Round robin within each set of candidates; the baseline for comparisons."""

    positions: dict[tuple[str, ...], int] = field(default_factory=dict)
    outstanding: dict[str, int] = field(default_factory=dict)

    def choose(
        self, now: float, candidates: tuple[str, ...], tried: Collection[str] = ()  # noqa: ARG002
    ) -> str | None:
        """Return the next candidate in turn."""
        untried = [server for server in candidates if server not in tried]
        if not untried:
            return None
        self.positions[candidates] = self.positions.get(candidates, 0) + 1
        return untried[self.positions[candidates] % len(untried)]

    def on_dispatch(self, now: float, server: str) -> None:  # noqa: ARG002
        """Count the call as outstanding."""
        self.outstanding[server] = self.outstanding.get(server, 0) + 1

    def on_result(
        self, now: float, server: str, result: CallResult, latency_s: float  # noqa: ARG002
    ) -> None:
        """Count the call as ended."""
        self.outstanding[server] -= 1


@dataclass(slots=True, kw_only=True)
class ServerView:
    """What one instance observed of one backend server."""

    sent_at: list[float] = field(default_factory=list)
    latency_s: float | None = None
    calls: int = 0
    observed_at: float = 0.0
    consecutive_failures: int = 0
    slow_start_from: float = float("-inf")
    ejected_until: float = float("-inf")
    ejection_s: float = 0.0
    backoff_until: float = float("-inf")
    backoff_s: float = 0.0
    answered_at: float = float("-inf")
    failure_rate: float = 0.0
    ended_at: float = float("-inf")

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

    def record_outcome(self, now: float, *, failed: bool) -> None:
        """Update the moving average of the failure rate with one call."""
        rate = self.recent_failure_rate(now)
        self.failure_rate = rate + FAILURE_RATE_EWMA_WEIGHT * (failed - rate)
        self.ended_at = now

    def recent_failure_rate(self, now: float) -> float:
        """Return the failure rate, which decays to 0 while there are no calls."""
        idle_s = max(0.0, now - self.ended_at)
        return float(self.failure_rate * 0.5 ** (idle_s / OBSERVATION_HALF_LIFE_S))

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

    def slow_start(self, now: float) -> float:
        """Return the fraction of its usual calls that the server gets; 1 after the slow start."""
        if self.slow_start_from == float("-inf"):
            return 1.0
        progress = (now - self.slow_start_from) / SLOW_START_S
        return min(1.0, max(SLOW_START_SHARE_MIN, progress))


@dataclass(slots=True, kw_only=True)
class OwnObservationRouter:
    """Power of d choices by outstanding calls times the latency observed by this instance.

    A server that has stalled or is in backoff after a failed call gets no calls while another
    server can take them. A server is ejected after consecutive failures. With ``outlier_factor``,
    it is also ejected when its latency exceeds that multiple of the median of its leaf. At most a
    third of a leaf's servers are ejected at once. The duration of an ejection doubles with each
    repetition, and a slow start follows it. ``failure_cost_s`` is added to the expected wait of a
    server whose calls all fail; a lower failure rate adds a proportional part. ``on_restart`` gives
    a restarted server a slow start, and ``forget`` removes a server that left the configuration.
    The load reports of the servers are not used, because outdated reports did not improve the
    choice.
    """

    random: Random
    choices: int = SAMPLED_SERVERS
    outlier_factor: float | None = None
    failure_cost_s: float = 0.0
    views: dict[str, ServerView] = field(default_factory=dict)
    penalties_s: dict[str, float] = field(default_factory=dict)

    def choose(
        self, now: float, candidates: tuple[str, ...], tried: Collection[str] = ()
    ) -> str | None:
        """Sample a few servers at random and choose the one with the shortest expected wait."""
        ejected = self.ejected(now, candidates)
        untried = [server for server in candidates if server not in tried]
        median_latency_s = self.median_latency_s(candidates)
        responsive = [
            server for server in untried if self.is_responsive(now, server, median_latency_s)
        ]
        usable = [server for server in responsive if server not in ejected] or responsive or untried
        if not usable:
            return None
        scores = {
            server: self.score(now, server, median_latency_s)
            for server in self.random.sample(usable, min(self.choices, len(usable)))
        }
        tie_limit = min(scores.values()) * (1.0 + SCORE_TIE_FRACTION)
        return next(server for server, score in scores.items() if score <= tie_limit)

    def any_responsive(self, now: float, candidates: tuple[str, ...]) -> bool:
        """Whether one of the candidates is responsive."""
        median_latency_s = self.median_latency_s(candidates)
        return any(self.is_responsive(now, server, median_latency_s) for server in candidates)

    def is_responsive(self, now: float, server: str, median_latency_s: float) -> bool:
        """Whether a server is neither in backoff after a failed call nor stalled."""
        view = self.view(server)
        return view.backoff_until <= now and not view.stalled(now, median_latency_s)

    def on_dispatch(self, now: float, server: str) -> None:
        """Count the call as outstanding."""
        self.view(server).sent_at.append(now)

    def on_result(self, now: float, server: str, result: CallResult, latency_s: float) -> None:
        """Update the observations of a server with the end of a call.

        A timed-out or cancelled call would have taken longer than ``latency_s``, so it can only
        raise the latency estimate.
        """
        view = self.view(server)
        view.remove_call(now - latency_s)
        if result in (CallResult.ANSWERED, CallResult.FAILED):
            view.record_outcome(now, failed=result is CallResult.FAILED)
        match result:
            case CallResult.ANSWERED:
                view.consecutive_failures = 0
                view.backoff_s = 0.0
                view.backoff_until = float("-inf")
                view.answered_at = now
                view.observe(now, latency_s)
            case CallResult.FAILED | CallResult.REFUSED:
                view.back_off(now)
            case CallResult.CANCELLED | CallResult.TIMED_OUT:
                if view.was_silent(now, latency_s):
                    view.back_off(now)
                if view.latency_s is None or latency_s > view.latency_s:
                    view.observe(now, latency_s)
        if result in FAILURE_RESULTS:
            view.consecutive_failures += 1
            if view.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT:
                self.eject(now, view)

    def on_restart(self, now: float, server: str) -> None:
        """Reset the observations of a server that has restarted and give it a slow start."""
        view = self.view(server)
        self.views[server] = ServerView(sent_at=view.sent_at, slow_start_from=now)

    def set_wait_penalty(self, server: str, penalty_s: float) -> None:
        """Set an addition to the expected wait of a server, to prefer nearer servers."""
        self.penalties_s[server] = penalty_s

    def forget(self, server: str) -> None:
        """Remove a server that left the configuration."""
        self.views.pop(server, None)
        self.penalties_s.pop(server, None)

    def view(self, server: str) -> ServerView:
        """Return the observations of a server."""
        view = self.views.get(server)
        if view is None:
            view = self.views[server] = ServerView()
        return view

    def median_latency_s(self, candidates: tuple[str, ...]) -> float:
        """Return the median latency of a leaf's servers."""
        known = [
            view.latency_s for view in map(self.view, candidates) if view.latency_s is not None
        ]
        return median(known) if known else DEFAULT_LATENCY_S

    def score(self, now: float, server: str, median_latency_s: float) -> float:
        """Return the expected wait on a server.

        The age of an outstanding call shows that a server is slow before the call has ended. During
        its slow start, a server is compared at its real wait only with a probability equal to its
        share of calls. Otherwise its wait is divided by that share, so that it is chosen only if
        the leaf's other servers are overloaded.
        """
        view = self.view(server)
        latency_s = max(view.estimate(now, median_latency_s), view.waiting_s(now))
        wait_s = (view.outstanding + 1) * latency_s + self.penalties_s.get(server, 0.0)
        wait_s += self.failure_cost_s * view.recent_failure_rate(now)
        # An ejected server that is used because too many are ejected is needed at its full share.
        share = 1.0 if view.ejected_until > now else view.slow_start(now)
        unscaled = share >= 1.0 or self.random.random() < share
        return wait_s if unscaled else wait_s / share

    def ejected(self, now: float, candidates: tuple[str, ...]) -> frozenset[str]:
        """List the ejected servers of a leaf, at most a third of them."""
        self.eject_outliers(now, candidates)
        ejected = [server for server in candidates if self.view(server).ejected_until > now]
        allowed = int(len(candidates) * EJECTED_FRACTION_MAX + 1e-9)
        # Above the maximum, the servers whose ejection ends first are used again. The one with the
        # longest ejection is the worst, so it is the last to be used again.
        ejected.sort(key=lambda server: self.view(server).ejected_until, reverse=True)
        return frozenset(ejected[:allowed])

    def eject_outliers(self, now: float, candidates: tuple[str, ...]) -> None:
        """Eject the servers whose latency exceeds a multiple of the median of their leaf.

        They return without a slow start, because they are already warmed up.
        """
        if self.outlier_factor is None or len(candidates) < 3:
            return
        limit_s = self.outlier_factor * self.median_latency_s(candidates)
        for view in map(self.view, candidates):
            known = view.calls >= OUTLIER_CALLS_MIN and view.latency_s is not None
            if known and view.ejected_until <= now and (view.latency_s or 0.0) > limit_s:
                self.eject(now, view)
                view.slow_start_from = float("-inf")

    def eject(self, now: float, view: ServerView) -> None:
        """Eject a server, with a slow start afterwards.

        A repeated ejection lasts twice as long as the last one, up to the maximum.
        """
        if view.ejected_until > now:
            return
        recent = now - view.ejected_until <= EJECTION_RESET_S
        view.ejection_s = min(EJECTION_MAX_S, 2 * view.ejection_s) if recent else EJECTION_BASE_S
        view.ejected_until = view.slow_start_from = now + view.ejection_s
        view.latency_s = None
        view.calls = 0
        view.consecutive_failures = 0


def result_of(failure: LeafFailure) -> CallResult:
    """Return how a failed call ended."""
    if failure.reason is LeafFailureReason.RATE_LIMITED:
        return CallResult.NOT_SENT
    if failure.reason in REFUSAL_REASONS:
        return CallResult.REFUSED
    if failure.reason is LeafFailureReason.TIMEOUT:
        return CallResult.TIMED_OUT
    return CallResult.FAILED
