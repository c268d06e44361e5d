"""Code that all stand-ins share: counted connections, the listener and the run of the process."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, TypeVar, cast

import msgspec
from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from result import Err, Ok, Result

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

LOOPBACK = "127.0.0.1"
PARENT_CHECK_S = 1.0
ACCESS_LOG = logging.getLogger("azurefield_testkit.access")
ACCESS_LOG.disabled = True

T = TypeVar("T", bound=msgspec.Struct)


@dataclass(slots=True, kw_only=True)
class ConnectionCounts:
    """Counts of the connections of one stand-in.

    ``now`` are open at present, ``most`` were open at the same time, ``opened`` counts all accepted
    since the start. A connection above the limit is reset and counted as ``refused``.
    """

    limit: int | None = None
    now: int = 0
    most: int = 0
    opened: int = 0
    refused: int = 0


class CountedConnection(RequestHandler):
    """A server connection that counts against the connection limit."""

    __slots__ = ("listener", "raw_transport", "refused", "requests")

    def __init__(self, listener: Listener, server: web.Server) -> None:
        super().__init__(server, loop=asyncio.get_running_loop(), access_log=ACCESS_LOG)
        self.listener = listener
        self.refused = False
        self.requests = 0
        self.raw_transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection, or reset it if the limit is reached."""
        counts = self.listener.counts
        if counts.limit is not None and counts.now >= counts.limit:
            self.refused = True
            counts.refused += 1
            cast("asyncio.Transport", transport).abort()
            return
        counts.now += 1
        counts.opened += 1
        counts.most = max(counts.most, counts.now)
        self.raw_transport = cast("asyncio.Transport", transport)
        self.listener.open.add(self)
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remove the connection from the count of open ones."""
        if self.refused:
            return
        self.listener.counts.now -= 1
        self.listener.open.discard(self)
        super().connection_lost(exc)


@dataclass(slots=True, kw_only=True)
class Listener:
    """A loopback HTTP server with counted connections."""

    app: web.Application
    counts: ConnectionCounts = field(default_factory=ConnectionCounts)
    open: set[CountedConnection] = field(default_factory=set)
    address: str = ""
    runner: web.AppRunner | None = None
    server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> str:
        """Start to listen on a loopback port; 0 for any free one.

        :return: the address as ``host:port``
        """
        # With handler_cancellation a closed connection cancels the call, as the backend servers'
        # dialect requires.
        self.runner = web.AppRunner(self.app, handler_cancellation=True, shutdown_timeout=2.0)
        await self.runner.setup()
        handler_server = cast("web.Server", self.runner.server)
        self.server = await asyncio.get_running_loop().create_server(
            lambda: CountedConnection(self, handler_server), LOOPBACK, port
        )
        self.address = f"{LOOPBACK}:{self.server.sockets[0].getsockname()[1]}"
        return self.address

    def abort_all(self) -> None:
        """Stop listening and reset all connections, as a crash of the process would."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.open):
            if connection.raw_transport is not None:
                connection.raw_transport.abort()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self.abort_all()
        if self.runner is not None:
            await self.runner.cleanup()


def abort(request: web.Request) -> None:
    """Reset the connection of a request instead of answering it."""
    if request.transport is not None:
        request.transport.abort()


def decode_control(body: bytes, control_type: type[T]) -> Result[T, str]:
    """Decode a control request.

    Unknown fields are an error, since a misspelt fault would otherwise have no effect.
    """
    try:
        raw = msgspec.json.decode(body, type=dict[str, Any])
        known = {entry.name for entry in msgspec.structs.fields(control_type)}
        if unknown := set(raw) - known:
            return Err(f"unknown fields {sorted(unknown)}")
        return Ok(msgspec.convert(raw, control_type))
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        return Err(str(error))


async def run_until_stopped(
    start: Callable[[], Awaitable[str]], stop: Callable[[], Awaitable[None]]
) -> None:
    """Run a stand-in until SIGTERM, SIGINT or the end of the parent process.

    It prints the line ``listening ADDRESS`` as soon as it listens.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    parent = os.getppid()
    address = await start()
    print(f"listening {address}", flush=True)
    while not stopped.is_set() and os.getppid() == parent:
        try:
            await asyncio.wait_for(stopped.wait(), PARENT_CHECK_S)
        except TimeoutError:
            continue
    await stop()
