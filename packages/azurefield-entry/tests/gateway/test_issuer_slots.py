"""Issuer slots in the store: claims, the keys of an earlier process, and a lease that ends."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from typing import TYPE_CHECKING

import pytest
from result import Err, Ok, Result

from azurefield.issuer_slots import SETTLE_S, SlotKey
from azurefield.quota_shares import ISSUER_SLOTS
from azurefield_entry.clock import lease_now
from azurefield_entry.gateway.metadata import issuer_slots
from azurefield_entry.gateway.metadata.issuer_slots import IssuerSlots
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.ports import (
    InstanceEntry,
    KeyChanged,
    Lease,
    LeaseEnded,
    Removed,
    SlotName,
)
from azurefield_platform.failures import PlatformUnavailable

if TYPE_CHECKING:

    from azurefield_entry.gateway.messages import IssuerSlotsChanged
    from azurefield_platform.failures import InvalidCall

# How long a call waits that is not answered.
CALL_TIMEOUT_S = 1.3
ALL = frozenset(range(ISSUER_SLOTS))
OTHER = SlotKey(slot=3, instance="i2", lease=40, revision=7)
EARLIER = SlotKey(slot=4, instance="i1", lease=41, revision=8)


class EndOfPlay(Exception):  # noqa: N818
    """Ends a task that runs for ever."""


@dataclass(slots=True, kw_only=True)
class SlotStore:
    """Fake store with the keys of slots."""

    keys: dict[int, SlotKey] = field(default_factory=dict)
    leases: int = 0
    length_s: float | None = None
    ended: bool = False
    calls: int = 0
    before_reply: Callable[[], None] | None = None

    async def new_lease(self, ttl_s: float) -> Result[Lease, InvalidCall]:  # noqa: ARG002
        self.calls += 1
        self.leases += 1
        return Ok(Lease(number=self.leases, length_s=self.length_s))

    async def renew_lease(
        self, lease: Lease  # noqa: ARG002
    ) -> Result[None, LeaseEnded | PlatformUnavailable]:
        self.calls += 1
        if self.before_reply is not None:
            self.before_reply()
        return Err(LeaseEnded()) if self.ended else Ok(None)

    async def put(
        self, entry: SlotKey, lease: Lease, revision: int | None  # noqa: ARG002
    ) -> Result[None, InvalidCall]:
        self.calls += 1
        known = self.keys.get(entry.slot)
        if (0 if known is None else known.revision) != revision:
            return Err(KeyChanged(detail="status 412"))
        self.keys[entry.slot] = entry
        return Ok(None)


@dataclass(slots=True, kw_only=True)
class StoreWithOutages(SlotStore):
    """A store that does not answer renewals during outages, given by their begin and length.

    :param clock: the time, which a call that is not answered moves on
    """

    clock: list[float]
    outages: list[tuple[float, float]]

    async def renew_lease(
        self, lease: Lease  # noqa: ARG002
    ) -> Result[None, LeaseEnded | PlatformUnavailable]:
        at = self.clock[0]
        if any(begin <= at < begin + length for begin, length in self.outages):
            self.clock[0] += CALL_TIMEOUT_S
            return Err(PlatformUnavailable(detail="no reply"))
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
    """Guards against two issuers, and a pause of all calls, after claims at the same time."""
    store = SlotStore()
    published: list[IssuerSlotsChanged] = []
    slots = build(store, published)
    store.keys[0] = OTHER
    assert await slots.send_due_calls()
    assert published[-1].held == ALL - {0}, "the next claims follow at once"
    sent = store.calls
    assert await slots.send_due_calls()
    assert store.calls == sent, "no claim follows until the key is seen"
    slots.on_changes((replace(OTHER, slot=0),))
    assert await slots.send_due_calls()
    assert store.calls == sent, "another instance holds the slot"
    slots.on_changes((Removed(key=SlotName(slot=0)),))
    del store.keys[0]
    slots.claims.free_since[0] -= SETTLE_S
    assert await slots.send_due_calls()
    assert published[-1].held == ALL


@pytest.mark.parametrize("length_s", [10.0, 600.0])
async def test_the_lease_is_counted_with_the_length_that_the_store_names(length_s: float) -> None:
    """Guards against an issuer that goes on after the store has ended a shorter lease."""
    slots = build(SlotStore(length_s=length_s), [])
    asked_at = lease_now()
    await slots.send_due_calls()
    assert 0.98 * length_s <= slots.slot_lease.lease_until - asked_at < length_s


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


@pytest.mark.parametrize("seed", range(5))
async def test_the_lease_outlasts_an_outage_of_the_store(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against slots that end in an outage of 30 s, whenever that begins."""
    clock = [1000.0]
    outages = [(1020.0 + 60.0 * number + 0.37 * number, 30.0) for number in range(20)]

    async def sleep(delay_s: float) -> None:
        clock[0] += delay_s
        assert clock[0] < slots.slot_lease.lease_until or not slots.slot_lease.held
        if clock[0] > outages[-1][0] + 60.0:
            raise EndOfPlay

    slots = build(StoreWithOutages(clock=clock, outages=outages), [])
    slots.random = Random(seed)
    slots.claims.free_since = dict.fromkeys(ALL, 0.0)
    monkeypatch.setattr(issuer_slots, "now", lambda: clock[0])
    monkeypatch.setattr(issuer_slots, "lease_now", lambda: clock[0])
    monkeypatch.setattr(asyncio, "sleep", sleep)
    with pytest.raises(EndOfPlay):
        await slots.run()
    assert slots.slot_lease.held == ALL


@pytest.mark.parametrize("late_end", [False, True], ids=["listing", "late-end-of-lease"])
async def test_slots_are_held_throughout_a_restore_that_keeps_their_keys(late_end: bool) -> None:
    """Guards against slots and buckets that are dropped because of the keys of the old lease."""
    store = SlotStore(keys={3: OTHER})
    published: list[IssuerSlotsChanged] = []
    slots = build(store, published)
    await slots.send_due_calls()
    lease = slots.lease
    assert lease is not None
    listed = tuple(store.keys.values())
    if late_end:
        store.ended = True
        store.before_reply = slots.on_restored
        assert await slots.renew(lease)
    else:
        slots.on_restored()
    slots.on_listing((InstanceEntry(instance="i1", coordinator_address="h:1"), *listed))
    assert slots.slot_lease.held == ALL - {3}
    old_until = published[-1].lease_until
    begun = len(published)
    assert await slots.send_due_calls()
    assert [sent.held for sent in published[begun:]] == [ALL - {3}], "once, after all claims"
    assert published[-1].lease_until > old_until
    assert {key.lease for key in store.keys.values()} == {40, 2}


async def test_a_key_that_another_instance_wrote_after_a_restore_is_not_overwritten() -> None:
    """Guards against two issuers of a slot that another instance was given after the restore."""
    store = SlotStore()
    published: list[IssuerSlotsChanged] = []
    slots = build(store, published)
    await slots.send_due_calls()
    slots.on_restored()
    store.keys = {3: OTHER}
    slots.on_listing((InstanceEntry(instance="i1", coordinator_address="h:1"), OTHER))
    assert published[-1].held == ALL - {3}
    assert await slots.send_due_calls()
    assert store.keys[3] == OTHER
    assert published[-1].held == ALL - {3}


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
