"""Rate limits that backend servers name in their answers, as one instance knows them."""

from __future__ import annotations

import re
from math import inf

from msgspec import Struct, field

# Value of a limit, in requests per second, of a server that names none.
NO_LIMIT = inf
WRITTEN_LIMIT = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
# Shortest time for which a server is passed over after its quota was denied.
DENIED_MIN_S = 0.02
# A changed limit is logged only if it differs by at least this fraction.
LOGGED_CHANGE_FRACTION = 0.25


def parse_limit(limit: str | None) -> float | None:
    """Return the limit in an answer's header, in requests per second; None if it is unreadable."""
    if limit is None:
        return NO_LIMIT
    return float(limit) if WRITTEN_LIMIT.fullmatch(limit) else None


class NamedLimit(Struct, kw_only=True, frozen=True):
    """The limit that a server named last.

    :param per_s: requests per second that the server takes from all instances together;
        ``NO_LIMIT`` if it takes any number
    :param named_at: when the answer that named it arrived
    """

    per_s: float
    named_at: float


class ServerLimits(Struct, kw_only=True):
    """The servers that have a limit; it holds as long as their answers name it.

    :param denied_until: when a token is expected, by server and priority of the denied call
    :param logged: the limits in the last log lines, by server
    """

    known: dict[str, NamedLimit] = field(default_factory=dict)
    denied_until: dict[str, dict[int, float]] = field(default_factory=dict)
    logged: dict[str, float] = field(default_factory=dict)

    def on_answer(self, now: float, server: str, limit_per_s: float, sent_at: float) -> bool:
        """Record what an answer says of its server's limit.

        An answer without a limit ends a known one only if its call was sent after the limit was
        named. Answers to earlier calls may have been on their way.

        :param limit_per_s: the limit in the answer; ``NO_LIMIT`` if it names none
        :param sent_at: when the call was sent
        :return: whether the change is worth a log line
        """
        known = self.known.get(server)
        if limit_per_s != NO_LIMIT:
            self.known[server] = NamedLimit(per_s=limit_per_s, named_at=now)
        elif known is None or sent_at < known.named_at:
            return False
        else:
            del self.known[server]
            self.denied_until.pop(server, None)
        return self.is_worth_logging(server, limit_per_s)

    def on_denied(self, now: float, server: str, priority: int, wait_s: float) -> None:
        """Record that a call of a priority got no token; one is expected after ``wait_s``."""
        until = now + max(DENIED_MIN_S, wait_s)
        self.denied_until.setdefault(server, {})[priority] = until

    def opens_at(self, server: str, priority: int) -> float:
        """Return when a call may get a token; minus infinity if nothing speaks against it.

        A denied call says nothing about calls of a higher priority, which overtake it.
        """
        denied = self.denied_until.get(server)
        if not denied:
            return -inf
        return max((until for other, until in denied.items() if other <= priority), default=-inf)

    def is_worth_logging(self, server: str, limit_per_s: float) -> bool:
        """Whether a limit differs enough from the one in the last log line."""
        logged = self.logged.get(server, NO_LIMIT)
        if limit_per_s == NO_LIMIT:
            self.logged.pop(server, None)
            return logged != NO_LIMIT
        if logged != NO_LIMIT and abs(limit_per_s - logged) < LOGGED_CHANGE_FRACTION * logged:
            return False
        self.logged[server] = limit_per_s
        return True

    def forget(self, server: str) -> None:
        """Drop a server that is gone or was started again."""
        self.known.pop(server, None)
        self.denied_until.pop(server, None)
        self.logged.pop(server, None)


class RouteServerLimits(Struct, kw_only=True, frozen=True):
    """The servers' limits as they concern the calls of one route.

    :param priority: priority of the calls, 0 first
    """

    limits: ServerLimits
    priority: int

    def opens_at(self, server: str) -> float:
        """Return when a call may get a token; minus infinity if nothing speaks against it."""
        return self.limits.opens_at(server, self.priority)


class NoServerLimits:
    """No server has a limit."""

    def opens_at(self, server: str) -> float:  # noqa: ARG002
        """Return that a server may be called at any time."""
        return -inf
