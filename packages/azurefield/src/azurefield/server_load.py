"""Load that backend servers report in their answers, for the choice of a server.

A report tells what the own calls of an instance can't: how many requests of other instances a
server has, and how slow its machine is at this moment. It is outdated after a fraction of a second.
"""

from __future__ import annotations

import re

from msgspec import Struct

# A report counts fully when it arrives, and less with its age until it counts no more.
REPORT_AGE_MAX_S = 0.25
# Weight of one report in what is usual for its server.
USUAL_EWMA_WEIGHT = 0.1
# A report changes the expected latency by at most this factor, up or down.
LATENCY_FACTOR_MAX = 10.0
PERCENT = 100
WRITTEN_LOAD = re.compile(r"([0-9]{1,6}),([0-9]{1,6}),([0-9]{1,6})(?:,([0-9]{1,6}))?")


class ServerLoad(Struct, kw_only=True, frozen=True):
    """What a server reports of itself.

    :param running: requests that it runs, of all instances
    :param waiting: requests that wait for a slot
    :param slots: requests that it can run at the same time, 1 or more
    :param slowness: how long work takes on its machine now; 1 is the usual
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0

    @property
    def slowdown(self) -> float:
        """How much longer the answer to one more request takes than from an idle server."""
        queued = max(0, self.running + self.waiting + 1 - self.slots)
        return self.slowness * (1 + queued / self.slots)


def parse_load(written: str | None) -> ServerLoad | None:
    """Parse "running,waiting,slots" with an optional fourth figure, the slowness in percent.

    :return: None if there is no report or it is unreadable

    >>> parse_load("3, 0, 8, 250").slowness
    2.5
    """
    fields = WRITTEN_LOAD.fullmatch((written or "").replace(" ", ""))
    if fields is None:
        return None
    running, waiting, slots = (int(fields[number]) for number in (1, 2, 3))
    percent = int(fields[4] or PERCENT)
    if slots == 0 or percent == 0:
        return None
    return ServerLoad(running=running, waiting=waiting, slots=slots, slowness=percent / PERCENT)


class ReportedLoad(Struct, kw_only=True):
    """What one server has reported, as a factor of its observed latency.

    :param at: when the last report arrived
    :param slowdown: how much longer an answer takes by this report than from an idle server
    :param usual_slowdown: moving average of that, and so of the conditions under which the server's
        latency was observed
    """

    at: float
    slowdown: float
    usual_slowdown: float

    @classmethod
    def first(cls, now: float, load: ServerLoad) -> ReportedLoad:
        """Take the first report of a server."""
        return cls(at=now, slowdown=load.slowdown, usual_slowdown=load.slowdown)

    def update(self, now: float, load: ServerLoad) -> None:
        """Take a later report."""
        self.at, self.slowdown = now, load.slowdown
        self.usual_slowdown += USUAL_EWMA_WEIGHT * (self.slowdown - self.usual_slowdown)

    def latency_factor(self, now: float) -> float:
        """Return how much longer an answer takes now than was observed; 1 without recent report."""
        weight = max(0.0, 1.0 - (now - self.at) / REPORT_AGE_MAX_S)
        factor = 1.0 + weight * (self.slowdown / self.usual_slowdown - 1.0)
        return min(LATENCY_FACTOR_MAX, max(1 / LATENCY_FACTOR_MAX, factor))
