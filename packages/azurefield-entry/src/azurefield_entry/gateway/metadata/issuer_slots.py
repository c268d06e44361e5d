"""Keeps the issuer slots of workspaces' quotas in the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

from logbook import Logger
from result import Err, Ok

from azurefield.issuer_slots import (
    RENEW_INTERVAL_S,
    RETRY_DELAY_S,
    USED_MARK,
    SlotClaim,
    SlotClaims,
    SlotKey,
)
from azurefield.slot_lease import SLOT_LEASE_S, SlotLease
from azurefield.store_position import eras_differ
from azurefield_entry.clock import lease_now, now
from azurefield_entry.gateway.messages import IssuerSlotsChanged
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.ports import (
    InstanceEntry,
    InstanceKey,
    Item,
    KeyChanged,
    Lease,
    LeaseEnded,
    MetadataStore,
    Removed,
    SlotName,
)

CHECK_INTERVAL_S = 0.25
log = Logger("metadata")


@dataclass(slots=True, kw_only=True)
class IssuerSlots:
    """Claims issuer slots for one instance and renews their lease.

    No call is sent to the store while no workspace has a quota, or while no slot is this instance's
    to hold.

    :param can_issue: whether other instances reach this one; only a process that uses the address
        of an earlier one knows that this one has ended
    :param publish: called with each change of the holders and of the lease
    :param used: whether a workspace has a quota; set by ``set_used``
    :param issuers: the instances that can issue
    :param wake: set when a claim may have become due before the next check
    """

    own: str
    store: MetadataStore
    random: Random
    metrics: GatewayMetrics
    can_issue: Callable[[], bool]
    publish: Callable[[IssuerSlotsChanged], None]
    claims: SlotClaims = field(init=False)
    slot_lease: SlotLease = field(init=False)
    lease: Lease | None = None
    issuers: set[str] = field(default_factory=set)
    used: bool = False
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    next_renewal_at: float = float("inf")
    next_call_at: float = float("-inf")

    def __post_init__(self) -> None:
        self.claims = SlotClaims(own=self.own)
        self.slot_lease = SlotLease(own=self.own)

    def set_used(self, used: bool) -> None:
        """Set whether a workspace has a quota."""
        if used and not self.used:
            self.claims.used_since = now()
            self.wake.set()
        self.used = used

    def on_listing(self, items: tuple[Item, ...], era: int | None) -> None:
        """Apply a complete listing of the store.

        :param era: the era of the store
        """
        self.issuers.clear()
        keys = [item for item in items if isinstance(item, SlotKey)]
        starts = self.slot_lease.era_since is None
        self.slot_lease.on_listing(lease_now(), era, keys)
        wait_s = self.slot_lease.claims_from - lease_now()
        if starts and wait_s > 0:
            log.info("The store may have been restored; slots are claimed in {:.0f} s.", wait_s)
        self.claims.on_listing(now(), keys)
        self.on_changes(items)
        self.wake.set()

    def on_changes(self, items: tuple[Item | Removed, ...]) -> None:
        """Apply changes of the store."""
        changed = False
        for item in items:
            match item:
                case InstanceEntry(instance=instance, coordinator_address=address):
                    if address is not None:
                        self.issuers.add(instance)
                case Removed(key=InstanceKey(instance=instance)):
                    self.issuers.discard(instance)
                case SlotKey():
                    self.claims.on_key(item)
                    self.slot_lease.on_key(lease_now(), item)
                    changed = True
                case Removed(key=SlotName(slot=slot)):
                    self.claims.on_removed(now(), slot)
                    self.slot_lease.on_removed(slot)
                    changed = True
        if changed:
            self.publish_slots()

    def on_restored(self) -> None:
        """Claim the held slots again under a new lease after the store was restored from a copy.

        Until the old lease ends they stay held.
        """
        self.slot_lease.on_restored(lease_now())
        self.lease = None
        self.publish_slots()

    async def run(self) -> None:
        """Claim slots and renew the lease when it is due."""
        while True:
            await self.pause(CHECK_INTERVAL_S)
            if now() >= self.next_call_at and not await self.send_due_calls():
                self.next_call_at = now() + RETRY_DELAY_S * (0.5 + self.random.random())

    async def pause(self, delay_s: float) -> None:
        """Wait until the next check; what may make a claim due ends the wait."""
        with suppress(TimeoutError):
            async with asyncio.timeout(delay_s):
                await self.wake.wait()
        self.wake.clear()

    async def send_due_calls(self) -> bool:
        """Send the calls to the store that are due; return whether none has failed."""
        if self.lease is not None and now() >= self.next_renewal_at:
            return await self.renew(self.lease)
        if self.lease is None and self.due_claims() and not await self.new_lease():
            return False
        lease = self.lease
        if lease is None:
            return True
        # A restore of the store while the lease was asked for may have changed what is due.
        claims = self.due_claims()
        if claims and not self.claims.marked and not await self.mark_used():
            return False
        for claim in claims:
            if not await self.claim(claim, lease):
                return False
        for key in self.slot_lease.due_confirmations(lease_now(), self.claims.usable_keys()):
            if not await self.confirm(key, lease):
                return False
        return True

    def due_claims(self) -> list[SlotClaim]:
        """List the slots to claim now."""
        if not self.can_issue():
            return []
        if self.slot_lease.reachable_since is None:
            self.slot_lease.reachable_since = lease_now()
        if not self.used and not self.claims.keys:
            return []
        claims = self.claims.claims_of(sorted(self.slot_lease.reclaims))
        known = self.slot_lease.held.keys() | self.slot_lease.reclaims
        wanted = self.claims.wanted(now(), frozenset(self.issuers), known)
        return claims + [one for one in wanted if self.slot_lease.may_claim(lease_now(), one)]

    async def new_lease(self) -> bool:
        """Get a lease; return whether that succeeded."""
        asked_at = lease_now()
        match await self.store.new_lease(SLOT_LEASE_S):
            case Ok(lease) if eras_differ(lease.era, self.slot_lease.listed_era):
                log.info("A lease is of era {}; no slot is claimed until it is listed.", lease.era)
                return False
            case Ok(lease):
                self.lease = lease
                length_s = SLOT_LEASE_S if lease.length_s is None else lease.length_s
                self.slot_lease.on_granted(lease.number, asked_at, length_s, lease.era)
                self.plan_renewal()
                return True
            case Err(failure):
                return self.record_failure(failure)

    async def renew(self, lease: Lease) -> bool:
        """Renew the lease; return whether that succeeded."""
        asked_at = lease_now()
        renewed = await self.store.renew_lease(lease)
        if self.lease is not lease:
            return True  # It was given up meanwhile, since the store was restored.
        match renewed:
            case Ok(_):
                self.slot_lease.on_renewed(asked_at)
            case Err(LeaseEnded()):
                self.on_lease_ended()
                return True
            case Err(failure):
                return self.record_failure(failure)
        self.plan_renewal()
        self.publish_slots()
        return True

    async def mark_used(self) -> bool:
        """Write that slots have been held; return whether that succeeded."""
        era = self.slot_lease.listed_era
        key = SlotKey(slot=USED_MARK, instance="", lease=0, revision=0, era=era)
        match await self.store.put(key, Lease(number=0, era=era), 0):
            case Ok(_) | Err(KeyChanged()):
                self.claims.marked = True
                return True
            case Err(failure):
                return self.record_failure(failure)

    async def claim(self, claim: SlotClaim, lease: Lease) -> bool:
        """Claim a slot; return whether further calls may follow."""
        key = SlotKey(
            slot=claim.slot,
            instance=self.own,
            lease=lease.number,
            revision=0,
            era=self.slot_lease.key_era,
            era_s=self.slot_lease.era_s(lease_now()),
        )
        written = await self.store.put(key, lease, claim.revision)
        if self.lease is not lease:
            return False  # It was given up meanwhile, since the store was restored.
        match written:
            case Ok(_):
                reclaimed = claim.slot in self.slot_lease.held
                self.slot_lease.on_claimed(lease_now(), claim, lease.number)
                if not reclaimed:
                    self.record_claim(claim.slot)
                if not self.slot_lease.reclaims:
                    self.publish_slots()
                return True
            case Err(KeyChanged()):
                self.claims.on_refused(claim.slot)
                self.slot_lease.on_refused(claim.slot)
                self.publish_slots()
                log.info("The key of issuer slot {} has changed; it is not claimed.", claim.slot)
                return True
            case Err(LeaseEnded()):
                self.on_lease_ended()
                return False
            case Err(failure):
                return self.record_failure(failure)

    def record_claim(self, slot: int) -> None:
        """Log and count how the buckets of a claimed slot begin."""
        hold = self.slot_lease.held[slot]
        begins = "start_tokens" if hold.start_tokens else "empty"
        self.metrics.issuer_slot_claims.labels(begins).inc()
        log.info(
            "Claimed issuer slot {}; its buckets begin {:.1f} s ago with {}.",
            slot,
            hold.taken_at - hold.filled_from,
            begins,
        )

    async def confirm(self, key: SlotKey, lease: Lease) -> bool:
        """Write how long a slot has been held; return whether further calls may follow."""
        written = await self.store.put(key, lease, key.revision)
        if self.lease is not lease:
            return False  # It was given up meanwhile, since the store was restored.
        match written:
            case Ok(_) | Err(KeyChanged()):
                # Not written again until the key is seen; an earlier write may have been late.
                self.claims.on_refused(key.slot)
                return True
            case Err(LeaseEnded()):
                self.on_lease_ended()
                return False
            case Err(failure):
                return self.record_failure(failure)

    def on_lease_ended(self) -> None:
        """Stop issuing, since the store does not know the lease."""
        log.info("The lease of this instance's issuer slots has ended.")
        self.lease = None
        self.slot_lease.on_ended(lease_now())
        self.publish_slots()

    def plan_renewal(self) -> None:
        """Set when the lease is renewed."""
        self.next_renewal_at = now() + RENEW_INTERVAL_S * (0.9 + 0.2 * self.random.random())

    def record_failure(self, failure: object) -> bool:
        """Record a failed call; return False."""
        self.metrics.store_failures.inc()
        log.info("A call for the issuer slots failed: {}.", failure)
        return False

    def publish_slots(self) -> None:
        """Publish the holders and the lease."""
        holders = {slot: key.instance for slot, key in self.claims.keys.items()}
        holders.update(dict.fromkeys(self.slot_lease.held, self.own))
        self.publish(
            IssuerSlotsChanged(
                holders=holders,
                lease_until=self.slot_lease.lease_until,
                held={**self.slot_lease.held},
            )
        )
