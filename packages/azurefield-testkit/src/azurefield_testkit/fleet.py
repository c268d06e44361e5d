"""The backend servers of all services in a demo or a fault test."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from azurefield.model import BackendServer, ShardMap, even_shard_map
from azurefield_testkit.history import History, ServiceRecords
from azurefield_testkit.processes import Processes
from azurefield_testkit.records import Dataset

if TYPE_CHECKING:
    from collections.abc import Iterator

ZONES = ("zone-a", "zone-b", "zone-c")

# A server accepts this many connections more than its configured limit, so that the connections
# of the harness take none from the instances.
HARNESS_CONNECTIONS = 4


@dataclass(slots=True, kw_only=True, frozen=True)
class ServicePlan:
    """Size and limits of one service; every backend server holds one leaf.

    ``replicas`` is the number of backend servers for each leaf.
    """

    name: str
    leafs: tuple[str, ...]
    replicas: int
    slots: int = 4
    connection_limit: int = 60
    connect_cost_ms: float = 1.0
    service_ms: float = 2.0
    spread_ms: float = 2.0
    record_count: int = 200
    seed: int = 1

    @property
    def shard_map(self) -> ShardMap:
        """The shard map that all servers start with."""
        return even_shard_map(version=1, leafs=self.leafs)

    @property
    def dataset(self) -> Dataset:
        """The records of the service."""
        return Dataset(service=self.name, seed=self.seed, count=self.record_count)

    def server_names(self) -> Iterator[tuple[str, str, str]]:
        """List server name, leaf and availability zone of each backend server."""
        for leaf in self.leafs:
            for number in range(self.replicas):
                yield f"{self.name}-{leaf}-{number}", leaf, ZONES[number % len(ZONES)]


@dataclass(slots=True, kw_only=True)
class Fleet:
    """The running backend servers of all services; ``arguments`` are those of their processes."""

    processes: Processes
    plans: tuple[ServicePlan, ...]
    servers: dict[str, tuple[BackendServer, ...]] = field(default_factory=dict)
    leaf_of_server: dict[str, str] = field(default_factory=dict)
    arguments: dict[str, tuple[str, ...]] = field(default_factory=dict)

    async def start(self) -> None:
        """Start all servers at the same time."""
        started: dict[str, list[asyncio.Task[BackendServer]]] = {}
        async with asyncio.TaskGroup() as group:
            for plan in self.plans:
                started[plan.name] = [
                    group.create_task(self.start_server(plan, *names))
                    for names in plan.server_names()
                ]
        for service, tasks in started.items():
            self.servers[service] = tuple(task.result() for task in tasks)

    async def start_server(
        self, plan: ServicePlan, name: str, leaf: str, zone: str
    ) -> BackendServer:
        """Start one server on a fixed port, which a restart uses again."""
        options = {
            "name": name,
            "service": plan.name,
            "map-leafs": ",".join(plan.leafs),
            "leafs": leaf,
            "port": self.processes.free_port(),
            "record-count": plan.record_count,
            "seed": plan.seed,
            "slots": plan.slots,
            "connection-limit": plan.connection_limit + HARNESS_CONNECTIONS,
            "connect-cost-ms": plan.connect_cost_ms,
            "service-ms": plan.service_ms,
            "spread-ms": plan.spread_ms,
            "journal": self.processes.directory / f"{name}.journal",
        }
        self.arguments[name] = tuple(
            text for option, value in options.items() for text in (f"--{option}", str(value))
        )
        self.leaf_of_server[name] = leaf
        address = await self.restart(name)
        return BackendServer(
            name=name,
            address=address,
            availability_zone=zone,
            connection_limit=plan.connection_limit,
            slots=plan.slots,
            connect_cost_ms=plan.connect_cost_ms,
        )

    async def restart(self, name: str) -> str:
        """Start a server, for the first time or after it has ended; returns its address."""
        return await self.processes.start_stand_in(name, "backend_server", *self.arguments[name])

    async def control(self, name: str, **fields: Any) -> None:
        """Send a control request to one server."""
        await self.processes.post(self.processes.processes[name].address, **fields)

    async def control_leaf(self, service: str, leaf: str, **fields: Any) -> None:
        """Send a control request to all servers of a leaf."""
        for server in self.servers[service]:
            if self.leaf_of_server[server.name] == leaf:
                await self.control(server.name, **fields)

    async def refused_connections(self) -> dict[str, int]:
        """Count the refused connections of each server since its last start, without zeros."""
        refused = {}
        for server in (server for servers in self.servers.values() for server in servers):
            journal = await self.processes.get_json(server.address, "/journal")
            if journal is not None and journal["connections"]["refused"]:
                refused[server.name] = journal["connections"]["refused"]
        return refused

    def new_history(self) -> History:
        """Create an empty history with the records and shard maps of the services."""
        return History(
            services={
                plan.name: ServiceRecords(dataset=plan.dataset, maps={1: plan.shard_map})
                for plan in self.plans
            }
        )
