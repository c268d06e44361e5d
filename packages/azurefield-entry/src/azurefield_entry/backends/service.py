"""The internal service ``backends``: owns all connections to backend servers."""

from __future__ import annotations

import asyncio
from functools import partial
from random import Random
from typing import TYPE_CHECKING

from logbook import Logger
from msgspec import Struct, field
from result import Err, Ok

from azurefield.failures import LeafFailure, LeafFailureReason
from azurefield.model import BackendServer, Outcome
from azurefield_entry.backends.calls import call_leaf
from azurefield_entry.backends.connection import Connection
from azurefield_entry.backends.pool import ConnectionPool
from azurefield_entry.backends.probes import run_probes
from azurefield_entry.kernel import Stop
from azurefield_entry.messages import (
    CallLeaf,
    CancelCall,
    CeilingsChanged,
    ConfigurationChanged,
    ConnectionsOpen,
    LeafCallEnded,
    StatusProbeMissed,
    StatusReceived,
)
from azurefield_entry.metrics import Metrics
from azurefield_entry.notify import notify

if TYPE_CHECKING:

    from azurefield.model import Configuration
    from azurefield_entry.backends.probes import ProbeResult
    from azurefield_entry.kernel import Kernel, Mailbox

# Divides a server's connection limit until a ceiling is known. The largest fleet today has eight
# instances; one more may be joining.
INSTANCES_ASSUMED = 9
CLOSE_TIMEOUT_S = 2.0
log = Logger("backends")


class Target(Struct, kw_only=True):
    """A backend server of the configuration with its connection pool and its probe task.

    ``probe_state`` is the result of the last probe, None before the first one.
    """

    server: BackendServer
    services: tuple[str, ...]
    pool: ConnectionPool[Connection]
    probe: asyncio.Task[None]
    probe_state: str | None = None


class BackendsService(Struct, kw_only=True):
    """Makes leaf calls and status probes, each in a task of its own."""

    metrics: Metrics
    random: Random
    targets: dict[str, Target] = field(default_factory=dict)
    ceilings: dict[str, int] = field(default_factory=dict)
    calls: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    retired: list[tuple[str, ConnectionPool[Connection]]] = field(default_factory=list)
    revision: int = 0
    report_scheduled: bool = False
    tasks: asyncio.TaskGroup = field(default_factory=asyncio.TaskGroup)

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Handle messages until ``Stop``; an unexpected error in a call ends the service."""
        async with self.tasks:
            await self.handle_messages(kernel, mailbox)
        await self.close_connections()

    async def handle_messages(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Handle messages until ``Stop``, then cancel the running calls and probes."""
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
                    self.report_open_connections(kernel)
                case ConfigurationChanged(configuration=configuration):
                    self.set_configuration(kernel, configuration)
                case Stop():
                    self.cancel_tasks()
                    return

    def start_call(self, kernel: Kernel, call: CallLeaf) -> None:
        """Start a leaf call; it fails at once if the server is not in the configuration."""
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
        """Apply ceilings and keep those of servers that the configuration doesn't name yet."""
        self.ceilings.update(ceilings)
        for name, target in self.targets.items():
            target.pool.set_ceiling(self.ceiling_of(target.server))
            self.metrics.connections_open.labels(name).set(target.pool.open_count)

    def report_open_connections(self, kernel: Kernel) -> None:
        """Report the open connections to ``membership``, including those of retired pools."""
        self.report_scheduled = False
        connections = {name: target.pool.open_count for name, target in self.targets.items()}
        for name, pool in self.retired:
            connections[name] = connections.get(name, 0) + pool.open_count
        message = ConnectionsOpen(revision=self.revision, connections=connections)
        notify(kernel, "membership", message)

    def schedule_report(self, kernel: Kernel) -> None:
        """Report the open connections once for all changes in one pass of the event loop."""
        if not self.report_scheduled:
            self.report_scheduled = True
            asyncio.get_running_loop().call_soon(self.report_open_connections, kernel)

    def ceiling_of(self, server: BackendServer) -> int:
        """Return the ceiling in force for a server."""
        assumed = max(1, server.connection_limit // INSTANCES_ASSUMED)
        return self.ceilings.get(server.name, assumed)

    def set_configuration(self, kernel: Kernel, configuration: Configuration) -> None:
        """Apply a new configuration: add, update and remove backend servers."""
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
            on_change=lambda: self.schedule_report(kernel),
        )

        def on_result(result: ProbeResult) -> None:
            self.report_probe_result(kernel, server.name, result)

        probe = self.tasks.create_task(
            run_probes(server=server.name, pool=pool, random=self.random, on_result=on_result)
        )
        self.targets[server.name] = Target(server=server, services=services, pool=pool, probe=probe)

    def remove_target(self, name: str) -> None:
        """Remove a backend server; calls that are running on it may finish."""
        target = self.targets.pop(name)
        target.probe.cancel()
        self.metrics.connections_open.remove(name)
        target.pool.retire()
        self.retired = [entry for entry in self.retired if entry[1].open_count]
        self.retired.append((name, target.pool))

    def report_probe_result(self, kernel: Kernel, server: str, result: ProbeResult) -> None:
        """Report a probe's result for each service that uses the server; log only changes."""
        target = self.targets.get(server)
        if target is None:
            return
        self.metrics.connections_open.labels(server).set(target.pool.open_count)
        probe_state = _probe_state(result)
        changed, target.probe_state = probe_state != target.probe_state, probe_state
        match result:
            case Ok(report):
                if changed:
                    log.info(
                        "Status probe of backend server {} succeeded; it reports state {}.",
                        server,
                        probe_state,
                    )
                for service in target.services:
                    notify(kernel, "query", StatusReceived(service=service, report=report))
                    notify(kernel, "membership", StatusReceived(service=service, report=report))
            case Err(failed):
                self.metrics.probes_missed.labels(server).inc()
                if changed:
                    log.warning(
                        "Status probe of backend server {} failed: {}; probing continues.",
                        server,
                        failed.failure.detail,
                    )
                unreachable = failed.failure.reason is LeafFailureReason.CONNECT_FAILED
                for service in target.services:
                    missing = StatusProbeMissed(
                        service=service, server=server, unreachable=unreachable
                    )
                    notify(kernel, "query", missing)

    def cancel_tasks(self) -> None:
        """Cancel all probes and calls, which close their connections."""
        for name in list(self.targets):
            self.remove_target(name)
        for task in self.calls.values():
            task.cancel()

    async def close_connections(self) -> None:
        """Wait until the connections are closed, but not long for servers that don't respond."""
        closing = [task for _, pool in self.retired for task in pool.closing]
        if closing:
            await asyncio.wait(closing, timeout=CLOSE_TIMEOUT_S)


def _probe_state(result: ProbeResult) -> str:
    """Return the part of a probe's result whose changes are logged."""
    return result.ok_value.state if isinstance(result, Ok) else "unreachable"
