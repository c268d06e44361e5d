"""Measurements of real entry processes on the loopback interface."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from aiohttp import ClientSession, TCPConnector

from azurefield_testkit.cost.rig import MEMBER, Rig, running_rig
from azurefield_testkit.cost.series import Series

if TYPE_CHECKING:
    from collections.abc import Callable

    from azurefield_testkit.cost.accounting import Usage
    from azurefield_testkit.processes import EntryInstance

MEBIBYTE = 1 << 20
CONCURRENT_CALLERS = 4
# A new instance may use its connection shares only after JOIN_WAIT_S and a heartbeat.
INSTANCE_SETTLE_S = 5.0
CHANGE_SETTLE_S = 1.5
CHANGES_PER_MEASUREMENT = 5
CHANGE_SPACING_S = 0.25
OUTAGE_S = 3.0
COUNTING_PERIOD_S = 4.0


class MeasurementError(Exception):
    """A measured operation failed, so its cost would be meaningless."""


@dataclass(slots=True, kw_only=True, frozen=True)
class LiveSizes:
    """Sizes and repetitions of the measurements with real processes."""

    leafs: tuple[int, ...] = (3, 8, 24)
    servers: tuple[int, ...] = (8, 32, 96)
    instances: tuple[int, ...] = (2, 4, 8)
    requests: int = 120
    repetitions: int = 3
    idle_s: float = 2.0


@dataclass(slots=True, kw_only=True)
class Measurements:
    """All series of one measurement run, by name."""

    series: dict[str, Series] = field(default_factory=dict)

    def add(self, name: str, unit: str, per: str, size: float, value: float) -> None:
        """Add one value to a series, which is created if needed."""
        self.series.setdefault(name, Series(name=name, unit=unit, per=per)).add(size, value)

    def add_idle(self, per: str, size: float, used: Usage) -> None:
        """Add the usage of an idle process."""
        name = f"idle by {per}"
        self.add(f"{name}: processor time", "ms/s", per, size, 1000 * used.cpu_s / used.at_s)
        self.add(f"{name}: bytes written", "B/s", per, size, used.bytes_written / used.at_s)
        self.add(f"{name}: bytes read", "B/s", per, size, used.bytes_read / used.at_s)


async def measure_requests(rig: Rig, measurements: Measurements, sizes: LiveSizes) -> None:
    """Measure the processor time of listings by the number of leafs, less that of idling."""
    entry = next(iter(rig.processes.entries.values()))
    services = {f"fan{leafs}": leafs for leafs in sizes.leafs}
    await rig.publish(services)
    await rig.processes.wait_ready([entry])
    await asyncio.sleep(INSTANCE_SETTLE_S)
    idle = await rig.measure_idle_usage(entry, sizes.idle_s)
    async with ClientSession(connector=TCPConnector(limit=CONCURRENT_CALLERS)) as session:
        for service in services:
            await send_listings(session, entry, service, sizes.requests // 2)
        for _ in range(sizes.repetitions):
            for service, leafs in services.items():
                before = rig.usage(entry)
                await send_listings(session, entry, service, sizes.requests)
                used = rig.usage(entry).since(before)
                net_cpu_s = used.cpu_s - used.at_s * idle.cpu_s / idle.at_s
                measurements.add(
                    "processor time of a listing",
                    "ms",
                    "leaf call",
                    leafs,
                    1000 * net_cpu_s / sizes.requests,
                )


async def send_listings(
    session: ClientSession, entry: EntryInstance, service: str, count: int
) -> None:
    """Send listings from concurrent callers on persistent connections."""
    url = f"http://{entry.address}/v1/services/{service}/listing"
    numbers = iter(range(count))

    async def send_remaining() -> None:
        for _ in numbers:
            async with session.post(
                url, json={"query": {}, "limit": 10}, headers={"Azurefield-Member": MEMBER}
            ) as answer:
                text = await answer.text()
                if answer.status != 200:
                    raise MeasurementError(
                        f"listing of {service} failed with status {answer.status}: {text}"
                    )

    await asyncio.gather(*(send_remaining() for _ in range(CONCURRENT_CALLERS)))


async def measure_idle(
    rig: Rig,
    measurements: Measurements,
    sizes: LiveSizes,
    *,
    per: str,
    services: Callable[[int], dict[str, int]],
) -> None:
    """Measure the idle cost and memory of a new process while its configuration grows."""
    await rig.start_entries([f"idle-{per.replace(' ', '-')}"])
    entry = next(iter(rig.processes.entries.values()))
    for count in sizes.servers:
        await rig.publish(services(count))
        await rig.processes.wait_ready([entry])
        await asyncio.sleep(INSTANCE_SETTLE_S if count == sizes.servers[0] else CHANGE_SETTLE_S)
        for _ in range(sizes.repetitions):
            measurements.add_idle(per, count, await rig.measure_idle_usage(entry, sizes.idle_s))
            resident = rig.usage(entry).resident_bytes / MEBIBYTE
            measurements.add(f"idle by {per}: resident memory", "MiB", per, count, resident)
    await measure_changes(rig, measurements, sizes, per=per, services=services)
    await rig.stop_entry(entry.name)


async def measure_changes(
    rig: Rig,
    measurements: Measurements,
    sizes: LiveSizes,
    *,
    per: str,
    services: Callable[[int], dict[str, int]],
) -> None:
    """Measure the cost of adopting changes of every document, and the store reads per change."""
    entry = next(iter(rig.processes.entries.values()))
    for count in sizes.servers:
        await rig.publish(services(count))
        await asyncio.sleep(CHANGE_SETTLE_S)
        idle = await rig.measure_idle_usage(entry, sizes.idle_s)
        for _ in range(sizes.repetitions):
            calls_before = rig.platform.call_counts()
            before = rig.usage(entry)
            for _ in range(CHANGES_PER_MEASUREMENT):
                rig.write_configuration(services(count))
                await rig.platform.notify()
                await asyncio.sleep(CHANGE_SPACING_S)
            used = rig.usage(entry).since(before)
            after = rig.platform.call_counts()
            net_cpu_s = used.cpu_s - used.at_s * idle.cpu_s / idle.at_s
            net_bytes_read = used.bytes_read - used.at_s * idle.bytes_read / idle.at_s
            name = f"change by {per}"
            measurements.add(
                f"{name}: processor time",
                "ms",
                per,
                count,
                1000 * net_cpu_s / CHANGES_PER_MEASUREMENT,
            )
            measurements.add(
                f"{name}: bytes read", "B", per, count, net_bytes_read / CHANGES_PER_MEASUREMENT
            )
            reads = (after["reads"] - calls_before["reads"]) / CHANGES_PER_MEASUREMENT
            measurements.add(f"{name}: reads of the store", "calls", per, count, reads)
        if not await rig.all_adopted():
            raise MeasurementError(
                "an instance has not adopted the last measured configuration change"
            )


async def measure_instances(rig: Rig, measurements: Measurements, sizes: LiveSizes) -> None:
    """Measure idle cost, memory and platform calls by the number of instances."""
    fewest, *_, most = sizes.servers
    names = [f"mesh-{number}" for number in range(max(sizes.instances))]
    for count in sizes.instances:
        await rig.start_entries(names[len(rig.processes.entries) : count])
        for servers in (fewest, most):
            await rig.publish({"many": servers})
            await rig.processes.wait_ready()
            await asyncio.sleep(INSTANCE_SETTLE_S if servers == fewest else CHANGE_SETTLE_S)
            await measure_idle_mesh(rig, measurements, sizes, instances=count, servers=servers)
        await measure_outage(rig, measurements, sizes)


async def measure_idle_mesh(
    rig: Rig, measurements: Measurements, sizes: LiveSizes, *, instances: int, servers: int
) -> None:
    """Measure the first instance, and the platform calls of all, while all are idle."""
    entry = rig.processes.entries["mesh-0"]
    for _ in range(sizes.repetitions):
        calls_before = rig.platform.call_counts()
        used = await rig.measure_idle_usage(entry, sizes.idle_s)
        measurements.add_idle(f"instance, {servers} servers", instances, used)
        resident = rig.usage(entry).resident_bytes / MEBIBYTE
        name = f"idle by instance, {servers} servers: resident memory"
        measurements.add(name, "MiB", "instance", instances, resident)
        after = rig.platform.call_counts()
        for kind in ("reads", "watches", "lists"):
            rate = (after[kind] - calls_before[kind]) / used.at_s
            name = f"idle {kind} of all instances, {servers} servers"
            measurements.add(name, "calls/s", "instance", instances, rate)


async def measure_outage(rig: Rig, measurements: Measurements, sizes: LiveSizes) -> None:
    """Count the store calls after an outage, and after the store reverts to an older version."""
    instances = len(rig.processes.entries)
    rig.platform.down = True
    await rig.platform.notify()
    await asyncio.sleep(OUTAGE_S)
    rig.platform.down = False
    await count_calls(rig, measurements, "after an outage of 3 s", instances)
    rig.platform.store.save("older")
    await rig.publish({"many": sizes.servers[0]})
    rig.platform.store.restore("older")
    await rig.platform.notify()
    await count_calls(rig, measurements, "after the return to an older version", instances)


async def count_calls(rig: Rig, measurements: Measurements, name: str, instances: int) -> None:
    """Count the reads and writes of all instances for ``COUNTING_PERIOD_S``."""
    before = rig.platform.call_counts()
    await asyncio.sleep(COUNTING_PERIOD_S)
    after = rig.platform.call_counts()
    for kind in ("reads", "writes"):
        count = after[kind] - before[kind]
        measurements.add(f"{kind} of all instances {name}", "calls", "instance", instances, count)


async def measure_live(sizes: LiveSizes) -> list[Series]:
    """Run all measurements with real processes."""
    measurements = Measurements()
    most = max(sizes.servers)
    fan_out_services = {
        f"fan{leafs}": tuple(f"leaf{number}" for number in range(leafs)) for leafs in sizes.leafs
    }
    single_server_services = {f"single{number}": ("leaf",) for number in range(most)}
    async with running_rig(
        {**fan_out_services, **single_server_services, "many": ("leaf",) * most}
    ) as rig:
        await rig.start_entries(["busy"])
        await measure_requests(rig, measurements, sizes)
        await rig.stop_entry("busy")
        await measure_idle(
            rig, measurements, sizes, per="server", services=lambda count: {"many": count}
        )
        await measure_idle(
            rig,
            measurements,
            sizes,
            per="one-server service",
            services=lambda count: {f"single{number}": 1 for number in range(count)},
        )
        await measure_instances(rig, measurements, sizes)
    return list(measurements.series.values())
