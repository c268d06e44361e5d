"""Decides which issuer slots an instance claims in the store.

A slot has one key in the store, written under a lease. The store decides between claims, so what an
instance knows of the others only decides who tries first.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from azurefield.quota import issuer_order
from azurefield.quota_shares import CLOCK_RATE_ERROR, ISSUER_SLOTS

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

# Instances that start together should know of each other before the first one claims a slot.
SETTLE_S = 2.0
# The next instance in the order claims a slot that stays free for this time longer.
CLAIM_STEP_S = 2.0
# Outlasts an outage of the store of 30 s that begins just before a renewal, with the time until the
# next attempt after it. A holder that was lost for good keeps its slots so long.
SLOT_LEASE_S = 45.0
RENEW_INTERVAL_S = 5.0
# After a call that failed, nothing more is sent to the store for this time.
RETRY_DELAY_S = 2.0
# Part of a lease's length that its holder does not use, as its clock may be slow.
LEASE_MARGIN_FRACTION = 0.01


@dataclass(slots=True, kw_only=True, frozen=True)
class SlotKey:
    """The key of a slot as the store holds it.

    :param instance: the instance that wrote it
    :param lease: the lease under which it was written
    :param revision: the store's revision of the write
    :param held_s: how long its writer had held the slot; 0 in a claim
    :param era: the store's era in which it was written
    """

    slot: int
    instance: str
    lease: int
    revision: int
    held_s: float = 0.0
    era: int | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class SlotClaim:
    """A slot to claim, by a write under the condition that its key is unchanged.

    :param replaced: the key that the claim replaces; None if it must not exist
    """

    slot: int
    replaced: SlotKey | None = None

    @property
    def revision(self) -> int:
        """The revision that the key must have; 0 if it must not exist."""
        return 0 if self.replaced is None else self.replaced.revision


@dataclass(slots=True, kw_only=True, frozen=True)
class SlotHold:
    """How an instance came to hold a slot; times are those of the clock of its lease.

    :param taken_at: when the store had written its claim
    :param filled_from: from when the buckets fill; nobody has issued since
    :param start_tokens: whether the buckets begin with the tokens kept for a new issuer
    """

    taken_at: float
    filled_from: float
    start_tokens: bool = False


@dataclass(slots=True, kw_only=True)
class SlotClaims:
    """What one instance knows of the slots, and which ones it claims.

    All times are those of the event loop's clock.

    :param own: the name of this instance
    :param refused: the slots that the store refused to give to this instance under the key known
        here; they are not claimed until their key is seen
    :param free_since: when each slot without a key was first seen free
    :param listed_at: when the keys were first listed
    :param used_since: since when a workspace has a quota
    :param ranks: for each slot, the instances for which the rank of this one was computed, and it
    """

    own: str
    keys: dict[int, SlotKey] = field(default_factory=dict)
    refused: set[int] = field(default_factory=set)
    free_since: dict[int, float] = field(default_factory=dict)
    listed_at: float | None = None
    used_since: float = float("-inf")
    ranks: dict[int, tuple[frozenset[str], int]] = field(default_factory=dict)

    def on_listing(self, now: float, keys: Collection[SlotKey]) -> None:
        """Apply a complete listing of the keys."""
        if self.listed_at is None:
            self.listed_at = now
        listed = {key.slot: key for key in keys if 0 <= key.slot < ISSUER_SLOTS}
        for slot in range(ISSUER_SLOTS):
            if slot in listed:
                self.on_key(listed[slot])
            else:
                self.on_removed(now, slot)

    def on_key(self, key: SlotKey) -> None:
        """Record that a key was written."""
        self.keys[key.slot] = key
        self.refused.discard(key.slot)
        self.free_since.pop(key.slot, None)

    def on_removed(self, now: float, slot: int) -> None:
        """Record that a key does not exist."""
        self.keys.pop(slot, None)
        self.refused.discard(slot)
        self.free_since.setdefault(slot, now)

    def on_refused(self, slot: int) -> None:
        """Record that a claim was refused, as the slot's key is not as it is known here."""
        self.refused.add(slot)

    def usable_keys(self) -> list[SlotKey]:
        """List the keys that are as they are known here, as far as this instance knows."""
        return [key for slot, key in self.keys.items() if slot not in self.refused]

    def holder(self, slot: int) -> str | None:
        """Return the instance that holds a slot as far as is known."""
        key = self.keys.get(slot)
        return None if key is None else key.instance

    def wanted(
        self, now: float, instances: frozenset[str], held: Collection[int]
    ) -> list[SlotClaim]:
        """List the slots to claim now.

        A key of this instance that it does not hold is one of an earlier process.

        :param instances: the instances that can issue
        :param held: the slots that this instance holds
        """
        earlier = [slot for slot, key in self.keys.items() if key.instance == self.own]
        free = [
            slot
            for slot, since in self.free_since.items()
            if self.may_claim(now, since, slot, instances)
        ]
        return self.claims_of(slot for slot in earlier + free if slot not in held)

    def claims_of(self, slots: Iterable[int]) -> list[SlotClaim]:
        """Build the claims of slots whose keys are as they are known here."""
        return [
            SlotClaim(slot=slot, replaced=self.keys.get(slot))
            for slot in slots
            if slot not in self.refused
        ]

    def may_claim(self, now: float, since: float, slot: int, instances: frozenset[str]) -> bool:
        """Whether it is this instance's turn to claim a slot that is free since a time."""
        if self.listed_at is None:
            return False
        begin = max(since, self.used_since, self.listed_at + SETTLE_S)
        return now >= begin and now >= begin + CLAIM_STEP_S * self.rank(slot, instances)

    def rank(self, slot: int, instances: frozenset[str]) -> int:
        """Return the position of this instance in the order of claims for a slot."""
        known = self.ranks.get(slot)
        if known is None or known[0] != instances:
            order = issuer_order(f"issuer-slot/{slot}", instances | {self.own})
            known = self.ranks[slot] = (instances, order.index(self.own))
        return known[1]


@dataclass(slots=True, kw_only=True)
class SlotLease:
    """The lease of one instance and the slots that it holds under it.

    All times are of a clock that also counts while the machine is suspended.

    :param own: the name of this instance
    :param lease_s: length of the lease, which the store may change when it grants one
    :param lease: the number of the lease; None if there is none
    :param lease_until: when the slots count as no longer held unless the lease is renewed
    :param renewed_until: the same for the present lease; differs only while slots are reclaimed
    :param claims_from: before this time only slots of ``reclaims`` are claimed
    :param held: the slots that are held
    :param reclaims: the slots that were held when the store was restored, and not claimed since
    :param held_before: the slots that this process has held at any time
    :param reachable_since: since when no earlier process of this instance runs
    :param window_s: length of the windows in which requests are counted
    :param era: the store's era in which the lease was granted
    """

    own: str
    lease_s: float = SLOT_LEASE_S
    lease: int | None = None
    lease_until: float = float("-inf")
    renewed_until: float = float("-inf")
    claims_from: float = float("-inf")
    held: dict[int, SlotHold] = field(default_factory=dict)
    reclaims: set[int] = field(default_factory=set)
    held_before: set[int] = field(default_factory=set)
    reachable_since: float | None = None
    window_s: float = 5.0
    era: int | None = None

    @property
    def window_passed_s(self) -> float:
        """A time on any instance's clock in which a whole window passes."""
        return self.window_s * (1 + 2 * CLOCK_RATE_ERROR)

    def on_granted(
        self, lease: int, asked_at: float, lease_s: float, era: int | None = None
    ) -> None:
        """Record a new lease, which was asked for at a time.

        Slots that are reclaimed stay held until the end of the earlier lease.
        """
        self.era = era
        self.held = {slot: hold for slot, hold in self.held.items() if slot in self.reclaims}
        self.lease = lease
        self.lease_s = lease_s
        self.renewed_until = float("-inf")
        if not self.reclaims:
            self.lease_until = float("-inf")
        self.on_renewed(asked_at)

    def on_renewed(self, asked_at: float) -> None:
        """Record that the store has renewed the lease, at some time after it was asked to."""
        until = asked_at + self.lease_s * (1 - LEASE_MARGIN_FRACTION)
        self.renewed_until = max(self.renewed_until, until)
        self.use_lease()

    def use_lease(self) -> None:
        """Count with the present lease once no slot is held under an earlier one."""
        if self.lease is not None and not self.reclaims:
            self.lease_until = self.renewed_until

    def on_ended(self, now: float) -> None:
        """Record that the store does not know the lease.

        If it should not have ended yet, the store was restored from a copy.
        """
        if now < max(self.lease_until, self.renewed_until):
            self.on_restored(now)
        self.lease = None
        self.lease_until = self.renewed_until = float("-inf")
        self.held.clear()

    def on_claimed(self, now: float, claim: SlotClaim, lease: int) -> None:
        """Record that the store has written a slot's key under a lease."""
        if lease == self.lease:
            self.hold(claim.slot, self.new_hold(now, claim))

    def hold(self, slot: int, hold: SlotHold) -> None:
        """Record that a slot is held; one that is held already stays as it is."""
        self.held.setdefault(slot, hold)
        self.held_before.add(slot)
        self.end_reclaim(slot)

    def new_hold(self, now: float, claim: SlotClaim) -> SlotHold:
        """Decide how full the buckets of a slot begin.

        The key that a claim replaces shows that no other instance has held the slot since it was
        written. If an earlier process of this instance has written it, nobody has issued since the
        end of that one. Only one issuer in a window begins with start tokens, so the key must show
        that the last one began more than a window ago.
        """
        key = claim.replaced
        taken_over = (
            key is not None
            and key.instance == self.own
            and key.era == self.era
            and claim.slot not in self.held_before
        )
        if key is None or not taken_over or self.reachable_since is None:
            return SlotHold(taken_at=now, filled_from=now)
        return SlotHold(
            taken_at=now,
            filled_from=min(now, self.reachable_since),
            start_tokens=key.held_s >= self.window_passed_s,
        )

    def due_confirmations(self, now: float, keys: Collection[SlotKey]) -> list[SlotKey]:
        """List the keys to write, under their revision, as their slots were held for a window."""
        if now >= self.lease_until:
            return []
        return [
            replace(key, held_s=now - self.held[key.slot].taken_at)
            for key in keys
            if key.slot in self.held
            and (key.instance, key.lease) == (self.own, self.lease)
            and key.held_s < self.window_passed_s
            and now - self.held[key.slot].taken_at >= self.window_passed_s
        ]

    def end_reclaim(self, slot: int) -> None:
        """Record that a slot needs no claim because of a restore any more."""
        self.reclaims.discard(slot)
        self.use_lease()

    def on_refused(self, slot: int) -> None:
        """Record that the store has refused a claim, since the key is not as it was known."""
        self.held.pop(slot, None)
        self.end_reclaim(slot)

    def on_key(self, now: float, key: SlotKey) -> None:
        """Apply a key that was read; a claim may be confirmed only by it.

        After a restore, a key of another instance may be new, so its slot is not reclaimed; this
        instance's key under an earlier lease says nothing.
        """
        if key.instance == self.own and key.lease == self.lease:
            self.hold(key.slot, SlotHold(taken_at=now, filled_from=now))
        elif key.instance != self.own or key.slot not in self.reclaims:
            self.on_refused(key.slot)

    def on_removed(self, slot: int) -> None:
        """Record that a key no longer exists."""
        if slot not in self.reclaims:
            self.held.pop(slot, None)

    def on_restored(self, now: float) -> None:
        """Record that the store was restored from a copy, which may lack the keys of held slots.

        A holder goes on until its lease ends by its own clock, and claims its slots again. Other
        instances claim none until then.
        """
        if now < self.lease_until:
            self.reclaims |= self.held.keys()
        self.lease = None
        self.claims_from = now + self.lease_s
