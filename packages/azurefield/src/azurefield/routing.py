"""Choice of the backend server for a leaf call."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from random import Random
from statistics import median
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Collection

ESTIMATE_GAIN = 0.2
# Without calls an estimate returns to that of the leaf's other servers with this half-life, so that
# a server that was slow once gets calls again.
IDLE_HALF_LIFE_S = 5.0
UNKNOWN_LATENCY_S = 0.01
SLOW_START_S = 5.0
SLOW_START_SHARE = 0.1
# With the usual three servers per leaf all of them are drawn, since drawing two sends more calls to
# slowed servers. The draw bounds the work and the herding on one server for leafs with many.
CHOICES = 3
FAILURES_TO_EJECT = 3
OUTLIER_CALLS = 5
EJECTED_FRACTION = 1 / 3
EJECTION_S = 1.0
EJECTION_MAX_S = 30.0
# A server without an ejection for this long starts again with the shortest ejection.
EJECTION_MEMORY_S = 60.0
TIE_FRACTION = 0.05
# After a failed call a server gets no work for this time, doubled with each further failure, as
# long as another server can take it.
BLOCK_S = 0.1
BLOCK_MAX_S = 2.0
FAILURE_GAIN = 0.2
# A server whose oldest call has waited for this multiple of the typical latency without any answer
# since then has stalled.
STALL_FACTOR = 3.0
STALL_MIN_S = 0.03


class CallResult(StrEnum):
    """How a leaf call ended, as far as routing is concerned."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"


FAILURES = frozenset({CallResult.REFUSED, CallResult.FAILED, CallResult.TIMED_OUT})


class Router(Protocol):
    """Chooses backend servers and learns from the calls that were made."""

    def choose(
        self, now: float, candidates: tuple[str, ...], tried: Collection[str] = ()
    ) -> str | None:
        """Choose one of the candidates that are not in ``tried``, or None if there is none.

        :param candidates: all usable servers of the leaf; the share ejected refers to them
        """

    def on_dispatch(self, now: float, server: str) -> None:
        """Note that a call was sent."""

    def on_result(self, now: float, server: str, result: CallResult, latency_s: float) -> None:
        """Note how a call ended, after ``latency_s`` seconds."""


@dataclass(slots=True, kw_only=True)
class RoundRobinRouter:
    """Takes the candidates in turn, for each set of candidates on its own; the baseline."""

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
    failures: int = 0
    slow_start_from: float = float("-inf")
    ejected_until: float = float("-inf")
    ejection_s: float = 0.0
    blocked_until: float = float("-inf")
    block_s: float = 0.0
    answered_at: float = float("-inf")
    failure_share: float = 0.0
    ended_at: float = float("-inf")

    def observe(self, now: float, latency_s: float) -> None:
        """Move the latency estimate towards one observation."""
        # The longer ago the last call was, the less the old estimate counts.
        gain = 1.0 - (1.0 - ESTIMATE_GAIN) * self.freshness(now)
        self.calls += 1
        self.observed_at = now
        if self.latency_s is None:
            self.latency_s = latency_s
        else:
            self.latency_s += gain * (latency_s - self.latency_s)

    def estimate(self, now: float, typical_s: float) -> float:
        """Return the latency estimate, drawn to the typical one while no call was observed."""
        if self.latency_s is None:
            return typical_s
        return typical_s + (self.latency_s - typical_s) * self.freshness(now)

    @property
    def outstanding(self) -> int:
        """The number of calls that have not ended."""
        return len(self.sent_at)

    def waiting_s(self, now: float) -> float:
        """Return how long the oldest call that has not ended has taken so far."""
        return now - self.sent_at[0] if self.sent_at else 0.0

    def note_end(self, now: float, *, failed: bool) -> None:
        """Move the share of failed calls towards one call."""
        share = self.recent_failures(now)
        self.failure_share = share + FAILURE_GAIN * (failed - share)
        self.ended_at = now

    def recent_failures(self, now: float) -> float:
        """Return the share of failed calls, which fades while there are no calls."""
        idle_s = max(0.0, now - self.ended_at)
        return float(self.failure_share * 0.5 ** (idle_s / IDLE_HALF_LIFE_S))

    def stalled(self, now: float, typical_s: float) -> bool:
        """Whether the server has been silent for too long to send it more."""
        if not self.sent_at or self.answered_at >= self.sent_at[0]:
            return False
        return now - self.sent_at[0] > max(STALL_MIN_S, STALL_FACTOR * typical_s)

    def silent_for(self, now: float, waited_s: float) -> bool:
        """Whether a call that is given up got no answer for too long, and no other call did."""
        usual_s = UNKNOWN_LATENCY_S if self.latency_s is None else self.latency_s
        long = waited_s > max(STALL_MIN_S, STALL_FACTOR * usual_s)
        return long and self.answered_at < now - waited_s

    def block(self, now: float) -> None:
        """Send no work for a while after a failed call."""
        if self.blocked_until > now:
            return
        self.block_s = min(BLOCK_MAX_S, 2 * self.block_s) if self.block_s else BLOCK_S
        self.blocked_until = now + self.block_s

    def end_call(self, sent_at: float) -> None:
        """Forget the call that was sent about then."""
        if self.sent_at:
            self.sent_at.remove(min(self.sent_at, key=lambda at: abs(at - sent_at)))

    def freshness(self, now: float) -> float:
        """Return how much the estimate still counts, 1 right after a call."""
        return float(0.5 ** (max(0.0, now - self.observed_at) / IDLE_HALF_LIFE_S))

    def slow_start(self, now: float) -> float:
        """Return the share of the usual work that the server gets, 1 after the slow start."""
        if self.slow_start_from == float("-inf"):
            return 1.0
        progress = (now - self.slow_start_from) / SLOW_START_S
        return min(1.0, max(SLOW_START_SHARE, progress))


@dataclass(slots=True, kw_only=True)
class OwnObservationRouter:
    """Power of a few choices by outstanding calls times the latency seen by this instance.

    A server that has stalled, or whose last call failed, gets no work while another one can take
    it. A server is ejected after consecutive failures and, with ``outlier_factor``, when its
    latency is that multiple of the median of its leaf; at most a third of a leaf's servers are
    ejected at once. An ejection ends after a time that doubles with each repetition, and the server
    then starts slowly. ``failure_cost_s`` is the additional wait that a server counts with whose
    calls all fail; a smaller share counts in proportion. ``on_return`` starts a server slowly that
    was started anew, and ``forget`` drops a server that left the configuration. Load reports are
    not used: late ones did not pay.
    """

    random: Random
    choices: int = CHOICES
    outlier_factor: float | None = None
    failure_cost_s: float = 0.0
    views: dict[str, ServerView] = field(default_factory=dict)
    distances_s: dict[str, float] = field(default_factory=dict)

    def choose(
        self, now: float, candidates: tuple[str, ...], tried: Collection[str] = ()
    ) -> str | None:
        """Draw a few servers at random and choose the one with the shortest expected wait."""
        ejected = self.ejected(now, candidates)
        untried = [server for server in candidates if server not in tried]
        typical_s = self.typical_s(candidates)
        answering = [server for server in untried if self.answering(now, server, typical_s)]
        kept = [server for server in answering if server not in ejected] or answering or untried
        if not kept:
            return None
        scores = {
            server: self.score(now, server, typical_s)
            for server in self.random.sample(kept, min(self.choices, len(kept)))
        }
        limit = min(scores.values()) * (1.0 + TIE_FRACTION)
        return next(server for server, score in scores.items() if score <= limit)

    def answering(self, now: float, server: str, typical_s: float) -> bool:
        """Whether a server is expected to answer: it neither failed just now nor has stalled."""
        view = self.view(server)
        return view.blocked_until <= now and not view.stalled(now, typical_s)

    def on_dispatch(self, now: float, server: str) -> None:
        """Count the call as outstanding."""
        self.view(server).sent_at.append(now)

    def on_result(self, now: float, server: str, result: CallResult, latency_s: float) -> None:
        """Learn from the end of a call.

        A timed-out or cancelled call took at least ``latency_s``, so it only raises the estimate.
        """
        view = self.view(server)
        view.end_call(now - latency_s)
        if result in (CallResult.ANSWERED, CallResult.FAILED):
            view.note_end(now, failed=result is CallResult.FAILED)
        match result:
            case CallResult.ANSWERED:
                view.failures = 0
                view.block_s = 0.0
                view.blocked_until = float("-inf")
                view.answered_at = now
                view.observe(now, latency_s)
            case CallResult.FAILED | CallResult.REFUSED:
                view.block(now)
            case CallResult.CANCELLED | CallResult.TIMED_OUT:
                if view.silent_for(now, latency_s):
                    view.block(now)
                if view.latency_s is None or latency_s > view.latency_s:
                    view.observe(now, latency_s)
        if result in FAILURES:
            view.failures += 1
            if view.failures >= FAILURES_TO_EJECT:
                self.eject(now, view)

    def on_return(self, now: float, server: str) -> None:
        """Forget a server that was started anew and give it a slow start."""
        view = self.view(server)
        self.views[server] = ServerView(sent_at=view.sent_at, slow_start_from=now)

    def set_distance(self, server: str, distance_s: float) -> None:
        """Prefer nearer servers: the distance is added to the expected wait on this one."""
        self.distances_s[server] = distance_s

    def forget(self, server: str) -> None:
        """Drop a server that left the configuration."""
        self.views.pop(server, None)
        self.distances_s.pop(server, None)

    def view(self, server: str) -> ServerView:
        """Return what is known of a server."""
        return self.views.setdefault(server, ServerView())

    def typical_s(self, candidates: tuple[str, ...]) -> float:
        """Return the median latency of a leaf's servers."""
        known = [
            view.latency_s for view in map(self.view, candidates) if view.latency_s is not None
        ]
        return median(known) if known else UNKNOWN_LATENCY_S

    def score(self, now: float, server: str, typical_s: float) -> float:
        """Return the expected wait on a server.

        A call that has not ended shows a slow server long before its latency is known. During its
        slow start a server seldom counts as equal; otherwise it counts as much worse, so that only
        a leaf whose other servers are overloaded uses it.
        """
        view = self.view(server)
        latency_s = max(view.estimate(now, typical_s), view.waiting_s(now))
        wait_s = (view.outstanding + 1) * latency_s + self.distances_s.get(server, 0.0)
        wait_s += self.failure_cost_s * view.recent_failures(now)
        # An ejected server that is used because of the cap is needed at its full share.
        share = 1.0 if view.ejected_until > now else view.slow_start(now)
        equal = share >= 1.0 or self.random.random() < share
        return wait_s if equal else wait_s / share

    def ejected(self, now: float, candidates: tuple[str, ...]) -> frozenset[str]:
        """List the ejected servers of a leaf, at most a third of them."""
        self.eject_outliers(now, candidates)
        ejected = [server for server in candidates if self.view(server).ejected_until > now]
        allowed = int(len(candidates) * EJECTED_FRACTION + 1e-9)
        # The one with the longest ejection is the worst, so it is the last to be used again.
        ejected.sort(key=lambda server: self.view(server).ejected_until, reverse=True)
        return frozenset(ejected[:allowed])

    def eject_outliers(self, now: float, candidates: tuple[str, ...]) -> None:
        """Eject the servers whose latency is a multiple of the median of their leaf.

        They are not cold, so they return without a slow start.
        """
        if self.outlier_factor is None or len(candidates) < 3:
            return
        limit_s = self.outlier_factor * self.typical_s(candidates)
        for view in map(self.view, candidates):
            known = view.calls >= OUTLIER_CALLS and view.latency_s is not None
            if known and view.ejected_until <= now and (view.latency_s or 0.0) > limit_s:
                self.eject(now, view)
                view.slow_start_from = float("-inf")

    def eject(self, now: float, view: ServerView) -> None:
        """Eject a server for longer than the last time, and start it slowly afterwards."""
        if view.ejected_until > now:
            return
        recent = now - view.ejected_until <= EJECTION_MEMORY_S
        view.ejection_s = min(EJECTION_MAX_S, 2 * view.ejection_s) if recent else EJECTION_S
        view.ejected_until = view.slow_start_from = now + view.ejection_s
        view.latency_s = None
        view.calls = 0
        view.failures = 0
