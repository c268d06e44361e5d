"""The lease under which an instance holds its issuer slots, and how it came to hold them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct, field
from msgspec.structs import replace

from azurefield.issuer_slots import SlotClaim, SlotHold, SlotKey
from azurefield.quota_shares import CLOCK_RATE_ERROR
from azurefield.store_position import eras_differ

if TYPE_CHECKING:
    from collections.abc import Collection

# Outlasts an outage of the store of 30 s that begins just before a renewal, with the time until the
# next attempt after it. A holder that was lost for good keeps its slots so long.
SLOT_LEASE_S = 45.0
# Part of a lease's length that its holder does not use, as its clock may be slow.
LEASE_MARGIN_FRACTION = 0.01


class SlotLease(Struct, kw_only=True):
    """The lease of one instance and the slots that it holds under it.

    All times are of a clock that also counts while the machine is suspended.

    :param own: the name of this instance
    :param lease_s: length of the lease, which the store may change when it grants one
    :param lease: the number of the lease; None if there is none
    :param lease_until: when the slots count as no longer held unless the lease is renewed
    :param renewed_until: the same for the present lease; differs only while slots are reclaimed
    :param claims_from: before this time only slots of ``reclaims`` are claimed, and those whose key
        was written by an earlier process since the store was restored
    :param held: the slots that are held, and since when
    :param reclaims: the slots that were held when the store was restored, and not claimed since
    :param held_before: the slots that this process has held at any time
    :param reachable_since: since when no earlier process of this instance runs
    :param window_s: length of the windows in which requests are counted
    :param era: the store's era in which the lease was granted
    :param listed_era: the store's era as it was last listed
    :param era_since: since when the listed era is known to this process or to those that wrote the
        keys
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
    listed_era: int | None = None
    era_since: float | None = None

    def on_listing(self, now: float, era: int | None, keys: Collection[SlotKey]) -> None:
        """Apply a listing of the store.

        A process that has just started can't know whether the store was restored. A holder that
        the store has forgotten may go on until its lease ends, so slots are claimed once the era is
        older than a lease. If the store has neither a key nor the mark, no slot has been held.
        """
        if self.era_since is not None and era == self.listed_era:
            return
        starts = self.era_since is None
        known_s = max((key.era_s for key in keys if key.era == era), default=0.0)
        self.listed_era = era
        self.era_since = now - known_s
        if starts and keys and era is not None:
            self.claims_from = self.era_since + self.lease_s

    @property
    def key_era(self) -> int | None:
        """The era that the keys name which are written under the lease."""
        return self.listed_era if self.era is None else self.era

    def era_s(self, now: float) -> float:
        """Return for how long the era that the keys name has lasted at least."""
        if self.era_since is None or self.key_era != self.listed_era:
            return 0.0
        return now - self.era_since

    def may_claim(self, now: float, claim: SlotClaim) -> bool:
        """Whether no holder can be left that the store has forgotten."""
        key = claim.replaced
        written_since = (
            key is not None
            and key.instance == self.own
            and not eras_differ(key.era, self.listed_era)
        )
        return written_since or now >= self.claims_from

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
        """List the keys to write again, under their revision.

        They say that a slot was held for a window, and later that the era is older than a lease.
        """
        if now >= self.lease_until:
            return []
        era_s = self.era_s(now)
        confirmations = []
        for key in keys:
            hold = self.held.get(key.slot)
            if hold is None or (key.instance, key.lease) != (self.own, self.lease):
                continue
            held_s = now - hold.taken_at
            held_due = key.held_s < self.window_passed_s <= held_s
            era_due = self.key_era is not None and key.era_s < self.lease_s <= era_s
            if held_due or era_due:
                confirmations.append(replace(key, held_s=held_s, era_s=era_s))
        return confirmations

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
