from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from random import Random
from typing import TYPE_CHECKING

import pytest
from result import Err, Ok, Result

from azurefield.crash_evidence import RequestAnswered
from azurefield.store_position import StorePosition
from azurefield_entry.gateway.messages import (
    MetadataChanged,
    MetadataListed,
    StoreReplyReceived,
    StoreWatchEnded,
)
from azurefield_entry.gateway.metadata.own_entries import OwnEntries
from azurefield_entry.gateway.metadata.relay import (
    FOLLOW_REQUEST,
    HEARTBEAT_INTERVAL_S,
    RelayFrame,
    RelayLink,
    RelayLost,
    RelayService,
    open_relay,
)
from azurefield_entry.gateway.metadata.service import MetadataService
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.peers.framing import encode, read_frame
from azurefield_entry.gateway.ports import (
    Changes,
    CrashReportEntry,
    HistoryLost,
    InstanceEntry,
    Item,
    Lease,
    LeaseEnded,
    Listing,
    Removed,
)
from azurefield_entry.kernel import Kernel, Mailbox, Stop
from azurefield_platform.failures import MalformedReply, PlatformUnavailable
from azurefield_testkit.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from azurefield.issuer_slots import SlotKey

HOST = "127.0.0.1"
# The platform requires a new configuration version to be in force within this time.
CONFIGURATION_DUE_S = 3.0


@asynccontextmanager
async def relay() -> AsyncIterator[tuple[Kernel, str]]:
    """Run a relay on a free port."""
    kernel = Kernel()
    server = await asyncio.start_server(lambda *_: None, HOST, 0)
    address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
    server.close()
    await server.wait_closed()
    kernel.register("relay", RelayService(address=address))
    kernel.start()
    try:
        yield kernel, address
    finally:
        await kernel.stop("relay")


async def connect(address: str, after: int, era: int | None = None) -> RelayLink:
    """Connect to a relay, retrying until it listens."""
    async with asyncio.timeout(5):
        while True:
            match await open_relay(address, StorePosition(revision=after, era=era)):
                case Ok(link):
                    return link
                case Err(_):
                    await asyncio.sleep(0.01)


async def test_a_follower_receives_the_changes_it_lacks_and_later_ones() -> None:
    """Guards against losing the changes between a follower's listing and its first frame."""
    async with relay() as (kernel, address):
        mailbox = kernel.lookup("relay")
        mailbox.send(StoreReplyReceived(after=5, revision=5))
        mailbox.send(StoreReplyReceived(after=5, revision=7, encoded=b"seven"))
        mailbox.send(StoreReplyReceived(after=7, revision=9, encoded=b"nine"))
        link = await connect(address, after=7)
        mailbox.send(StoreReplyReceived(after=9, revision=10, encoded=b"ten"))
        frames: list[bytes] = []
        while not frames or frames[-1] != b"ten":
            frame = (await link.receive()).unwrap()
            if frame.encoded:
                frames.append(frame.encoded)
        assert frames == [b"nine", b"ten"]
        mailbox.send(StoreWatchEnded())
        async with asyncio.timeout(5):
            while isinstance(await link.receive(), Ok):
                pass
        link.close()


@pytest.mark.parametrize(
    ("messages", "after"),
    [
        ((), 5),
        ((StoreReplyReceived(after=5, revision=5), StoreWatchEnded()), 5),
        ((StoreReplyReceived(after=5, revision=5),), 4),
        (
            (
                StoreReplyReceived(after=5, revision=7, encoded=b"seven"),
                StoreReplyReceived(after=8, revision=9, encoded=b"nine"),
            ),
            7,
        ),
    ],
    ids=["not-watching", "no-longer-watching", "too-old", "gap"],
)
async def test_a_follower_is_disconnected_when_changes_could_be_missed(
    messages: tuple[object, ...], after: int
) -> None:
    """Guards against a follower that misses changes without knowing it."""
    async with relay() as (kernel, address):
        for message in messages:
            kernel.lookup("relay").send(message)
        link = await connect(address, after)
        assert isinstance(await link.receive(), Err)
        link.close()


async def test_a_silent_relay_is_lost() -> None:
    """Guards against following an instance whose process has been suspended."""

    async def stay_silent(reader: asyncio.StreamReader, _: asyncio.StreamWriter) -> None:
        await reader.read()

    server = await asyncio.start_server(stay_silent, HOST, 0)
    async with server:
        link = await connect(f"{HOST}:{server.sockets[0].getsockname()[1]}", after=1)
        assert isinstance(await link.receive(), Err)
        link.close()


class FakeStore:
    """Fake store: counts the watches and answers each without changes."""

    def __init__(self, items: tuple[Item, ...]) -> None:
        self.items = items
        self.watches = 0

    def use_address(self, address: str) -> None:
        """Do nothing."""

    async def list_all(self) -> Result[Listing, PlatformUnavailable]:
        return Ok(Listing(items=self.items, revision=5))

    async def watch(
        self, after: int, wait_s: float  # noqa: ARG002
    ) -> Result[Changes, HistoryLost | PlatformUnavailable]:
        self.watches += 1
        await asyncio.sleep(0.05)
        return Ok(Changes(items=(), revision=after))

    def decode_changes(self, encoded: bytes) -> Result[Changes, MalformedReply]:
        if encoded == b"rubbish":
            return Err(MalformedReply(detail="rubbish"))
        new = InstanceEntry(instance="new")
        return Ok(Changes(items=(new,), revision=int(encoded), encoded=encoded + b" decoded"))

    async def new_lease(self, ttl_s: float) -> Result[Lease, PlatformUnavailable]:  # noqa: ARG002
        return Ok(Lease(number=1))

    async def renew_lease(
        self, lease: Lease  # noqa: ARG002
    ) -> Result[None, LeaseEnded | PlatformUnavailable]:
        return Ok(None)

    async def put(
        self,
        entry: InstanceEntry | CrashReportEntry | SlotKey,  # noqa: ARG002
        lease: Lease,  # noqa: ARG002
        revision: int | None = None,  # noqa: ARG002
    ) -> Result[None, LeaseEnded | PlatformUnavailable]:
        return Ok(None)


class Recorder:
    """Fake service ``gateway``: records its messages."""

    def __init__(self) -> None:
        self.messages: list[object] = []

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:  # noqa: ARG002
        while not isinstance(message := await mailbox.receive(), Stop):
            self.messages.append(message)

    def revisions(self) -> list[int]:
        """List the revisions of the changes after the listing."""
        found = [m.changes.revision for m in self.messages if isinstance(m, MetadataChanged)]
        return sorted({revision for revision in found if revision > 5})


def zone_entries(address: str) -> tuple[InstanceEntry, ...]:
    names = ("a", "b", "c", "d", "e")
    return tuple(
        InstanceEntry(instance=name, availability_zone="z", relay_address=address) for name in names
    )


@asynccontextmanager
async def instance(name: str, zone: str, address: str) -> AsyncIterator[tuple[FakeStore, Recorder]]:
    """Run the metadata service of an instance; the store lists five instances of zone ``z``."""
    kernel, store, recorder = Kernel(), FakeStore(zone_entries(address)), Recorder()
    metadata = MetadataService(
        entry=InstanceEntry(instance=name, availability_zone=zone, relay_address=address),
        store=store,
        random=Random(1),
        metrics=GatewayMetrics(),
    )
    kernel.register("gateway", recorder)
    kernel.register("metadata", metadata)
    kernel.start()
    try:
        yield store, recorder
    finally:
        await kernel.stop("metadata")
        await kernel.stop("gateway")


async def until_listed(recorder: Recorder) -> None:
    await wait_until(
        lambda: any(isinstance(message, MetadataListed) for message in recorder.messages),
        "everything is listed",
    )


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


async def test_a_port_without_a_listener_is_no_relay() -> None:
    result = await open_relay(f"{HOST}:1", StorePosition(revision=1))
    assert isinstance(result, Err)
    assert isinstance(result.err_value, RelayLost)


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


@pytest.mark.parametrize(
    ("reply", "follower_era"),
    [
        pytest.param(StoreReplyReceived(after=5, revision=5, era=2), 1, id="relay-ahead"),
        pytest.param(StoreReplyReceived(after=5, revision=5, era=1), 2, id="follower-ahead"),
    ],
)
async def test_a_follower_of_another_era_is_not_served(
    reply: StoreReplyReceived, follower_era: int
) -> None:
    """Guards against a follower that compares revisions of two histories of the store."""
    async with relay() as (kernel, address):
        kernel.lookup("relay").send(reply)
        link = await connect(address, after=5, era=follower_era)
        assert isinstance(await link.receive(), Err)
        link.close()


async def test_a_relay_disconnects_its_followers_when_the_store_was_restored() -> None:
    """Guards against followers that ignore new changes because their revisions are lower."""
    async with relay() as (kernel, address):
        mailbox = kernel.lookup("relay")
        mailbox.send(StoreReplyReceived(after=61, revision=61, era=1))
        link = await connect(address, after=61, era=1)
        assert isinstance(await link.receive(), Ok)
        mailbox.send(StoreReplyReceived(after=40, revision=40, era=2))
        async with asyncio.timeout(5):
            while isinstance(await link.receive(), Ok):
                pass
        link.close()


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


class WritingStore(FakeStore):
    """Records what is written, and under which lease; ``era`` is the current one."""

    def __init__(self) -> None:
        super().__init__(())
        self.era = 1
        self.written: list[tuple[InstanceEntry | CrashReportEntry | SlotKey, int | None]] = []
        self.down = False

    async def new_lease(self, ttl_s: float) -> Result[Lease, PlatformUnavailable]:  # noqa: ARG002
        if self.down:
            return Err(PlatformUnavailable(detail="down"))
        return Ok(Lease(number=len(self.written), era=self.era))

    async def put(
        self,
        entry: InstanceEntry | CrashReportEntry | SlotKey,
        lease: Lease,
        revision: int | None = None,  # noqa: ARG002
    ) -> Result[None, LeaseEnded | PlatformUnavailable]:
        self.written.append((entry, lease.era))
        return Ok(None)


async def test_an_instance_writes_what_still_holds_again_after_a_loss_of_the_store() -> None:
    """Guards against instances that are not counted, and crash reports that end, after a loss."""
    store, entry = WritingStore(), InstanceEntry(instance="c")
    own = OwnEntries(entry=entry, store=store, random=Random(1), metrics=GatewayMetrics())
    keeping = asyncio.create_task(own.keep_registered())
    writing = asyncio.create_task(own.reports.run())
    own.reports.add(RequestAnswered(request="ended", service="s"))
    own.reports.add(RequestAnswered(request="holds", service="s"))
    await wait_until(lambda: len(store.written) == 3, "all entries are written")
    own.reports.holds_until[RequestAnswered(request="ended", service="s")] = 0.0
    store.written.clear()
    store.era = 2
    own.write_again(2)
    await wait_until(lambda: len(store.written) == 2, "they are written again")
    holds = CrashReportEntry(report=RequestAnswered(request="holds", service="s"))
    assert {entry for entry, _ in store.written} == {entry, holds}
    assert {era for _, era in store.written} == {2}
    keeping.cancel()
    writing.cancel()


async def test_a_crash_report_is_written_once_the_store_takes_it() -> None:
    """Guards against reports that are lost because the store was away."""
    store = WritingStore()
    store.down = True
    own = OwnEntries(
        entry=InstanceEntry(instance="c"), store=store, random=Random(1), metrics=GatewayMetrics()
    )
    writing = asyncio.create_task(own.reports.run())
    reports = [RequestAnswered(request=f"r{number}", service="s") for number in range(3)]
    for report in reports:
        own.reports.add(report)
    failures = own.metrics.store_failures
    await wait_until(lambda: next(iter(failures.collect())).samples[0].value >= 1, "a write fails")
    assert not store.written
    store.down = False
    await wait_until(lambda: len(store.written) == 3, "all are written")
    assert [entry for entry, _ in store.written] == [
        CrashReportEntry(report=report) for report in reports
    ]
    writing.cancel()
