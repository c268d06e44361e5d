"""Writes the crash reports of an instance to the store, until it has taken them."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from logbook import Logger
from msgspec import Struct, field
from result import Err, Ok

from azurefield.crash_evidence import EVIDENCE_LIFETIME_S, CrashReport
from azurefield_entry.clock import now
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.ports import CrashReportEntry, Lease, MetadataStore

if TYPE_CHECKING:
    from collections.abc import Iterable

# Reports that are written within this time share a lease.
LEASE_SHARED_S = 60.0
RETRY_BACKOFF_MIN_S = 0.2
RETRY_BACKOFF_MAX_S = 3.0
# Further reports reach the other instances directly only.
REPORTS_MAX = 500
log = Logger("metadata")


class CrashReportWriter(Struct, kw_only=True):
    """Keeps trying to write each report while it holds.

    :param holds_until: until when the reports of this instance hold
    :param unwritten: those that the store has not taken yet
    """

    store: MetadataStore
    random: Random
    metrics: GatewayMetrics
    holds_until: dict[CrashReport, float] = field(default_factory=dict)
    unwritten: list[CrashReport] = field(default_factory=list)
    added: asyncio.Event = field(default_factory=asyncio.Event)
    lease: Lease | None = None
    lease_from: float = float("-inf")

    def add(self, report: CrashReport) -> None:
        """Write a report as soon as the store takes it."""
        if len(self.holds_until) >= REPORTS_MAX:
            self.drop_expired()
        if len(self.holds_until) >= REPORTS_MAX:
            log.warning("Too many crash reports; {} is not written.", report)
            return
        self.holds_until[report] = now() + EVIDENCE_LIFETIME_S
        self.write_soon([report])

    def write_again(self) -> None:
        """Write all reports again, since the store has lost what was written last."""
        self.drop_expired()
        self.lease = None
        self.write_soon(report for report in self.holds_until if report not in self.unwritten)

    def write_soon(self, reports: Iterable[CrashReport]) -> None:
        """Queue reports."""
        self.unwritten += reports
        self.added.set()

    def drop_expired(self) -> None:
        """Drop the reports that no longer hold."""
        at = now()
        self.holds_until = {
            report: until for report, until in self.holds_until.items() if until > at
        }
        self.unwritten = [report for report in self.unwritten if report in self.holds_until]

    async def run(self) -> None:
        """Write the queued reports, one after the other."""
        backoff_s = RETRY_BACKOFF_MIN_S
        while True:
            if not self.unwritten:
                self.added.clear()
                await self.added.wait()
            self.drop_expired()
            if not self.unwritten:
                continue
            report = self.unwritten[0]
            if await self.write(report):
                self.unwritten.remove(report)
                backoff_s = RETRY_BACKOFF_MIN_S
            else:
                await asyncio.sleep(backoff_s * (0.5 + self.random.random()))
                backoff_s = min(RETRY_BACKOFF_MAX_S, 2 * backoff_s)

    async def write(self, report: CrashReport) -> bool:
        """Write one report; return whether the store has taken it."""
        lease = await self.current_lease()
        if lease is None:
            return False
        match await self.store.put(CrashReportEntry(report=report), lease):
            case Err(problem):
                self.metrics.store_failures.inc()
                log.warning("Could not write {}: {}; trying again.", report, problem)
                self.lease = None
                return False
        return True

    async def current_lease(self) -> Lease | None:
        """Return a lease that is not old, or a new one; None if the store grants none."""
        if self.lease is not None and now() - self.lease_from < LEASE_SHARED_S:
            return self.lease
        match await self.store.new_lease(EVIDENCE_LIFETIME_S):
            case Ok(lease):
                self.lease, self.lease_from = lease, now()
            case Err(failure):
                self.metrics.store_failures.inc()
                log.warning("Got no lease for a crash report: {}; trying again.", failure)
                self.lease = None
        return self.lease
