from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import aiohttp
import pytest
from aiohttp import web
from msgspec.structs import replace
from result import Err, Ok

from azurefield.directory import RegisteredServer
from azurefield.issuer_slots import SlotKey
from azurefield.routes import RouteTable
from azurefield.store_position import HistoryRelation, StorePosition
from azurefield_entry.gateway.ports import (
    EvacuatedZone,
    EvacuationKey,
    HistoryLost,
    InstanceEntry,
    KeyChanged,
    Lease,
    LeaseEnded,
    Removed,
    ServerKey,
)
from azurefield_fleet.store import StoreHttp
from azurefield_platform.failures import PlatformUnavailable
from azurefield_platform.http import open_session
from standins import LeafStandIn, StoreStandIn, config, route, running

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

LISTING_LIMIT_S = 5.0
LEAF = LeafStandIn(name="i-1", service="desk", address="192.0.2.1:80")


@asynccontextmanager
async def opened() -> AsyncIterator[tuple[StoreStandIn, StoreHttp]]:
    stand_in = StoreStandIn()
    async with running(stand_in), aiohttp.ClientSession() as session:
        yield stand_in, StoreHttp(address=stand_in.address, session=session)


@pytest.mark.parametrize("page", [500, 1], ids=["one-page", "many-pages"])
async def test_a_listing_holds_all_pages_of_what_concerns_the_gateway(page: int) -> None:
    """Guards against dropping servers that are listed on later pages."""
    async with opened() as (stand_in, store):
        stand_in.page = page
        stand_in.put("op/config", config(3, route("r", "/x/", service="desk"), services=("desk",)))
        stand_in.put("servers/i-1", LEAF.entry())
        stand_in.put("servers/i-2", LEAF.entry())
        stand_in.put("servers/i-3", b"rubbish")
        stand_in.put("status/x", b"rubbish")
        listing = await store.list_all()
        assert isinstance(listing, Ok)
        names = [type(item).__name__ for item in listing.ok_value.items]
        assert names == [RouteTable.__name__, *[RegisteredServer.__name__] * 2]
        assert listing.ok_value.revision == stand_in.revision


async def test_a_watch_returns_the_changes_since_a_revision() -> None:
    """Guards against losing the changes between a listing and the watch."""
    async with opened() as (stand_in, store):
        before = stand_in.revision
        stand_in.put("servers/i-1", LEAF.entry())
        stand_in.remove("servers/i-1")
        changes = await store.watch(before, 1.0)
        assert isinstance(changes, Ok)
        written, removed = changes.ok_value.items
        assert isinstance(written, RegisteredServer)
        assert removed == Removed(key=ServerKey(server="i-1"))
        assert changes.ok_value.revision == stand_in.revision
        again = store.decode_changes(changes.ok_value.encoded).unwrap()
        assert replace(again, era=stand_in.era) == changes.ok_value


async def test_a_request_to_evacuate_a_zone_is_listed_watched_and_relayed() -> None:
    """Guards against a request or its removal that does not reach each instance.

    The name of the zone is in the key, so an unreadable value makes no difference.
    """
    async with opened() as (stand_in, store):
        stand_in.put("op/evacuate/z1", {})
        listing = (await store.list_all()).unwrap()
        assert listing.items == (EvacuatedZone(zone="z1"),)
        stand_in.put("op/evacuate/z2", b"rubbish")
        stand_in.remove("op/evacuate/z1")
        changes = (await store.watch(listing.revision, 1.0)).unwrap()
        expected = (EvacuatedZone(zone="z2"), Removed(key=EvacuationKey(zone="z1")))
        assert changes.items == expected
        assert store.decode_changes(changes.encoded).unwrap().items == expected


async def test_a_watch_wakes_when_something_changes_and_ends_when_nothing_does() -> None:
    """Guards against a watch that delays a change or never returns without one."""
    async with opened() as (stand_in, store):
        waiting = asyncio.create_task(store.watch(stand_in.revision, 5.0))
        await asyncio.sleep(0.05)
        stand_in.put("servers/i-1", LEAF.entry())
        changes = await waiting
        assert isinstance(changes, Ok)
        assert len(changes.ok_value.items) == 1
        nothing = await store.watch(stand_in.revision, 0.05)
        assert isinstance(nothing, Ok)
        assert nothing.ok_value.items == ()


async def test_a_lost_history_is_reported() -> None:
    """Guards against a watch that continues although changes are missing."""
    async with opened() as (stand_in, store):
        before = stand_in.revision
        stand_in.put("servers/i-1", LEAF.entry())
        stand_in.forget_history()
        assert await store.watch(before, 0.1) == Err(HistoryLost())


async def test_a_store_that_is_down_is_a_typed_failure() -> None:
    """Guards against an exception that ends the process when the store is down."""
    async with opened() as (stand_in, store):
        stand_in.down = True
        for result in (
            await store.list_all(),
            await store.watch(1, 0.1),
            await store.new_lease(5.0),
            await store.renew_lease(Lease(number=1)),
        ):
            assert isinstance(result, Err)
            assert isinstance(result.err_value, PlatformUnavailable)


async def test_an_instance_s_entry_is_written_under_a_lease() -> None:
    """Guards against an entry that stays in the store after its instance has stopped."""
    async with opened() as (stand_in, store):
        lease = (await store.new_lease(5.0)).ok()
        assert lease is not None
        assert lease.length_s == 5.0
        assert await store.put(InstanceEntry(instance="n1"), lease) == Ok(None)
        assert stand_in.items["azurefield/instances/n1"]["lease"] == lease.number
        assert await store.renew_lease(lease) == Ok(None)
        assert await store.renew_lease(replace(lease, number=lease.number + 1)) == Err(LeaseEnded())


async def test_a_write_under_a_condition_that_no_longer_holds_is_told_from_a_failed_call() -> None:
    """Guards against a store that counts as down because another instance was first."""
    async with opened() as (stand_in, store):
        lease = (await store.new_lease(5.0)).unwrap()
        for revision, refused in ((0, False), (0, True), (stand_in.revision + 7, True)):
            written = await store.put(
                SlotKey(slot=1, instance="n1", lease=1, revision=0), lease, revision
            )
            assert isinstance(written.err(), KeyChanged) is refused


async def test_a_listing_whose_pages_are_of_two_eras_is_no_listing() -> None:
    """Guards against a listing that mixes what the store held before and after a loss."""
    async with opened() as (stand_in, store):
        stand_in.page = 1
        for name in ("i-1", "i-2", "i-3"):
            stand_in.put(f"servers/{name}", LEAF.entry())
        listing = await store.list_all()
        assert listing.unwrap().era == stand_in.era
        stand_in.restored_before = "servers/i-2"
        assert isinstance((await store.list_all()).err(), PlatformUnavailable)


async def test_a_lease_ends_with_the_era_in_which_it_was_granted() -> None:
    """Guards against an entry that is kept by the lease of another client."""
    async with opened() as (stand_in, store):
        lease = (await store.new_lease(5.0)).unwrap()
        stand_in.restore(stand_in.copy())
        assert await store.renew_lease(lease) == Err(LeaseEnded())
        assert await store.put(InstanceEntry(instance="n1"), lease) == Err(LeaseEnded())


@pytest.mark.parametrize("era", ["", "x", "-1", "1.5", "9" * 40])
async def test_an_unreadable_era_is_no_loss_of_the_store(era: str) -> None:
    """Guards against instances that read everything again because of a malformed answer."""
    async with opened() as (stand_in, store):
        before = await store.list_all()
        stand_in.era = era  # type: ignore[assignment]
        changes = await store.watch(stand_in.revision, 0.0)
        assert changes.unwrap().era is None
        known = StorePosition(revision=1, era=before.unwrap().era)
        assert known.relation_of(None) is HistoryRelation.CONTINUES


BEGUN_REPLY = b'HTTP/1.1 200 OK\r\nStore-Era: 9\r\nContent-Length: 40\r\n\r\n{"events": []'


@dataclass(slots=True, kw_only=True)
class RepeatingStore:
    """A store that sends ``extra`` behind its first reply, in the same write or a little later."""

    extra: bytes
    later: bool
    replies: int = 0
    sent: asyncio.Event = field(default_factory=asyncio.Event)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while await reader.read(4096):
            self.replies += 1
            body = f'{{"events": [], "store_revision": {self.replies}}}'
            head = f"HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: {len(body)}\r\n\r\n"
            extra = self.extra if self.replies == 1 else b""
            writer.write(f"{head}{body}".encode() + (b"" if self.later else extra))
            if self.later:
                await asyncio.sleep(0.005)
                writer.write(extra)
            self.sent.set()
        writer.close()


@pytest.mark.parametrize("later", [False, True], ids=["same-write", "while-idle"])
@pytest.mark.parametrize("cut", range(1, len(BEGUN_REPLY), 5))
async def test_a_begun_second_reply_of_the_store_is_not_joined_with_the_next_one(
    cut: int, later: bool
) -> None:
    """Guards against a reply to another call, and against a call that waits without an end."""
    stand_in = RepeatingStore(extra=BEGUN_REPLY[:cut], later=later)
    listener = await asyncio.start_server(stand_in.serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    async with open_session() as session:
        store = StoreHttp(address=f"127.0.0.1:{port}", session=session)
        for number in (1, 2):
            async with asyncio.timeout(3.0):
                changes = await store.watch(0, 0.0)
            assert isinstance(changes, Ok)
            assert (changes.ok_value.revision, changes.ok_value.era) == (number, 1)
            # The extra bytes must have arrived before the next call.
            await stand_in.sent.wait()
            await asyncio.sleep(0.01)
    listener.close()


async def test_a_listing_whose_pages_repeat_fails() -> None:
    """Guards against reading the same page until the memory is full."""
    page = {"items": [{"key": "servers/x", "value": ""}], "has_more": True, "store_revision": 1}

    async def repeat(request: web.BaseRequest) -> web.StreamResponse:  # noqa: ARG001
        return web.json_response(page)

    runner = web.ServerRunner(web.Server(repeat))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    async with open_session() as session, asyncio.timeout(LISTING_LIMIT_S):
        listing = await StoreHttp(address=f"{host}:{port}", session=session).list_all()
    await runner.cleanup()
    assert isinstance(listing, Err)
