"""Gateway processes whose links to the leafs can be cut."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiohttp import web

from gateway_process import Site, serving_fleet
from links import Links, StoreView
from standins import LeafStandIn

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path


@dataclass(slots=True, kw_only=True)
class PartitionedFleet:
    """Gateways with the links of each."""

    sites: dict[str, Site]
    links: dict[str, Links]


@asynccontextmanager
async def partitioned_fleet(
    directory: Path, names: tuple[str, ...]
) -> AsyncIterator[PartitionedFleet]:
    """Run gateways whose links to the leafs can be cut."""
    links: dict[str, Links] = {}
    runners: list[web.ServerRunner] = []

    async def link(site: Site) -> None:
        view = StoreView(store=site.store)
        links[site.name] = Links(view=view)
        for leaf in site.leafs.values():
            await links[site.name].add(leaf.address)
        runner = web.ServerRunner(
            web.Server(view.handle, handler_cancellation=True, access_log=None),
            shutdown_timeout=0.1,
        )
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        runners.append(runner)
        host, port = runner.addresses[0][:2]
        site.store_address = f"{host}:{port}"

    leafs = {
        f"{service[0]}{number}": LeafStandIn(
            name=f"{service[0]}{number}",
            service=service,
            body=f"{service[0]}{number}".encode() * 8,
        )
        for service in ("a", "b", "desk")
        for number in (1, 2)
    }
    cores = dict.fromkeys(names, 1.0)
    try:
        async with serving_fleet(directory, cores, leafs=leafs, before_start=link) as sites:
            yield PartitionedFleet(sites=sites, links=links)
    finally:
        for own in links.values():
            await own.stop()
        for runner in runners:
            await runner.cleanup()
