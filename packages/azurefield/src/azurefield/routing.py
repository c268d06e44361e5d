"""Choice of the backend server for a leaf call."""

from __future__ import annotations

from random import Random
from statistics import median
from typing import TYPE_CHECKING, Protocol

from msgspec import Struct, field

from azurefield.call_result import FAILURE_RESULTS, CallResult
from azurefield.server_pace import FixedRamp, ServerPace
from azurefield.server_view import DEFAULT_LATENCY_S, ServerView

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from azurefield.server_load import ServerLoad

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
# The observations of a server that got no call yet; never changed.
UNOBSERVED = ServerView()


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

    def on_load(self, now: float, server: str, load: ServerLoad) -> None:
        """Record the load that a server has reported in an answer."""


class RoundRobinRouter(Struct, kw_only=True):
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

    def on_load(self, now: float, server: str, load: ServerLoad) -> None:
        """Do nothing."""


class OwnObservationRouter(Struct, kw_only=True):
    """Power of d choices by outstanding calls times the latency observed by this instance.

    A server that has stalled or is in backoff after a failed call gets no calls while another
    server can take them. A server is ejected after consecutive failures. With ``outlier_factor``,
    it is also ejected when its latency exceeds that multiple of the median of its leaf. At most a
    third of a leaf's servers are ejected at once. The duration of an ejection doubles with each
    repetition. After a start or an ejection, ``pace`` says which share of its calls a server gets.
    ``failure_cost_s`` is added to the expected wait of a server whose calls all fail; a lower
    failure rate adds a proportional part. ``on_restart`` begins the rise of a restarted server, and
    ``forget`` removes a server that left the configuration. A server's own report of its load
    counts only while it is recent, because outdated reports did not improve the choice.
    """

    random: Random
    choices: int = SAMPLED_SERVERS
    outlier_factor: float | None = None
    failure_cost_s: float = 0.0
    pace: ServerPace = field(default_factory=FixedRamp)
    views: dict[str, ServerView] = field(default_factory=dict)
    penalties_s: dict[str, float] = field(default_factory=dict)

    def choose(
        self, now: float, candidates: tuple[str, ...], tried: Collection[str] = ()
    ) -> str | None:
        """Sample a few servers at random and choose the one with the shortest expected wait."""
        self.eject_outliers(now, candidates)
        known_median_s = self.known_median_s(candidates)
        median_latency_s = DEFAULT_LATENCY_S if known_median_s is None else known_median_s
        usable = self.eligible(now, candidates, median_latency_s, tried)
        if not usable:
            return None
        scores = {
            server: self.score(now, server, median_latency_s)
            for server in self.random.sample(usable, min(self.choices, len(usable)))
        }
        tie_limit = min(scores.values()) * (1.0 + SCORE_TIE_FRACTION)
        chosen = next(server for server, score in scores.items() if score <= tie_limit)
        self.view(chosen).usual_s = known_median_s
        return chosen

    def eligible(
        self,
        now: float,
        candidates: tuple[str, ...],
        median_latency_s: float,
        tried: Collection[str] = (),
    ) -> list[str]:
        """List the candidates that ``choose`` compares; changes nothing.

        Those that are ejected or not responsive are left out as long as others remain.
        """
        ejected = self.ejected(now, candidates)
        untried = [server for server in candidates if server not in tried]
        responsive = [
            server for server in untried if self.is_responsive(now, server, median_latency_s)
        ]
        return [server for server in responsive if server not in ejected] or responsive or untried

    def possible_choices(self, now: float, waits_s: Mapping[str, float]) -> frozenset[str]:
        """Return the servers that ``choose`` may return, depending on its random numbers.

        Changes nothing.

        :param waits_s: the eligible servers with their expected waits
        """
        # A server can win a sample if its wait is within these limits for all others in it. Their
        # waits may be divided by their shares.
        limits_s = {
            server: (1.0 + SCORE_TIE_FRACTION) * wait_s / self.share(now, server)
            for server, wait_s in waits_s.items()
        }
        others_sampled = min(self.choices, len(waits_s)) - 1
        return frozenset(
            server
            for server, wait_s in waits_s.items()
            if sum(wait_s <= limits_s[one] for one in waits_s if one != server) >= others_sampled
        )

    def is_responsive(self, now: float, server: str, median_latency_s: float) -> bool:
        """Whether a server is neither in backoff after a failed call nor stalled."""
        view = self.observed(server)
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
        self.pace.on_result(now, server, result, latency_s, view.usual_s)
        if result in (CallResult.ANSWERED, CallResult.FAILED):
            view.record_outcome(now, failed=result is CallResult.FAILED)
        match result:
            case CallResult.ANSWERED:
                view.consecutive_failures = 0
                view.backoff_s = 0.0
                view.backoff_until = float("-inf")
                view.answered_at = now
                view.observe(now, latency_s)
            case CallResult.FAILED | CallResult.REFUSED | CallResult.NO_CONNECTION:
                view.back_off(now)
            case CallResult.CANCELLED | CallResult.TIMED_OUT:
                if view.was_silent(now, latency_s):
                    view.back_off(now)
                if view.latency_s is None or latency_s > view.latency_s:
                    view.observe(now, latency_s)
        if result in FAILURE_RESULTS:
            view.consecutive_failures += 1
            if view.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT:
                self.eject(now, server)

    def on_load(self, now: float, server: str, load: ServerLoad) -> None:
        """Record the load that a server has reported in an answer."""
        self.view(server).on_load(now, load)

    def on_restart(self, now: float, server: str) -> None:
        """Reset the observations of a server that has restarted and begin its rise."""
        view = self.view(server)
        self.views[server] = ServerView(sent_at=view.sent_at)
        self.pace.begin(now, server, now)

    def set_wait_penalty(self, server: str, penalty_s: float) -> None:
        """Set an addition to the expected wait of a server, to prefer nearer servers."""
        self.penalties_s[server] = penalty_s

    def penalty_s(self, server: str) -> float:
        """Return the addition to the expected wait of a server."""
        return self.penalties_s.get(server, 0.0)

    def forget(self, server: str) -> None:
        """Remove a server that left the configuration."""
        self.views.pop(server, None)
        self.penalties_s.pop(server, None)
        self.pace.forget(server)

    def view(self, server: str) -> ServerView:
        """Return the observations of a server."""
        view = self.views.get(server)
        if view is None:
            view = self.views[server] = ServerView()
        return view

    def observed(self, server: str) -> ServerView:
        """Return the observations of a server, to read them only."""
        return self.views.get(server, UNOBSERVED)

    def median_latency_s(self, candidates: tuple[str, ...]) -> float:
        """Return the median latency of a leaf's servers, or a default if it is unknown."""
        known = self.known_median_s(candidates)
        return DEFAULT_LATENCY_S if known is None else known

    def known_median_s(self, candidates: tuple[str, ...]) -> float | None:
        """Return the median latency of a leaf's servers; None if none of them has answered."""
        known = [
            view.latency_s for view in map(self.observed, candidates) if view.latency_s is not None
        ]
        return median(known) if known else None

    def score(self, now: float, server: str, median_latency_s: float) -> float:
        """Return the expected wait on a server, by which it is compared.

        During its rise, a server is compared at its real wait only with a probability equal to its
        share of calls. Otherwise its wait is divided by that share, so that it is chosen only if
        the leaf's other servers are overloaded.
        """
        wait_s = self.expected_wait_s(now, server, median_latency_s)
        share = self.share(now, server)
        unscaled = share >= 1.0 or self.random.random() < share
        return wait_s if unscaled else wait_s / share

    def expected_wait_s(self, now: float, server: str, median_latency_s: float) -> float:
        """Return the expected wait on a server with its penalty; changes nothing.

        The age of an outstanding call shows that a server is slow before the call has ended.
        """
        view = self.observed(server)
        latency_s = max(view.estimate(now, median_latency_s), view.waiting_s(now))
        latency_s *= view.latency_factor(now)
        wait_s = (view.outstanding + 1) * latency_s + self.penalty_s(server)
        return wait_s + self.failure_cost_s * view.recent_failure_rate(now)

    def share(self, now: float, server: str) -> float:
        """Return the share of its usual calls that a server gets; changes nothing.

        An ejected server that is used because too many are ejected is needed at its full share.
        """
        if self.observed(server).ejected_until > now:
            return 1.0
        return self.pace.share(now, server)

    def ejected(self, now: float, candidates: tuple[str, ...]) -> frozenset[str]:
        """List the ejected servers of a leaf, at most a third of them; changes nothing."""
        ejected = [server for server in candidates if self.observed(server).ejected_until > now]
        allowed = int(len(candidates) * EJECTED_FRACTION_MAX + 1e-9)
        # Above the maximum, the servers whose ejection ends first are used again. The one with the
        # longest ejection is the worst, so it is the last to be used again.
        ejected.sort(key=lambda server: self.observed(server).ejected_until, reverse=True)
        return frozenset(ejected[:allowed])

    def eject_outliers(self, now: float, candidates: tuple[str, ...]) -> None:
        """Eject the servers whose latency exceeds a multiple of the median of their leaf.

        They return without a rise, because they are already warmed up.
        """
        if self.outlier_factor is None or len(candidates) < 3:
            return
        limit_s = self.outlier_factor * self.median_latency_s(candidates)
        for server in candidates:
            view = self.view(server)
            known = view.calls >= OUTLIER_CALLS_MIN and view.latency_s is not None
            if known and view.ejected_until <= now and (view.latency_s or 0.0) > limit_s:
                self.eject(now, server)
                self.pace.forget(server)

    def eject(self, now: float, server: str) -> None:
        """Eject a server; its rise begins when the ejection ends.

        A repeated ejection lasts twice as long as the last one, up to the maximum.
        """
        view = self.view(server)
        if view.ejected_until > now:
            return
        recent = now - view.ejected_until <= EJECTION_RESET_S
        view.ejection_s = min(EJECTION_MAX_S, 2 * view.ejection_s) if recent else EJECTION_BASE_S
        view.ejected_until = now + view.ejection_s
        self.pace.begin(now, server, view.ejected_until)
        view.latency_s = None
        view.calls = 0
        view.consecutive_failures = 0
