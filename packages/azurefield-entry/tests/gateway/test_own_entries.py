from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from azurefield.crash_evidence import RequestAnswered
from azurefield_entry.gateway.metadata.own_entries import OwnEntries
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.ports import CrashReportEntry, InstanceEntry, Lease, LeaseEnded
from azurefield_platform.failures import PlatformUnavailable
from azurefield_testkit.entry_support.store_followers import FakeStore
from azurefield_testkit.waiting import wait_until

if TYPE_CHECKING:
    from azurefield.issuer_slots import SlotKey


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
