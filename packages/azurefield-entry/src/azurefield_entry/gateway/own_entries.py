"""Entries that an instance writes to the store: its own entry and its crash reports."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

from logbook import Logger
from result import Err, Ok

from azurefield_entry.clock import now
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.ports import (
    CrashReportEntry,
    InstanceEntry,
    Lease,
    LeaseEnded,
    MetadataStore,
)

# An instance that stopped without notice stays listed, and counts in the division of connections,
# until its lease ends.
INSTANCE_LEASE_S = 15.0
LEASE_RENEW_INTERVAL_S = 5.0
log = Logger("metadata")


@dataclass(slots=True, kw_only=True)
class OwnEntries:
    """Keeps the entries of one instance in the store, also after the store has lost them.

    :param entry: the entry of the instance itself
    :param era: the store's era after its last restore
    :param reported: until when the crash reports of this instance hold, by request
    :param restored: set when the store was restored and the entry has to be written again
    """

    entry: InstanceEntry
    store: MetadataStore
    random: Random
    metrics: GatewayMetrics
    era: int | None = None
    reported: dict[str, float] = field(default_factory=dict)
    restored: asyncio.Event = field(default_factory=asyncio.Event)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def keep_registered(self) -> None:
        """Keep this instance's entry in the store, under a lease that ends if it is not renewed."""
        lease: Lease | None = None
        while True:
            if self.restored.is_set():
                self.restored.clear()
                lease = None if lease is None or lease.era != self.era else lease
            if lease is None:
                lease = await self.register_instance()
            else:
                match await self.store.renew_lease(lease):
                    case Err(LeaseEnded()):
                        log.info(
                            "The lease of this instance's entry has ended; writing the entry again."
                        )
                        lease = None
                        continue
                    case Err(failure):
                        self.metrics.store_failures.inc()
                        log.warning(
                            "The lease of this instance's entry was not renewed: {}; trying again.",
                            failure,
                        )
            interval_s = LEASE_RENEW_INTERVAL_S * (0.9 + 0.2 * self.random.random())
            with suppress(TimeoutError):
                async with asyncio.timeout(interval_s):
                    await self.restored.wait()

    async def register_instance(self) -> Lease | None:
        """Write this instance's entry.

        :return: the entry's lease; None if the store did not confirm the write
        """
        return await self.put(self.entry, INSTANCE_LEASE_S)

    def write_again(self, era: int | None) -> None:
        """Write the entries again after the store was restored from a copy of another era."""
        self.era = era
        self.restored.set()
        at = now()
        self.reported = {name: until for name, until in self.reported.items() if until > at}
        for request, until in self.reported.items():
            self.start_report(request, until - at)

    def report_crash(self, request: str, ttl_s: float) -> None:
        """Report, for all instances, that a request crashed servers here."""
        self.reported[request] = now() + ttl_s
        self.start_report(request, ttl_s)

    def start_report(self, request: str, ttl_s: float) -> None:
        """Write a crash report in the background."""
        report = CrashReportEntry(instance=self.entry.instance, request=request)
        task = asyncio.create_task(self.write_report(report, ttl_s))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def write_report(self, report: CrashReportEntry, ttl_s: float) -> None:
        """Write a crash report."""
        await self.put(report, ttl_s)

    async def put(self, entry: InstanceEntry | CrashReportEntry, ttl_s: float) -> Lease | None:
        """Write an entry under a new lease.

        :return: the lease; None if the store did not confirm the lease and the write
        """
        match await self.store.new_lease(ttl_s):
            case Ok(lease):
                pass
            case Err(failure):
                self.metrics.store_failures.inc()
                log.warning(
                    "Could not get a lease for the entry {}: {}; it is not written.", entry, failure
                )
                return None
        match await self.store.put(entry, lease):
            case Err(problem):
                self.metrics.store_failures.inc()
                log.warning("Could not write the entry {}: {}.", entry, problem)
                return None
        return lease
