"""Slow start: how fast the load of a backend server rises after it has started or recovered."""

from __future__ import annotations

from math import inf
from typing import Protocol

from msgspec import Struct, field

from azurefield.call_result import FAILURE_RESULTS, UNSENT_RESULTS, CallResult

SHARE_MIN = 0.1
# Time in which the share rises evenly to 1 while the answers say nothing else.
EVEN_RISE_S = 5.0
# Shortest time between two doublings, so that a server that is flooded has time to show it.
DOUBLING_INTERVAL_S = 0.25
# After repeated failures, the interval grows to this.
DOUBLING_INTERVAL_MAX_S = 2.0
# A call that took longer than this multiple of the usual latency counts as slow. A server that
# only warms up stays below it.
SLOW_FACTOR = 2.0
# The share does not rise for this time after a failed call.
HOLD_S = 0.5


class CompletedRise(Struct, kw_only=True, frozen=True):
    """A server that gets its usual calls again.

    :param took_s: time since its rise began
    :param failures: calls since then that halved its share
    """

    server: str
    took_s: float
    failures: int


class ServerPace(Protocol):
    """Decides which share of its usual calls a server gets from this instance while it rises.

    Each instance applies the share to its own demand, so the sum of all instances is the same share
    of their demand, however many they are.
    """

    def begin(self, now: float, server: str, at: float) -> None:
        """Start a rise at a time, which may be in the future, in place of an earlier one."""

    def share(self, now: float, server: str) -> float:
        """Return the share, above 0; 1 for a server that is not rising. Changes nothing."""

    def on_result(
        self, now: float, server: str, result: CallResult, latency_s: float, usual_s: float | None
    ) -> None:
        """Observe how a call ended.

        :param latency_s: time since the call was sent
        :param usual_s: median latency of the servers of its leaf; None if it is unknown
        """

    def forget(self, server: str) -> None:
        """End the rise of a server."""

    def take_completed(self, now: float) -> list[CompletedRise]:
        """Return and drop the completed rises, except those that take a fixed time."""


class FixedRamp(Struct, kw_only=True):
    """The share rises evenly, whatever the server answers.

    :param begun_at: when the rise of each server began
    """

    begun_at: dict[str, float] = field(default_factory=dict)

    def begin(self, now: float, server: str, at: float) -> None:  # noqa: ARG002
        """Start a rise."""
        self.begun_at[server] = at

    def share(self, now: float, server: str) -> float:
        """Return the share that the time since the start gives."""
        begun_at = self.begun_at.get(server)
        if begun_at is None:
            return 1.0
        return min(1.0, max(SHARE_MIN, (now - begun_at) / EVEN_RISE_S))

    def on_result(
        self,
        now: float,
        server: str,
        result: CallResult,
        latency_s: float,
        usual_s: float | None,
    ) -> None:
        """Ignore the call."""

    def forget(self, server: str) -> None:
        """End the rise of a server."""
        self.begun_at.pop(server, None)

    def take_completed(self, now: float) -> list[CompletedRise]:  # noqa: ARG002
        """Return nothing, since all rises take the same time."""
        return []


class Rise(Struct, kw_only=True):
    """The rise of one server.

    :param begun_at: when it began
    :param share: the share at ``updated_at``
    :param changed_at: when a call last changed the share
    :param held_until: until when the share does not rise
    :param interval_s: shortest time between two doublings
    :param good: good answers since ``changed_at``
    :param slow: slow answers since ``changed_at``
    :param failures: calls that have halved the share
    """

    begun_at: float
    updated_at: float
    changed_at: float
    share: float = SHARE_MIN
    held_until: float = -inf
    interval_s: float = DOUBLING_INTERVAL_S
    good: int = 0
    slow: int = 0
    failures: int = 0

    def share_at(self, now: float) -> float:
        """Return the share with the even rise since the last update."""
        rising_s = max(0.0, now - max(self.updated_at, self.held_until))
        return min(1.0, self.share + (1.0 - SHARE_MIN) * rising_s / EVEN_RISE_S)

    def advance(self, now: float) -> None:
        """Apply the even rise since the last update."""
        self.share = self.share_at(now)
        self.updated_at = max(now, self.updated_at)

    def restart_evidence(self, now: float) -> None:
        """Judge the server by calls that are sent from now on."""
        self.changed_at = now
        self.good = self.slow = 0

    def on_good(self, now: float) -> None:
        """Double the share if the last change has had time to show its effect."""
        self.good += 1
        settled = now - self.changed_at >= self.interval_s and now >= self.held_until
        if settled and self.good > self.slow:
            self.share = min(1.0, 2.0 * self.share)
            self.restart_evidence(now)

    def on_slow(self) -> None:
        """Count a slow answer."""
        self.slow += 1

    def on_failure(self, now: float) -> None:
        """Halve the share, and double it more rarely from then on."""
        self.share = max(SHARE_MIN, self.share / 2.0)
        self.interval_s = min(DOUBLING_INTERVAL_MAX_S, 2.0 * self.interval_s)
        self.held_until = now + HOLD_S
        self.failures += 1
        self.restart_evidence(now)


class AdaptivePace(Struct, kw_only=True):
    """The share follows the server's answers.

    It doubles while most answers are good, and is halved after refusals, failures and time-outs.
    Only calls that were sent after the last change count, so each step shows its effect before the
    next. Without answers the share rises evenly.
    """

    rises: dict[str, Rise] = field(default_factory=dict)

    def begin(self, now: float, server: str, at: float) -> None:  # noqa: ARG002
        """Start a rise."""
        self.rises[server] = Rise(begun_at=at, updated_at=at, changed_at=at)

    def share(self, now: float, server: str) -> float:
        """Return the share that the answers so far and the time give."""
        rise = self.rises.get(server)
        return 1.0 if rise is None else rise.share_at(now)

    def on_result(
        self, now: float, server: str, result: CallResult, latency_s: float, usual_s: float | None
    ) -> None:
        """Judge a call to a rising server."""
        rise = self.rises.get(server)
        if rise is None or result in UNSENT_RESULTS or now - latency_s < rise.changed_at:
            return
        rise.advance(now)
        if rise.share >= 1.0:
            return
        if result in FAILURE_RESULTS:
            rise.on_failure(now)
        elif usual_s is not None and latency_s > SLOW_FACTOR * usual_s:
            rise.on_slow()
        elif result is CallResult.ANSWERED:
            rise.on_good(now)

    def forget(self, server: str) -> None:
        """End the rise of a server."""
        self.rises.pop(server, None)

    def take_completed(self, now: float) -> list[CompletedRise]:
        """Return and drop the rises that have come to their end."""
        completed = [
            CompletedRise(server=server, took_s=now - rise.begun_at, failures=rise.failures)
            for server, rise in self.rises.items()
            if self.share(now, server) >= 1.0
        ]
        for rise in completed:
            del self.rises[rise.server]
        return completed
