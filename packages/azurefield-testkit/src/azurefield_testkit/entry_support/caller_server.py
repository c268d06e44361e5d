"""A server of callers on a loopback address, with limits for all its connections together."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from aiohttp import web
from result import Err

from azurefield.routes import CallerLimits
from azurefield_entry.callers.bodies import read_body
from azurefield_entry.callers.load import UNCOUNTED_BYTES, CallerLoad
from azurefield_entry.callers.server import CallerServer
from azurefield_entry.early_listener import open_callers_socket
from azurefield_entry.gateway.callers.failure_response import write_failure
from azurefield_testkit.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

LIMITS = CallerLimits(body_bytes_max=100_000)
SMALL = b"x" * UNCOUNTED_BYTES
ANSWER_BYTES = 20_000_000


@dataclass(slots=True, kw_only=True)
class LoadedServer:
    """A server that answers with the length of a body, or with a large body of its own.

    :param may_answer: not set while requests have to wait for their answers
    """

    load: CallerLoad = field(default_factory=CallerLoad)
    may_answer: asyncio.Event = field(default_factory=asyncio.Event)
    limits: CallerLimits = LIMITS
    server: CallerServer | None = None
    running: int = 0
    port: int = 0

    def receive(self, *pieces: bytes) -> None:
        """Let the only open connection receive pieces in one turn of the event loop."""
        assert self.server is not None
        (connection,) = self.server.connections
        for piece in pieces:
            connection.data_received(piece)

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Read and answer one request."""
        read = await read_body(request, self.limits)
        if isinstance(read, Err):
            return web.Response(status=write_failure(read.err_value).status)
        self.running += 1
        await self.may_answer.wait()
        if request.path == "/large":
            return web.Response(body=bytes(ANSWER_BYTES))
        return web.Response(text=str(len(read.ok_value)))

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect as a caller."""
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def connect_running(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect as a caller whose first request runs until ``may_answer`` is set."""
        self.may_answer.clear()
        reader, writer = await self.connect()
        writer.write(request(SMALL))
        await wait_until(lambda: self.running == 1, "the request runs")
        return reader, writer


@asynccontextmanager
async def loaded_server(
    *,
    memory_bytes: int = 10_000_000,
    connections_max: int = 100,
    large_buffers_max: int = 100,
    small_buffers: bool = False,
) -> AsyncIterator[LoadedServer]:
    """Run a server with limits for all connections together.

    :param small_buffers: whether the receive buffers of its connections are small at first
    """
    loaded = LoadedServer()
    loaded.load.set_limits(
        memory_bytes=memory_bytes,
        connections_max=connections_max,
        large_buffers_max=large_buffers_max,
    )
    loaded.may_answer.set()
    server = CallerServer(handle=loaded.answer, limits=lambda: LIMITS, load=loaded.load)
    loaded.server = server
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    if small_buffers:
        await web.SockSite(runner, open_callers_socket("127.0.0.1:0")).start()
    else:
        await web.TCPSite(runner, "127.0.0.1", 0).start()
    loaded.port = runner.addresses[0][1]
    try:
        yield loaded
    finally:
        await runner.cleanup()


def request(body: bytes, *, missing: int = 0, path: str = "/1") -> bytes:
    """Build a request without the last bytes of its body."""
    head = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body[: len(body) - missing]


async def status_of(reader: asyncio.StreamReader) -> int:
    """Read the status of an answer; 0 if the connection is closed in place of it."""
    async with asyncio.timeout(10.0):
        try:
            return int((await reader.readuntil(b"\r\n\r\n")).split()[1])
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0
