from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import aiohttp
import pytest
from result import Err, Ok

from azurefield_platform.failures import PlatformUnavailable
from azurefield_platform.http import PlatformHttp, open_session

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
REPLY_TIMEOUT_S = 0.2


@dataclass(slots=True, kw_only=True)
class SilentService:
    """Answers each call, but no call on a connection that was open when it became silent."""

    silent: set[asyncio.StreamWriter] = field(default_factory=set)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    both_wait: asyncio.Barrier = field(default_factory=lambda: asyncio.Barrier(2))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                if head.startswith(b"GET /both"):
                    await self.both_wait.wait()
                if writer not in self.silent:
                    writer.write(REPLY)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()

    def become_silent(self) -> int:
        self.silent |= self.writers
        return len(self.silent)


@asynccontextmanager
async def silent_service() -> AsyncIterator[tuple[SilentService, PlatformHttp]]:
    service = SilentService()
    server = await asyncio.start_server(service.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    async with open_session() as session:
        yield service, PlatformHttp(
            base_url=f"http://{host}:{port}",
            session=session,
            connect_timeout_s=5.0,
            reply_timeout_s=REPLY_TIMEOUT_S,
        )
    server.close()
    for writer in service.writers:
        writer.close()


@pytest.mark.parametrize("connections", [1, 2])
async def test_only_one_call_is_lost_on_connections_that_are_silent(connections: int) -> None:
    """Guards against each call of a series that waits on another silent connection."""
    async with silent_service() as (service, http):
        first = ["/both"] * 2 if connections == 2 else ["/"]
        replies = await asyncio.gather(*(http.read(path) for path in first))
        assert all(isinstance(reply, Ok) for reply in replies)
        assert service.become_silent() == connections
        assert isinstance(await http.read("/"), Err)
        assert isinstance(await http.read("/"), Ok)


async def test_a_silent_connection_is_given_up_after_the_time_for_the_reply() -> None:
    """Guards against a call that also waits for a connection that is open already."""
    async with silent_service() as (service, http):
        assert isinstance(await http.read("/"), Ok)
        service.become_silent()
        async with asyncio.timeout(http.connect_timeout_s):
            lost = await http.read("/")
        assert lost == Err(PlatformUnavailable(detail="no reply in time"))


async def test_connections_are_kept_if_a_new_one_is_not_open_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against open connections that are given up for one that could not be opened."""

    async def time_out(*_: object, **__: object) -> None:
        raise aiohttp.ConnectionTimeoutError

    async with silent_service() as (service, http):
        assert isinstance(await http.read("/"), Ok)
        with monkeypatch.context() as patched:
            patched.setattr(aiohttp.TCPConnector, "connect", time_out)
            assert isinstance(await http.read("/"), Err)
        assert isinstance(await http.read("/"), Ok)
        assert len(service.writers) == 1


async def test_connections_are_kept_after_a_reply_in_time() -> None:
    """Guards against a new connection for each call."""
    async with silent_service() as (service, http):
        for _ in range(3):
            assert isinstance(await http.read("/"), Ok)
        assert len(service.writers) == 1
