"""Fake of an entry instance: carries out the decisions of the real policies."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from functools import partial

from result import Ok

from azurefield.admission import AdmissionRequest, Admitted, Decision, Queued
from azurefield.failures import LeafFailure, LeafFailureReason
from azurefield.hedging import NoHedging
from azurefield.merge import SnapshotMerge
from azurefield.model import Outcome, Snapshot
from azurefield.quarantine import CrashSuspects
from azurefield.query import Action, CancelLeafCall, FanOut, Finished, SendLeafCall, WakeAt
from azurefield.retry import RetryBudget
from azurefield.snapshot import Holding, LeafAnswer, MergedAnswer
from azurefield_testkit.bench.loop import VirtualLoop
from azurefield_testkit.bench.scenario import CRASHER, Arrival
from azurefield_testkit.bench.servers import Call, ConnectionPool
from azurefield_testkit.bench.sizes import DEADLINE_S, PRIORITY, REPLICAS, ServiceSize
from azurefield_testkit.bench.variants import Policies

SNAPSHOT = Snapshot(index_version=1, map_version=1)
PEER_ONE_WAY_S = 0.002


class Status(StrEnum):
    """How a request ended, as its caller sees it."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True, kw_only=True)
class Ended:
    """One request that ended; ``calls`` and ``first_calls`` are leaf calls."""

    arrival: Arrival
    at: float
    status: Status
    covered: int = 0
    calls: int = 0
    first_calls: int = 0


@dataclass(slots=True, kw_only=True)
class LeafHolders:
    """The servers that may run a call of one request."""

    suspects: CrashSuspects | None
    request: str

    def holders(self, now: float, holding: Holding) -> tuple[str, ...]:
        """List the servers of a leaf, without those that quarantine rules out."""
        servers = servers_of(holding.leaf)
        if self.suspects is None:
            return servers
        return self.suspects.eligible(now, self.request, servers)


def servers_of(leaf: str) -> tuple[str, ...]:
    """List the servers of a leaf, one per availability zone."""
    return tuple(f"{leaf}.{replica}" for replica in range(REPLICAS))


@dataclass(slots=True, kw_only=True)
class Running:
    """A request that was admitted."""

    arrival: Arrival
    fingerprint: str
    fan_out: FanOut[LeafAnswer, MergedAnswer]
    wake_at: float = float("inf")


@dataclass(slots=True, kw_only=True, eq=False)
class EntryInstance:
    """One instance with its policies and connections."""

    name: str
    zone: int
    size: ServiceSize
    loop: VirtualLoop
    policies: Policies
    pools: dict[str, ConnectionPool]
    record: Callable[[Ended], None]
    peers: list[EntryInstance] = field(default_factory=list)
    arrivals: dict[str, Arrival] = field(default_factory=dict)
    running: dict[str, Running] = field(default_factory=dict)
    calls: dict[str, Call] = field(default_factory=dict)
    sent: int = 0
    alive: bool = True

    def on_arrival(self, arrival: Arrival) -> None:
        """Take a request of a caller."""
        now = self.loop.now
        if not self.alive:
            self.record(Ended(arrival=arrival, at=now, status=Status.FAILED))
            return
        self.sent += 1
        request_id = f"{self.name}.{self.sent}"
        suspects = self.policies.suspects
        if suspects and suspects.refusal(now, arrival.fingerprint):
            self.record(Ended(arrival=arrival, at=now, status=Status.REFUSED))
            return
        self.arrivals[request_id] = arrival
        decision = self.policies.admission.submit(
            now,
            AdmissionRequest(
                request_id=request_id,
                member=arrival.member,
                kind=arrival.kind,
                arrived_at=now,
                deadline=now + DEADLINE_S[arrival.kind],
                cost=self.size.cost(arrival.kind),
            ),
        )
        if not isinstance(decision, Queued):
            self.carry_out(decision)
        self.after_admission()

    def after_admission(self) -> None:
        """Carry out the decisions on waiting requests and set the next wake-up."""
        admission = self.policies.admission
        for decision in admission.take_decisions():
            self.carry_out(decision)
        wake_at = admission.next_wake()
        if wake_at is not None:
            self.loop.at(wake_at, self.admission_tick)

    def admission_tick(self) -> None:
        """Refuse the requests that waited too long."""
        admission = self.policies.admission
        wake_at = admission.next_wake()
        if wake_at is not None and wake_at <= self.loop.now:
            admission.tick(self.loop.now)
            self.after_admission()

    def carry_out(self, decision: Decision) -> None:
        """Start an admitted request or report a refused one."""
        arrival = self.arrivals.pop(decision.request_id)
        if isinstance(decision, Admitted):
            self.start(decision.request_id, arrival)
        else:
            self.record(Ended(arrival=arrival, at=self.loop.now, status=Status.REFUSED))

    def start(self, request_id: str, arrival: Arrival) -> None:
        """Run the fan-out of an admitted request; a booking gets no hedge and no retry."""
        policies = self.policies
        leafs = self.size.leaf_names
        fingerprint = arrival.fingerprint or request_id
        suspect = policies.suspects and policies.suspects.is_suspect(self.loop.now, fingerprint)
        once = not arrival.kind.idempotent
        fan_out = FanOut(
            request_id=request_id,
            merge=SnapshotMerge(kind=arrival.kind, limit=10),
            snapshot=SNAPSHOT,
            leafs=leafs if arrival.kind.partial else (leafs[arrival.leaf],),
            deadline=arrival.at + DEADLINE_S[arrival.kind],
            holders=LeafHolders(suspects=policies.suspects, request=fingerprint),
            router=policies.router,
            hedging=NoHedging() if once or suspect else policies.hedging,
            retries=RetryBudget(ratio=0.0, tokens=0.0) if once else policies.retries,
        )
        self.running[request_id] = Running(
            arrival=arrival, fingerprint=fingerprint, fan_out=fan_out
        )
        self.perform(request_id, fan_out.start(self.loop.now))

    def perform(self, request_id: str, actions: list[Action[MergedAnswer]]) -> None:
        """Carry out the actions of a fan-out."""
        for action in actions:
            match action:
                case SendLeafCall():
                    self.send(request_id, action)
                case CancelLeafCall(call_id=call_id, server=server):
                    self.pools[server].cancel(self.calls.pop(call_id))
                    self.call_ended(call_id)
                case WakeAt(at=at):
                    self.wake(request_id, at)
                case Finished():
                    self.finish(request_id, action)

    def wake(self, request_id: str, at: float) -> None:
        """Set the wake-up of a request; an earlier one that is now too early is ignored."""
        running = self.running[request_id]
        if at != running.wake_at:
            running.wake_at = at
            self.loop.at(at, lambda: self.on_wake(request_id, at))

    def on_wake(self, request_id: str, at: float) -> None:
        """Tell the fan-out that its time has come."""
        running = self.running.get(request_id)
        if running is not None and running.wake_at == at:
            running.wake_at = float("inf")
            self.perform(request_id, running.fan_out.on_tick(self.loop.now))

    def send(self, request_id: str, action: SendLeafCall) -> None:
        """Send a leaf call over a connection to its server."""
        running = self.running[request_id]
        pool = self.pools[action.server]
        near = pool.server.zone == self.zone
        call = Call(
            call_id=action.call_id,
            server=action.server,
            kind=running.arrival.kind,
            deadline=action.deadline,
            one_way_s=0.0001 if near else self.size.zone_one_way_s,
            crashes=running.fingerprint == CRASHER,
            done=lambda failure: self.on_call_done(request_id, action, failure),
        )
        self.calls[action.call_id] = call
        if self.policies.suspects:
            self.policies.suspects.on_sent(
                self.loop.now, action.call_id, action.server, running.fingerprint
            )
        by_kind = self.policies.connection_priority
        pool.send(call, PRIORITY[running.arrival.kind] if by_kind else 0)

    def on_call_done(
        self, request_id: str, action: SendLeafCall, failure: LeafFailureReason | None
    ) -> None:
        """Tell the fan-out that a call ended."""
        self.pools[action.server].ended(self.calls.pop(action.call_id), reusable=failure is None)
        self.call_ended(action.call_id)
        fan_out = self.running[request_id].fan_out
        if failure is None:
            answer = LeafAnswer(
                call_id=action.call_id,
                leaf=action.leaf,
                snapshot=SNAPSHOT,
                record_count=0,
                records=(),
            )
            actions = fan_out.on_answer(self.loop.now, action.call_id, answer)
        else:
            lost = LeafFailure(reason=failure, outcome=Outcome.MAY_HAVE_RUN)
            actions = fan_out.on_failure(self.loop.now, action.call_id, lost)
        self.perform(request_id, actions)

    def call_ended(self, call_id: str) -> None:
        """Tell quarantine that a call ended."""
        if self.policies.suspects:
            self.policies.suspects.on_call_ended(call_id)

    def finish(self, request_id: str, action: Finished[MergedAnswer]) -> None:
        """Record the end of a request and free its place."""
        running = self.running.pop(request_id)
        fan_out = running.fan_out
        covered = sum(entry.answer is not None for entry in fan_out.progress.values())
        whole = covered == len(fan_out.leafs)
        answered = isinstance(action.result, Ok) and (whole or not self.policies.wait_for_all)
        if self.policies.suspects and whole:
            self.policies.suspects.on_answered(running.fingerprint)
        self.record(
            Ended(
                arrival=running.arrival,
                at=self.loop.now,
                status=Status.ANSWERED if answered else Status.FAILED,
                covered=covered,
                calls=fan_out.calls_sent,
                first_calls=len(fan_out.leafs),
            )
        )
        latency_s = fan_out.median_leaf_latency_s()
        self.policies.admission.release(self.loop.now, request_id, latency_s)
        self.after_admission()

    def on_server_crash(self, server: str) -> None:
        """Suspect the requests on a dead server and share new convictions."""
        suspects = self.policies.suspects
        if suspects is None:
            return
        for conviction in suspects.on_server_crash(self.loop.now, server):
            for instance in (self, *self.peers):
                self.loop.after(
                    PEER_ONE_WAY_S,
                    partial(instance.convict, conviction.fingerprint, conviction.ttl_s),
                )
        for running in self.running.values():
            if suspects.is_suspect(self.loop.now, running.fingerprint):
                running.fan_out.hedging = NoHedging()

    def convict(self, fingerprint: str, ttl_s: float) -> None:
        """Take a conviction and stop the request where it runs."""
        if self.policies.suspects is None:
            return
        self.policies.suspects.convict(self.loop.now, fingerprint, ttl_s)
        for request_id, running in list(self.running.items()):
            if running.fingerprint == fingerprint:
                self.perform(request_id, running.fan_out.cancel(self.loop.now))
                del self.running[request_id]
                self.record(Ended(arrival=running.arrival, at=self.loop.now, status=Status.FAILED))
                self.policies.admission.release(self.loop.now, request_id, None)

    def heartbeat(self) -> None:
        """Send the members' use to the peers and adjust the local weights."""
        exchange, admission = self.policies.exchange, self.policies.admission
        if exchange is None:
            return
        now = self.loop.now
        admission.member_use.decay(now)
        use = dict(admission.member_use.rates)
        for peer in self.peers:
            if peer.alive and peer.policies.exchange:
                peer.policies.exchange.on_report(now + PEER_ONE_WAY_S, self.name, use)
        admission.set_weights(exchange.weights(now, use))
