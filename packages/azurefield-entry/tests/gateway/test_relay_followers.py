from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

import pytest
from result import Ok, Result

from azurefield_entry.gateway.messages import MetadataChanged, MetadataListed, StoreReplyReceived
from azurefield_entry.gateway.metadata.relay import FOLLOW_REQUEST, HEARTBEAT_INTERVAL_S, RelayFrame
from azurefield_entry.gateway.metadata.service import MetadataService
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.peers.framing import encode, read_frame
from azurefield_entry.gateway.ports import (
    Changes,
    HistoryLost,
    InstanceEntry,
    Item,
    Listing,
    Removed,
)
from azurefield_entry.kernel import Kernel
from azurefield_testkit.entry_support.store_followers import (
    HOST,
    FakeStore,
    Recorder,
    connect,
    instance,
    relay,
    until_listed,
    zone_entries,
)
from azurefield_testkit.waiting import wait_until

if TYPE_CHECKING:
    from azurefield_platform.failures import PlatformUnavailable

# The platform requires a new configuration version to be in force within this time.
CONFIGURATION_DUE_S = 3.0


@pytest.mark.parametrize(
    ("name", "zone", "watches"),
    [("a", "z", True), ("b", "z", True), ("c", "z", False), ("f", "alone", True)],
    ids=["first", "second", "follower", "small-zone"],
)
async def test_a_few_instances_of_each_zone_watch_the_store(
    name: str, zone: str, watches: bool
) -> None:
    """Guards against a number of store calls that grows with the number of instances."""
    async with relay() as (kernel, address):
        kernel.lookup("relay").send(StoreReplyReceived(after=5, revision=5))
        (await connect(address, after=5)).close()
        async with instance(name, zone, address) as (store, recorder):
            await until_listed(recorder)
            await asyncio.sleep(0.3)
            assert (store.watches > 0) is watches


async def test_a_follower_receives_changes_and_watches_the_store_when_disconnected() -> None:
    """Guards against an instance that misses changes after its relay is lost."""
    async with relay() as (kernel, address):
        mailbox = kernel.lookup("relay")
        mailbox.send(StoreReplyReceived(after=5, revision=5))
        (await connect(address, after=5)).close()
        async with instance("c", "z", address) as (store, recorder):
            await until_listed(recorder)
            await asyncio.sleep(0.1)
            mailbox.send(StoreReplyReceived(after=5, revision=6, encoded=b"6"))
            await wait_until(lambda: recorder.revisions() == [6], "the change is received")
            assert store.watches == 0
            mailbox.send(StoreReplyReceived(after=6, revision=7, encoded=b"rubbish"))
            await wait_until(lambda: store.watches > 0, "the instance watches the store")


class BusyStore(FakeStore):
    """Answers each watch at once with a change."""

    async def watch(
        self, after: int, wait_s: float  # noqa: ARG002
    ) -> Result[Changes, HistoryLost | PlatformUnavailable]:
        self.watches += 1
        return Ok(Changes(items=(Removed(key=None),), revision=after + 1))


async def test_followers_that_have_lost_their_relays_call_the_store_rarely() -> None:
    """Guards against a store that gets a call a change from each instance when relays are lost.

    The load is a store with many changes, and a zone whose two relays have just been killed.
    """
    store = BusyStore(zone_entries(f"{HOST}:1"))
    kernel, recorder = Kernel(), Recorder()
    entry = InstanceEntry(instance="c", availability_zone="z", relay_address=f"{HOST}:1")
    metadata = MetadataService(entry=entry, store=store, random=Random(1), metrics=GatewayMetrics())
    kernel.register("gateway", recorder)
    kernel.register("metadata", metadata)
    kernel.start()
    await wait_until(lambda: store.watches > 0, "the instance watches the store")
    await asyncio.sleep(1.6)
    assert store.watches <= 2
    await kernel.stop("metadata")
    await kernel.stop("gateway")


async def test_a_relay_that_follows_another_passes_its_changes_on_with_their_age() -> None:
    """Guards against followers of a relay that miss changes, or take them for newer than they are.

    A relay of an earlier version may send keys, so what is passed on has been decoded before.
    Instance ``y0`` relays for its zone and follows the first instance of zone ``a`` or ``x``.
    """
    async with relay() as (upstream, address), relay() as (own, own_address):
        upstream.lookup("relay").send(StoreReplyReceived(after=5, revision=5, age_s=0.7))
        (await connect(address, after=5)).close()
        metadata = MetadataService(
            entry=InstanceEntry(instance="y0", availability_zone="y", relay_address=own_address),
            store=FakeStore(fleet_entries(address)),
            random=Random(1),
            metrics=GatewayMetrics(),
        )
        own.register("gateway", Recorder())
        own.register("metadata", metadata)
        for name in ("gateway", "metadata"):
            own.tasks[name] = asyncio.create_task(own.services[name].run(own, own.mailboxes[name]))
        link = await connect(own_address, after=5)
        while not isinstance(frame := await link.receive(), Ok):
            await asyncio.sleep(0.05)
            link = await connect(own_address, after=5)
        upstream.lookup("relay").send(
            StoreReplyReceived(after=5, revision=6, encoded=b"6", age_s=0.7)
        )
        while not (frame := await link.receive()).unwrap().encoded:
            pass
        assert frame.unwrap().encoded == b"6 decoded"
        assert frame.unwrap().age_s >= 0.7
        assert metadata.store.watches == 0  # type: ignore[attr-defined]
        await own.stop("metadata")
        await own.stop("gateway")
        link.close()


def fleet_entries(address: str) -> tuple[InstanceEntry, ...]:
    return tuple(
        InstanceEntry(instance=f"{zone}{number}", availability_zone=zone, relay_address=address)
        for zone in ("a", "x", "y")
        for number in range(5)
    )


class StaleRelay:
    """A relay without a connection to the store: the age in its heartbeats grows."""

    def __init__(self) -> None:
        self.age_s = 0.0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send heartbeats until the follower disconnects."""
        await read_frame(reader, FOLLOW_REQUEST)
        while not reader.at_eof():
            writer.write(encode(RelayFrame(after=5, revision=5, age_s=self.age_s)))
            self.age_s += HEARTBEAT_INTERVAL_S
            await asyncio.sleep(0.01)
        writer.close()


async def test_a_follower_of_a_relay_that_has_lost_the_store_watches_it_in_time() -> None:
    """Guards against a configuration that arrives late because the relay can't reach the store."""
    relay = StaleRelay()
    server = await asyncio.start_server(relay.serve, HOST, 0)
    address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
    async with server, instance("c", "z", address) as (store, recorder):
        await until_listed(recorder)
        await wait_until(lambda: store.watches > 0, "the instance watches the store")
        ages = [m.age_s for m in recorder.messages if isinstance(m, MetadataChanged)]
    assert max(ages) + HEARTBEAT_INTERVAL_S < CONFIGURATION_DUE_S


class EraRelay:
    """A relay whose frames are of one era."""

    def __init__(self, era: int) -> None:
        self.era = era
        self.followers = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send heartbeats until the follower disconnects."""
        await read_frame(reader, FOLLOW_REQUEST)
        self.followers += 1
        while not reader.at_eof():
            writer.write(encode(RelayFrame(after=5, revision=5, era=self.era)))
            await asyncio.sleep(0.01)
        writer.close()


class RestoredStore(FakeStore):
    """Counts the listings; the store is in era 2 from the second listing on."""

    def __init__(self, items: tuple[Item, ...]) -> None:
        super().__init__(items)
        self.listings = 0
        self.waits_s: list[float] = []

    async def list_all(self) -> Result[Listing, PlatformUnavailable]:
        self.listings += 1
        return Ok(Listing(items=self.items, revision=5, era=min(2, self.listings)))

    async def watch(
        self, after: int, wait_s: float
    ) -> Result[Changes, HistoryLost | PlatformUnavailable]:
        self.watches += 1
        self.waits_s.append(wait_s)
        await asyncio.sleep(min(0.05, wait_s))
        return Ok(Changes(items=(), revision=after, era=min(2, self.listings)))


@pytest.mark.parametrize(
    ("relay_era", "lists_again"), [(2, True), (0, False)], ids=["newer-era", "older-era"]
)
async def test_a_follower_reads_everything_again_only_if_its_relay_knows_a_newer_era(
    relay_era: int, lists_again: bool
) -> None:
    """Guards against a stale relay that looks like a loss, and a loss that looks like one."""
    relay = EraRelay(relay_era)
    server = await asyncio.start_server(relay.serve, HOST, 0)
    address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
    store, recorder, kernel = RestoredStore(zone_entries(address)), Recorder(), Kernel()
    entry = InstanceEntry(instance="c", availability_zone="z", relay_address=address)
    kernel.register("gateway", recorder)
    kernel.register(
        "metadata",
        MetadataService(entry=entry, store=store, random=Random(1), metrics=GatewayMetrics()),
    )
    async with server:
        kernel.start()
        await wait_until(lambda: relay.followers > 0, "the relay is followed")
        if lists_again:
            await wait_until(lambda: store.listings == 2, "everything is read again")
            listed = [m for m in recorder.messages if isinstance(m, MetadataListed)]
            assert listed[-1].after_outage, "missing entries are kept for now"
        else:
            await wait_until(lambda: store.watches > 0, "the instance watches the store")
            assert store.waits_s[0] == 0.0, "it asks for the era at once"
            assert store.listings == 1
        await kernel.stop("metadata")
        await kernel.stop("gateway")
