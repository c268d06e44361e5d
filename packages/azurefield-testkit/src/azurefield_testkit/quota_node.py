"""One process of an instance in a fleet on virtual time that issues quotas."""

from __future__ import annotations

from dataclasses import dataclass

from azurefield.issuer_slots import SlotClaims, SlotLease
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
