"""Memory of answers that are being received."""

from __future__ import annotations

import asyncio
import gc
from contextlib import asynccontextmanager, suppress
from typing import TYPE_CHECKING

from result import Err

from azurefield.held_memory import HeldMemory
from azurefield_entry.gateway.servers.connection import (
    HttpLeafConnection,
)
from azurefield_testkit.entry_support.scripted_server import (
    PlainDialect,
    ScriptedServer,
    listening,
)
from azurefield_testkit.entry_support.server_calls import answer, call

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


MEGABYTE = b"x" * (1 << 20)
WITHOUT_END = b"HTTP/1.1 200 OK\r\nId: /1\r\n\r\n"


@asynccontextmanager
async def endless_server(pause_s: float) -> AsyncIterator[str]:
    """Answer each request with a body that ends only when the caller closes the connection."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(WITHOUT_END)
        with suppress(ConnectionError):
            while not writer.is_closing():
                writer.write(MEGABYTE)
                await writer.drain()
                await asyncio.sleep(pause_s)
        writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
    finally:
        listener.close()


async def test_a_connection_that_is_given_up_is_freed_without_the_garbage_collector() -> None:
    """Guards against answers that stay in memory after their connections were closed."""
    async with endless_server(0.0) as address:
        gc.collect()
        gc.disable()
        try:
            for _ in range(3):
                connection = HttpLeafConnection(address=address, dialect=PlainDialect())
                assert isinstance(await connection.exchange(call("/1")), Err)
                del connection
                await asyncio.sleep(0.02)
            kept = [one for one in gc.get_objects() if isinstance(one, HttpLeafConnection)]
            assert not kept
        finally:
            gc.enable()


async def test_endless_answers_share_one_memory_and_usual_ones_go_on() -> None:
    """Guards against a process that exceeds its memory because each answer alone is in bounds."""
    memory: HeldMemory[HttpLeafConnection] = HeldMemory(limit_bytes=6 * len(MEGABYTE))
    held = 0
    slow = ScriptedServer(script=[[answer("/1", b"body")[:-1]]])
    async with endless_server(0.01) as address, listening(slow) as usual_address:
        usual = HttpLeafConnection(address=usual_address, dialect=PlainDialect(), memory=memory)
        waiting = asyncio.create_task(usual.exchange(call("/1")))
        await asyncio.sleep(0.02)
        endless = [
            HttpLeafConnection(address=address, dialect=PlainDialect(), memory=memory)
            for _ in range(8)
        ]
        calls = [asyncio.create_task(one.exchange(call("/1"))) for one in endless]
        while not all(one.done() for one in calls):
            await asyncio.sleep(0.001)
            held = max(held, memory.total_bytes)
        assert all(isinstance(one.result(), Err) for one in calls)
        assert held <= memory.limit_bytes
        assert not waiting.done(), "the usual answer must not be ended for the others"
        assert [*memory.held] == [usual]
        waiting.cancel()
        with suppress(asyncio.CancelledError):
            await waiting
    assert (memory.held, memory.total_bytes) == ({}, 0)
