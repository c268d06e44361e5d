"""Whether this instance is partitioned from all backend servers.

New connections decide: in a partition, open connections may hang, be reset or live on. Failed ones
alone do not prove it, since a service or a zone may be down, so the suspicion is verified by
connections to servers of as many services as possible.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct, field

from azurefield.directory import RegisteredState

if TYPE_CHECKING:
    from random import Random

    from azurefield.directory import Directory

# Different servers that have to fail in a row, without any success in between.
FAILED_SERVERS_MIN = 3
# An older failure says nothing about now.
FAILURE_AGE_MAX_S = 2.0
# Servers that are tried for a verification: one and, if it fails, the others at the same time.
VERIFICATION_SERVERS = 5
PROBE_INTERVAL_S = 0.5
# After the end of a partition, the instance takes back its requests over this time, so that the
# servers do not have to accept all its connections at once.
RETURN_S = 2.0
# A partition that begins within this time after the last one doubles the number of probes in a row
# that have to succeed at its end.
RECENT_S = 20.0
PROBES_TO_RETURN_MAX = 4


class PartitionDetector(Struct, kw_only=True):
    """What an instance knows of its partition from all servers.

    :param failing: the servers that accepted no connection since the last success, and when
    :param since: when the partition was detected; None while there is none
    :param ended_at: when the last one ended
    :param successes: successful probes in a row during the partition
    :param probes_to_return: how many of them end it
    """

    failing: dict[str, float] = field(default_factory=dict)
    since: float | None = None
    ended_at: float = float("-inf")
    successes: int = 0
    probes_to_return: int = 1

    @property
    def partitioned(self) -> bool:
        """Whether a partition was detected and has not ended."""
        return self.since is not None

    def on_opened(self) -> None:
        """Record that a server has accepted a connection."""
        self.failing.clear()

    def on_open_failed(self, now: float, server: str) -> None:
        """Record that a server has not accepted a connection."""
        self.failing[server] = now

    def suspected(self, now: float, servers: int) -> bool:
        """Whether a verification is due.

        :param servers: the number of known servers
        """
        if self.partitioned:
            return False
        recent = sum(now - at <= FAILURE_AGE_MAX_S for at in self.failing.values())
        return 0 < min(FAILED_SERVERS_MIN, servers) <= recent

    def on_verified(self, now: float, *, reached: bool) -> bool:
        """Record the result of a verification.

        :return: whether a partition has begun
        """
        self.failing.clear()
        if reached or self.partitioned:
            return False
        recent = now - self.ended_at < RECENT_S
        self.probes_to_return = (
            min(PROBES_TO_RETURN_MAX, 2 * self.probes_to_return) if recent else 1
        )
        self.since = now
        self.successes = 0
        return True

    def on_probed(self, now: float, *, reached: bool) -> bool:
        """Record the result of a probe during a partition.

        :return: whether the partition has ended
        """
        self.successes = self.successes + 1 if reached else 0
        if not self.partitioned or self.successes < self.probes_to_return:
            return False
        self.since = None
        self.ended_at = now
        self.failing.clear()
        return True

    def own_fraction(self, now: float) -> float:
        """Return the fraction of its requests that this instance should run itself."""
        if self.partitioned:
            return 0.0
        return min(1.0, (now - self.ended_at) / RETURN_S)


def choose_probes(random: Random, directory: Directory, count: int) -> list[str]:
    """Choose random servers, each of another service as long as there are such."""
    by_service: dict[str, list[str]] = {}
    for entry in directory.servers.values():
        if entry.state is RegisteredState.LIVE:
            by_service.setdefault(entry.service, []).append(entry.server)
    groups = [random.sample(servers, len(servers)) for servers in by_service.values()]
    random.shuffle(groups)
    chosen: list[str] = []
    while groups and len(chosen) < count:
        chosen += [servers.pop() for servers in groups]
        groups = [servers for servers in groups if servers]
    return chosen[:count]
