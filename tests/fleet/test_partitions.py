"""Gateway processes that are partitioned from all leafs, while callers still reach them."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest

from azurefield_testkit.waiting import wait_until
from links import Cut
from partitions import PartitionedFleet, partitioned_fleet

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from gateway_process import Site

pytestmark = pytest.mark.process

NAMES = ("n1", "n2", "n3")
# The platform counts first tries from this time after the cut on.
CONTACT_S = 4.0
COUNTED_S = 3.0
REQUEST_INTERVAL_S = 0.1
TARGETS = ("/s/x", "/l/x", "/s/y", "/l/y")


async def send_load(site: Site, until: float, first: int = 0) -> Counter[int]:
    """Send requests to one gateway, without waiting for answers; count the statuses."""
    clock = asyncio.get_running_loop().time
    tasks: list[asyncio.Task[tuple[int, object, bytes]]] = []
    while clock() < until:
        number = first + len(tasks)
        target = TARGETS[number % len(TARGETS)]
        tasks.append(asyncio.create_task(site.call(target, f"{site.name}-{number}")))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    return Counter(status for status, _, _ in await asyncio.gather(*tasks))


async def play(fleet: PartitionedFleet, cut: tuple[str, ...], how: Cut) -> dict[str, Counter[int]]:
    """Cut some gateways off; return the statuses that count, by gateway."""
    clock = asyncio.get_running_loop().time
    for site in fleet.sites.values():
        await send_load(site, clock() + 0.5, first=1_000)
    for name in cut:
        fleet.links[name].cut(how)
    before = [send_load(s, clock() + CONTACT_S, first=2_000) for s in fleet.sites.values()]
    await asyncio.gather(*before)
    counted = [send_load(s, clock() + COUNTED_S, first=3_000) for s in fleet.sites.values()]
    return dict(zip(fleet.sites, await asyncio.gather(*counted), strict=True))


@pytest.mark.parametrize("how", [*Cut])
@pytest.mark.parametrize("cut", [("n1",), ("n1", "n2")], ids=["one", "most"])
async def test_callers_of_a_partitioned_instance_are_served(
    tmp_path: Path, cut: tuple[str, ...], how: Cut
) -> None:
    """Guards against an instance that takes requests and can reach no server for them."""
    async with partitioned_fleet(tmp_path, NAMES) as fleet:
        for name, statuses in (await play(fleet, cut, how)).items():
            assert statuses[200] >= 0.98 * statuses.total(), f"{name}: {statuses}"


@asynccontextmanager
async def late_again_and_again(
    site: Site, suspended_s: float, interval_s: float
) -> AsyncIterator[None]:
    """Suspend a gateway for a time within each interval, until the context ends."""
    process = site.process
    assert process is not None

    async def suspend() -> None:
        try:
            while True:
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(suspended_s)
                process.send_signal(signal.SIGCONT)
                await asyncio.sleep(interval_s - suspended_s)
        finally:
            process.send_signal(signal.SIGCONT)

    task = asyncio.create_task(suspend())
    try:
        yield
    finally:
        task.cancel()
        await asyncio.wait([task])


@pytest.mark.parametrize(("suspended_s", "interval_s"), [(0.2, 0.6), (0.3, 0.5)])
async def test_callers_are_served_while_the_only_instance_with_servers_is_late(
    tmp_path: Path, suspended_s: float, interval_s: float
) -> None:
    """Guards against requests that are given up although the late instance would serve them."""
    async with (
        partitioned_fleet(tmp_path, NAMES) as fleet,
        late_again_and_again(fleet.sites["n3"], suspended_s, interval_s),
    ):
        for name, statuses in (await play(fleet, ("n1", "n2"), Cut.RESET)).items():
            assert statuses[200] >= 0.98 * statuses.total(), f"{name}: {statuses}"


async def test_a_fleet_that_is_partitioned_as_a_whole_rejects_at_once_and_recovers(
    tmp_path: Path,
) -> None:
    """Guards against requests that wait until their deadline, or are passed on in circles."""
    async with partitioned_fleet(tmp_path, NAMES) as fleet:
        for name, statuses in (await play(fleet, NAMES, Cut.RESET)).items():
            assert set(statuses) == {503}, f"{name}: {statuses}"
        for links in fleet.links.values():
            await links.heal()

        async def served() -> bool:
            calls = [
                site.call(target, "after") for site in fleet.sites.values() for target in TARGETS
            ]
            return all(status == 200 for status, _, _ in await asyncio.gather(*calls))

        await wait_until(served, "all instances serve again")


async def test_a_service_that_is_down_as_a_whole_is_no_partition(tmp_path: Path) -> None:
    """Guards against an instance that passes its requests on because one service is down."""
    async with partitioned_fleet(tmp_path, NAMES) as fleet:
        site = fleet.sites["n1"]
        for links in fleet.links.values():
            for proxy in [*links.proxies.values()][:4]:
                proxy.stop_listening()
                proxy.reset_all()
        for number in range(20):
            assert (await site.call("/s/x", f"single{number}"))[0] == 200
            assert (await site.call("/l/x", f"listing{number}"))[0] != 200
        assert await site.metric("azurefield_gateway_partitioned") == 0.0
