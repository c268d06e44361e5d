"""Links between each gateway and each leaf that can be cut, while the store stays reachable."""

from __future__ import annotations

import json
from base64 import b64decode, b64encode
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from aiohttp import web
from soak.proxy import Proxy

from gateway_process import Site, serving_fleet
from standins import LeafStandIn, StoreStandIn

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path


class Cut(StrEnum):
    """How the links of a gateway to all leafs are cut.

    ``HANG``: nothing arrives any more. ``RESET``: open connections are reset and new ones refused.
    ``HALF``: open connections live on, new ones are refused.
    """

    HANG = "hang"
    RESET = "reset"
    HALF = "half"


@dataclass(slots=True, kw_only=True)
class StoreView:
    """The store as one gateway sees it: with other addresses of the leafs.

    :param addresses: the address at which the gateway reaches a leaf, by that of the leaf
    """

    store: StoreStandIn
    addresses: dict[str, str] = field(default_factory=dict)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call with the addresses replaced."""
        answer = await self.store.handle(request)
        if not isinstance(answer, web.Response) or answer.content_type != "application/json":
            return answer
        content = json.loads(answer.text or "{}")
        for item in (*content.get("items", ()), *content.get("events", ())):
            if item["key"].startswith("servers/") and "value" in item:
                item["value"] = self.replace_address(item["value"])
        return web.json_response(content, headers={"Store-Era": answer.headers["Store-Era"]})

    def replace_address(self, value: str) -> str:
        """Replace the address in the entry of a leaf."""
        entry: dict[str, Any] = json.loads(b64decode(value))
        entry["address"] = self.addresses.get(entry["address"], entry["address"])
        return b64encode(json.dumps(entry).encode()).decode()


@dataclass(slots=True, kw_only=True)
class Links:
    """The links of one gateway to all leafs."""

    proxies: list[Proxy] = field(default_factory=list)

    def cut(self, how: Cut) -> None:
        """Cut all links."""
        for proxy in self.proxies:
            proxy.stop_listening(hang=how is Cut.HANG)
            match how:
                case Cut.HANG:
                    proxy.silence_all()
                case Cut.RESET:
                    proxy.reset_all()

    async def heal(self) -> None:
        """Restore all links; connections that hung are reset."""
        for proxy in self.proxies:
            await proxy.listen_again()
            for connection in [*proxy.connections]:
                if connection.silent:
                    connection.abort()


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
        links[site.name] = Links()
        for leaf in site.leafs.values():
            proxy = Proxy(target=leaf.address)
            await proxy.start()
            view.addresses[leaf.address] = proxy.address
            links[site.name].proxies.append(proxy)
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
            for proxy in own.proxies:
                await proxy.stop()
        for runner in runners:
            await runner.cleanup()
