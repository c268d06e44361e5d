"""Applies changes of the directory of backend servers to routing, connections and limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from logbook import Logger
from msgspec import Struct

from azurefield.directory import Directory, DirectoryChange, DirectoryChangeKind
from azurefield.routing import OwnObservationRouter
from azurefield_entry.gateway import policies
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.ports import EvacuatedZone
from azurefield_entry.gateway.quotas.server_quotas import ServerQuotas
from azurefield_entry.gateway.servers.checker import ServerChecker
from azurefield_entry.gateway.servers.connections import ServerConnections

if TYPE_CHECKING:
    from azurefield.directory import RegisteredServer
    from azurefield_entry.gateway.ports import Item

log = Logger("gateway")
# What is known of a server by its connections and answers ends with these changes.
RETIRING_CHANGES = frozenset(
    {DirectoryChangeKind.GONE, DirectoryChangeKind.STARTED, DirectoryChangeKind.LEAVING}
)


class ServerRegistry(Struct, kw_only=True):
    """Keeps what is known of each server in line with the directory.

    :param own_zone: availability zone of this instance
    """

    own_zone: str
    directory: Directory
    router: OwnObservationRouter
    connections: ServerConnections
    checker: ServerChecker
    quotas: ServerQuotas
    metrics: GatewayMetrics

    def apply_changes(self, now: float, changes: list[DirectoryChange]) -> None:
        """Update routing and connections after changes of the directory."""
        for change in changes:
            log.info("Server {} is {}.", change.server, change.change)
            entry = self.directory.servers.get(change.server)
            if entry is None:
                self.router.forget(change.server)
            elif change.change is DirectoryChangeKind.STARTED:
                self.on_started(now, entry)
            if change.change in RETIRING_CHANGES:
                self.connections.retire(change.server)
                self.checker.forget(change.server)
                self.quotas.limits.forget(change.server)
                self.quotas.warmups.forget(change.server)
            if entry is not None:
                self.record_warmup(now, entry, change.change)
        self.metrics.servers.set(len(self.directory.servers))
        self.metrics.limited_servers.set(len(self.quotas.limits.known))
        self.metrics.warming_servers.set(len(self.quotas.warmups.until))

    def on_started(self, now: float, entry: RegisteredServer) -> None:
        """Update routing for a server that is new, or was started again or moved."""
        other_zone = entry.availability_zone != self.own_zone
        penalty_s = policies.OTHER_ZONE_PENALTY_S if other_zone else 0.0
        self.router.set_wait_penalty(entry.server, penalty_s)
        if entry.warmup_s > 0:
            self.router.on_restart(now, entry.server)

    def record_warmup(
        self, now: float, entry: RegisteredServer, change: DirectoryChangeKind
    ) -> None:
        """Record how long a server warms up; one that warms up again begins its rise again."""
        if not self.quotas.warmups.on_entry(now, entry):
            return
        log.info("Server {} warms up for {:.1f} s.", entry.server, entry.warmup_s)
        if change is DirectoryChangeKind.UPDATED:
            self.router.on_restart(now, entry.server)

    def list_evacuations(self, now: float, items: tuple[Item, ...]) -> None:
        """Apply the evacuated zones of a complete listing of the store."""
        zones = {item.zone for item in items if isinstance(item, EvacuatedZone)}
        self.apply_evacuations(now, self.directory.on_evacuations_listed(now, zones))

    def apply_evacuations(self, now: float, zones: frozenset[str]) -> None:
        """Log changed zones; the servers of one that is used again start slowly."""
        evacuated = self.directory.evacuations.until
        for zone in sorted(zones):
            if zone in evacuated:
                log.info("Zone {} is evacuated; its servers get no new calls.", zone)
                continue
            log.info("Zone {} is no longer evacuated; its servers start slowly.", zone)
            for entry in self.directory.servers.values():
                if entry.availability_zone == zone:
                    self.router.on_restart(now, entry.server)
                    self.quotas.warmups.on_reopened(now, entry)
        self.metrics.evacuated_zones.set(len(evacuated))

    def expire(self, now: float) -> None:
        """Drop unconfirmed servers, and end rises, warm-ups, and evacuations that were lost."""
        self.record_completed_rises(now)
        self.quotas.warmups.expire(now)
        self.apply_changes(now, self.directory.expire(now))
        self.apply_evacuations(now, self.directory.expire_evacuations(now))

    def record_completed_rises(self, now: float) -> None:
        """Log the servers that get their usual calls again."""
        for rise in self.router.pace.take_completed(now):
            self.metrics.completed_rises.labels("cut" if rise.failures else "steady").inc()
            log.info(
                "Server {} gets its usual calls, {:.1f} s after it began to get calls again;"
                " {} failures have cut them.",
                rise.server,
                rise.took_s,
                rise.failures,
            )
