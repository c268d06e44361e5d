"""The quota of a workspace over several gateway processes, some of them killed or suspended."""

from __future__ import annotations

import asyncio
import re
import signal
import socket
from functools import partial
from itertools import count
from typing import TYPE_CHECKING

import pytest

from azurefield_fleet.settings import COORDINATOR_PORT_INDEX
from azurefield_testkit.waiting import wait_until
from gateway_process import Site, serving_fleet
from standins import config, route

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

pytestmark = pytest.mark.process

KEY = "Kx7qPz2mWv9tRb4n"
NAMES = ("n1", "n2", "n3")
RATE_PER_S = 6.0
BURST = 9.0
# The window in which requests are counted unless the settings name another one, with no overage.
WINDOW_S = 5.0
ALLOWED = RATE_PER_S * WINDOW_S + BURST
LOAD_S = 2 * WINDOW_S
PAUSE_S = 0.05
ISSUER_SLOTS = 12
# Only a request that no issuer has answered within 0.3 of the route's goal of 200 ms may get 503.
WAIT_MS = 60
# In this time the buckets get tokens.
FILL_S = 1.0
# Longer than a planned stop.
LONG_MS = 20_000


async def put_quota(site: Site, **further: object) -> None:
    """Write a configuration with one workspace that has a quota.

    :param further: further fields of its route
    """
    single = route("single", "/s/", service="desk", **further)
    entry = config(2, single, services=("desk",))
    tenant = {"name": "w", "api_keys": [KEY], "rate_per_s": RATE_PER_S, "burst": BURST}
    site.store.put("op/config", entry | {"tenants": [tenant]})


async def wait_for_issuers(sites: dict[str, Site]) -> None:
    """Wait until each issuer slot is held and each instance knows all holders."""

    async def held() -> bool:
        metrics = [await site.metric("azurefield_gateway_issuer_slots") for site in sites.values()]
        return sum(metric or 0 for metric in metrics) == ISSUER_SLOTS

    async def known() -> bool:
        name = "azurefield_gateway_known_issuer_slots"
        metrics = [await site.metric(name) for site in sites.values()]
        return all(metric == ISSUER_SLOTS for metric in metrics)

    await wait_until(held, "all issuer slots are held")
    await wait_until(known, "all instances know all holders")
    for site in sites.values():
        await wait_until(partial(admits, site), f"{site.name} knows who holds the slots")


async def admits(site: Site) -> bool:
    """Whether an instance gets an answer about a request's quota."""
    status, _, _ = await site.call("/s/x", "probe", further_headers={"Credential": KEY})
    return status in (200, 429)


async def send_load(site: Site, numbers: Iterator[int], until: float) -> list[int]:
    """Send requests one after the other; return the statuses, 0 for a lost connection."""
    clock = asyncio.get_running_loop().time
    statuses = []
    while clock() < until:
        request_id = f"q{next(numbers)}"
        try:
            async with asyncio.timeout(1.5):
                status, headers, _ = await site.call(
                    "/s/x", request_id, deadline_ms=400, further_headers={"Credential": KEY}
                )
            assert status != 429 or float(headers["Retry-After"]) > 0
            statuses.append(status)
        except (OSError, TimeoutError):
            statuses.append(0)
        await asyncio.sleep(PAUSE_S)
    return statuses


def waited_ms(line: str) -> int:
    """Return how long a refused request had waited for a reply of the issuers."""
    found = re.search(r" ms=(\d+)", line)
    assert found is not None
    return int(found[1])


def most_in_window(times: list[float]) -> int:
    """Return the largest number of times in any window."""
    return max(sum(start <= at <= start + WINDOW_S for at in times) for start in times)


@pytest.mark.parametrize("loaded", [NAMES, ("n2",)], ids=["all", "one"])
async def test_the_leafs_run_no_more_requests_than_the_quota_of_all_instances(
    tmp_path: Path, loaded: tuple[str, ...]
) -> None:
    """Guards against instances that each grant a whole quota, and one that gets only a part."""
    cores = dict.fromkeys(NAMES, 1.0)
    async with serving_fleet(tmp_path, cores, before_start=put_quota) as sites:
        await wait_for_issuers(sites)
        until, numbers = asyncio.get_running_loop().time() + LOAD_S, count()
        loads = [send_load(sites[name], numbers, until) for name in loaded]
        statuses = [status for load in await asyncio.gather(*loads) for status in load]
        arrived = sites["n1"].leafs["d1"].arrived_at
        lines = [line for site in sites.values() for line in site.lines_with("not-ready")]
        refused = [line for line in lines if " id=q" in line]
    assert set(statuses) <= {200, 429, 503}
    assert all(waited_ms(line) >= WAIT_MS for line in refused), refused
    assert most_in_window(arrived) <= ALLOWED
    assert len(arrived) >= RATE_PER_S * WINDOW_S, "most of the quota is used"


@pytest.mark.parametrize("fault", ["killed", "suspended"])
async def test_the_quota_holds_while_each_issuer_in_turn_is_lost(
    tmp_path: Path, fault: str
) -> None:
    """Guards against an issuer that comes back with a full bucket or goes on with an old one."""
    cores = dict.fromkeys(NAMES, 1.0)
    async with serving_fleet(tmp_path, cores, before_start=put_quota) as sites:
        await wait_for_issuers(sites)
        until, numbers = asyncio.get_running_loop().time() + LOAD_S, count()
        loads = asyncio.gather(*(send_load(site, numbers, until) for site in sites.values()))
        for site in sites.values():
            await asyncio.sleep(LOAD_S / 5)
            await lose(site, fault)
        await loads
        arrived = [*sites["n1"].leafs["d1"].arrived_at]
        for site in sites.values():
            await wait_until(site.ready, f"{site.name} is ready again")
        await wait_for_issuers(sites)
    assert most_in_window(arrived) <= ALLOWED
    assert len(arrived) >= RATE_PER_S, "the other issuers go on"


async def lose(site: Site, fault: str) -> None:
    """Kill a process and start another one, or suspend it for a second."""
    if fault == "killed":
        await site.kill()
        await site.start()
        return
    assert site.process is not None
    site.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(1.0)
    site.process.send_signal(signal.SIGCONT)


def is_in_use(port: int) -> bool:
    """Whether a process listens on a port, so that its successor can't."""
    with socket.socket() as successor:
        successor.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            successor.bind(("127.0.0.1", port))
        except OSError:
            return True
    return False


async def test_a_successor_can_not_listen_while_a_stopping_instance_serves_its_callers(
    tmp_path: Path,
) -> None:
    """Guards against a successor whose buckets fill while this instance still takes tokens."""
    put_long_quota = partial(put_quota, timeout_ms=LONG_MS)
    async with serving_fleet(tmp_path, {"n1": 1.0}, before_start=put_long_quota) as sites:
        site = sites["n1"]
        await wait_for_issuers(sites)
        await asyncio.sleep(FILL_S)
        assert site.process is not None
        assert site.first_port is not None
        site.leafs["d1"].behaviour = "hang"
        headers = {"Credential": KEY}
        running = asyncio.create_task(
            site.call("/s/x", "q", deadline_ms=LONG_MS, further_headers=headers)
        )
        await wait_until(lambda: "q" in ran_by(site), "the leaf has the request")
        site.process.send_signal(signal.SIGTERM)
        callers_port = int(site.callers.rpartition(":")[2])
        await wait_until(lambda: not is_in_use(callers_port), "callers can't connect any more")
        assert not running.done()
        assert is_in_use(site.first_port + COORDINATOR_PORT_INDEX)
        assert (await running)[0] == 504
        assert await site.process.wait() == 0


def ran_by(site: Site) -> list[str]:
    """List the ids of the requests that have reached the leaf."""
    return [request["Request-Id"] for request in site.leafs["d1"].requests]
