"""Issuer slots in the store: claims, the keys of an earlier process, and a lease that ends."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

import pytest
from msgspec.structs import replace
from result import Err, Ok, Result

from azurefield.issuer_slots import SETTLE_S, USED_MARK, SlotKey
from azurefield.quota_shares import ISSUER_SLOTS
from azurefield_entry.clock import lease_now, now
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
    era: int | None = None
    ended: bool = False
    calls: int = 0
    marks: int = 0
    before_reply: Callable[[], None] | None = None

    async def new_lease(self, ttl_s: float) -> Result[Lease, InvalidCall]:  # noqa: ARG002
        self.calls += 1
        self.leases += 1
        return Ok(Lease(number=self.leases, era=self.era, length_s=self.length_s))

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
        if entry.slot == USED_MARK:
            self.marks += 1
            return Ok(None)
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
    era: int | None = None,
) -> IssuerSlots:
    """Build the slots of i1, which has listed the store long enough ago to claim."""
    slots = IssuerSlots(
        own="i1",
        store=store,  # type: ignore[arg-type]
        random=Random(1),
        metrics=GatewayMetrics(),
        can_issue=lambda: reached,
        publish=published.append,
    )
    slots.set_used(used)
    list_again(slots, *store.keys.values(), era=era)
    return slots


def list_again(slots: IssuerSlots, *keys: SlotKey, era: int | None = None) -> None:
    """List the store with some keys, long enough ago to claim."""
    slots.on_listing((InstanceEntry(instance="i1", coordinator_address="h:1"), *keys), era)
    slots.claims.listed_at = slots.claims.used_since = now() - SETTLE_S
    slots.claims.free_since = dict.fromkeys(slots.claims.free_since, now() - SETTLE_S)


async def test_free_slots_and_those_of_an_earlier_process_are_claimed() -> None:
    """Guards against slots without an issuer, and against taking those of another instance."""
    store = SlotStore(keys={3: OTHER, 4: EARLIER})
    published: list[IssuerSlotsChanged] = []
    slots = build(store, published)
    assert await slots.send_due_calls()
    assert published[-1].held.keys() == ALL - {3}
    assert published[-1].holders[3] == "i2"
    assert store.leases == 1


@pytest.mark.parametrize(
    ("held_s", "eras", "start_tokens", "since_start"),
    [
        (5.1, (None, None), True, True),
        (5.1, (2, 2), True, True),
        (4.9, (None, None), False, True),
        (5.1, (1, None), False, False),
        (5.1, (1, 2), False, False),
    ],
    ids=["held-for-a-window", "same-history", "taken-over-just-before", "unknown", "restored"],
)
async def test_the_buckets_of_a_slot_begin_by_the_key_of_the_earlier_process(
    held_s: float, eras: tuple[int | None, int | None], start_tokens: bool, since_start: bool
) -> None:
    """Guards against buckets that are empty after a restart, and two that begin full at once.

    The key's era is compared with that of the lease: the store may be restored after the listing.
    """
    earlier = replace(EARLIER, held_s=held_s, era=eras[0])
    published: list[IssuerSlotsChanged] = []
    slots = build(SlotStore(keys={4: earlier}, era=eras[1]), published)
    begun_at = slots.slot_lease.reachable_since = lease_now() - 1.0
    await slots.send_due_calls()
    hold = published[-1].held[4]
    assert hold.start_tokens is start_tokens
    assert (hold.filled_from == begun_at) is since_start
    assert not published[-1].held[5].start_tokens, "a slot without a key begins empty"


async def test_the_time_for_which_a_slot_was_held_is_written_once_a_window_has_passed() -> None:
    """Guards against start tokens for a process that follows another one at once."""
    store = SlotStore(keys={3: OTHER})
    slots = build(store, [])
    await slots.send_due_calls()
    list_again(slots, *store.keys.values())
    await slots.send_due_calls()
    assert {key.held_s for key in store.keys.values()} == {0.0}
    window_s = slots.slot_lease.window_passed_s
    held = slots.slot_lease.held
    slots.slot_lease.held = {
        slot: replace(hold, taken_at=hold.taken_at - window_s) for slot, hold in held.items()
    }
    await slots.send_due_calls()
    assert all((key.held_s >= window_s) == (key != OTHER) for key in store.keys.values())
    sent = store.calls
    await slots.send_due_calls()
    assert store.calls == sent, "once"


@pytest.mark.parametrize(("first", "claims"), [("i1", True), ("i2", False)])
async def test_the_first_quota_is_claimed_at_once_by_the_first_in_the_order(
    first: str, claims: bool
) -> None:
    """Guards against 503 for the first quota, and against claims of all instances at once."""
    slots = build(SlotStore(), [], used=False)
    instances = frozenset({"i1", "i2"})
    slots.claims.ranks = {slot: (instances, int(first != "i1")) for slot in ALL}
    slots.issuers.add("i2")
    slots.set_used(True)
    await slots.send_due_calls()
    assert bool(slots.slot_lease.held) is claims


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
    assert published[-1].held.keys() == ALL - {0}, "the next claims follow at once"
    sent = store.calls
    assert await slots.send_due_calls()
    assert store.calls == sent, "no claim follows until the key is seen"
    slots.on_changes((replace(OTHER, slot=0),))
    assert await slots.send_due_calls()
    assert store.calls == sent, "another instance holds the slot"
    slots.on_changes((Removed(key=SlotName(slot=0)),))
    del store.keys[0]
    assert await slots.send_due_calls()
    assert published[-1].held.keys() == ALL


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
    assert published[-1].held.keys() == ALL
    store.ended = True
    slots.next_renewal_at = 0.0
    await slots.send_due_calls()
    assert published[-1].held.keys() == frozenset()
    assert published[-1].lease_until == float("-inf")
    store.keys.clear()
    list_again(slots)
    await slots.send_due_calls()
    assert published[-1].held.keys() == ALL, "the store has lost the lease before its end"


@pytest.mark.parametrize("seed", range(5))
async def test_the_lease_outlasts_an_outage_of_the_store(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against slots that end in an outage of 30 s, whenever that begins."""
    clock = [1000.0]
    outages = [(1020.0 + 60.0 * number + 0.37 * number, 30.0) for number in range(20)]

    async def pause(self: IssuerSlots, delay_s: float) -> None:  # noqa: ARG001
        clock[0] += delay_s
        assert clock[0] < slots.slot_lease.lease_until or not slots.slot_lease.held
        if clock[0] > outages[-1][0] + 60.0:
            raise EndOfPlay

    slots = build(StoreWithOutages(clock=clock, outages=outages), [])
    slots.random = Random(seed)
    slots.claims.free_since = dict.fromkeys(ALL, 0.0)
    slots.claims.listed_at = slots.claims.used_since = 0.0
    monkeypatch.setattr(issuer_slots, "now", lambda: clock[0])
    monkeypatch.setattr(issuer_slots, "lease_now", lambda: clock[0])
    monkeypatch.setattr(IssuerSlots, "pause", pause)
    with pytest.raises(EndOfPlay):
        await slots.run()
    assert slots.slot_lease.held.keys() == ALL


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
    list_again(slots, *listed)
    assert slots.slot_lease.held.keys() == ALL - {3}
    old_until = published[-1].lease_until
    begun = len(published)
    assert await slots.send_due_calls()
    assert [sent.held.keys() for sent in published[begun:]] == [ALL - {3}], "once, after all claims"
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
    list_again(slots, OTHER)
    assert published[-1].held.keys() == ALL - {3}
    assert await slots.send_due_calls()
    assert store.keys[3] == OTHER
    assert published[-1].held.keys() == ALL - {3}


async def test_after_a_restore_of_the_store_only_held_slots_are_claimed() -> None:
    """Guards against claims of slots whose keys the store has lost while they are held."""
    store = SlotStore(keys={3: OTHER})
    published: list[IssuerSlotsChanged] = []
    slots = build(store, published)
    await slots.send_due_calls()
    slots.on_restored()
    assert published[-1].held.keys() == ALL - {3}, "a holder goes on until its lease ends"
    store.keys.clear()
    list_again(slots)
    assert await slots.send_due_calls()
    assert store.keys.keys() == ALL - {3}
    assert published[-1].held.keys() == ALL - {3}


MARK = SlotKey(slot=USED_MARK, instance="", lease=0, revision=1, era=1)


@pytest.mark.parametrize(
    ("keys", "claimed"),
    [
        ((), ALL),
        ((MARK,), frozenset()),
        ((replace(EARLIER, era=1),), frozenset()),
        ((replace(EARLIER, era=2), MARK), {4}),
        ((replace(OTHER, era=2, era_s=44.0),), frozenset()),
        ((replace(OTHER, era=2, era_s=46.0),), ALL - {3}),
        ((replace(EARLIER, era=None), MARK), {4}),
    ],
    ids=["new-store", "keys-lost", "older", "own", "too-new", "lasting", "earlier-version"],
)
async def test_a_process_claims_only_what_no_forgotten_holder_can_hold(
    keys: tuple[SlotKey, ...], claimed: set[int]
) -> None:
    """Guards against two issuers after a restore of the store, and idle waits without one."""
    store = SlotStore(keys={key.slot: key for key in keys}, era=2)
    slots = build(store, [], era=2)
    await slots.send_due_calls()
    assert slots.slot_lease.held.keys() == claimed


async def test_no_slot_is_claimed_under_a_lease_of_an_era_that_was_not_listed() -> None:
    """Guards against claims of slots that the store has forgotten since the last listing."""
    store = SlotStore(era=3)
    slots = build(store, [], era=2)
    assert not await slots.send_due_calls()
    assert not store.keys


async def test_the_mark_is_written_before_the_first_slot_and_once() -> None:
    """Guards against a store that looks new after a restore."""
    store = SlotStore()
    slots = build(store, [])
    await slots.send_due_calls()
    await slots.send_due_calls()
    assert store.marks == 1


@pytest.mark.parametrize(
    ("listed", "granted", "named"), [(2, 2, 2), (None, 2, 2), (2, None, 2), (None, None, None)]
)
async def test_keys_name_the_era_of_the_lease_or_else_the_listed_one(
    listed: int | None, granted: int | None, named: int | None
) -> None:
    """Guards against keys that seem to be of a later history, and an age of another era."""
    slots = build(store := SlotStore(era=granted), [], era=listed)
    slots.slot_lease.era_since = lease_now() - 100.0
    await slots.send_due_calls()
    written = {(key.era, key.era_s >= 100.0) for key in store.keys.values()}
    assert written == {(named, listed == named)}
