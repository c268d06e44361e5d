"""The service ``metadata``: follows the platform's store and keeps this instance's entry there."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from logbook import Logger
from result import Err, Ok

from azurefield_entry.gateway.messages import (
    MetadataChanged,
    MetadataListed,
    ReportCrash,
    SettingsChanged,
)
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.ports import (
    CrashReportKey,
    HistoryLost,
    InstanceKey,
    LeaseEnded,
    MetadataStore,
)
from azurefield_entry.kernel import Stop

if TYPE_CHECKING:
    from azurefield_entry.kernel import Kernel, Mailbox

# A watch returns at least this often, which shows a connection that has gone silent.
WATCH_WAIT_S = 3.0
# Changes of this time are read with one call, since each call has a price.
GATHER_S = 0.25
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8
# An instance that is gone counts for this long in the division of connections.
LEASE_S = 15.0
RENEW_INTERVAL_S = 5.0
log = Logger("metadata")


@dataclass(slots=True, kw_only=True)
class MetadataService:
    """Owns all calls to the store, each bounded in time.

    :param instance: the name under which this instance is listed
    """

    instance: str
    store: MetadataStore
    random: Random
    metrics: GatewayMetrics
    available: bool = True
    backoff_s: float = RETRY_MIN_S
    writes: set[asyncio.Task[None]] = field(default_factory=set)

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Follow the store until ``Stop``."""
        tasks = [
            asyncio.create_task(self.follow(kernel)),
            asyncio.create_task(self.stay_listed()),
        ]
        while True:
            match await mailbox.receive():
                case ReportCrash(request=request, ttl_s=ttl_s):
                    task = asyncio.create_task(self.report_crash(request, ttl_s))
                    self.writes.add(task)
                    task.add_done_callback(self.writes.discard)
                case SettingsChanged(settings=settings):
                    self.store.use_address(settings.store_address)
                case Stop():
                    break
        for task in [*tasks, *self.writes]:
            task.cancel()
        await asyncio.gather(*tasks, *self.writes, return_exceptions=True)

    async def follow(self, kernel: Kernel) -> None:
        """List everything, then watch; list again whenever the history is lost."""
        gateway = kernel.lookup("gateway")
        revision: int | None = None
        while True:
            if revision is None:
                match await self.store.list_all():
                    case Ok(listing):
                        after_outage = self.note_answer()
                        gateway.send(MetadataListed(listing=listing, after_outage=after_outage))
                        revision = listing.revision
                    case Err(failure):
                        await self.note_failure(failure)
                continue
            match await self.store.watch(revision, WATCH_WAIT_S):
                case Ok(changes):
                    after_outage = self.note_answer()
                    gateway.send(MetadataChanged(changes=changes, after_outage=after_outage))
                    revision = changes.revision
                    if changes.items:
                        await asyncio.sleep(GATHER_S)
                case Err(HistoryLost()):
                    log.info("The history after revision {} is lost.", revision)
                    revision = None
                case Err(problem):
                    await self.note_failure(problem)

    def note_answer(self) -> bool:
        """Note an answer of the store.

        :return: whether it is the first one after an outage
        """
        after_outage = not self.available
        if after_outage:
            log.info("The store answers again.")
        self.available = True
        self.backoff_s = RETRY_MIN_S
        self.metrics.store_age.set(asyncio.get_running_loop().time())
        return after_outage

    async def note_failure(self, failure: object) -> None:
        """Log a failed call and wait before the next one."""
        self.metrics.store_failures.inc()
        if self.available:
            log.warning("The store fails: {}.", failure)
        self.available = False
        await asyncio.sleep(self.backoff_s * (0.5 + self.random.random()))
        self.backoff_s = min(RETRY_MAX_S, 2 * self.backoff_s)

    async def stay_listed(self) -> None:
        """Keep this instance's entry, under a lease that ends some time after the process."""
        lease: int | None = None
        while True:
            if lease is None:
                lease = await self.enlist()
            else:
                match await self.store.renew_lease(lease):
                    case Err(LeaseEnded()):
                        log.info("The entry of this instance has ended; it is written again.")
                        lease = None
                        continue
                    case Err(failure):
                        self.metrics.store_failures.inc()
                        log.warning("The entry of this instance is not renewed: {}.", failure)
            await asyncio.sleep(RENEW_INTERVAL_S * (0.9 + 0.2 * self.random.random()))

    async def enlist(self) -> int | None:
        """Write this instance's entry.

        :return: its lease; None if the store did not confirm it
        """
        return await self.put(InstanceKey(instance=self.instance), LEASE_S)

    async def report_crash(self, request: str, ttl_s: float) -> None:
        """Make it known to all instances that a request crashed servers here."""
        await self.put(CrashReportKey(instance=self.instance, request=request), ttl_s)

    async def put(self, key: InstanceKey | CrashReportKey, ttl_s: float) -> int | None:
        """Write an entry under a new lease.

        :return: the lease; None if the store did not confirm both
        """
        match await self.store.new_lease(ttl_s):
            case Ok(lease):
                pass
            case Err(failure):
                self.metrics.store_failures.inc()
                log.warning("No lease for {}: {}.", key, failure)
                return None
        match await self.store.put(key, lease):
            case Err(problem):
                self.metrics.store_failures.inc()
                log.warning("{} is not written: {}.", key, problem)
                return None
        return lease
