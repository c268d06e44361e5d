"""A gateway process between leafs of two regions, with routes that are bound to one of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from gateway_process import Site, serving_fleet
from standins import config, route

if TYPE_CHECKING:
    from pathlib import Path

pytestmark = pytest.mark.process

REQUESTS = 20


async def prepare(site: Site) -> None:
    """Bind routes to regions; each shard has a leaf in both, the service only in the other one."""
    site.bounds = '[zones]\none = "eu"\ntwo = "us"\n'
    gather = {"gather": ["a", "b"], "top_k": 1, "min_coverage": 0.5}
    routes = (
        route("bound", "/s/", service="desk", allowed_regions=["us"]),
        route("query", "/l/", allowed_regions=["us"], **gather),
        route("lost", "/n/", service="desk", allowed_regions=["mars"]),
    )
    services = ("a", "b", "desk")
    site.store.put("op/config", config(2, *routes, services=services))
    for name in ("a2", "b2"):
        site.store.put(f"servers/{name}", site.leafs[name].entry(zone="two"))


async def test_bound_requests_reach_only_leafs_of_their_region(tmp_path: Path) -> None:
    """Guards against a request that leaves its region, also when no leaf there is left."""
    async with serving_fleet(tmp_path, {"n1": 1.0}, before_start=prepare) as sites:
        site = sites["n1"]
        leafs, store = site.leafs, site.store
        await site.wait_for_log("allows regions in which no availability zone is: ['mars']")
        for number in range(REQUESTS):
            status, headers, _ = await site.call("/l/x", f"q{number}")
            assert (status, headers["Missing-Shards"]) == (200, "0")
        for path in ("/n/x", "/s/x"):
            status, _, body = await site.call(path, f"refused-{path[1]}")
            assert (status, b"no server in an allowed region is usable" in body) == (503, True)
        store.remove("servers/a2")
        await site.wait_for_log("Server a2 is gone")
        status, headers, _ = await site.call("/l/x", "partial")
        assert (status, headers["Missing-Shards"]) == (200, "1")
        store.remove("servers/b2")
        await site.wait_for_log("Server b2 is gone")
        status, _, _ = await site.call("/l/x", "none")
        assert status == 503
        assert not any(leafs[name].requests for name in ("a1", "b1", "d1"))
        refusals = 'azurefield_gateway_region_refusals_total{what="request"}'
        assert await site.metric(refusals) == 3
