from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

import pytest
from result import Ok, Result

from azurefield_entry.gateway.metadata.service import (
    CHANGE_BATCH_S,
    FOLLOWER_CHANGE_BATCH_S,
    WATCH_WAIT_S,
    MetadataService,
)
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.ports import (
    Changes,
    CrashReportEntry,
    HistoryLost,
    InstanceEntry,
    Lease,
    Listing,
    Removed,
)
from azurefield_entry.kernel import Kernel, Mailbox, Stop
from azurefield_testkit.entry_support.store_followers import HOST, FakeStore, zone_entries
from azurefield_testkit.waiting import wait_until

if TYPE_CHECKING:
    from azurefield.issuer_slots import SlotKey
    from azurefield_platform.failures import MalformedReply, PlatformUnavailable


class Receiver:
    """Takes the place of the service that applies the changes."""

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:  # noqa: ARG002
        while not isinstance(await mailbox.receive(), Stop):
            pass


class FailingOnceStore:
    """Fake store that raises an unexpected error in the first call of one kind."""

    def __init__(self, failing: str) -> None:
        self.failing: str | None = failing
        self.watches = 0
        self.entries = 0

    def fail_once(self, call: str) -> None:
        if call == self.failing:
            self.failing = None
            raise KeyError(call)

    def use_address(self, address: str) -> None:
        """Do nothing."""

    def decode_changes(self, encoded: bytes) -> Result[Changes, MalformedReply]:
        raise NotImplementedError

    async def list_all(self) -> Result[Listing, PlatformUnavailable]:
        self.fail_once("list")
        return Ok(Listing(items=(), revision=5))

    async def watch(
        self, after: int, wait_s: float  # noqa: ARG002
    ) -> Result[Changes, HistoryLost | PlatformUnavailable]:
        self.fail_once("watch")
        self.watches += 1
        await asyncio.sleep(0.05)
        return Ok(Changes(items=(), revision=after))

    async def new_lease(self, ttl_s: float) -> Result[Lease, PlatformUnavailable]:  # noqa: ARG002
        self.fail_once("lease")
        return Ok(Lease(number=1))

    async def renew_lease(self, lease: Lease) -> Result[None, PlatformUnavailable]:  # noqa: ARG002
        return Ok(None)

    async def put(
        self,
        entry: InstanceEntry | CrashReportEntry | SlotKey,  # noqa: ARG002
        lease: Lease,  # noqa: ARG002
        revision: int | None = None,  # noqa: ARG002
    ) -> Result[None, PlatformUnavailable]:
        self.entries += 1
        return Ok(None)


@pytest.mark.parametrize("call", ["list", "watch", "lease"])
async def test_an_unexpected_error_does_not_end_the_work_with_the_store(call: str) -> None:
    """Guards against an instance that silently follows the store no more, or loses its entry."""
    store, kernel = FailingOnceStore(call), Kernel()
    metadata = MetadataService(
        entry=InstanceEntry(instance="a"), store=store, random=Random(1), metrics=GatewayMetrics()
    )
    kernel.register("gateway", Receiver())
    kernel.register("metadata", metadata)
    kernel.start()
    try:
        await wait_until(
            lambda: store.watches > 1 and store.entries > 0, "the work goes on", limit_s=5.0
        )
        assert store.failing is None
    finally:
        await kernel.stop("metadata")
        await kernel.stop("gateway")


class ChangingStore(FakeStore):
    """Answers the first two watches with a change, and records how long the watches may wait."""

    def __init__(self, items: tuple[InstanceEntry, ...]) -> None:
        super().__init__(items)
        self.waits_s: list[float] = []

    async def watch(
        self, after: int, wait_s: float
    ) -> Result[Changes, HistoryLost | PlatformUnavailable]:
        self.waits_s.append(wait_s)
        if len(self.waits_s) > 2:
            return await super().watch(after, wait_s)
        return Ok(Changes(items=(Removed(key=None),), revision=after + 1))


@pytest.mark.parametrize(
    ("items", "pause_s"),
    [
        pytest.param((), CHANGE_BATCH_S, id="small-zone"),
        pytest.param(zone_entries(f"{HOST}:1"), FOLLOWER_CHANGE_BATCH_S, id="without-its-relays"),
    ],
)
async def test_the_pause_after_a_change_does_not_delay_the_end_of_a_silent_watch(
    items: tuple[InstanceEntry, ...], pause_s: float
) -> None:
    """Guards against an old configuration if connections to the store go silent in the pause.

    The time in which that shows begins with the store's last reply, not with the next watch.
    """
    store, kernel = ChangingStore(items), Kernel()
    entry = InstanceEntry(instance="c", availability_zone="z")
    metadata = MetadataService(entry=entry, store=store, random=Random(1), metrics=GatewayMetrics())
    kernel.register("gateway", Receiver())
    kernel.register("metadata", metadata)
    kernel.start()
    try:
        # An instance that has just lost a relay lets its watch return at once, and there are two.
        await wait_until(lambda: len(store.waits_s) > 2, "the third watch has begun", limit_s=10.0)
    finally:
        await kernel.stop("metadata")
        await kernel.stop("gateway")
    # A timer may fire a little before its time.
    assert 0.0 < store.waits_s[2] <= WATCH_WAIT_S - pause_s + 0.01
