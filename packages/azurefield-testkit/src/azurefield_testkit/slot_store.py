"""A store on virtual time that holds the keys of issuer slots under leases."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from azurefield.issuer_slots import SlotClaim, SlotKey


@dataclass(slots=True, kw_only=True)
class SlotStoreModel:
    """Keys of slots under leases, with conditional writes."""

    lease_s: float
    keys: dict[int, SlotKey] = field(default_factory=dict)
    lease_ends: dict[int, float] = field(default_factory=dict)
    revision: int = 1

    def expire(self, now: float) -> list[int]:
        """Remove the keys of ended leases."""
        ended = [slot for slot, key in self.keys.items() if self.lease_ends[key.lease] <= now]
        for slot in ended:
            del self.keys[slot]
        return ended

    def grant(self, now: float) -> int:
        """Create a lease and return its number."""
        self.revision += 1
        self.lease_ends[self.revision] = now + self.lease_s
        return self.revision

    def renew(self, lease: int, now: float) -> bool:
        """Renew a lease; return whether it had not ended."""
        if self.lease_ends[lease] <= now:
            return False
        self.lease_ends[lease] = now + self.lease_s
        return True

    def claim(self, claim: SlotClaim, instance: str, lease: int, now: float) -> SlotKey | None:
        """Write a key if its condition holds and the lease has not ended."""
        known = self.keys.get(claim.slot)
        if self.lease_ends[lease] <= now or (known.revision if known else 0) != claim.revision:
            return None
        self.revision += 1
        key = SlotKey(slot=claim.slot, instance=instance, lease=lease, revision=self.revision)
        self.keys[claim.slot] = key
        return key

    def confirm(self, key: SlotKey, now: float) -> SlotKey | None:
        """Write a key again if it is unchanged and its lease has not ended."""
        known = self.keys.get(key.slot)
        if known is None or known.revision != key.revision or self.lease_ends[key.lease] <= now:
            return None
        self.revision += 1
        self.keys[key.slot] = replace(key, revision=self.revision)
        return self.keys[key.slot]
