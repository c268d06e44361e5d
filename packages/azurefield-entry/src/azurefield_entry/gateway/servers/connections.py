"""Connection pools of this instance, one per backend server."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from functools import partial
from typing import TYPE_CHECKING

from logbook import Logger
from msgspec import Struct, field

from azurefield.directory import Directory
from azurefield.held_memory import HeldMemory
from azurefield.reachability import ServerContacts
from azurefield.routes import ServiceLimits
from azurefield.sharing import SharedQueue
from azurefield_entry.backends.pool import ConnectionPool
from azurefield_entry.clock import now
from azurefield_entry.gateway import policies
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.ports import LeafConnection, LeafDialect
from azurefield_entry.gateway.servers.connection import HttpLeafConnection

if TYPE_CHECKING:
    from azurefield.directory import RegisteredServer

log = Logger("connections")


class ServerConnections(Struct, kw_only=True):
    """One connection pool per server, bounded by this instance's share of the server's limit.

    :param limits: the limits of each service
    :param connections_max: how many connections to all servers the descriptors allow
    :param instances: how many instances share the limits; None if unknown
    :param answer_memory: the memory of the answers that are being received
    :param shares: this instance's share of a server's limit, for the services where the shares of
        the instances differ
    """

    dialect: LeafDialect
    directory: Directory
    metrics: GatewayMetrics
    limits: Mapping[str, ServiceLimits] = field(default_factory=dict)
    connections_max: int = sys.maxsize
    instances: int | None = None
    shares: Mapping[str, int] = field(default_factory=dict)
    pools: dict[str, ConnectionPool[LeafConnection]] = field(default_factory=dict)
    answer_memory: HeldMemory[HttpLeafConnection] = field(default_factory=HeldMemory)
    contacts: ServerContacts = field(default_factory=ServerContacts)

    def set_limits(
        self,
        limits: Mapping[str, ServiceLimits],
        instances: int | None,
        shares: Mapping[str, int],
    ) -> None:
        """Set the limits, the number of instances that share them, and unequal shares."""
        self.limits, self.instances, self.shares = limits, instances, shares
        for server, pool in self.pools.items():
            pool.set_ceiling(self.ceiling(server))

    def ceiling(self, server: str) -> int:
        """Return how many connections this instance may open to a server.

        One more share is reserved for an instance that is not known yet. All servers together get
        no more than the descriptors allow, but one connection each.
        """
        entry = self.directory.servers.get(server)
        if entry is None or entry.service not in self.limits:
            return 1
        share = self.shares.get(entry.service)
        if share is None:
            count = self.instances
            divisor = policies.INSTANCES_ASSUMED if count is None else count + 1
            share = max(1, self.limits[entry.service].connections_max // divisor)
        return min(share, max(1, self.connections_max // len(self.directory.servers)))

    def pool(self, entry: RegisteredServer) -> ConnectionPool[LeafConnection]:
        """Return the connection pool of a server."""
        pool = self.pools.get(entry.server)
        if pool is None:
            pool = ConnectionPool(
                connect=partial(self.connect, entry.server, entry.address),
                ceiling=self.ceiling(entry.server),
                idle_max_s=policies.CONNECTION_IDLE_MAX_S,
                waiting=SharedQueue(on_out_of_turn=self.metrics.floor_calls.inc),
            )
            self.pools[entry.server] = pool
        return pool

    def connect(self, server: str, address: str) -> LeafConnection:
        """Make a connection object, which is opened by its first call."""
        self.metrics.connections_opened.inc()
        return HttpLeafConnection(
            address=address,
            dialect=self.dialect,
            memory=self.answer_memory,
            on_open=lambda: self.contacts.on_opened(now(), server),
            on_stray_bytes=partial(self.record_stray_bytes, server),
            on_unnamed_answer=partial(self.record_unnamed_answer, server),
        )

    def record_stray_bytes(self, server: str) -> None:
        """Log and count that a server sent bytes that belong to no call."""
        self.metrics.stray_bytes.inc()
        log.info("Server {} sent bytes that belong to no call; the connection is closed.", server)

    def record_unnamed_answer(self, server: str) -> None:
        """Log and count that an answer of a server does not name its request."""
        self.metrics.unnamed_answers.inc()
        log.info(
            "Server {} sent an answer that does not name its request; the connection is closed.",
            server,
        )

    def retire(self, server: str) -> None:
        """Close the connections to a server; those in use are closed when their calls end."""
        self.contacts.forget(server)
        pool = self.pools.pop(server, None)
        if pool is not None:
            pool.retire()

    def retire_all(self) -> None:
        """Close all connections."""
        for server in [*self.pools]:
            self.retire(server)
