"""Instances on virtual time that hold issuer slots, with faults of instances and of the store.

Only the clocks and the store are simulated; all decisions are those of the library.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random

from azurefield.issuer_slots import (
    RENEW_INTERVAL_S,
    RETRY_DELAY_S,
    SlotClaim,
    SlotClaims,
    SlotKey,
)
from azurefield.quota_shares import QuotaBounds
from azurefield.slot_lease import SLOT_LEASE_S, SlotLease
from azurefield.workspace_quota import ShareChoice, ShareIssuer
from azurefield.workspaces import RequestQuota
from azurefield_testkit.quota_faults import Fault, FaultKind, LimitChange, Restore, end_of
from azurefield_testkit.quota_node import Node
from azurefield_testkit.slot_store import SlotStoreModel

TICK_S = 0.25
LATENCY_S = 0.001
WATCH_LAG_S = 0.3
# The other calls of an instance that is cut off from the store are applied late.
CUT_DROPPED_FRACTION = 0.99


@dataclass(slots=True, kw_only=True)
class SlotFleet:
    """Instances that claim and hold the issuer slots.

    :param loss: probability that a message between instances is lost; as many come late or twice
    :param views_differ: whether each instance knows only some of the others, each time other ones
    """

    random: Random
    instances: int
    bounds: QuotaBounds
    quota: RequestQuota
    faults: list[Fault] = field(default_factory=list)
    changes: list[LimitChange] = field(default_factory=list)
    restores: list[Restore] = field(default_factory=list)
    loss: float = 0.0
    views_differ: bool = False
    clock_error: float = 0.0
    lease_s: float = SLOT_LEASE_S
    renew_interval_s: float = RENEW_INTERVAL_S
    make_issuer: Callable[..., ShareIssuer] = ShareIssuer
    make_lease: Callable[..., SlotLease] = SlotLease
    store: SlotStoreModel = field(init=False)
    nodes: list[Node] = field(default_factory=list)
    events: list[tuple[float, int, Callable[[float], None]]] = field(default_factory=list)
    numbers: count[int] = field(default_factory=count)
    now: float = 0.0

    def __post_init__(self) -> None:
        self.store = SlotStoreModel(lease_s=self.lease_s)
        self.nodes = [self.start_node(index, 0.0) for index in range(self.instances)]
        for index in range(self.instances):
            self.at(self.random.random() * TICK_S, partial(self.tick, index))
        for fault in self.faults:
            if fault.kind is FaultKind.KILL:
                self.at(fault.begin_s + fault.length_s, partial(self.restart, fault.instance))
        for restore in self.restores:
            self.at(restore.at - restore.age_s, partial(self.copy_store, restore))
        for change in self.changes:
            for index in range(self.instances):
                at = change.at + self.random.random() * change.lag_s
                self.at(at, partial(self.learn, index, change))

    def copy_store(self, restore: Restore, now: float) -> None:
        """Copy the store and plan its restore."""
        self.store.expire(now)
        self.at(restore.at, partial(self.restore_store, restore, self.store.copy()))

    def restore_store(self, restore: Restore, copy: SlotStoreModel, now: float) -> None:
        """Restore the store, which the instances notice later."""
        self.store.restore(copy, restore.age_s if restore.keeps_leases else None)
        for index in range(self.instances):
            at = now + self.random.random() * restore.lag_s
            self.at(at, partial(self.notice_restore, index))

    def notice_restore(self, index: int, now: float) -> None:
        """Apply a listing after a restore as soon as a process runs and reaches the store."""
        for kind in (FaultKind.CUT_STORE, FaultKind.SLOW_WATCH, FaultKind.FREEZE, FaultKind.KILL):
            ends = self.active(kind, index, now)
            if ends is not None:
                self.at(ends, partial(self.notice_restore, index))
                return
        node = self.nodes[index]
        if node.slot_lease.listed_era == self.store.era:
            return
        self.store.expire(now)
        node.slot_lease.on_restored(node.clock(now))
        node.on_listing(now, self.store.era, [*self.store.keys.values()])
        for key in self.store.keys.values():
            node.slot_lease.on_key(node.clock(now), key)
        node.update_issuer(now)

    def at(self, when: float, action: Callable[[float], None]) -> None:
        """Plan an action."""
        heappush(self.events, (when, next(self.numbers), action))

    def run(self, until: float) -> None:
        """Run all actions up to a time."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heappop(self.events)
            action(self.now)

    def active(self, kind: FaultKind, index: int, now: float) -> float | None:
        """Return the end of a fault that an instance has now."""
        return end_of(self.faults, kind, index, now)

    def when_awake(self, index: int, action: Callable[[float], None]) -> Callable[[float], None]:
        """Delay an action of a suspended instance, and drop one of a process that has ended."""
        node = self.nodes[index]

        def run(now: float) -> None:
            wakes_at = self.active(FaultKind.FREEZE, index, now)
            if wakes_at is not None:
                self.at(wakes_at, run)
            elif self.nodes[index] is node and self.active(FaultKind.KILL, index, now) is None:
                action(now)

        return run

    def start_node(self, index: int, now: float) -> Node:
        """Build a process that has just read the store."""
        name = f"i{index}"
        error = self.clock_error
        known = [change for change in self.changes if change.at <= now]
        node = Node(
            name=name,
            rate=1.0 + self.random.uniform(-error, error),
            offset=self.random.uniform(0.0, 1e6),
            slot_lease=self.make_lease(
                own=name, lease_s=self.lease_s, window_s=self.bounds.window_s
            ),
            issuer=self.make_issuer(bounds=self.bounds),
            choice=ShareChoice(bounds=self.bounds, first_turn=index),
            claims=SlotClaims(own=name),
            version=known[-1].version if known else 0,
            quota=known[-1].quota if known else self.quota,
        )
        self.store.expire(now)
        node.slot_lease.reachable_since = node.clock(now)
        node.on_listing(now, self.store.era, [*self.store.keys.values()])
        return node

    def restart(self, index: int, now: float) -> None:
        """Start another process of the same name."""
        self.nodes[index] = self.start_node(index, now)
        if self.active(FaultKind.KILL, index, now) is None:
            self.keep_slots(now, index)

    def learn(self, index: int, change: LimitChange, now: float) -> None:  # noqa: ARG002
        """Apply a version of the configuration unless a newer one is known."""
        node = self.nodes[index]
        if change.version > node.version:
            node.version, node.quota = change.version, change.quota

    def tick(self, index: int, now: float) -> None:
        """Renew the lease and claim slots, as an instance does periodically."""
        self.at(now + TICK_S * self.random.uniform(0.9, 1.1), partial(self.tick, index))
        for slot in self.store.expire(now):
            self.publish(now, partial(self.apply_removed, slot))
        if (
            self.active(FaultKind.KILL, index, now) is None
            and self.active(FaultKind.FREEZE, index, now) is None
        ):
            self.keep_slots(now, index)

    def keep_slots(self, now: float, index: int) -> None:
        """Send the calls to the store that are due."""
        node = self.nodes[index]
        node.update_issuer(now)
        known = self.nodes
        if self.views_differ and len(known) > 1:
            known = self.random.sample(known, self.random.randint(1, len(known) - 1))
        instances = frozenset(other.name for other in known)
        wanted = node.due_claims(now, instances)
        asked_at = node.clock(now)
        lease = node.slot_lease.lease
        if lease is not None:
            if asked_at >= node.next_renewal_at:
                node.next_renewal_at = asked_at + min(RETRY_DELAY_S, self.renew_interval_s)
                self.call(now, index, partial(self.store.renew, lease), self.renewed, asked_at)
            for claim in wanted:
                apply = partial(self.claim, claim, node.claimed_key(now, claim.slot, lease))
                self.call(now, index, apply, partial(self.claimed, claim), asked_at)
            self.confirm_holds(now, index)
        elif wanted:
            self.call(now, index, self.store.grant, self.granted, asked_at)

    def confirm_holds(self, now: float, index: int) -> None:
        """Write how long slots have been held."""
        node = self.nodes[index]
        due = node.slot_lease.due_confirmations(node.clock(now), node.claims.usable_keys())
        for key in due:
            node.claims.on_refused(key.slot)
            self.call(now, index, partial(self.confirm, key), self.confirmed, node.clock(now))

    def confirm(self, key: SlotKey, now: float) -> None:
        """Apply a key with the time for which its slot was held."""
        confirmed = self.store.confirm(key, now)
        if confirmed is not None:
            self.publish(now, partial(self.apply_key, confirmed))

    def confirmed(self, index: int, result: None, asked_at: float, now: float) -> None:
        """Do nothing; the key is seen later."""

    def call(
        self,
        now: float,
        index: int,
        apply: Callable[[float], object],
        reply: Callable[..., None],
        asked_at: float,
    ) -> None:
        """Call the store; without a path the call may arrive late, and its reply is lost."""
        cut = self.active(FaultKind.CUT_STORE, index, now) is not None
        lost = cut or self.random.random() < self.loss
        late_s = self.random.uniform(0.0, 3.0) if lost else LATENCY_S
        asked_era = self.nodes[index].slot_lease.listed_era
        if cut and self.random.random() < CUT_DROPPED_FRACTION:
            return

        def arrive(at: float) -> None:
            result = apply(at)
            if not lost:
                deliver = partial(reply, index, result, asked_at)
                if self.store.era != asked_era:
                    deliver = partial(self.on_other_era, index)
                deliver = partial(self.deliver, index, asked_era, deliver)
                self.at(at + LATENCY_S, self.when_awake(index, deliver))

        self.at(now + late_s, arrive)

    def deliver(
        self, index: int, asked_era: int | None, action: Callable[[float], None], now: float
    ) -> None:
        """Apply a reply unless the process has learned of a restore meanwhile."""
        if self.nodes[index].slot_lease.listed_era == asked_era:
            action(now)

    def on_other_era(self, index: int, now: float) -> None:
        """Apply a reply of another era, in which the lease is not known."""
        node = self.nodes[index]
        if node.slot_lease.lease is not None:
            node.slot_lease.on_ended(node.clock(now))
            node.update_issuer(now)

    def granted(self, index: int, lease: int, asked_at: float, now: float) -> None:
        """Apply the reply to a request for a lease."""
        node = self.nodes[index]
        node.slot_lease.on_granted(lease, asked_at, self.lease_s, node.slot_lease.listed_era)
        node.update_issuer(now)
        self.keep_slots(now, index)

    def renewed(self, index: int, renewed: bool, asked_at: float, now: float) -> None:
        """Apply the reply to a renewal."""
        node = self.nodes[index]
        if renewed:
            node.slot_lease.on_renewed(asked_at)
            node.next_renewal_at = asked_at + self.renew_interval_s
        else:
            node.slot_lease.on_ended(node.clock(now))
        node.update_issuer(now)

    def claim(self, claim: SlotClaim, written: SlotKey, now: float) -> SlotKey | None:
        """Apply a claim at the store and publish the key."""
        key = self.store.claim(claim, written, now)
        if key is not None:
            self.publish(now, partial(self.apply_key, key))
        return key

    def claimed(
        self,
        claim: SlotClaim,
        index: int,
        key: SlotKey | None,
        asked_at: float,  # noqa: ARG002
        now: float,
    ) -> None:
        """Apply the reply to a claim."""
        if key is not None:
            node = self.nodes[index]
            node.slot_lease.on_claimed(node.clock(now), claim, key.lease)
            node.update_issuer(now)

    def apply_key(self, key: SlotKey, index: int, now: float) -> None:
        """Apply a key that the store has published."""
        node = self.nodes[index]
        node.claims.on_key(key)
        node.slot_lease.on_key(node.clock(now), key)
        node.update_issuer(now)

    def apply_removed(self, slot: int, index: int, now: float) -> None:
        """Apply the removal of a key."""
        node = self.nodes[index]
        node.claims.on_removed(node.clock(now), slot)
        node.slot_lease.on_removed(slot)
        node.update_issuer(now)

    def publish(self, now: float, apply: Callable[[int, float], None]) -> None:
        """Send a change of the store to all instances, each after a lag of its own."""
        for index in range(self.instances):
            lag_s = self.random.random() * WATCH_LAG_S
            for kind in (FaultKind.SLOW_WATCH, FaultKind.CUT_STORE):
                ends = self.active(kind, index, now)
                if ends is not None:
                    lag_s += ends - now
            current = partial(self.apply_if_current, self.store.era, apply, index)
            self.at(now + lag_s, self.when_awake(index, current))

    def apply_if_current(
        self, era: int, apply: Callable[[int, float], None], index: int, now: float
    ) -> None:
        """Apply a change of the store at a process that has listed its era."""
        if self.nodes[index].slot_lease.listed_era == era:
            apply(index, now)
