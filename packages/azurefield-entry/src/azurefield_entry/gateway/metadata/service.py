"""The service ``metadata``: follows the platform's store and keeps this instance's entry there."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import TYPE_CHECKING

from logbook import Logger
from result import Err, Ok, Result

from azurefield.relay_tree import RelayTree
from azurefield.store_position import HistoryRelation, StorePosition
from azurefield_entry.background import BackgroundTasks
from azurefield_entry.clock import now
from azurefield_entry.gateway.messages import (
    IssuerSlotsChanged,
    MetadataChanged,
    MetadataListed,
    RouteTableChanged,
    SettingsChanged,
    StoreReplyReceived,
    StoreWatchEnded,
    WriteCrashReport,
)
from azurefield_entry.gateway.metadata.issuer_slots import IssuerSlots
from azurefield_entry.gateway.metadata.own_entries import OwnEntries
from azurefield_entry.gateway.metadata.relay import (
    RelayFrame,
    RelayLost,
    check_frame,
    open_relay,
)
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.ports import (
    Changes,
    HistoryLost,
    InstanceEntry,
    InstanceKey,
    Listing,
    MetadataStore,
    Removed,
)
from azurefield_entry.gateway.zone_traffic import TrafficKind, ZoneTraffic
from azurefield_entry.kernel import Kernel, Stop
from azurefield_entry.notify import notify

if TYPE_CHECKING:
    from azurefield_entry.gateway.ports import Item
    from azurefield_entry.kernel import Mailbox
    from azurefield_platform.failures import MalformedReply

# Longest time between replies of the store. A watch returns even without changes, so a connection
# on which nothing arrives is noticed, and the store has been read over another one within 4 s.
WATCH_WAIT_S = 2.5
# Pause after a change, so that changes close together are read with one call. Each call to the
# store has a cost.
CHANGE_BATCH_S = 0.25
# The same pause of an instance that watches the store only until it has a relay again. Many do so
# when relays are lost.
FOLLOWER_CHANGE_BATCH_S = 1.0
RETRY_BACKOFF_MIN_S = 0.1
RETRY_BACKOFF_MAX_S = 0.8
# The same as ``WATCH_WAIT_S`` for an instance that others follow. With the heartbeats of two levels
# of relays it bounds the age of the store's last reply at an instance.
RELAY_WATCH_WAIT_S = 0.9
# An instance that follows others is not needed by any other, so it may take longer to find out that
# the store answers again.
FOLLOWER_BACKOFF_MAX_S = 2.0
# A relay that was lost is not used again for this time.
RELAY_RETRY_DELAY_S = 5.0
log = Logger("metadata")


@dataclass(slots=True, kw_only=True)
class MetadataService:
    """Owns all calls to the store, each bounded in time.

    In a large fleet few instances watch the store and the others follow them (``RelayTree``). In a
    small zone each instance watches the store.

    :param entry: this instance's entry in the store
    :param relay_addresses: ``host:port`` of the instances that can relay changes, by name
    :param avoided_until: when each lost relay may be used again
    :param can_issue: whether other instances reach this process, so that it may hold issuer slots
    :param position: up to where the store's changes are known; kept while they are read again
    :param read_at: when the store itself answered last; a watch waits less by the time since then
    :param history_unconfirmed: whether the next watch must return at once, since the store may have
        been restored meanwhile
    """

    entry: InstanceEntry
    store: MetadataStore
    random: Random
    metrics: GatewayMetrics
    can_issue: Callable[[], bool] = lambda: False
    store_available: bool = True
    backoff_s: float = RETRY_BACKOFF_MIN_S
    tree: RelayTree = field(init=False)
    traffic: ZoneTraffic = field(init=False)
    relay_addresses: dict[str, str] = field(default_factory=dict)
    avoided_until: dict[str, float] = field(default_factory=dict)
    position: StorePosition | None = None
    read_at: float = 0.0
    history_unconfirmed: bool = False
    own_entries: OwnEntries = field(init=False)
    issuer_slots: IssuerSlots = field(init=False)
    kernel: Kernel | None = None

    def __post_init__(self) -> None:
        self.own_entries = OwnEntries(
            entry=self.entry, store=self.store, random=self.random, metrics=self.metrics
        )
        self.issuer_slots = IssuerSlots(
            own=self.entry.instance,
            store=self.store,
            random=self.random,
            metrics=self.metrics,
            can_issue=self.can_issue,
            publish=self.publish_slots,
        )
        self.tree = RelayTree(own=self.entry.instance, own_zone=self.entry.availability_zone)
        self.traffic = ZoneTraffic.of(self.entry.availability_zone, self.metrics)

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Run the calls to the store until ``Stop``."""
        self.kernel = kernel
        tasks = BackgroundTasks()
        tasks.keep_running("follow-store", partial(self.follow_store, kernel))
        tasks.keep_running("keep-registered", self.own_entries.keep_registered)
        tasks.keep_running("write-crash-reports", self.own_entries.reports.run)
        tasks.keep_running("keep-issuer-slots", self.issuer_slots.run)
        while True:
            match await mailbox.receive():
                case WriteCrashReport(report=report):
                    self.own_entries.reports.add(report)
                case RouteTableChanged(table=table):
                    self.issuer_slots.set_used(table.has_quotas)
                case SettingsChanged(settings=settings):
                    self.store.use_address(settings.store_address)
                    self.issuer_slots.slot_lease.window_s = settings.quota_bounds.window_s
                case Stop():
                    break
        await tasks.stop()

    def publish_slots(self, slots: IssuerSlotsChanged) -> None:
        """Send the holders of the issuer slots to ``workspace-quotas``."""
        if self.kernel is not None:
            notify(self.kernel, "workspace-quotas", slots)

    async def follow_store(self, kernel: Kernel) -> None:
        """Read everything, then follow the changes; read again if changes are missing."""
        position: StorePosition | None = None
        while True:
            if position is None:
                position = await self.list_all(kernel)
                continue
            relay = self.choose_relay()
            if relay is not None:
                if not self.tree.is_relay:
                    notify(kernel, "relay", StoreWatchEnded())
                position = await self.follow_relay(kernel, relay, position)
            if position is not None:
                position = await self.watch(kernel, position)

    async def list_all(self, kernel: Kernel) -> StorePosition | None:
        """Read everything.

        :return: the position of the listing; None if the store failed
        """
        match await self.store.list_all():
            case Ok(listing):
                self.read_at = now()
                restored = self.record_listing(listing)
                after_outage = self.record_success() or restored
                kernel.lookup("gateway").send(
                    MetadataListed(listing=listing, after_outage=after_outage)
                )
                self.tree.clear()
                self.relay_addresses.clear()
                self.issuer_slots.on_listing(listing.items, listing.era)
                self.update_tree(listing.items)
                revision = listing.revision
                reply = StoreReplyReceived(after=revision, revision=revision, era=listing.era)
                notify(kernel, "relay", reply)
                return self.position
            case Err(failure):
                await self.record_failure(failure)
        return None

    def record_listing(self, listing: Listing) -> bool:
        """Record the position of a listing.

        Versions, servers' entries and the count of instances never go back with the store; what
        this instance wrote is written again.

        :return: whether the store was restored since the last known position
        """
        known = self.position
        self.position = StorePosition(revision=listing.revision, era=listing.era)
        if known is None or known.relation_of(listing.era) is HistoryRelation.CONTINUES:
            return False
        log.warning(
            "The store was restored: era {} after {}, revision {} after {}; writing this instance's"
            " entries again.",
            listing.era,
            known.era,
            listing.revision,
            known.revision,
        )
        self.metrics.store_restores.inc()
        self.own_entries.write_again(listing.era)
        self.issuer_slots.on_restored()
        return True

    async def watch(self, kernel: Kernel, position: StorePosition) -> StorePosition | None:
        """Wait for changes of the store after a position and forward them.

        :return: the position up to which changes are known; None if everything must be read again
        """
        revision = position.revision
        match await self.store.watch(revision, self.watch_wait_s):
            case Ok(changes) if position.relation_of(changes.era) is not HistoryRelation.CONTINUES:
                notify(kernel, "relay", StoreWatchEnded())
                return None
            case Ok(changes):
                self.read_at = now()
                self.history_unconfirmed = False
                self.forward_changes(kernel, changes, age_s=0.0)
                notify(
                    kernel,
                    "relay",
                    StoreReplyReceived(
                        after=revision,
                        revision=changes.revision,
                        encoded=changes.encoded,
                        era=changes.era,
                    ),
                )
                self.position = position.advance(changes.revision, changes.era)
                if changes.items:
                    await asyncio.sleep(self.change_batch_s)
                return self.position
            case Err(HistoryLost()):
                log.info(
                    "The store no longer has the changes after revision {}; listing again.",
                    revision,
                )
                notify(kernel, "relay", StoreWatchEnded())
                return None
            case Err(problem):
                notify(kernel, "relay", StoreWatchEnded())
                await self.record_failure(problem)
        return position

    @property
    def watch_wait_s(self) -> float:
        """Return how long the next watch may wait for changes."""
        if self.history_unconfirmed:
            return 0.0
        longest_s = RELAY_WATCH_WAIT_S if self.tree.is_relay else WATCH_WAIT_S
        return max(0.0, longest_s - (now() - self.read_at))

    @property
    def change_batch_s(self) -> float:
        """Return the pause after a change that this instance has read from the store itself."""
        waits_for_relay = self.tree.upstreams() and not self.tree.is_relay
        return FOLLOWER_CHANGE_BATCH_S if waits_for_relay else CHANGE_BATCH_S

    def forward_changes(self, kernel: Kernel, changes: Changes, *, age_s: float) -> None:
        """Send changes to ``gateway``."""
        after_outage = self.record_success()
        kernel.lookup("gateway").send(
            MetadataChanged(changes=changes, after_outage=after_outage, age_s=age_s)
        )
        self.issuer_slots.on_changes(changes.items)
        self.update_tree(changes.items)

    def update_tree(self, items: tuple[Item | Removed, ...]) -> None:
        """Update the instances that can relay changes."""
        for item in items:
            match item:
                case InstanceEntry(instance=instance, availability_zone=zone, relay_address=relay):
                    if relay is not None:
                        self.relay_addresses[instance] = relay
                        self.tree.add(instance, zone)
                case Removed(key=InstanceKey(instance=instance)):
                    self.relay_addresses.pop(instance, None)
                    self.tree.remove(instance)

    def choose_relay(self) -> str | None:
        """Choose an instance to follow; None if this instance has to watch the store itself."""
        upstreams = self.tree.upstreams()
        usable = [name for name in upstreams if self.avoided_until.get(name, 0.0) <= now()]
        return self.random.choice(usable) if usable else None

    async def follow_relay(
        self, kernel: Kernel, relay: str, position: StorePosition
    ) -> StorePosition | None:
        """Follow a relay until it is lost.

        :return: the position up to which changes are known; None if everything must be read again
        """
        self.position, lost = await self.receive_frames(kernel, relay, position)
        log.info(
            "The relay of instance {} is unusable: {}; using another relay or the store.",
            relay,
            lost.detail,
        )
        self.avoided_until[relay] = now() + RELAY_RETRY_DELAY_S
        self.history_unconfirmed = True
        return None if lost.store_restored else self.position

    async def receive_frames(
        self, kernel: Kernel, relay: str, position: StorePosition
    ) -> tuple[StorePosition, RelayLost]:
        """Receive frames from a relay; each must continue from the known position.

        A relay passes them on to its own followers.
        """
        match await open_relay(self.relay_addresses.get(relay, ""), position):
            case Err(lost):
                return position, lost
            case Ok(link):
                log.info("Following instance {} for store changes.", relay)
        try:
            while True:
                match await link.receive():
                    case Err(lost):
                        return position, lost
                    case Ok(frame):
                        zone = self.tree.zone_of(relay)
                        self.traffic.record(TrafficKind.RELAY, zone, len(frame.encoded))
                problem = check_frame(frame, position)
                if problem is not None:
                    return position, problem
                if frame.encoded and frame.revision <= position.revision:
                    continue
                match self.decode_frame(frame):
                    case Err(malformed):
                        return position, RelayLost(detail=malformed.detail)
                    case Ok(changes):
                        self.forward_changes(kernel, changes, age_s=frame.age_s)
                        self.relay_changes(kernel, changes, frame, position)
                        revision = max(position.revision, changes.revision)
                        position = position.advance(revision, frame.era)
        finally:
            link.close()

    def relay_changes(
        self, kernel: Kernel, changes: Changes, frame: RelayFrame, position: StorePosition
    ) -> None:
        """Pass the changes in a frame on to the followers of this instance, if it is a relay."""
        if self.tree.is_relay:
            reply = StoreReplyReceived(
                after=position.revision,
                revision=frame.revision,
                encoded=changes.encoded,
                age_s=frame.age_s,
                era=frame.era,
            )
            notify(kernel, "relay", reply)

    def decode_frame(self, frame: RelayFrame) -> Result[Changes, MalformedReply]:
        """Decode the changes in a frame."""
        if not frame.encoded:
            return Ok(Changes(items=(), revision=frame.revision))
        return self.store.decode_changes(frame.encoded)

    def record_success(self) -> bool:
        """Record that the store answered, directly or through a relay.

        :return: whether this is the first answer after an outage
        """
        after_outage = not self.store_available
        if after_outage:
            log.info("The store answers again.")
        self.store_available = True
        self.backoff_s = RETRY_BACKOFF_MIN_S
        self.metrics.store_contact_at.set(now())
        return after_outage

    async def record_failure(self, failure: object) -> None:
        """Record a failed call and wait before the next one, longer after each failure."""
        self.metrics.store_failures.inc()
        if self.store_available:
            log.warning("A call to the store failed: {}; retrying until it answers.", failure)
        self.store_available = False
        self.history_unconfirmed = True
        await asyncio.sleep(self.backoff_s * (0.5 + self.random.random()))
        longest_s = FOLLOWER_BACKOFF_MAX_S if self.tree.upstreams() else RETRY_BACKOFF_MAX_S
        self.backoff_s = min(longest_s, 2 * self.backoff_s)
