from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

import pytest
from result import Ok, Result

from azurefield_entry.gateway.metadata.service import MetadataService
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.ports import (
    Changes,
    CrashReportEntry,
    HistoryLost,
    InstanceEntry,
    Lease,
    Listing,
)
from azurefield_entry.kernel import Kernel, Mailbox, Stop
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
