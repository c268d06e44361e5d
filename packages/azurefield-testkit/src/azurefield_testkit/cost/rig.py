"""Test rig: entry processes, backend servers, and a platform stand-in.

The configuration is written directly into the store of the platform.
"""

from __future__ import annotations

import asyncio
import uuid
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from azurefield.configuration import (
    HEAD_KEY,
    ChangeRecord,
    digest_of,
    document_key,
    encode,
    record_key,
)
from azurefield.model import BackendServer, KindPolicy, MemberShare, RequestKind, ServiceConfig
from azurefield_testkit.cost.accounting import Usage, read_usage
from azurefield_testkit.cost.servers import ServerPlan
from azurefield_testkit.fleet import ZONES
from azurefield_testkit.platform import Platform
from azurefield_testkit.processes import EntryInstance, Processes
from azurefield_testkit.stand_in import LOOPBACK
from azurefield_testkit.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from aiohttp import web

MEMBER = "porto"
CONNECTION_LIMIT = 60
# Long enough that measured requests meet their deadline also on a busy machine.
DEADLINE_MS = 8_000


class CountingPlatform(Platform):
    """The platform stand-in, in this process; it also counts reads of the instance list."""

    list_count: int = 0

    async def on_instances(self, request: web.Request) -> web.Response:
        """Count a read of the instance list and answer it."""
        self.list_count += 1
        return await Platform.on_instances(self, request)

    def call_counts(self) -> dict[str, int]:
        """Return the number of calls so far, by kind."""
        counts = self.counts
        return {
            "reads": counts.reads,
            "watches": counts.watches,
            "writes": counts.writes,
            "lists": self.list_count,
        }


@dataclass(slots=True, kw_only=True)
class Rig:
    """The processes of one run; ``servers`` holds the backend servers of each service."""

    processes: Processes
    platform: CountingPlatform
    servers: dict[str, list[BackendServer]] = field(default_factory=dict)
    version: int = 0
    previous: str | None = None

    async def start_servers(self, services: dict[str, tuple[str, ...]]) -> None:
        """Start one process that runs a backend server for each leaf listed under a service.

        A leaf that is listed several times gets several servers.
        """
        plans = []
        for service, leafs in services.items():
            self.servers[service] = []
            for number, leaf in enumerate(leafs):
                name, port = f"{service}-{number}", self.processes.free_port()
                plan = ServerPlan(
                    name=name,
                    service=service,
                    leaf=leaf,
                    map_leafs=tuple(dict.fromkeys(leafs)),
                    port=port,
                )
                plans.append(plan)
                self.servers[service].append(backend_server_config(name, port, number))
        path = self.processes.directory / "servers.json"
        path.write_bytes(msgspec.json.encode(plans))
        await self.processes.start_stand_in("servers", "cost.servers", "--plans", str(path))

    async def start_entries(self, names: list[str]) -> None:
        """Start entry instances; they become ready once a configuration is published."""
        for number, name in enumerate(names):
            await self.processes.start_entry(
                name, ZONES[number % len(ZONES)], drain_notice_s=0.0, log_level="warning"
            )

    async def stop_entry(self, name: str) -> None:
        """Stop an entry instance and remove it from the instance list."""
        await self.processes.stop(name)
        await self.processes.deregister(name)
        del self.processes.entries[name]

    async def publish(self, services: dict[str, int]) -> None:
        """Publish a configuration with this many servers per service; wait until it is adopted."""
        self.write_configuration(services)
        await self.platform.notify()
        await wait_until(self.all_adopted, f"version {self.version} is in force", step_s=0.005)

    def write_configuration(self, services: dict[str, int]) -> None:
        """Write the documents, the change record and the head, as an accepted change does."""
        self.version += 1
        texts = {
            name: encode(service_config(name, self.servers[name][:count], self.version))
            for name, count in services.items()
        }
        record = ChangeRecord(
            change_id=uuid.uuid4().hex,
            operator="cost",
            at="2026-01-01T00:00:00Z",
            version=self.version,
            previous_change_id=self.previous,
            services={name: digest_of(text) for name, text in texts.items()},
        )
        self.previous = record.change_id
        store = self.platform.store
        for text in texts.values():
            store.put(document_key(digest_of(text)), text)
        store.put(record_key(record.change_id), encode(record))
        store.put(HEAD_KEY, encode(record.head))

    async def all_adopted(self) -> bool:
        """Return whether all entry instances use the last version."""
        for entry in self.processes.entries.values():
            status = await self.processes.get_json(entry.admin_address, "/v1/status")
            if status is None or status["configuration"]["version"] != self.version:
                return False
        return True

    def usage(self, entry: EntryInstance) -> Usage:
        """Read the resource usage of an entry process."""
        return read_usage(self.processes.processes[entry.name].process.pid)

    async def measure_idle_usage(self, entry: EntryInstance, duration_s: float) -> Usage:
        """Measure the usage of an entry process that receives no requests."""
        before = self.usage(entry)
        await asyncio.sleep(duration_s)
        return self.usage(entry).since(before)


def backend_server_config(name: str, port: int, number: int) -> BackendServer:
    """Build the configuration entry of a backend server."""
    return BackendServer(
        name=name,
        address=f"{LOOPBACK}:{port}",
        availability_zone=ZONES[number % len(ZONES)],
        connection_limit=CONNECTION_LIMIT,
        slots=16,
        connect_cost_ms=1.0,
    )


def service_config(name: str, servers: list[BackendServer], version: int) -> ServiceConfig:
    """Build the document of a service; each version gives a different document."""
    kinds = tuple(
        KindPolicy(
            kind=kind,
            deadline_ms=DEADLINE_MS,
            max_deadline_ms=DEADLINE_MS + version,
            priority=1,
        )
        for kind in RequestKind
    )
    return ServiceConfig(
        name=name,
        backend_servers=tuple(servers),
        members=(MemberShare(member=MEMBER, weight=1.0),),
        kinds=kinds,
    )


@asynccontextmanager
async def running_rig(services: dict[str, tuple[str, ...]]) -> AsyncIterator[Rig]:
    """Start the platform and the backend servers; stop all processes at the end."""
    platform = CountingPlatform()
    async with Processes() as processes:
        processes.platform_address = await platform.start()
        try:
            rig = Rig(processes=processes, platform=platform)
            await rig.start_servers(services)
            yield rig
        finally:
            platform.listener.abort_all()
    await platform.stop()
