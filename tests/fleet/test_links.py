"""Proxied connections end as the connection behind them has ended."""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest
from soak.proxy import Proxy

from azurefield_testkit.resets import reset

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
# Less than a proxy's buffer and more than that of a socket, with the size that the test sets.
BODY = bytes(50_000)
SOCKET_BUFFER_BYTES = 4_096


@asynccontextmanager
async def proxied(end: str) -> AsyncIterator[tuple[asyncio.StreamReader, list[Proxy]]]:
    """Connect through two proxies to a server that sends an answer without a length."""
    connected = asyncio.Event()

    async def answer(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD)
        await connected.wait()
        if end == "reset":
            reset(writer.transport)
        elif end == "close":
            writer.write(BODY)
            writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    inner = Proxy(target=f"{host}:{port}")
    await inner.start()
    outer = Proxy(target=inner.address)
    await outer.start()
    host, _, port = outer.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    assert await reader.readexactly(len(HEAD)) == HEAD
    for connection in outer.connections:
        sock = connection.caller.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    connected.set()
    try:
        yield reader, [inner, outer]
    finally:
        writer.transport.abort()
        await outer.stop()
        await inner.stop()
        server.close()


async def test_a_reset_of_the_server_is_not_a_close_for_the_caller() -> None:
    """Guards against a cut-off answer that looks whole because its length is its connection's."""
    async with proxied("reset") as (reader, _):
        with pytest.raises(ConnectionResetError):
            await reader.read()


@pytest.mark.parametrize("which", [0, 1], ids=["next-to-the-server", "next-to-the-caller"])
async def test_a_reset_of_a_proxy_is_not_a_close_for_the_caller(which: int) -> None:
    """Guards against a cut-off answer that looks whole because its length is its connection's."""
    async with proxied("none") as (reader, proxies):
        proxies[which].reset_all()
        with pytest.raises(ConnectionResetError):
            await reader.read()


async def test_no_byte_before_a_close_is_lost() -> None:
    """Guards against an answer that a proxy cuts off and then ends as the server ended it."""
    async with proxied("close") as (reader, _):
        assert await reader.read() == BODY
