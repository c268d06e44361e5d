"""Directory of the backend servers that registered themselves in the platform's store."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from msgspec import Struct
from msgspec import field as struct_field

from azurefield.evacuations import Evacuations

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from azurefield.snapshot import Holding

# Backend servers whose entries expired during an outage of the store register again within 2 s of
# its end.
REREGISTRATION_GRACE_S = 2.2
# How long a removed entry is remembered, so that a delayed earlier entry does not bring its server
# back.
REMOVED_ENTRY_MEMORY_S = 60.0
# A restored store may list a server that has left, until the entry expires there.
RETURNED_ENTRY_HOLD_S = 6.0


class RegisteredState(StrEnum):
    """The state that a backend server registers for itself."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(slots=True, kw_only=True, frozen=True)
class RegisteredServer:
    """The registered entry of one backend server.

    :param address: ``host:port``; another server may use it later
    :param incarnation: differs between two starts under the same name
    :param warmup_s: remaining time in which the server is slow after its start
    :param started_ms: Unix time of its start; None if the server does not tell
    :param entry_number: counts the entries that it has written since its start
    """

    server: str
    service: str
    address: str
    availability_zone: str
    state: RegisteredState
    slots: int = 1
    incarnation: str = ""
    warmup_s: float = 0.0
    started_ms: int | None = field(default=None, compare=False)
    entry_number: int = field(default=0, compare=False)

    def is_older_than(self, other: RegisteredServer) -> bool:
        """Whether this entry was written before another one of the same server."""
        if self.started_ms is None or other.started_ms is None:
            return False
        return (self.started_ms, self.entry_number) < (other.started_ms, other.entry_number)

    def may_follow(self, other: RegisteredServer) -> bool:
        """Whether this entry may have been written after another one of the same server."""
        return self.started_ms is None or other.started_ms is None or other.is_older_than(self)


class RemovedEntry(Struct, kw_only=True, frozen=True):
    """The last known entry of a server that was removed, and when."""

    entry: RegisteredServer
    at: float


class HeldEntry(Struct, kw_only=True):
    """An entry that is back after its removal but is not newer than the removed one.

    :param since: when it was first seen by ``Directory.expire``; None before
    """

    entry: RegisteredServer
    since: float | None = None


class DirectoryChangeKind(StrEnum):
    """Kind of a change of the directory.

    ``STARTED``: a server is new, or was started again or moved under its name. ``UPDATED``: other
    fields of its entry changed. ``UNCONFIRMED``: its entry is missing after an outage of the store,
    and the server is kept for now. ``GONE``: it was dropped.
    """

    STARTED = "started"
    UPDATED = "updated"
    LEAVING = "leaving"
    UNCONFIRMED = "unconfirmed"
    GONE = "gone"


class DirectoryChange(Struct, kw_only=True, frozen=True):
    """A change of one server, for the log and for routing."""

    server: str
    change: DirectoryChangeKind


class Directory(Struct, kw_only=True):
    """The registered servers, and those of each service that may get new work (``usable``).

    A server whose entry is removed is dropped at once, except shortly after an outage of the store.
    Then the entry may only have expired during the outage, so a live server is kept until
    ``REREGISTRATION_GRACE_S`` after the outage ended (``unconfirmed``). A server is unusable until
    its entry changes if another server answers at its address (``misdirected``). An entry that is
    back after its removal without being newer is from a restored store; it is used only if it is
    still listed after ``RETURNED_ENTRY_HOLD_S`` (``held``). A server in an evacuated zone is
    unusable.
    """

    servers: dict[str, RegisteredServer] = struct_field(default_factory=dict)
    usable: dict[str, tuple[str, ...]] = struct_field(default_factory=dict)
    unconfirmed: set[str] = struct_field(default_factory=set)
    misdirected: set[str] = struct_field(default_factory=set)
    removed: dict[str, RemovedEntry] = struct_field(default_factory=dict)
    held: dict[str, HeldEntry] = struct_field(default_factory=dict)
    evacuations: Evacuations = struct_field(default_factory=Evacuations)
    confirmation_deadline: float = float("-inf")

    def holders(self, now: float, holding: Holding) -> tuple[str, ...]:  # noqa: ARG002
        """Return the usable servers of a leaf; a leaf has the name of its service here."""
        return self.usable.get(holding.leaf, ())

    def on_outage_end(self, now: float) -> None:
        """Record that the store answers again after an outage."""
        self.confirmation_deadline = now + REREGISTRATION_GRACE_S

    def on_entry(self, entry: RegisteredServer) -> list[DirectoryChange]:
        """Apply a new or changed entry; one that was written before a known one is ignored."""
        known = self.servers.get(entry.server)
        if known is not None and entry.is_older_than(known):
            return []
        removed = self.removed.get(entry.server)
        if removed is not None and not entry.may_follow(removed.entry):
            self.held.setdefault(entry.server, HeldEntry(entry=entry))
            return []
        return self.accept(entry)

    def accept(self, entry: RegisteredServer) -> list[DirectoryChange]:
        """Use an entry from now on."""
        known = self.servers.get(entry.server)
        self.removed.pop(entry.server, None)
        self.held.pop(entry.server, None)
        self.unconfirmed.discard(entry.server)
        if known == entry:
            self.servers[entry.server] = entry
            return []
        self.servers[entry.server] = entry
        self.misdirected.discard(entry.server)
        self.update_usable(entry.service)
        if known is not None and known.service != entry.service:
            self.update_usable(known.service)
        started = known is None or (known.incarnation, known.address) != (
            entry.incarnation,
            entry.address,
        )
        change = DirectoryChangeKind.STARTED if started else DirectoryChangeKind.UPDATED
        if entry.state is RegisteredState.LEAVING:
            change = DirectoryChangeKind.LEAVING
        return [DirectoryChange(server=entry.server, change=change)]

    def on_removed(self, now: float, server: str) -> list[DirectoryChange]:
        """Apply the removal of an entry."""
        self.held.pop(server, None)
        known = self.servers.get(server)
        if known is None:
            return []
        if now < self.confirmation_deadline and known.state is RegisteredState.LIVE:
            if server in self.unconfirmed:
                return []
            self.unconfirmed.add(server)
            return [DirectoryChange(server=server, change=DirectoryChangeKind.UNCONFIRMED)]
        return self.drop(now, server)

    def on_listing(
        self, now: float, entries: Mapping[str, RegisteredServer]
    ) -> list[DirectoryChange]:
        """Apply a complete listing of the store: the entries by server name."""
        changes = []
        for entry in entries.values():
            changes += self.on_entry(entry)
        for server in [name for name in self.servers if name not in entries]:
            changes += self.on_removed(now, server)
        self.held = {name: held for name, held in self.held.items() if name in entries}
        return changes

    def on_misdirected(self, server: str) -> bool:
        """Record that another server answers at this server's address.

        :return: whether this was not known yet
        """
        known = self.servers.get(server)
        if known is None or server in self.misdirected:
            return False
        self.misdirected.add(server)
        self.update_usable(known.service)
        return True

    def expire(self, now: float) -> list[DirectoryChange]:
        """Drop the unconfirmed servers that did not register again in time.

        Entries that were removed long ago are forgotten, and held ones that stay listed are used.
        """
        self.removed = {
            server: removed
            for server, removed in self.removed.items()
            if now - removed.at < REMOVED_ENTRY_MEMORY_S
        }
        changes = self.accept_held(now)
        if self.unconfirmed and now >= self.confirmation_deadline:
            for server in sorted(self.unconfirmed):
                changes += self.drop(now, server)
        return changes

    def accept_held(self, now: float) -> list[DirectoryChange]:
        """Use the entries that were held long enough and are still listed."""
        changes = []
        for held in [*self.held.values()]:
            if held.since is None:
                held.since = now
            elif now - held.since >= RETURNED_ENTRY_HOLD_S:
                changes += self.accept(held.entry)
        return changes

    def drop(self, now: float, server: str) -> list[DirectoryChange]:
        """Drop a server and remember its last entry."""
        entry = self.servers.pop(server)
        self.removed[server] = RemovedEntry(entry=entry, at=now)
        self.unconfirmed.discard(server)
        self.misdirected.discard(server)
        self.update_usable(entry.service)
        return [DirectoryChange(server=server, change=DirectoryChangeKind.GONE)]

    def on_evacuation(self, zone: str) -> frozenset[str]:
        """Use no server of a zone until the request is removed; return the changed zones."""
        return self.update_zones(self.evacuations.on_requested(zone))

    def on_evacuation_removed(self, zone: str) -> frozenset[str]:
        """Use the servers of a zone again; return the changed zones."""
        return self.update_zones(self.evacuations.on_removed(zone))

    def on_evacuations_listed(self, now: float, zones: Collection[str]) -> frozenset[str]:
        """Apply a complete listing of the evacuated zones; return the changed zones."""
        may_lack_requests = now < self.confirmation_deadline
        return self.update_zones(
            self.evacuations.on_listing(now, zones, may_lack_requests=may_lack_requests)
        )

    def expire_evacuations(self, now: float) -> frozenset[str]:
        """End the evacuations whose requests the store has lost; return the changed zones."""
        return self.update_zones(self.evacuations.expire(now))

    def update_zones(self, zones: frozenset[str]) -> frozenset[str]:
        """Recompute the usable servers of the services that have servers in some zones."""
        entries = self.servers.values()
        for service in {entry.service for entry in entries if entry.availability_zone in zones}:
            self.update_usable(service)
        return zones

    def is_evacuated(self, server: str) -> bool:
        """Whether a server is in an evacuated zone."""
        entry = self.servers.get(server)
        return entry is not None and entry.availability_zone in self.evacuations.until

    def update_usable(self, service: str) -> None:
        """Recompute the usable servers of a service."""
        self.usable[service] = tuple(
            entry.server
            for entry in self.servers.values()
            if entry.service == service
            and entry.state is RegisteredState.LIVE
            and entry.server not in self.misdirected
            and entry.availability_zone not in self.evacuations.until
        )
        if not self.usable[service]:
            del self.usable[service]
