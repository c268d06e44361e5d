"""A fleet on virtual time that issues quotas, with faults of instances, links and the store.

Only the transport, the clocks and the store are simulated; all decisions are those of the library.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random

from azurefield.issuer_slots import (
    RENEW_INTERVAL_S,
    RETRY_DELAY_S,
    SLOT_LEASE_S,
    SlotClaim,
    SlotClaims,
    SlotKey,
    SlotLease,
)
from azurefield.quota import QuotaDenied, QuotaGranted
from azurefield.quota_shares import QuotaBounds
from azurefield.workspace_quota import ShareChoice, ShareIssuer, ShareRequest, TokenDecision
from azurefield.workspaces import RequestQuota
from azurefield_testkit.quota_faults import Fault, FaultKind, LimitChange, end_of
from azurefield_testkit.quota_node import Node
from azurefield_testkit.slot_store import SlotStoreModel

TICK_S = 0.25
LATENCY_S = 0.001
ASK_TIMEOUT_S = 0.03
WATCH_LAG_S = 0.3
# The other calls of an instance that is cut off from the store are applied late.
CUT_DROPPED_FRACTION = 0.99


@dataclass(slots=True, kw_only=True)
class Pending:
    """A caller's request that is being admitted."""

    node: Node
    instance: int
    sent_at: float
    slots: list[int]
    asked: int = 0
    done: bool = False


@dataclass(slots=True, kw_only=True)
class QuotaFleet:
    """Instances that admit the requests of one workspace.

    :param loss: probability that a message between instances is lost; as many come late or twice
    :param views_differ: whether each instance knows only some of the others, each time other ones
    :param runs: when each admitted request was sent by its caller and reached a server
    """

    random: Random
    instances: int
    bounds: QuotaBounds
    quota: RequestQuota
    faults: list[Fault] = field(default_factory=list)
    changes: list[LimitChange] = field(default_factory=list)
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
    runs: list[tuple[float, float]] = field(default_factory=list)
    results: Counter[str] = field(default_factory=Counter)
    now: float = 0.0

    def __post_init__(self) -> None:
        self.store = SlotStoreModel(lease_s=self.lease_s)
        self.nodes = [self.start_node(index, 0.0) for index in range(self.instances)]
        for index in range(self.instances):
            self.at(self.random.random() * TICK_S, partial(self.tick, index))
        for fault in self.faults:
            if fault.kind is FaultKind.KILL:
                self.at(fault.begin_s + fault.length_s, partial(self.restart, fault.instance))
        for change in self.changes:
            for index in range(self.instances):
                at = change.at + self.random.random() * change.lag_s
                self.at(at, partial(self.learn, index, change))

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
        node.claims.on_listing(node.clock(now), [*self.store.keys.values()])
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
        wanted = node.claims.wanted(node.clock(now), instances, node.slot_lease.held)
        asked_at = node.clock(now)
        lease = node.slot_lease.lease
        if lease is not None:
            if asked_at >= node.next_renewal_at:
                node.next_renewal_at = asked_at + min(RETRY_DELAY_S, self.renew_interval_s)
                self.call(now, index, partial(self.store.renew, lease), self.renewed, asked_at)
            for claim in wanted:
                apply = partial(self.claim, claim, node.name, lease)
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
        if cut and self.random.random() < CUT_DROPPED_FRACTION:
            return

        def arrive(at: float) -> None:
            result = apply(at)
            if not lost:
                deliver = self.when_awake(index, partial(reply, index, result, asked_at))
                self.at(at + LATENCY_S, deliver)

        self.at(now + late_s, arrive)

    def granted(self, index: int, lease: int, asked_at: float, now: float) -> None:
        """Apply the reply to a request for a lease."""
        node = self.nodes[index]
        node.slot_lease.on_granted(lease, asked_at, self.lease_s)
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

    def claim(self, claim: SlotClaim, instance: str, lease: int, now: float) -> SlotKey | None:
        """Apply a claim at the store and publish the key."""
        key = self.store.claim(claim, instance, lease, now)
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
            self.at(now + lag_s, self.when_awake(index, partial(apply, index)))

    def send_requests(self, times: Iterable[float], receivers: list[int]) -> None:
        """Plan callers' requests at random receivers."""
        for sent_at in times:
            index = self.random.choice(receivers)
            self.at(sent_at, partial(self.receive, index))

    def receive(self, index: int, now: float) -> None:
        """Take a caller's request as soon as the process runs."""
        if self.active(FaultKind.KILL, index, now) is not None:
            self.results["no_instance"] += 1
            return
        self.when_awake(index, partial(self.begin, index, now))(now)

    def begin(self, index: int, sent_at: float, now: float) -> None:
        """Begin to ask the shares for a token."""
        node = self.nodes[index]
        slots = node.choice.slots(node.clock(now), "w", node.quota, node.version)
        request = Pending(node=node, instance=index, sent_at=sent_at, slots=slots)
        self.ask_next(now, request)

    def ask_next(self, now: float, request: Pending) -> None:
        """Ask the next share; a request is refused after the last one."""
        if request.asked >= len(request.slots):
            request.done = True
            self.results["refused"] += 1
            return
        slot = request.slots[request.asked]
        request.asked += 1
        asked = request.asked
        holder = request.node.claims.holder(slot)
        if holder is None:
            self.ask_next(now, request)
            return
        frame = ShareRequest(
            slot=slot, workspace="w", quota=request.node.quota, version=request.node.version
        )
        issuer = int(holder[1:])

        def answer(at: float) -> None:
            node = self.nodes[issuer]
            decision = node.issuer.request(node.clock(at), frame)
            apply = partial(self.on_reply, request, asked, frame, decision)
            self.transmit(at, issuer, request.instance, apply)

        self.transmit(now, request.instance, issuer, answer)
        timeout = self.when_awake(request.instance, partial(self.on_timeout, request, asked))
        self.at(now + ASK_TIMEOUT_S, timeout)

    def transmit(
        self, now: float, sender: int, receiver: int, action: Callable[[float], None]
    ) -> None:
        """Send a message between instances, which may be lost, late or repeated."""
        if sender == receiver:
            self.when_awake(receiver, action)(now)
            return
        cut = {self.active(FaultKind.CUT_PEERS, index, now) for index in (sender, receiver)}
        chance = self.random.random()
        if cut != {None} or chance < self.loss:
            return
        late_s = self.random.uniform(0.0, 2.0) if chance < 2 * self.loss else 0.0
        for _ in range(2 if chance > 1 - self.loss else 1):
            self.at(now + LATENCY_S + late_s, self.when_awake(receiver, action))

    def on_timeout(self, request: Pending, asked: int, now: float) -> None:
        """Ask the next share if the one that was asked has not replied."""
        if not request.done and request.asked == asked:
            self.ask_next(now, request)

    def on_reply(
        self, request: Pending, asked: int, frame: ShareRequest, decision: TokenDecision, now: float
    ) -> None:
        """Run a granted request; a reply to an earlier question is no longer waited for."""
        if request.done or request.asked != asked:
            return
        if isinstance(decision, QuotaGranted):
            request.done = True
            self.results["admitted"] += 1
            self.runs.append((request.sent_at, now + self.random.random() * 0.01))
            return
        if isinstance(decision, QuotaDenied):
            clock = request.node.clock(now)
            request.node.choice.on_denied(clock, frame, decision.wait_s)
        self.ask_next(now, request)
