"""One run: one variant of one service in one scenario with one seed."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from random import Random
from zlib import crc32

from azurefield_testkit.bench.entry import EntryInstance, RequestResult
from azurefield_testkit.bench.loop import VirtualLoop
from azurefield_testkit.bench.measures import RunMeasures, measure
from azurefield_testkit.bench.scenario import (
    Arrival,
    RunTimes,
    ScenarioName,
    Slowdown,
    draw_arrivals,
    draw_slowdowns,
)
from azurefield_testkit.bench.servers import ConnectionPool, FakeServer
from azurefield_testkit.bench.sizes import INSTANCES, REPLICAS, ServiceSize
from azurefield_testkit.bench.variants import Variant, policies

HEARTBEAT_S = 1.0
ZONES = 3
LOST_ZONE = 2
# Time until the balancer stops sending requests to instances that are down.
BALANCER_DETECTION_S = 1.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Run:
    """The parameters of one run."""

    variant: Variant
    scenario: ScenarioName
    size: ServiceSize
    seed: int
    times: RunTimes

    def random(self, purpose: str) -> Random:
        """Return a generator whose seed does not depend on the variant.

        All variants therefore get the same requests and faults.
        """
        text = f"{purpose}/{self.size.name}/{self.scenario}/{self.seed}"
        return Random(crc32(text.encode()))


@dataclass(slots=True, kw_only=True)
class SimulatedTier:
    """The instances and backend servers of one run."""

    run: Run
    loop: VirtualLoop
    servers: dict[str, FakeServer]
    instances: list[EntryInstance]
    results: list[RequestResult]

    def schedule_slowdown(self, slowdown: Slowdown) -> None:
        """Schedule the start and the end of a slowdown.

        An episode ends just before the next one starts, so that a server that is drawn again stays
        slow.
        """
        server = self.servers[f"leaf-{slowdown.leaf}.{slowdown.replica}"]

        def set_factor(factor: float) -> None:
            server.factor = factor

        self.loop.at(slowdown.start, lambda: set_factor(slowdown.factor))
        if slowdown.end < self.run.times.fault_until:
            self.loop.at(slowdown.end - 1e-6, lambda: set_factor(1.0))
        else:
            self.loop.at(slowdown.end, lambda: set_factor(1.0))

    def fail_zone(self) -> None:
        """Stop all servers and instances of one availability zone.

        The servers no longer answer, and requests sent to the instances fail.
        """
        for server in self.servers.values():
            server.silent = server.silent or server.zone == LOST_ZONE
        for instance in self.instances:
            instance.alive = instance.alive and instance.zone != LOST_ZONE

    def deliver(self, arrival: Arrival) -> None:
        """Send a request to its instance, or to another one once the balancer detects a failure."""
        instance = self.instances[arrival.instance]
        detected_at = self.run.times.fault_from + BALANCER_DETECTION_S
        if not instance.alive and self.loop.now >= detected_at:
            alive = [other for other in self.instances if other.alive]
            instance = alive[arrival.instance % len(alive)]
        instance.on_arrival(arrival)

    def exchange_member_use(self) -> None:
        """Let all instances exchange the members' use, once per heartbeat interval."""
        for instance in self.instances:
            if instance.alive:
                instance.exchange_member_use()
        self.loop.after(HEARTBEAT_S, self.exchange_member_use)


def build_tier(run: Run) -> SimulatedTier:
    """Create the instances and servers of one run."""
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
    results: list[RequestResult] = []
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
            record=results.append,
        )
        for index in range(INSTANCES)
    ]
    for instance in instances:
        instance.peers = [other for other in instances if other is not instance]
        for server in servers.values():
            server.crash_listeners.append(instance.on_server_crash)
    return SimulatedTier(run=run, loop=loop, servers=servers, instances=instances, results=results)


def execute(run: Run) -> RunMeasures:
    """Execute one run and return its measures."""
    tier = build_tier(run)
    loop = tier.loop
    for slowdown in draw_slowdowns(run.scenario, run.size, run.times, run.random("slow")):
        tier.schedule_slowdown(slowdown)
    if run.scenario is ScenarioName.ZONE_LOST:
        loop.at(run.times.fault_from, tier.fail_zone)
    tier.exchange_member_use()
    arrivals = draw_arrivals(run.scenario, run.size, run.times, run.random("arrivals"))
    for arrival in arrivals:
        loop.at(arrival.at, partial(tier.deliver, arrival))
    loop.run(run.times.end + 2.0)
    crashes = sum(server.crash_count for server in tier.servers.values())
    return measure(run.scenario, run.size, run.times, arrivals, tier.results, crashes)
