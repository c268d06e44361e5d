"""One process of an instance in a fleet on virtual time that issues quotas."""

from __future__ import annotations

from dataclasses import dataclass

from azurefield.issuer_slots import SlotClaim, SlotClaims, SlotKey
from azurefield.slot_lease import SlotLease
from azurefield.workspace_quota import ShareChoice, ShareIssuer
from azurefield.workspaces import RequestQuota


@dataclass(slots=True, kw_only=True)
class Node:
    """One process of an instance.

    :param rate: seconds of its clock per second
    :param offset: what its clock shows at time 0, in seconds
    :param next_renewal_at: when its lease is renewed next
    """

    name: str
    rate: float
    offset: float
    slot_lease: SlotLease
    issuer: ShareIssuer
    choice: ShareChoice
    claims: SlotClaims
    version: int
    quota: RequestQuota
    next_renewal_at: float = float("-inf")

    def clock(self, now: float) -> float:
        """Return the time of the process's clock."""
        return self.offset + self.rate * now

    def update_issuer(self, now: float) -> None:
        """Pass the lease and its slots on to the issuer."""
        lease = self.slot_lease
        self.issuer.on_lease(self.clock(now), lease.lease_until, lease.held)

    def on_listing(self, now: float, era: int, keys: list[SlotKey]) -> None:
        """Apply a listing of the store."""
        self.slot_lease.on_listing(self.clock(now), era, keys)
        self.claims.on_listing(self.clock(now), keys)

    def due_claims(self, now: float, instances: frozenset[str]) -> list[SlotClaim]:
        """List the slots to claim now."""
        lease = self.slot_lease
        known = lease.held.keys() | lease.reclaims
        wanted = self.claims.wanted(self.clock(now), instances, known)
        due = [claim for claim in wanted if lease.may_claim(self.clock(now), claim)]
        return self.claims.claims_of(sorted(lease.reclaims)) + due

    def claimed_key(self, now: float, slot: int, lease: int) -> SlotKey:
        """Build the key of a claim."""
        return SlotKey(
            slot=slot,
            instance=self.name,
            lease=lease,
            revision=0,
            era=self.slot_lease.key_era,
            era_s=self.slot_lease.era_s(self.clock(now)),
        )
