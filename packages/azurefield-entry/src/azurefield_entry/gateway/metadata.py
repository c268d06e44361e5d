"""The service ``metadata``: follows the platform's store and keeps this instance's entry there."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from logbook import Logger
from result import Err, Ok, Result

from azurefield_entry.gateway.messages import (
    MetadataChanged,
    MetadataListed,
    ReportCrash,
    SettingsChanged,
    StoreFollowed,
    StoreLeft,
)
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.ports import (
    Changes,
    CrashReportEntry,
    HistoryLost,
    InstanceEntry,
    InstanceKey,
    LeaseEnded,
    MetadataStore,
    Removed,
)
from azurefield_entry.gateway.relay import RelayFrame, RelayLost, open_relay
from azurefield_entry.kernel import Stop
from azurefield_entry.notify import notify

if TYPE_CHECKING:
    from azurefield_entry.gateway.ports import Item
    from azurefield_entry.kernel import Kernel, Mailbox
    from azurefield_platform.failures import MalformedReply

# A watch returns at least this often, which shows a connection that has gone silent.
WATCH_WAIT_S = 3.0
# Changes of this time are read with one call, since each call has a price.
GATHER_S = 0.25
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8
# An instance that is gone counts for this long in the division of connections.
LEASE_S = 15.0
RENEW_INTERVAL_S = 5.0
# The second one takes the followers of the first when it is lost.
WATCHERS_PER_ZONE = 2
# In smaller zones the shorter waits of the watchers cost more calls than followers save.
FOLLOWED_ZONE_MIN = 5
# A relay that is cut off from the store shows it by the age of the last reply. Followers must have
# noticed that, and read the store themselves, before a change of the configuration is due (3 s).
FOLLOWED_WATCH_WAIT_S = 1.5
STORE_AGE_MAX_S = 2.0
# An instance that was lost is not followed again for this time.
RELAY_PAUSE_S = 5.0
log = Logger("metadata")


@dataclass(slots=True, kw_only=True)
class MetadataService:
    """Owns all calls to the store, each bounded in time.

    A few instances of each availability zone watch the store; the others follow one of these.

    :param entry: how this instance is listed
    """

    entry: InstanceEntry
    store: MetadataStore
    random: Random
    metrics: GatewayMetrics
    available: bool = True
    backoff_s: float = RETRY_MIN_S
    writes: set[asyncio.Task[None]] = field(default_factory=set)
    zone: dict[str, InstanceEntry] = field(default_factory=dict)
    avoided_until: dict[str, float] = field(default_factory=dict)

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
        """List everything, then follow; list again whenever the history is lost."""
        revision: int | None = None
        while True:
            if revision is None:
                revision = await self.list_all(kernel)
                continue
            relay = self.relay_to_follow()
            if relay is not None:
                notify(kernel, "relay", StoreLeft())
                revision = await self.follow_relay(kernel, relay, revision)
            revision = await self.watch(kernel, revision)

    async def list_all(self, kernel: Kernel) -> int | None:
        """Read everything.

        :return: the revision of the listing; None if the store failed
        """
        match await self.store.list_all():
            case Ok(listing):
                after_outage = self.note_answer()
                kernel.lookup("gateway").send(
                    MetadataListed(listing=listing, after_outage=after_outage)
                )
                self.zone.clear()
                self.note_instances(listing.items)
                revision = listing.revision
                notify(kernel, "relay", StoreFollowed(after=revision, revision=revision))
                return revision
            case Err(failure):
                await self.note_failure(failure)
        return None

    async def watch(self, kernel: Kernel, revision: int) -> int | None:
        """Wait for changes of the store after a revision.

        :return: the revision up to which they are known; None if everything must be read again
        """
        wait_s = FOLLOWED_WATCH_WAIT_S if self.followed_zone else WATCH_WAIT_S
        match await self.store.watch(revision, wait_s):
            case Ok(changes):
                self.take(kernel, changes, age_s=0.0)
                notify(
                    kernel,
                    "relay",
                    StoreFollowed(
                        after=revision, revision=changes.revision, encoded=changes.encoded
                    ),
                )
                if changes.items:
                    await asyncio.sleep(GATHER_S)
                return changes.revision
            case Err(HistoryLost()):
                log.info("The history after revision {} is lost.", revision)
                notify(kernel, "relay", StoreLeft())
                return None
            case Err(problem):
                notify(kernel, "relay", StoreLeft())
                await self.note_failure(problem)
        return revision

    def take(self, kernel: Kernel, changes: Changes, *, age_s: float) -> None:
        """Pass on changes to the gateway."""
        after_outage = self.note_answer()
        kernel.lookup("gateway").send(
            MetadataChanged(changes=changes, after_outage=after_outage, age_s=age_s)
        )
        self.note_instances(changes.items)

    def note_instances(self, items: tuple[Item | Removed, ...]) -> None:
        """Remember the instances of the own zone that can be followed."""
        for item in items:
            match item:
                case InstanceEntry(instance=instance, availability_zone=zone, relay_address=relay):
                    if relay is not None and zone == self.entry.availability_zone:
                        self.zone[instance] = item
                case Removed(key=InstanceKey(instance=instance)):
                    self.zone.pop(instance, None)

    @property
    def followed_zone(self) -> bool:
        """Whether the zone is large enough for instances that follow others."""
        return len(self.zone) >= FOLLOWED_ZONE_MIN

    def relay_to_follow(self) -> InstanceEntry | None:
        """Choose the instance to follow; None if this one is to watch the store itself.

        The first instances of a large zone by name watch the store.
        """
        now = asyncio.get_running_loop().time()
        watchers = sorted(self.zone)[:WATCHERS_PER_ZONE]
        if self.entry.instance in watchers or not self.followed_zone:
            return None
        usable = [name for name in watchers if self.avoided_until.get(name, now) <= now]
        return self.zone[self.random.choice(usable)] if usable else None

    async def follow_relay(self, kernel: Kernel, relay: InstanceEntry, revision: int) -> int:
        """Take the changes from another instance until it is lost.

        :return: the revision up to which they are known
        """
        revision, lost = await self.take_frames(kernel, relay, revision)
        log.info("Instance {} is no longer followed: {}.", relay.instance, lost.detail)
        now = asyncio.get_running_loop().time()
        self.avoided_until[relay.instance] = now + RELAY_PAUSE_S
        return revision

    async def take_frames(
        self, kernel: Kernel, relay: InstanceEntry, revision: int
    ) -> tuple[int, RelayLost]:
        """Take frame after frame, each of which must join on to what is known."""
        match await open_relay(relay.relay_address or "", revision):
            case Err(lost):
                return revision, lost
            case Ok(link):
                log.info("Instance {} is followed.", relay.instance)
        try:
            while True:
                match await link.receive():
                    case Err(lost):
                        return revision, lost
                    case Ok(frame):
                        pass
                if frame.age_s > STORE_AGE_MAX_S or frame.after > revision:
                    return revision, RelayLost(detail=f"{frame.age_s:.1f} s old or with a gap")
                if frame.encoded and frame.revision <= revision:
                    continue
                match self.changes_of(frame):
                    case Err(malformed):
                        return revision, RelayLost(detail=malformed.detail)
                    case Ok(changes):
                        self.take(kernel, changes, age_s=frame.age_s)
                        revision = max(revision, changes.revision)
        finally:
            link.close()

    def changes_of(self, frame: RelayFrame) -> Result[Changes, MalformedReply]:
        """Decode a frame."""
        if not frame.encoded:
            return Ok(Changes(items=(), revision=frame.revision))
        return self.store.decode_changes(frame.encoded)

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
        return await self.put(self.entry, LEASE_S)

    async def report_crash(self, request: str, ttl_s: float) -> None:
        """Make it known to all instances that a request crashed servers here."""
        await self.put(CrashReportEntry(instance=self.entry.instance, request=request), ttl_s)

    async def put(self, entry: InstanceEntry | CrashReportEntry, ttl_s: float) -> int | None:
        """Write an entry under a new lease.

        :return: the lease; None if the store did not confirm both
        """
        match await self.store.new_lease(ttl_s):
            case Ok(lease):
                pass
            case Err(failure):
                self.metrics.store_failures.inc()
                log.warning("No lease for {}: {}.", entry, failure)
                return None
        match await self.store.put(entry, lease):
            case Err(problem):
                self.metrics.store_failures.inc()
                log.warning("{} is not written: {}.", entry, problem)
                return None
        return lease
