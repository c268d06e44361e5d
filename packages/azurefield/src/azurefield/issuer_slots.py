"""Decides which issuer slots an instance claims in the store.

A slot has one key in the store, written under a lease. The store decides between claims, so what an
instance knows of the others only decides who tries first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct, field

from azurefield.quota import issuer_order
from azurefield.quota_shares import ISSUER_SLOTS

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

# A key beside those of the slots, without an instance or a lease: slots have been held. It tells a
# new store from one that was restored from a copy and has lost their keys.
USED_MARK = 9999
# Instances that start together should know of each other before the first one claims a slot.
SETTLE_S = 2.0
# The next instance in the order claims a slot that stays free for this time longer.
CLAIM_STEP_S = 2.0
RENEW_INTERVAL_S = 5.0
# After a call that failed, nothing more is sent to the store for this time.
RETRY_DELAY_S = 2.0


class SlotKey(Struct, kw_only=True, frozen=True):
    """The key of a slot as the store holds it.

    :param instance: the instance that wrote it
    :param lease: the lease under which it was written
    :param revision: the store's revision of the write
    :param held_s: how long its writer had held the slot; 0 in a claim
    :param era: the store's era in which it was written
    :param era_s: how long that era had lasted at least
    """

    slot: int
    instance: str
    lease: int
    revision: int
    held_s: float = 0.0
    era: int | None = None
    era_s: float = 0.0


class SlotClaim(Struct, kw_only=True, frozen=True):
    """A slot to claim, by a write under the condition that its key is unchanged.

    :param replaced: the key that the claim replaces; None if it must not exist
    """

    slot: int
    replaced: SlotKey | None = None

    @property
    def revision(self) -> int:
        """The revision that the key must have; 0 if it must not exist."""
        return 0 if self.replaced is None else self.replaced.revision


class SlotHold(Struct, kw_only=True, frozen=True):
    """How an instance came to hold a slot; times are those of the clock of its lease.

    :param taken_at: when the store had written its claim
    :param filled_from: from when the buckets fill; nobody has issued since
    :param start_tokens: whether the buckets begin with the tokens kept for a new issuer
    """

    taken_at: float
    filled_from: float
    start_tokens: bool = False


class SlotClaims(Struct, kw_only=True):
    """What one instance knows of the slots, and which ones it claims.

    All times are those of the event loop's clock.

    :param own: the name of this instance
    :param refused: the slots that the store refused to give to this instance under the key known
        here; they are not claimed until their key is seen
    :param free_since: when each slot without a key was first seen free
    :param listed_at: when the keys were first listed
    :param used_since: since when a workspace has a quota
    :param marked: whether the store has the mark that slots have been held
    :param ranks: for each slot, the instances for which the rank of this one was computed, and it
    """

    own: str
    keys: dict[int, SlotKey] = field(default_factory=dict)
    refused: set[int] = field(default_factory=set)
    free_since: dict[int, float] = field(default_factory=dict)
    listed_at: float | None = None
    used_since: float = float("-inf")
    marked: bool = False
    ranks: dict[int, tuple[frozenset[str], int]] = field(default_factory=dict)

    def on_listing(self, now: float, keys: Collection[SlotKey]) -> None:
        """Apply a complete listing of the keys."""
        if self.listed_at is None:
            self.listed_at = now
        self.marked = any(key.slot == USED_MARK for key in keys)
        listed = {key.slot: key for key in keys}
        for slot in range(ISSUER_SLOTS):
            if slot in listed:
                self.on_key(listed[slot])
            else:
                self.on_removed(now, slot)

    def on_key(self, key: SlotKey) -> None:
        """Record that a key was written."""
        if key.slot == USED_MARK:
            self.marked = True
        if not 0 <= key.slot < ISSUER_SLOTS:
            return
        self.keys[key.slot] = key
        self.refused.discard(key.slot)
        self.free_since.pop(key.slot, None)

    def on_removed(self, now: float, slot: int) -> None:
        """Record that a key does not exist."""
        if not 0 <= slot < ISSUER_SLOTS:
            return
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
