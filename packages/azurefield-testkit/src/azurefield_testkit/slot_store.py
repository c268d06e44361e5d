"""A store on virtual time that holds the keys of issuer slots under leases."""

from __future__ import annotations

from dataclasses import dataclass, field
from dataclasses import replace as replace_store

from msgspec.structs import replace

from azurefield.issuer_slots import USED_MARK, SlotClaim, SlotKey


@dataclass(slots=True, kw_only=True)
class SlotStoreModel:
    """Keys of slots under leases, with conditional writes."""

    lease_s: float
    keys: dict[int, SlotKey] = field(default_factory=dict)
    lease_ends: dict[int, float] = field(default_factory=dict)
    revision: int = 1
    era: int = 1

    def copy(self) -> SlotStoreModel:
        """Copy what the store holds."""
        return replace_store(self, keys={**self.keys}, lease_ends={**self.lease_ends})

    def restore(self, copy: SlotStoreModel, runs_on_s: float | None) -> None:
        """Replace what the store holds by a copy, which begins a new era.

        :param runs_on_s: by how much the leases of the copy end later; None if they have ended
        """
        self.keys, self.lease_ends = {**copy.keys}, {}
        for lease, end in copy.lease_ends.items():
            if runs_on_s is not None:
                self.lease_ends[lease] = end + runs_on_s
        if USED_MARK in self.keys:
            self.mark_used()
        self.revision = copy.revision
        self.era += 1

    def has_ended(self, lease: int, now: float) -> bool:
        """Whether a lease has ended or was forgotten."""
        return self.lease_ends.get(lease, now) <= now

    def expire(self, now: float) -> list[int]:
        """Remove the keys of ended leases."""
        ended = [slot for slot, key in self.keys.items() if self.has_ended(key.lease, now)]
        for slot in ended:
            del self.keys[slot]
        return ended

    def mark_used(self) -> None:
        """Write that slots have been held."""
        self.lease_ends[0] = float("inf")
        self.keys[USED_MARK] = SlotKey(slot=USED_MARK, instance="", lease=0, revision=1)

    def grant(self, now: float) -> int:
        """Create a lease and return its number."""
        self.revision += 1
        self.lease_ends[self.revision] = now + self.lease_s
        return self.revision

    def renew(self, lease: int, now: float) -> bool:
        """Renew a lease; return whether it had not ended."""
        if self.has_ended(lease, now):
            return False
        self.lease_ends[lease] = now + self.lease_s
        return True

    def claim(self, claim: SlotClaim, written: SlotKey, now: float) -> SlotKey | None:
        """Write a key if its condition holds and the lease has not ended."""
        known = self.keys.get(claim.slot)
        if self.has_ended(written.lease, now) or (known.revision if known else 0) != claim.revision:
            return None
        self.mark_used()
        self.revision += 1
        key = replace(written, revision=self.revision)
        self.keys[claim.slot] = key
        return key

    def confirm(self, key: SlotKey, now: float) -> SlotKey | None:
        """Write a key again if it is unchanged and its lease has not ended."""
        known = self.keys.get(key.slot)
        if known is None or known.revision != key.revision or self.has_ended(key.lease, now):
            return None
        self.revision += 1
        self.keys[key.slot] = replace(key, revision=self.revision)
        return self.keys[key.slot]
