"""Starts listeners on configured addresses, and waits for addresses that are still in use."""

from __future__ import annotations

import asyncio
import errno
from contextlib import suppress
from typing import TYPE_CHECKING, TypeVar

from aiohttp import web
from logbook import Logger

from azurefield_entry.early_listener import BACKLOG, open_callers_socket, take_socket

if TYPE_CHECKING:
    import socket
    from collections.abc import Awaitable, Callable

    from aiohttp.web_runner import BaseRunner, BaseSite

    from azurefield_entry.kernel import Mailbox

# Pause between two attempts to open a listener.
RETRY_INTERVAL_S = 0.1
log = Logger("listener")
T = TypeVar("T")


async def listen(runner: BaseRunner, address: str, mailbox: Mailbox) -> BaseSite | None:
    """Start a runner on ``host:port``; an IPv6 host may be in brackets.

    While another process uses the address, this waits; a predecessor may still be ending, or an
    outgoing connection may have the port.

    :param mailbox: the mailbox of the service that listens
    :return: the site; None if the service is stopped before
    :raises OSError: if the address can't be used for another reason
    """
    await runner.setup()
    return await retry_while_in_use(lambda: start_site(runner, address), address, mailbox)


async def listen_for_callers(
    runner: BaseRunner, address: str, mailbox: Mailbox, *, backlog: int = BACKLOG
) -> BaseSite | None:
    """Start a runner as ``listen`` does, for connections that share what callers may use.

    A socket that was opened early for the address is used.

    :param backlog: how many connections may wait until they are accepted
    """
    await runner.setup()
    opened = take_socket(address)
    if opened is not None:
        return await start_socket_site(runner, opened, backlog)
    return await retry_while_in_use(
        lambda: start_socket_site(runner, open_callers_socket(address, backlog), backlog),
        address,
        mailbox,
    )


async def start_socket_site(runner: BaseRunner, listener: socket.socket, backlog: int) -> BaseSite:
    """Start a runner on a listening socket."""
    site = web.SockSite(runner, listener, backlog=backlog)
    await site.start()
    return site


async def start_site(runner: BaseRunner, address: str) -> BaseSite:
    """Start a runner on an address.

    :raises OSError: if the address can't be used
    """
    host, _, port = address.rpartition(":")
    site = web.TCPSite(runner, host.strip("[]"), int(port), reuse_address=True)
    try:
        await site.start()
    except OSError:
        await site.stop()
        raise
    return site


async def retry_while_in_use(
    open_listener: Callable[[], Awaitable[T]], address: str, mailbox: Mailbox
) -> T | None:
    """Open a listener; while its address is in use, try again.

    :return: the listener; None if the service is stopped before
    :raises OSError: if the address can't be used for another reason
    """
    waiting = False
    while not mailbox.stopping.is_set():
        try:
            return await open_listener()
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
        if not waiting:
            log.warning("Address {} is in use; service {} waits for it.", address, mailbox.name)
            waiting = True
        with suppress(TimeoutError):
            async with asyncio.timeout(RETRY_INTERVAL_S):
                await mailbox.stopping.wait()
    return None
