"""The HTTP server of callers: requests in pieces, and heads that are too long."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from itertools import pairwise
from typing import TYPE_CHECKING

import pytest
from aiohttp import web

from azurefield.routes import CallerLimits
from azurefield_entry.callers.server import CallerServer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

LIMITS = CallerLimits()
BODY = bytes(60_000)
HEAD = f"POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: {len(BODY)}\r\n\r\n".encode()


@asynccontextmanager
async def connected() -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Connect to a server that answers each request with the length of its body."""

    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(text=str(len(await request.read())))

    server = CallerServer(handle=answer, limits=lambda: LIMITS)
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    reader, writer = await asyncio.open_connection(*runner.addresses[0][:2])
    try:
        yield reader, writer
    finally:
        writer.close()
        await runner.cleanup()


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    async with asyncio.timeout(5.0):
        head = await reader.readuntil(b"\r\n\r\n")
        length = next(line for line in head.split(b"\r\n") if line.startswith(b"Content-Length"))
        return int(head.split()[1]), await reader.readexactly(int(length.split()[1]))


@pytest.mark.parametrize(
    "sizes",
    [(), (1,), (len(HEAD) - 1,), (len(HEAD),), (len(HEAD) - 2, len(HEAD) + 20_000), (30_000,)],
)
@pytest.mark.parametrize("count", [1, 2, 5])
async def test_large_requests_are_served_in_whatever_pieces_they_arrive(
    sizes: tuple[int, ...], count: int
) -> None:
    """Guards against a body that is taken for a part of a head that is too long."""
    data = (HEAD + BODY) * count
    cuts = [0, *sizes, len(data)]
    async with connected() as (reader, writer):
        for start, end in pairwise(cuts):
            writer.write(data[start:end])
            await writer.drain()
            await asyncio.sleep(0.01)
        for _ in range(count):
            assert await read_answer(reader) == (200, str(len(BODY)).encode())


async def test_a_head_that_is_too_long_ends_its_connection() -> None:
    """Guards against a caller whose head never ends."""
    async with connected() as (reader, writer):
        writer.write(b"GET /1 HTTP/1.1\r\nHost: x\r\nLong: " + bytes(4 * LIMITS.header_bytes_max))
        async with asyncio.timeout(5.0):
            assert b" 200 " not in await reader.read()
