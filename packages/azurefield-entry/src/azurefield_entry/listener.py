"""Starts HTTP listeners on configured addresses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from azurefield_entry.early_listener import BACKLOG, take_socket

if TYPE_CHECKING:
    from aiohttp.web_runner import BaseRunner, BaseSite


async def listen(runner: BaseRunner, address: str) -> BaseSite:
    """Start a runner on ``host:port``; an IPv6 host may be in brackets.

    A socket that was opened early for the address is used.
    """
    host, _, port = address.rpartition(":")
    await runner.setup()
    opened = take_socket(address)
    site: BaseSite
    if opened is not None:
        site = web.SockSite(runner, opened, backlog=BACKLOG)
    else:
        site = web.TCPSite(runner, host.strip("[]"), int(port), reuse_address=True)
    await site.start()
    return site
