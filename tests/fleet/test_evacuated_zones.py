"""Several gateway processes whose leafs are in a zone that is evacuated, and warm up after it."""

from __future__ import annotations

import asyncio
import json
from base64 import b64decode
from itertools import count
from typing import TYPE_CHECKING

import pytest

from gateway_process import Site, serving_fleet

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

pytestmark = pytest.mark.process

WARMUP_S = 3.0
WARMUP_PER_S = 4.0
OVERAGE, SLACK = 1.5, 5.0
PAUSE_S = 0.03


async def set_bounds(site: Site) -> None:
    """Let the settings hold the bound for leafs that warm up."""
    site.bounds = f"warmup_overage = {OVERAGE}\nwarmup_slack = {SLACK}\n"


def name_warmup_rate(site: Site) -> None:
    """Write a version of the configuration whose services name a rate for the warm-up."""
    value = json.loads(b64decode(site.store.items["op/config"]["value"]))
    for service in value["services"]:
        service |= {"warmup_s": WARMUP_S, "warmup_per_s": WARMUP_PER_S}
    site.store.put("op/config", value | {"version": 2})


async def send_load(site: Site, numbers: Iterator[int], until: float) -> set[int]:
    """Send requests one after the other; return their statuses."""
    statuses = set()
    while asyncio.get_running_loop().time() < until:
        status, _, _ = await site.call("/s/x", f"q{next(numbers)}", deadline_ms=400)
        statuses.add(status)
        await asyncio.sleep(PAUSE_S)
    return statuses


async def test_an_evacuated_zone_gets_no_calls_and_returns_within_the_bound(
    tmp_path: Path,
) -> None:
    """Guards against calls to an evacuated zone, and against a flood of its leafs that warm up."""
    cores = {"n1": 1.0, "n2": 1.0, "n3": 1.0}
    async with serving_fleet(tmp_path, cores, before_start=set_bounds) as sites:
        store, leaf = sites["n1"].store, sites["n1"].leafs["d1"]
        name_warmup_rate(sites["n1"])
        store.put("op/evacuate/one", {})
        for site in sites.values():
            await site.wait_for_log("Configuration version 2 is in force")
            await site.wait_for_log("Zone one is evacuated")
        for name, site in sites.items():
            status, _, _ = await site.call("/s/x", f"evacuated-{name}")
            assert status == 503
        assert not leaf.arrived_at
        store.remove("op/evacuate/one")
        for site in sites.values():
            await site.wait_for_log("Zone one is no longer evacuated")
        until = asyncio.get_running_loop().time() + WARMUP_S - 1.0
        numbers = count()
        loads = [send_load(site, numbers, until) for site in sites.values()]
        statuses = set().union(*await asyncio.gather(*loads))
        times = leaf.arrived_at
    most = max(sum(start <= at < start + 1.0 for at in times) for start in times)
    assert most <= OVERAGE * WARMUP_PER_S + SLACK
    assert len(times) >= WARMUP_PER_S
    assert {200} <= statuses <= {200, 503}
