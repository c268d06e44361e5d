from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import aiohttp
import pytest
from aiohttp import web
from result import Err, Ok

from azurefield_platform.failures import (
    InvalidCall,
    KeyNotFound,
    MalformedReply,
    PlatformUnavailable,
    ReplyLost,
    RevisionConflict,
)
from azurefield_platform.http import PlatformHttp
from azurefield_platform.instances import InstanceListClient, InstanceRole
from azurefield_platform.keyvalue import KeyValueClient, StoredValue

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

KEY = "azurefield/config/head"


@dataclass(slots=True, kw_only=True)
class FakeKeyValueService:
    """Key-value service that injects ``fault`` into each request."""

    values: dict[str, tuple[str, int]] = field(default_factory=dict)
    fault: str = ""
    writes: int = 0

    async def get(self, request: web.Request) -> web.StreamResponse:
        await self.inject_fault(request)
        if self.fault == "garbage":
            return web.Response(text="{]")
        found = self.values.get(request.match_info["key"])
        if found is None:
            return web.Response(status=404)
        if request.query.get("after") == str(found[1]):
            await asyncio.sleep(int(request.query["wait_ms"]) / 1000)
            return web.Response(status=304)
        return web.json_response({"value": found[0], "revision": found[1]})

    async def put(self, request: web.Request) -> web.StreamResponse:
        self.writes += 1
        if self.fault != "lost":
            await self.inject_fault(request)
        key = request.match_info["key"]
        found = self.values.get(key)
        expected = request.headers.get("If-Match", '""').strip('"')
        current = "" if found is None else str(found[1])
        if expected != current:
            body = {} if found is None else {"revision": found[1]}
            return web.json_response(body, status=412)
        revision = 1 if found is None else found[1] + 1
        self.values[key] = ((await request.json())["value"], revision)
        if self.fault == "lost":
            await self.inject_fault(request)
        return web.json_response({} if self.fault == "garbage" else {"revision": revision})

    async def inject_fault(self, request: web.Request) -> None:
        if self.fault == "lost":
            assert request.transport is not None
            request.transport.abort()
        if self.fault == "hang":
            await asyncio.sleep(5)
        if self.fault.isdigit():
            raise StatusError(int(self.fault))


class StatusError(web.HTTPException):
    status_code = 500

    def __init__(self, status: int) -> None:
        self.status_code = status
        super().__init__()


@asynccontextmanager
async def key_value_client(fake: FakeKeyValueService) -> AsyncIterator[KeyValueClient]:
    app = web.Application()
    app.router.add_get("/v1/keys/{key}", fake.get)
    app.router.add_put("/v1/keys/{key}", fake.put)
    async with running_app(app) as (base_url, session):
        http = PlatformHttp(base_url=base_url, session=session, reply_timeout_s=0.3)
        yield KeyValueClient(http=http)


@asynccontextmanager
async def running_app(app: web.Application) -> AsyncIterator[tuple[str, aiohttp.ClientSession]]:
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    async with aiohttp.ClientSession() as session:
        yield f"http://127.0.0.1:{port}", session
    await runner.cleanup()


async def test_a_value_is_created_replaced_and_watched_by_revision() -> None:
    """Guards against a write that overwrites a newer value, and a watch that misses one."""
    async with key_value_client(FakeKeyValueService()) as client:
        assert await client.get(KEY) == Err(KeyNotFound(key=KEY))
        assert await client.put(KEY, "é1", None) == Ok(1)
        assert await client.put(KEY, "2", None) == Err(RevisionConflict(key=KEY, revision=1))
        assert await client.put(KEY, "2", 1) == Ok(2)
        assert await client.put(KEY, "3", 1) == Err(RevisionConflict(key=KEY, revision=2))
        assert await client.put("other", "3", 1) == Err(
            RevisionConflict(key="other", revision=None)
        )
        assert await client.get(KEY) == Ok(StoredValue(value="2", revision=2))
        assert await client.watch(KEY, 1, 1000) == Ok(StoredValue(value="2", revision=2))
        # A watch may take longer than the timeout of other calls.
        assert await client.watch(KEY, 2, 1500) == Ok(None)


@pytest.mark.parametrize(
    ("fault", "read_failure", "write_failure", "applied"),
    [
        ("lost", PlatformUnavailable, ReplyLost, True),
        ("hang", PlatformUnavailable, ReplyLost, False),
        ("503", PlatformUnavailable, PlatformUnavailable, False),
        ("429", PlatformUnavailable, PlatformUnavailable, False),
        ("500", PlatformUnavailable, ReplyLost, False),
        ("400", InvalidCall, InvalidCall, False),
        ("garbage", MalformedReply, ReplyLost, True),
    ],
    ids=lambda value: value if isinstance(value, str) else None,
)
async def test_a_failed_write_is_reported_by_whether_it_may_be_applied(
    fault: str, read_failure: type, write_failure: type, applied: bool
) -> None:
    """Guards against a write that may be applied but is reported as certainly not applied.

    It also checks that a write is sent only once: the retry of a lost compare-and-swap that was
    applied would be refused, which hides that it was applied.
    """
    fake = FakeKeyValueService(values={KEY: ("1", 1)})
    async with key_value_client(fake) as client:
        # aiohttp would retry a lost PUT only on a reused connection, so this call opens one.
        await client.get(KEY)
        fake.fault = fault
        assert isinstance((await client.get(KEY)).err(), read_failure)
        assert isinstance((await client.put(KEY, "2", 1)).err(), write_failure)
    assert fake.writes == 1
    assert fake.values[KEY] == (("2", 2) if applied else ("1", 1))


@pytest.mark.parametrize("status", ["000", "007", "099", "00", "0200", "600", "101"])
async def test_a_reply_with_an_odd_status_is_none(status: str) -> None:
    """Guards against a write that may be applied but counts as refused, and a reply believed."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n{{}}".encode())
        await reader.read()
        writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    base_url = f"http://127.0.0.1:{listener.sockets[0].getsockname()[1]}"
    async with aiohttp.ClientSession() as session:
        http = PlatformHttp(base_url=base_url, session=session, reply_timeout_s=0.3)
        assert isinstance((await http.read("/x")).err(), PlatformUnavailable)
        assert isinstance((await http.write("/x", b"{}", {})).err(), ReplyLost)
    listener.close()


async def test_a_refused_connection_and_a_large_value_are_surely_not_applied() -> None:
    """Guards against a write that was never sent but is reported as possibly applied."""
    async with aiohttp.ClientSession() as session:
        client = KeyValueClient.connect("http://127.0.0.1:9", session)
        assert isinstance((await client.put(KEY, "1", None)).err(), PlatformUnavailable)
        assert isinstance((await client.put(KEY, "x" * 1_000_001, None)).err(), InvalidCall)


@pytest.mark.parametrize(
    ("entry", "valid"),
    [
        ({"name": "e1", "role": "entry", "peer_address": "127.0.0.1:2"}, True),
        ({"name": "e1", "role": "ghost"}, False),
        ({"role": "entry"}, False),
    ],
    ids=["entry", "unknown-role", "no-name"],
)
async def test_the_instance_list_is_decoded_or_reported_as_malformed(
    entry: dict[str, str], valid: bool
) -> None:
    """Guards against an instance of unknown role or without a name in the decoded list."""
    common = {"address": "127.0.0.1:1", "availability_zone": "Tuxpan", "state": "live"}

    async def instances(_: web.Request) -> web.Response:
        return web.json_response({"instances": [common | entry]})

    app = web.Application()
    app.router.add_get("/v1/instances", instances)
    async with running_app(app) as (base_url, session):
        listed = await InstanceListClient.connect(base_url, session).instances()
    if valid:
        assert [instance.role for instance in listed.unwrap()] == [InstanceRole.ENTRY]
    else:
        assert isinstance(listed.err(), MalformedReply)
