"""Membership of the tier: entry instances, leaving backend servers and isolation.

An incarnation is one start of a process under its name.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from msgspec import Struct, field
from msgspec.structs import replace

from azurefield.snapshot import ServerState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from azurefield.snapshot import StatusReport

INSTANCE_RETENTION_S = 10.0
HEARTBEAT_MAX_AGE_S = 3.0
ISOLATION_TIMEOUT_S = 5.0
# Limit of the past incarnations kept for each server, whose delayed reports are ignored.
PAST_INCARNATIONS_MAX = 8


class InstanceState(StrEnum):
    """State of an entry instance."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedInstance(Struct, kw_only=True, frozen=True):
    """An entry instance in the platform's list."""

    name: str
    peer_address: str
    availability_zone: str
    state: InstanceState


class KnownInstance(Struct, kw_only=True, frozen=True):
    """What one instance knows directly about another: from its heartbeats or from the list.

    ``incarnation`` and ``sequence`` are those of the last heartbeat received from it; they are
    empty and 0 if none was received. ``silent`` is set if that heartbeat is older than
    ``HEARTBEAT_MAX_AGE_S``. ``ceilings`` then repeats the connections that it claimed, for
    instances that have joined since and receive no heartbeats from it.
    """

    incarnation: str
    sequence: int
    peer_address: str
    availability_zone: str
    state: InstanceState
    silent: bool = False
    ceilings: dict[str, int] = field(default_factory=dict)


class Heartbeat(Struct, kw_only=True, frozen=True):
    """State that an entry instance sends to all others once a second.

    ``ceilings`` are the connections to each backend server that others must leave to the sender.
    ``known`` holds only instances that the sender knows directly, from the platform's list or from
    their own heartbeats. If it repeated what other peers report, a departed instance would count
    for as long as other instances report it to each other.
    """

    instance: str
    incarnation: str
    sequence: int
    peer_address: str
    availability_zone: str
    state: InstanceState
    known: dict[str, KnownInstance]
    ceilings: dict[str, int]

    def is_newer_than(self, last: Heartbeat | None) -> bool:
        """Whether this is newer than ``last`` or from another incarnation of the sender."""
        if last is None or last.incarnation != self.incarnation:
            return True
        return self.sequence > last.sequence


class InstanceView(Struct, kw_only=True):
    """The other entry instances, merged from the platform's list and from heartbeats.

    An instance counts while it is listed, and for ``INSTANCE_RETENTION_S`` after it was last listed
    or sent a heartbeat. It also counts while a peer whose last heartbeat is at most
    ``HEARTBEAT_MAX_AGE_S`` old knows it directly. A silent but listed instance counts because it
    may only be paused. The last list stays in use while the platform can't be reached.

    ``last_heartbeats`` holds the last heartbeat of each instance and the time of its arrival.
    ``retained`` holds what is known directly of each instance and the time at which it was last
    listed or sent a heartbeat.
    """

    instance: str
    listed: dict[str, ListedInstance] = field(default_factory=dict)
    last_heartbeats: dict[str, tuple[float, Heartbeat]] = field(default_factory=dict)
    retained: dict[str, tuple[float, KnownInstance]] = field(default_factory=dict)

    def on_list(self, now: float, instances: Iterable[ListedInstance]) -> None:
        """Replace the platform's list."""
        self.refresh_listed(now)
        self.listed = {entry.name: entry for entry in instances if entry.name != self.instance}
        self.refresh_listed(now)

    def refresh_listed(self, now: float) -> None:
        """Renew the retention of each listed instance; its last heartbeat takes precedence."""
        for name, entry in self.listed.items():
            at, heartbeat = self.last_heartbeats.get(name, (0.0, None))
            known = KnownInstance(
                incarnation="",
                sequence=0,
                peer_address=entry.peer_address,
                availability_zone=entry.availability_zone,
                state=entry.state,
            )
            if heartbeat is not None:
                silent = now - at > HEARTBEAT_MAX_AGE_S
                known = merge_with_listing(
                    heartbeat, entry.peer_address if silent else None, entry.state
                )
            self.retained[name] = (now, known)

    def on_heartbeat(self, now: float, heartbeat: Heartbeat) -> None:
        """Apply a heartbeat of a peer."""
        name = heartbeat.instance
        if name == self.instance:
            return
        if name in self.last_heartbeats and not heartbeat.is_newer_than(
            self.last_heartbeats[name][1]
        ):
            return
        self.last_heartbeats[name] = (now, heartbeat)
        listed = self.listed.get(name)
        state = InstanceState.LIVE if listed is None else listed.state
        self.retained[name] = (now, merge_with_listing(heartbeat, None, state))

    def known(self, now: float) -> dict[str, KnownInstance]:
        """Drop instances after their retention time and return those known directly."""
        self.refresh_listed(now)
        for name in [
            name for name, (at, _) in self.retained.items() if now - at > INSTANCE_RETENTION_S
        ]:
            del self.retained[name]
            self.last_heartbeats.pop(name, None)
        return {
            name: self.with_last_ceilings(now, name, entry)
            for name, (_, entry) in self.retained.items()
        }

    def with_last_ceilings(self, now: float, name: str, entry: KnownInstance) -> KnownInstance:
        """Add the last ceilings of an instance that has become silent."""
        at, heartbeat = self.last_heartbeats.get(name, (now, None))
        if heartbeat is None or now - at <= HEARTBEAT_MAX_AGE_S:
            return entry
        return replace(entry, silent=True, ceilings=heartbeat.ceilings)

    def others(self, now: float) -> dict[str, KnownInstance]:
        """Return all other instances that count, including those that only peers know."""
        others = self.known(now)
        for at, heartbeat in self.last_heartbeats.values():
            if now - at > HEARTBEAT_MAX_AGE_S:
                continue
            for name, entry in heartbeat.known.items():
                if name != self.instance and name not in others:
                    others[name] = replace(entry, incarnation="", sequence=0)
        return others

    def others_listed_live(self) -> bool:
        """Whether the last list contains another live instance."""
        return any(entry.state is InstanceState.LIVE for entry in self.listed.values())


def merge_with_listing(
    heartbeat: Heartbeat, listed_address: str | None, listed_state: InstanceState
) -> KnownInstance:
    """Merge the last heartbeat of an instance with its entry in the platform's list.

    :param listed_address: the listed peer address of a silent instance, which replaces that of the
        heartbeat since the instance may have been replaced; None for any other
    """
    leaving = InstanceState.LEAVING in (heartbeat.state, listed_state)
    return KnownInstance(
        incarnation=heartbeat.incarnation,
        sequence=heartbeat.sequence,
        peer_address=listed_address or heartbeat.peer_address,
        availability_zone=heartbeat.availability_zone,
        state=InstanceState.LEAVING if leaving else InstanceState.LIVE,
    )


class LeavingReportSource(StrEnum):
    """Source of a report that a backend server is leaving."""

    INSTANCE_LIST = "instance_list"
    REFUSAL = "refusal"
    STATUS = "status"
    PEER = "peer"


class LeavingServer(Struct, kw_only=True):
    """The incarnations of a backend server that are leaving.

    ``incarnation_unknown`` is set while no source has named one; the list never does.
    """

    incarnations: set[str] = field(default_factory=set)
    incarnation_unknown: bool = True


class LeavingServerTracker(Struct, kw_only=True):
    """Tracks the backend servers that get no new work because a source says that they are leaving.

    Such a server is marked in ``leaving``. The mark is cleared when the server's status reports it
    live under an incarnation that was not reported as leaving. A mark for which no source has named
    an incarnation is also cleared when the list shows the server as live again: the list lags, and
    may have meant an incarnation from before a restart.

    ``current_incarnation`` holds the incarnation in the last status of each server.
    ``past_incarnations`` holds those whose mark was cleared: delayed reports of them are ignored.
    """

    leaving: dict[str, LeavingServer] = field(default_factory=dict)
    current_incarnation: dict[str, str] = field(default_factory=dict)
    past_incarnations: dict[str, list[str]] = field(default_factory=dict)
    listed_leaving: frozenset[str] = frozenset()

    def report(self, server: str, incarnation: str | None, source: LeavingReportSource) -> bool:
        """Record a report that a backend server is leaving.

        :param incarnation: the leaving incarnation, None if the source doesn't name one
        :return: whether this was not known and must be forwarded to the peers
        """
        if incarnation is not None and incarnation in self.past_incarnations.get(server, ()):
            return False
        new = server not in self.leaving
        mark = self.leaving.setdefault(server, LeavingServer())
        mark.incarnation_unknown = mark.incarnation_unknown and incarnation is None
        leaving_incarnation = incarnation or self.current_incarnation.get(server)
        if leaving_incarnation is not None and leaving_incarnation not in mark.incarnations:
            mark.incarnations.add(leaving_incarnation)
            new = True
        return new and source is not LeavingReportSource.PEER

    def on_list(self, *, live: frozenset[str], leaving: frozenset[str]) -> list[str]:
        """Apply the states of the backend servers in the platform's list.

        A server is reported only when its listed state changes to leaving.

        :return: the servers that must be reported to the peers as leaving
        """
        newly_leaving = leaving - self.listed_leaving
        for server in self.listed_leaving & live:
            mark = self.leaving.get(server)
            if mark is not None and mark.incarnation_unknown:
                del self.leaving[server]
        self.listed_leaving = leaving
        return [
            server
            for server in sorted(newly_leaving)
            if self.report(server, None, LeavingReportSource.INSTANCE_LIST)
        ]

    def on_status(self, report: StatusReport) -> bool:
        """Apply a backend server's status.

        :return: whether the server must be reported to the peers as leaving
        """
        server, incarnation = report.server, report.incarnation
        if incarnation in self.past_incarnations.get(server, ()):
            return False
        self.current_incarnation[server] = incarnation
        if report.state is ServerState.LEAVING:
            return self.report(server, incarnation, LeavingReportSource.STATUS)
        mark = self.leaving.get(server)
        if mark is not None and report.state is ServerState.LIVE:
            self.clear_mark(server, mark, incarnation)
        return False

    def clear_mark(self, server: str, mark: LeavingServer, incarnation: str) -> None:
        """Clear the mark of a live server if its incarnation was not reported as leaving.

        A mark without any incarnation is assumed to mean this one.
        """
        if not mark.incarnations:
            mark.incarnations.add(incarnation)
        elif incarnation not in mark.incarnations:
            kept = [*self.past_incarnations.get(server, ()), *sorted(mark.incarnations)]
            self.past_incarnations[server] = kept[-PAST_INCARNATIONS_MAX:]
            del self.leaving[server]

    def servers(self) -> frozenset[str]:
        """Return the backend servers that get no new work."""
        return frozenset(self.leaving)

    def retain_only(self, servers: frozenset[str]) -> None:
        """Drop the state of backend servers that are no longer in the configuration."""
        self.leaving = {name: mark for name, mark in self.leaving.items() if name in servers}
        self.current_incarnation = {
            name: entry for name, entry in self.current_incarnation.items() if name in servers
        }
        self.past_incarnations = {
            name: entries for name, entries in self.past_incarnations.items() if name in servers
        }


class IsolationMonitor(Struct, kw_only=True):
    """Detects that this instance can't know whether its configuration is current.

    This is so after ``ISOLATION_TIMEOUT_S`` without an answer of the store or a heartbeat of a
    peer, if the last list contains other live instances.
    """

    last_contact: float

    def on_contact(self, now: float) -> None:
        """Record an answer of the store or a heartbeat of a peer."""
        self.last_contact = max(self.last_contact, now)

    def isolated(self, now: float, *, others_listed_live: bool) -> bool:
        """Whether this instance is isolated and must refuse new requests."""
        return others_listed_live and now - self.last_contact >= ISOLATION_TIMEOUT_S
