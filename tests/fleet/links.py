"""Links between one gateway and all leafs that can be cut, while the store stays reachable."""

from __future__ import annotations

import json
from base64 import b64decode, b64encode
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from aiohttp import web
from soak.proxy import Proxy

from standins import StoreStandIn


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
        era = {"Store-Era": answer.headers["Store-Era"]}
        return web.json_response(content, status=answer.status, headers=era)

    def replace_address(self, value: str) -> str:
        """Replace the address in the entry of a leaf."""
        entry: dict[str, Any] = json.loads(b64decode(value))
        entry["address"] = self.addresses.get(entry["address"], entry["address"])
        return b64encode(json.dumps(entry).encode()).decode()


@dataclass(slots=True, kw_only=True)
class Links:
    """The links of one gateway to all leafs, and the store as it sees it.

    :param proxies: by the address of the leaf
    :param cut_off: how all links are cut; None if they are not
    :param ended: the addresses of leafs that accept no connections themselves
    """

    view: StoreView
    proxies: dict[str, Proxy] = field(default_factory=dict)
    cut_off: Cut | None = None
    ended: set[str] = field(default_factory=set)

    async def add(self, address: str) -> None:
        """Add the link to a leaf at an address."""
        proxy = Proxy(target=address)
        await proxy.start()
        self.view.addresses[address] = proxy.address
        self.proxies[address] = proxy
        if self.cut_off is not None:
            self.cut(self.cut_off)

    async def stop(self) -> None:
        """Close all links."""
        for proxy in self.proxies.values():
            await proxy.stop()

    def cut(self, how: Cut) -> None:
        """Cut all links."""
        self.cut_off = how
        for proxy in self.proxies.values():
            proxy.stop_listening(hang=how is Cut.HANG)
            match how:
                case Cut.HANG:
                    proxy.silence_all()
                case Cut.RESET:
                    proxy.reset_all()

    async def heal(self) -> None:
        """Restore all links; connections that hung are reset."""
        self.cut_off = None
        for address, proxy in self.proxies.items():
            if address not in self.ended:
                await proxy.listen_again()
            for connection in [*proxy.connections]:
                if connection.silent:
                    connection.reset()

    def end_leaf(self, address: str) -> None:
        """Refuse connections to a leaf that has ended, and reset the open ones."""
        self.ended.add(address)
        if self.cut_off is None:
            self.proxies[address].stop_listening()
        self.proxies[address].reset_all()

    async def restart_leaf(self, address: str) -> None:
        """Accept connections to a leaf again."""
        self.ended.discard(address)
        if self.cut_off is None:
            await self.proxies[address].listen_again()
