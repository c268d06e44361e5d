"""Issuer slots in the store: claims, the keys of an earlier process, and a lease that ends."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

import pytest
from result import Err, Ok, Result

from azurefield.issuer_slots import SETTLE_S, SlotKey
from azurefield.quota_shares import ISSUER_SLOTS
from azurefield_entry.gateway.metadata.issuer_slots import IssuerSlots
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.ports import InstanceEntry, Lease, LeaseEnded
from azurefield_platform.failures import InvalidCall

if TYPE_CHECKING:
    from azurefield_entry.gateway.messages import IssuerSlotsChanged

ALL = frozenset(range(ISSUER_SLOTS))
OTHER = SlotKey(slot=3, instance="i2", lease=40, revision=7)
EARLIER = SlotKey(slot=4, instance="i1", lease=41, revision=8)


@dataclass(slots=True, kw_only=True)
class SlotStore:
    """Fake store with the keys of slots."""

    keys: dict[int, SlotKey] = field(default_factory=dict)
    leases: int = 0
    ended: bool = False
    calls: int = 0

    async def new_lease(self, ttl_s: float) -> Result[Lease, InvalidCall]:  # noqa: ARG002
        self.calls += 1
        self.leases += 1
        return Ok(Lease(number=self.leases))

    async def renew_lease(self, lease: Lease) -> Result[None, LeaseEnded]:  # noqa: ARG002
        self.calls += 1
        return Err(LeaseEnded()) if self.ended else Ok(None)

    async def put(
        self, entry: SlotKey, lease: Lease, revision: int | None  # noqa: ARG002
    ) -> Result[None, InvalidCall]:
        self.calls += 1
        known = self.keys.get(entry.slot)
        if (0 if known is None else known.revision) != revision:
            return Err(InvalidCall(detail="status 412"))
        self.keys[entry.slot] = entry
        return Ok(None)


def build(
    store: SlotStore,
    published: list[IssuerSlotsChanged],
    *,
    used: bool = True,
    reached: bool = True,
) -> IssuerSlots:
    """Build the slots of i1, which has listed the store long enough ago to claim."""
    slots = IssuerSlots(
        own="i1",
        store=store,  # type: ignore[arg-type]
        random=Random(1),
        metrics=GatewayMetrics(),
        can_issue=lambda: reached,
        publish=published.append,
        used=used,
    )
    slots.on_listing(
        (InstanceEntry(instance="i1", coordinator_address="h:1"), *store.keys.values())
    )
    for slot in slots.claims.free_since:
        slots.claims.free_since[slot] -= SETTLE_S
    return slots


async def test_free_slots_and_those_of_an_earlier_process_are_claimed() -> None:
    """Guards against slots without an issuer, and against taking those of another instance."""
    store = SlotStore(keys={3: OTHER, 4: EARLIER})
    published: list[IssuerSlotsChanged] = []
    slots = build(store, published)
    assert await slots.send_due_calls()
    assert published[-1].held == ALL - {3}
    assert published[-1].holders[3] == "i2"
    assert store.leases == 1


@pytest.mark.parametrize(("used", "reached"), [(False, True), (True, False)])
async def test_no_call_is_sent_without_need(used: bool, reached: bool) -> None:
    """Guards against calls of deployments without quotas, and claims beside an earlier process."""
    store = SlotStore(keys={4: EARLIER} if used else {})
    slots = build(store, [], used=used, reached=reached)
    assert await slots.send_due_calls()
    assert store.calls == 0


async def test_a_slot_that_another_instance_was_given_is_not_held() -> None:
    """Guards against two issuers after claims at the same time."""
    store = SlotStore()
    published: list[IssuerSlotsChanged] = []
    slots = build(store, published)
    store.keys[0] = OTHER
    assert not await slots.send_due_calls()
    assert 0 not in slots.slot_lease.held


async def test_nothing_is_held_once_the_lease_has_ended() -> None:
    """Guards against an issuer that goes on while another one holds its slots."""
    store = SlotStore()
    published: list[IssuerSlotsChanged] = []
    slots = build(store, published)
    await slots.send_due_calls()
    assert published[-1].held == ALL
    store.ended = True
    slots.next_renewal_at = 0.0
    await slots.send_due_calls()
    assert published[-1].held == frozenset()
    assert published[-1].lease_until == float("-inf")
    store.keys.clear()
    slots.on_listing((InstanceEntry(instance="i1", coordinator_address="h:1"),))
    await slots.send_due_calls()
    assert published[-1].held == ALL, "the store has lost the lease before its end"


async def test_after_a_restore_of_the_store_only_held_slots_are_claimed() -> None:
    """Guards against claims of slots whose keys the store has lost while they are held."""
    store = SlotStore(keys={3: OTHER})
    published: list[IssuerSlotsChanged] = []
    slots = build(store, published)
    await slots.send_due_calls()
    slots.on_restored()
    assert published[-1].held == ALL - {3}, "a holder goes on until its lease ends"
    store.keys.clear()
    slots.on_listing((InstanceEntry(instance="i1", coordinator_address="h:1"),))
    for slot in slots.claims.free_since:
        slots.claims.free_since[slot] -= SETTLE_S
    assert await slots.send_due_calls()
    assert store.keys.keys() == ALL - {3}
    assert published[-1].held == ALL - {3}
