"""The lease of issuer slots and the store's history."""

from __future__ import annotations

import pytest

from azurefield.issuer_slots import SlotClaim, SlotKey
from azurefield.slot_lease import SLOT_LEASE_S, SlotLease


@pytest.mark.parametrize(("granted", "start_tokens"), [(1, True), (2, False), (None, False)])
def test_start_tokens_need_a_key_of_the_era_of_the_lease(
    granted: int | None, start_tokens: bool
) -> None:
    """Guards against two holders that begin full if only the listing is of the key's era."""
    at = 1000.0
    key = SlotKey(slot=4, instance="i1", lease=7, revision=8, held_s=60.0, era=1)
    lease = SlotLease(own="i1", reachable_since=at)
    lease.on_listing(at, 1, [key])
    lease.on_granted(9, at, SLOT_LEASE_S, granted)
    assert lease.new_hold(at, SlotClaim(slot=4, replaced=key)).start_tokens is start_tokens
