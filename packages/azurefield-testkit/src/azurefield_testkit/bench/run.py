"""One run: one variant of one service in one scenario with one seed."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from random import Random
from zlib import crc32

from azurefield_testkit.bench.entry import Ended, EntryInstance
from azurefield_testkit.bench.loop import VirtualLoop
from azurefield_testkit.bench.measures import RunMeasures, measure
from azurefield_testkit.bench.scenario import (
    Arrival,
    Duration,
    ScenarioName,
    Slowdown,
    arrivals,
    slowdowns,
)
from azurefield_testkit.bench.servers import ConnectionPool, FakeServer
from azurefield_testkit.bench.sizes import INSTANCES, REPLICAS, ServiceSize
from azurefield_testkit.bench.variants import Variant, policies

HEARTBEAT_S = 1.0
ZONES = 3
LOST_ZONE = 2
# The balancer notices lost instances after this time.
BALANCER_NOTICE_S = 1.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Run:
    """What one process of the measurement runs."""

    variant: Variant
    scenario: ScenarioName
    size: ServiceSize
    seed: int
    times: Duration

    def random(self, purpose: str) -> Random:
        """Return a source that all variants share, so that they meet the same demand."""
        text = f"{purpose}/{self.size.name}/{self.scenario}/{self.seed}"
        return Random(crc32(text.encode()))


@dataclass(slots=True, kw_only=True)
class Tier:
    """The instances and backend servers of one run."""

    run: Run
    loop: VirtualLoop
    servers: dict[str, FakeServer]
    instances: list[EntryInstance]
    ended: list[Ended]

    def slow(self, slowdown: Slowdown) -> None:
        """Schedule the start and the end of a slow time."""
        server = self.servers[f"leaf-{slowdown.leaf}.{slowdown.replica}"]

        def set_factor(factor: float) -> None:
            server.factor = factor

        self.loop.at(slowdown.start, lambda: set_factor(slowdown.factor))
        if slowdown.end < self.run.times.fault_until:
            self.loop.at(slowdown.end - 1e-6, lambda: set_factor(1.0))
        else:
            self.loop.at(slowdown.end, lambda: set_factor(1.0))

    def lose_zone(self) -> None:
        """Silence the servers and stop the instances of one zone; all their callers fail."""
        for server in self.servers.values():
            server.silent = server.silent or server.zone == LOST_ZONE
        for instance in self.instances:
            instance.alive = instance.alive and instance.zone != LOST_ZONE

    def arrive(self, arrival: Arrival) -> None:
        """Hand a request to its instance, or to another one if the balancer knows it is lost."""
        instance = self.instances[arrival.instance]
        noticed = self.run.times.fault_from + BALANCER_NOTICE_S
        if not instance.alive and self.loop.now >= noticed:
            alive = [other for other in self.instances if other.alive]
            instance = alive[arrival.instance % len(alive)]
        instance.on_arrival(arrival)

    def heartbeat(self) -> None:
        """Exchange the members' use every second."""
        for instance in self.instances:
            if instance.alive:
                instance.heartbeat()
        self.loop.after(HEARTBEAT_S, self.heartbeat)


def build(run: Run) -> Tier:
    """Build the instances and servers of one run."""
    loop, size = VirtualLoop(), run.size
    servers = {
        f"{leaf}.{replica}": FakeServer(
            name=f"{leaf}.{replica}",
            zone=replica % ZONES,
            slots=size.slots,
            connect_s=size.connect_s,
            loop=loop,
            random=run.random(f"service/{leaf}/{replica}"),
        )
        for leaf in size.leaf_names
        for replica in range(REPLICAS)
    }
    ended: list[Ended] = []
    instances = [
        EntryInstance(
            name=f"entry-{index}",
            zone=index % ZONES,
            size=size,
            loop=loop,
            policies=policies(run.variant, size, run.random(f"policy/{index}")),
            pools={
                name: ConnectionPool(server=server, ceiling=size.ceiling, loop=loop)
                for name, server in servers.items()
            },
            record=ended.append,
        )
        for index in range(INSTANCES)
    ]
    for instance in instances:
        instance.peers = [other for other in instances if other is not instance]
        for server in servers.values():
            server.on_death.append(instance.on_server_crash)
    return Tier(run=run, loop=loop, servers=servers, instances=instances, ended=ended)


def execute(run: Run) -> RunMeasures:
    """Execute one run and measure it."""
    tier = build(run)
    loop = tier.loop
    for slowdown in slowdowns(run.scenario, run.size, run.times, run.random("slow")):
        tier.slow(slowdown)
    if run.scenario is ScenarioName.ZONE_LOST:
        loop.at(run.times.fault_from, tier.lose_zone)
    tier.heartbeat()
    drawn = arrivals(run.scenario, run.size, run.times, run.random("arrivals"))
    for arrival in drawn:
        loop.at(arrival.at, partial(tier.arrive, arrival))
    loop.run(run.times.end + 2.0)
    deaths = sum(server.deaths for server in tier.servers.values())
    return measure(run.scenario, run.size, run.times, drawn, tier.ended, deaths)
