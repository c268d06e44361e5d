"""Starting of an HTTP listener on a configured address."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from azurefield_entry.early_listener import BACKLOG, take

if TYPE_CHECKING:
    from aiohttp.web_runner import BaseRunner, BaseSite


async def listen(runner: BaseRunner, address: str) -> BaseSite:
    """Set up a runner and listen on ``host:port``; IPv6 hosts may be in brackets."""
    host, _, port = address.rpartition(":")
    await runner.setup()
    opened = take(address)
    site: BaseSite
    if opened is not None:
        site = web.SockSite(runner, opened, backlog=BACKLOG)
    else:
        site = web.TCPSite(runner, host.strip("[]"), int(port), reuse_address=True)
    await site.start()
    return site
