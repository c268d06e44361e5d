"""Entries that an instance writes to the store: its own entry and its crash reports."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

from logbook import Logger
from result import Err, Ok

from azurefield_entry.gateway.crashes.report_writer import CrashReportWriter
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.ports import (
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
    :param restored: set when the store was restored and the entry has to be written again
    """

    entry: InstanceEntry
    store: MetadataStore
    random: Random
    metrics: GatewayMetrics
    era: int | None = None
    restored: asyncio.Event = field(default_factory=asyncio.Event)
    reports: CrashReportWriter = field(init=False)

    def __post_init__(self) -> None:
        self.reports = CrashReportWriter(store=self.store, random=self.random, metrics=self.metrics)

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

    def write_again(self, era: int | None) -> None:
        """Write the entries again after the store was restored from a copy of another era."""
        self.era = era
        self.restored.set()
        self.reports.write_again()

    async def register_instance(self) -> Lease | None:
        """Write this instance's entry under a new lease.

        :return: the lease; None if the store did not confirm the lease and the write
        """
        match await self.store.new_lease(INSTANCE_LEASE_S):
            case Ok(lease):
                pass
            case Err(failure):
                self.metrics.store_failures.inc()
                log.warning(
                    "Could not get a lease for the entry {}: {}; it is not written.",
                    self.entry,
                    failure,
                )
                return None
        match await self.store.put(self.entry, lease):
            case Err(problem):
                self.metrics.store_failures.inc()
                log.warning("Could not write the entry {}: {}.", self.entry, problem)
                return None
        return lease
