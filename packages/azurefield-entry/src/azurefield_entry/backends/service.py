"""The service ``backends``: owns all connections to backend servers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import TYPE_CHECKING

from logbook import Logger
from result import Err, Ok

from azurefield.failures import LeafFailure, LeafFailureReason
from azurefield.model import BackendServer, Outcome
from azurefield_entry.backends.calls import call_leaf
from azurefield_entry.backends.connection import Connection
from azurefield_entry.backends.pool import ConnectionPool
from azurefield_entry.backends.probes import probe_forever
from azurefield_entry.kernel import Stop
from azurefield_entry.messages import (
    CallLeaf,
    CancelCall,
    CeilingsChanged,
    ConfigurationChanged,
    ConnectionsOpen,
    LeafCallEnded,
    StatusMissing,
    StatusSeen,
)
from azurefield_entry.metrics import Metrics
from azurefield_entry.notify import notify

if TYPE_CHECKING:

    from azurefield.model import Configuration
    from azurefield_entry.backends.probes import ProbeResult
    from azurefield_entry.kernel import Kernel, Mailbox

INSTANCES_ASSUMED = 9  # Eight instances is the largest fleet today; one more may be joining.
CLOSE_TIMEOUT_S = 2.0
log = Logger("backends")


@dataclass(slots=True, kw_only=True)
class Target:
    """A backend server of the configuration with its connections and its probe."""

    server: BackendServer
    services: tuple[str, ...]
    pool: ConnectionPool[Connection]
    probe: asyncio.Task[None]
    seen: str | None = None


@dataclass(slots=True, kw_only=True)
class BackendsService:
    """Makes leaf calls and status probes, each in a task of its own."""

    metrics: Metrics
    random: Random
    targets: dict[str, Target] = field(default_factory=dict)
    ceilings: dict[str, int] = field(default_factory=dict)
    calls: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    retired: list[tuple[str, ConnectionPool[Connection]]] = field(default_factory=list)
    revision: int = 0
    report_due: bool = False
    tasks: asyncio.TaskGroup = field(default_factory=asyncio.TaskGroup)

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Handle messages until ``Stop``; an unexpected error in a call ends the service."""
        async with self.tasks:
            await self.handle_messages(kernel, mailbox)
        await self.close_connections()

    async def handle_messages(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Handle messages until ``Stop``, then cancel what still runs."""
        while True:
            message = await mailbox.receive()
            match message:
                case CallLeaf():
                    self.start_call(kernel, message)
                case CancelCall(call_id=call_id):
                    self.cancel_call(call_id)
                case CeilingsChanged(revision=revision, ceilings=ceilings):
                    self.set_ceilings(ceilings)
                    self.revision = revision
                    self.report_open(kernel)
                case ConfigurationChanged(configuration=configuration):
                    self.set_configuration(kernel, configuration)
                case Stop():
                    self.cancel_tasks()
                    return

    def start_call(self, kernel: Kernel, call: CallLeaf) -> None:
        """Start a leaf call; a server that left the configuration gets no call."""
        target = self.targets.get(call.server)
        if target is None:
            failure = LeafFailure(reason=LeafFailureReason.NO_SERVER, outcome=Outcome.NOT_RUN)
            self.finish_call(kernel, LeafCallEnded(call_id=call.call_id, result=Err(failure)))
            return
        self.calls[call.call_id] = self.tasks.create_task(self.make_call(kernel, target.pool, call))

    async def make_call(
        self, kernel: Kernel, pool: ConnectionPool[Connection], call: CallLeaf
    ) -> None:
        """Make a leaf call and report its end, unless it is cancelled."""
        try:
            ended = await call_leaf(pool, call)
        finally:
            self.calls.pop(call.call_id, None)
            self.metrics.connections_open.labels(call.server).set(pool.open_count)
        self.finish_call(kernel, ended)

    def finish_call(self, kernel: Kernel, ended: LeafCallEnded) -> None:
        """Report the end of a call to ``query``."""
        notify(kernel, "query", ended)

    def cancel_call(self, call_id: str) -> None:
        """Cancel a call, whether it waits for a connection or for its answer."""
        task = self.calls.pop(call_id, None)
        if task is not None:
            task.cancel()

    def set_ceilings(self, ceilings: dict[str, int]) -> None:
        """Apply ceilings, also to servers that the configuration doesn't name yet."""
        self.ceilings.update(ceilings)
        for name, target in self.targets.items():
            target.pool.set_ceiling(self.ceiling_of(target.server))
            self.metrics.connections_open.labels(name).set(target.pool.open_count)

    def report_open(self, kernel: Kernel) -> None:
        """Tell ``membership`` how many connections are open, retired ones included."""
        self.report_due = False
        connections = {name: target.pool.open_count for name, target in self.targets.items()}
        for name, pool in self.retired:
            connections[name] = connections.get(name, 0) + pool.open_count
        message = ConnectionsOpen(revision=self.revision, connections=connections)
        notify(kernel, "membership", message)

    def report_open_soon(self, kernel: Kernel) -> None:
        """Report once for all connections that change at the same moment."""
        if not self.report_due:
            self.report_due = True
            asyncio.get_running_loop().call_soon(self.report_open, kernel)

    def ceiling_of(self, server: BackendServer) -> int:
        """Return the ceiling in force for a server."""
        assumed = max(1, server.connection_limit // INSTANCES_ASSUMED)
        return self.ceilings.get(server.name, assumed)

    def set_configuration(self, kernel: Kernel, configuration: Configuration) -> None:
        """Follow the configuration: add, keep and remove backend servers."""
        servers: dict[str, BackendServer] = {}
        services: dict[str, list[str]] = {}
        for service in configuration.services.values():
            for server in service.backend_servers:
                servers[server.name] = server
                services.setdefault(server.name, []).append(service.name)
        for name, target in list(self.targets.items()):
            server_now = servers.get(name)
            if server_now is None or server_now.address != target.server.address:
                self.remove_target(name)
        for name, server in servers.items():
            self.set_target(kernel, server, tuple(services[name]))

    def set_target(self, kernel: Kernel, server: BackendServer, services: tuple[str, ...]) -> None:
        """Add a backend server or update one whose connections are kept."""
        known = self.targets.get(server.name)
        if known is not None:
            known.server, known.services = server, services
            known.pool.set_ceiling(self.ceiling_of(server))
            return
        pool = ConnectionPool(
            connect=partial(Connection, address=server.address),
            ceiling=self.ceiling_of(server),
            on_change=lambda: self.report_open_soon(kernel),
        )

        def deliver(result: ProbeResult) -> None:
            self.deliver_probe(kernel, server.name, result)

        probe = self.tasks.create_task(
            probe_forever(server=server.name, pool=pool, random=self.random, deliver=deliver)
        )
        self.targets[server.name] = Target(server=server, services=services, pool=pool, probe=probe)

    def remove_target(self, name: str) -> None:
        """Drop a backend server; calls that run on it may end."""
        target = self.targets.pop(name)
        target.probe.cancel()
        self.metrics.connections_open.remove(name)
        target.pool.retire()
        self.retired = [entry for entry in self.retired if entry[1].open_count]
        self.retired.append((name, target.pool))

    def deliver_probe(self, kernel: Kernel, server: str, result: ProbeResult) -> None:
        """Report a probe's result to each service that uses the server; log changes only."""
        target = self.targets.get(server)
        if target is None:
            return
        self.metrics.connections_open.labels(server).set(target.pool.open_count)
        seen = _seen(result)
        changed, target.seen = seen != target.seen, seen
        match result:
            case Ok(report):
                if changed:
                    log.info("{} is {}.", server, seen)
                for service in target.services:
                    notify(kernel, "query", StatusSeen(service=service, report=report))
                    notify(kernel, "membership", StatusSeen(service=service, report=report))
            case Err(failed):
                self.metrics.probes_missed.labels(server).inc()
                if changed:
                    log.warning("{} gives no status: {}.", server, failed.failure.detail)
                unreachable = failed.failure.reason is LeafFailureReason.CONNECT_FAILED
                for service in target.services:
                    missing = StatusMissing(service=service, server=server, unreachable=unreachable)
                    notify(kernel, "query", missing)

    def cancel_tasks(self) -> None:
        """Cancel all probes and calls; each closes its connection."""
        for name in list(self.targets):
            self.remove_target(name)
        for task in self.calls.values():
            task.cancel()

    async def close_connections(self) -> None:
        """Wait until the connections are closed, but not for a server that does not respond."""
        closing = [task for _, pool in self.retired for task in pool.closing]
        if closing:
            await asyncio.wait(closing, timeout=CLOSE_TIMEOUT_S)


def _seen(result: ProbeResult) -> str:
    """Name what a probe saw, as far as a change of it is worth a log line."""
    return result.ok_value.state if isinstance(result, Ok) else "unreachable"
