"""Parts for tests of instances that follow the store, themselves or through a relay."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from random import Random
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from azurefield.store_position import StorePosition
from azurefield_entry.gateway.messages import MetadataChanged, MetadataListed
from azurefield_entry.gateway.metadata.relay import RelayLink, RelayService, open_relay
from azurefield_entry.gateway.metadata.service import MetadataService
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.ports import (
    Changes,
    CrashReportEntry,
    HistoryLost,
    InstanceEntry,
    Item,
    Lease,
    LeaseEnded,
    Listing,
)
from azurefield_entry.kernel import Kernel, Mailbox, Stop
from azurefield_platform.failures import MalformedReply, PlatformUnavailable
from azurefield_testkit.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from azurefield.issuer_slots import SlotKey

HOST = "127.0.0.1"


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


class FakeStore:
    """Fake store: counts the watches and answers each without changes."""

    def __init__(self, items: tuple[Item, ...]) -> None:
        self.items = items
        self.watches = 0

    def use_address(self, address: str) -> None:
        """Do nothing."""

    async def list_all(self) -> Result[Listing, PlatformUnavailable]:
        """Return the items at revision 5."""
        return Ok(Listing(items=self.items, revision=5))

    async def watch(
        self, after: int, wait_s: float  # noqa: ARG002
    ) -> Result[Changes, HistoryLost | PlatformUnavailable]:
        """Return no changes after a short wait."""
        self.watches += 1
        await asyncio.sleep(0.05)
        return Ok(Changes(items=(), revision=after))

    def decode_changes(self, encoded: bytes) -> Result[Changes, MalformedReply]:
        """Decode a revision as a new instance; the encoded form of what was decoded differs."""
        if encoded == b"rubbish":
            return Err(MalformedReply(detail="rubbish"))
        new = InstanceEntry(instance="new")
        return Ok(Changes(items=(new,), revision=int(encoded), encoded=encoded + b" decoded"))

    async def new_lease(self, ttl_s: float) -> Result[Lease, PlatformUnavailable]:  # noqa: ARG002
        """Return a lease."""
        return Ok(Lease(number=1))

    async def renew_lease(
        self, lease: Lease  # noqa: ARG002
    ) -> Result[None, LeaseEnded | PlatformUnavailable]:
        """Renew any lease."""
        return Ok(None)

    async def put(
        self,
        entry: InstanceEntry | CrashReportEntry | SlotKey,  # noqa: ARG002
        lease: Lease,  # noqa: ARG002
        revision: int | None = None,  # noqa: ARG002
    ) -> Result[None, LeaseEnded | PlatformUnavailable]:
        """Accept any entry."""
        return Ok(None)


class Recorder:
    """Fake service ``gateway``: records its messages."""

    def __init__(self) -> None:
        self.messages: list[object] = []

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:  # noqa: ARG002
        """Record messages until ``Stop``."""
        while not isinstance(message := await mailbox.receive(), Stop):
            self.messages.append(message)

    def revisions(self) -> list[int]:
        """List the revisions of the changes after the listing."""
        found = [m.changes.revision for m in self.messages if isinstance(m, MetadataChanged)]
        return sorted({revision for revision in found if revision > 5})


def zone_entries(address: str) -> tuple[InstanceEntry, ...]:
    """Return five instances of zone ``z``, all with the same relay address."""
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
    """Wait until ``gateway`` has received a listing."""
    await wait_until(
        lambda: any(isinstance(message, MetadataListed) for message in recorder.messages),
        "everything is listed",
    )
