"""State machine of one query: fan-out to leafs, retries, hedges, deadline and merge."""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush
from statistics import median
from typing import Generic, Protocol, TypeVar

from result import Result

from azurefield.failures import LeafFailure, LeafFailureReason, RequestFailure
from azurefield.hedging import HedgePolicy
from azurefield.merge import MergePolicy
from azurefield.model import Outcome, Snapshot
from azurefield.retry import CallBudget
from azurefield.routing import CallResult, Router
from azurefield.snapshot import Holding

# A leaf whose servers all refused is asked again after this time, since a refusal passes quickly.
RESEND_PAUSE_S = 0.05

A = TypeVar("A")
R = TypeVar("R")
REFUSALS = frozenset(
    {
        LeafFailureReason.DRAINING,
        LeafFailureReason.SHEDDING,
        LeafFailureReason.VERSION_MISSING,
        LeafFailureReason.WRONG_LEAF,
        LeafFailureReason.WRONG_SERVER,
        LeafFailureReason.NO_CAPACITY,
    }
)
NEVER_SENT = frozenset({LeafFailureReason.CONNECT_FAILED, LeafFailureReason.NO_CAPACITY})


@dataclass(slots=True, kw_only=True, frozen=True)
class SendLeafCall:
    """Send one call; its answer or failure must come back as an event with the same identity."""

    call_id: str
    leaf: str
    server: str
    snapshot: Snapshot
    deadline: float


@dataclass(slots=True, kw_only=True, frozen=True)
class CancelLeafCall:
    """Cancel a pending call and close its connection; no event may follow."""

    call_id: str
    server: str


@dataclass(slots=True, kw_only=True, frozen=True)
class WakeAt:
    """Call ``on_tick`` at this time; it replaces an earlier wake-up."""

    at: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Finished(Generic[R]):
    """The query ended; no event may follow."""

    result: Result[R, RequestFailure]


Action = SendLeafCall | CancelLeafCall | WakeAt | Finished[R]


class Holders(Protocol):
    """Lists the usable backend servers of a leaf at a snapshot."""

    def holders(self, now: float, holding: Holding) -> tuple[str, ...]:
        """List the servers."""


@dataclass(slots=True, kw_only=True)
class PendingCall:
    """A call that was sent and has not ended."""

    server: str
    sent_at: float


@dataclass(slots=True, kw_only=True)
class LeafProgress(Generic[A]):
    """What has happened for one leaf of the query.

    ``position`` is its place in the shard map, ``runs`` the number of ended calls that may have
    run, ``refused`` the servers that did not run its call. At ``resend_at`` these may be asked
    again.
    """

    position: int
    pending: dict[str, PendingCall] = field(default_factory=dict)
    tried: set[str] = field(default_factory=set)
    first_sent_at: float | None = None
    latency_s: float | None = None
    hedge_at: float | None = None
    answer: A | None = None
    failure: LeafFailureReason | None = None
    runs: int = 0
    refused: set[str] = field(default_factory=set)
    resend_at: float | None = None

    @property
    def settled(self) -> bool:
        """Whether the leaf is answered or has failed for good."""
        if self.answer is not None:
            return True
        return self.failure is not None and not self.pending and self.resend_at is None


@dataclass(slots=True, kw_only=True)
class FanOut(Generic[A, R]):
    """One query over the leafs of one snapshot.

    The owner feeds events in order of time and carries out the returned actions. A query that is
    not ``idempotent`` is sent again only after a failure that says that it was not run, and is
    never hedged.

    :param merge: decides which answers count, how many are enough and what the result is
    :param deadline: time at which the query ends with what it has
    :param attempts_max: on how many servers a leaf's call may run at most; None for no limit
    :param answer_by: time from which the query ends as soon as enough leafs have answered
    :param first_deadline: deadline of calls that are sent before ``answer_by`` and leave another
        attempt that the budget can pay for, so that a server with too much work drops them instead
        of answering too late; None for ``deadline``
    """

    request_id: str
    merge: MergePolicy[A, R]
    snapshot: Snapshot
    leafs: tuple[str, ...]
    deadline: float
    holders: Holders
    router: Router
    hedging: HedgePolicy
    retries: CallBudget
    idempotent: bool = True
    attempts_max: int | None = None
    answer_by: float | None = None
    first_deadline: float | None = None
    progress: dict[str, LeafProgress[A]] = field(default_factory=dict)
    leaf_of_call: dict[str, str] = field(default_factory=dict)
    open_leafs: set[str] = field(default_factory=set)
    answered: int = 0
    # Heaps of due times with the leaf's position, so that no event has to look at every leaf.
    hedges: list[tuple[float, int]] = field(default_factory=list)
    resends: list[tuple[float, int]] = field(default_factory=list)
    calls_sent: int = 0
    finished: bool = False

    def start(self, now: float) -> list[Action[R]]:
        """Send the first call of each leaf."""
        actions: list[Action[R]] = []
        for position, leaf in enumerate(self.leafs):
            self.progress[leaf] = LeafProgress(position=position)
            self.open_leafs.add(leaf)
            self.hedging.on_first_call(leaf)
            self.retries.on_first_attempt(now, leaf)
            if not self.send(now, leaf, actions):
                self.progress[leaf].failure = LeafFailureReason.NO_SERVER
                self.open_leafs.discard(leaf)
        return self.conclude(now, actions)

    def on_answer(self, now: float, call_id: str, answer: A) -> list[Action[R]]:
        """Take a leaf's answer, if the call is still pending and the answer belongs to it."""
        leaf = self.awaited_leaf(call_id)
        if leaf is None:
            return []
        broken = self.merge.check(answer, call_id=call_id, leaf=leaf, snapshot=self.snapshot)
        if broken is not None:
            return self.on_failure(now, call_id, broken)
        progress = self.progress[leaf]
        call = progress.pending.pop(call_id)
        latency_s = now - call.sent_at
        self.router.on_result(now, call.server, CallResult.ANSWERED, latency_s)
        self.observe_leaf(now, leaf, progress)
        progress.answer = answer
        self.answered += 1
        self.open_leafs.discard(leaf)
        actions: list[Action[R]] = []
        self.cancel_pending(now, progress, CallResult.CANCELLED, actions)
        return self.conclude(now, actions)

    def on_failure(self, now: float, call_id: str, failure: LeafFailure) -> list[Action[R]]:
        """Take a failed call and ask the leaf elsewhere, within the retry budget."""
        leaf = self.awaited_leaf(call_id)
        if leaf is None:
            return []
        progress = self.progress[leaf]
        call = progress.pending.pop(call_id)
        self.router.on_result(now, call.server, _call_result(failure), now - call.sent_at)
        progress.failure = failure.reason
        progress.runs += failure.outcome is not Outcome.NOT_RUN
        actions: list[Action[R]] = []
        if not progress.pending and now < self.deadline and self.may_retry(now, leaf, failure):
            self.send(now, leaf, actions)
        if failure.outcome is Outcome.NOT_RUN:
            progress.refused.add(call.server)
        if not progress.pending:
            self.plan_resend(now, progress)
        if progress.settled:
            self.open_leafs.discard(leaf)
        return self.conclude(now, actions)

    def plan_resend(self, now: float, progress: LeafProgress[A]) -> None:
        """Plan to ask servers again that did not run a leaf's call, if none is left to ask."""
        at = now + RESEND_PAUSE_S
        barred = progress.runs and not self.idempotent
        if progress.refused and not barred and self.attempts_left(progress) and at < self.deadline:
            progress.resend_at = at
            heappush(self.resends, (at, progress.position))

    def resend(self, now: float, leaf: str, actions: list[Action[R]]) -> None:
        """Ask the servers again that did not run a leaf's call."""
        progress = self.progress[leaf]
        progress.resend_at = None
        progress.tried -= progress.refused
        progress.refused.clear()
        paid = progress.failure in NEVER_SENT or self.retries.try_spend(now, leaf)
        sent = paid and self.send(now, leaf, actions)
        if not sent and not progress.pending:
            self.open_leafs.discard(leaf)

    def may_retry(self, now: float, leaf: str, failure: LeafFailure) -> bool:
        """Whether a leaf's failed call may be sent to another server.

        A call that never reached a server adds no load there, so its retry is free.
        """
        progress = self.progress[leaf]
        if not self.idempotent and progress.runs:
            return False
        if not self.attempts_left(progress) or not self.untried(now, leaf):
            return False
        return failure.reason in NEVER_SENT or self.retries.try_spend(now, leaf)

    def attempts_left(self, progress: LeafProgress[A]) -> bool:
        """Whether one more call of a leaf may run."""
        running = progress.runs + len(progress.pending)
        return self.attempts_max is None or running < self.attempts_max

    def on_tick(self, now: float) -> list[Action[R]]:
        """Send the hedges that are due; end the query at its deadline."""
        if self.finished:
            return []
        actions: list[Action[R]] = []
        if now < self.deadline:
            for leaf in self.take_due_hedges(now):
                self.hedge(now, leaf, self.progress[leaf], actions)
            while self.resends and self.resends[0][0] <= now:
                self.resend(now, self.leafs[heappop(self.resends)[1]], actions)
        return self.conclude(now, actions)

    def cancel(self, now: float) -> list[Action[R]]:
        """End the query without an answer because the caller went away."""
        actions: list[Action[R]] = []
        for progress in self.progress.values():
            self.cancel_pending(now, progress, CallResult.CANCELLED, actions)
        self.finished = True
        return actions

    def awaited_leaf(self, call_id: str) -> str | None:
        """Return the leaf of a call that is pending, else None."""
        leaf = self.leaf_of_call.get(call_id)
        if self.finished or leaf is None or call_id not in self.progress[leaf].pending:
            return None
        return leaf

    def take_due_hedges(self, now: float) -> list[str]:
        """Remove the due hedges from the heap; return their leafs in the order of the shard map."""
        due = []
        while self.hedges and self.hedges[0][0] <= now:
            at, position = heappop(self.hedges)
            if self.hedge_planned(at, position):
                due.append(position)
        return [self.leafs[position] for position in sorted(due)]

    def hedge_planned(self, at: float, position: int) -> bool:
        """Whether an entry of the heap still stands."""
        leaf = self.leafs[position]
        return leaf in self.open_leafs and self.progress[leaf].hedge_at == at

    def next_wake(self) -> float:
        """Return the time of the next hedge, of an early answer, or the deadline."""
        while self.hedges and not self.hedge_planned(*self.hedges[0]):
            heappop(self.hedges)
        at = self.deadline
        if self.answer_by is not None and self.enough():
            at = min(at, self.answer_by)
        due = [heap[0][0] for heap in (self.hedges, self.resends) if heap]
        return min([at, *due])

    def enough(self) -> bool:
        """Whether the leafs that have answered are enough for a result."""
        return self.merge.enough(answered=self.answered, asked=len(self.leafs))

    def hedge(
        self, now: float, leaf: str, progress: LeafProgress[A], actions: list[Action[R]]
    ) -> None:
        """Send a second call for a leaf whose only call has been pending for too long."""
        if len(progress.pending) != 1 or not self.idempotent:
            return
        if (
            self.attempts_left(progress)
            and self.untried(now, leaf)
            and self.hedging.try_spend(now, leaf)
        ):
            self.send(now, leaf, actions)
        progress.hedge_at = None

    def untried(self, now: float, leaf: str) -> tuple[str, ...]:
        """List the holders of a leaf that this query has not asked yet."""
        holding = Holding(leaf=leaf, snapshot=self.snapshot)
        tried = self.progress[leaf].tried
        return tuple(server for server in self.holders.holders(now, holding) if server not in tried)

    def send(self, now: float, leaf: str, actions: list[Action[R]]) -> bool:
        """Send one call for a leaf to a backend server not asked yet.

        :return: whether a server could be chosen
        """
        progress = self.progress[leaf]
        holding = Holding(leaf=leaf, snapshot=self.snapshot)
        holders = self.holders.holders(now, holding)
        server = self.router.choose(now, holders, progress.tried)
        if server is None:
            return False
        if progress.first_sent_at is None:
            progress.first_sent_at = now
        call_id = f"{self.request_id}.{self.calls_sent}"
        self.calls_sent += 1
        self.leaf_of_call[call_id] = leaf
        progress.tried.add(server)
        progress.pending[call_id] = PendingCall(server=server, sent_at=now)
        delay_s = self.hedging.delay_s(leaf)
        progress.hedge_at = None if delay_s is None else now + delay_s
        if progress.hedge_at is not None:
            heappush(self.hedges, (progress.hedge_at, progress.position))
        self.router.on_dispatch(now, server)
        actions.append(
            SendLeafCall(
                call_id=call_id,
                leaf=leaf,
                server=server,
                snapshot=self.snapshot,
                deadline=self.call_deadline(now, leaf, progress),
            )
        )
        return True

    def call_deadline(self, now: float, leaf: str, progress: LeafProgress[A]) -> float:
        """Return until when a call that is sent now may take."""
        if self.first_deadline is None or self.answer_by is None or now >= self.answer_by:
            return self.deadline
        if not self.attempts_left(progress) or not self.retries.has_room(now, leaf):
            return self.deadline
        return min(self.deadline, self.first_deadline)

    def observe_leaf(self, now: float, leaf: str, progress: LeafProgress[A]) -> None:
        """Note how long a leaf took, counted from its first call.

        The latency of the call that won would hide the slow calls that were hedged, so the
        observed quantile would sink and hedges would come ever earlier.
        """
        if progress.first_sent_at is not None:
            progress.latency_s = now - progress.first_sent_at
            self.hedging.observe(leaf, progress.latency_s)

    def median_leaf_latency_s(self) -> float | None:
        """Return the median time of the leafs so far; None if no call ended.

        Admission learns from it, since the slowest leaf says little about the load.
        """
        known = [entry.latency_s for entry in self.progress.values() if entry.latency_s is not None]
        return median(known) if known else None

    def cancel_pending(
        self, now: float, progress: LeafProgress[A], result: CallResult, actions: list[Action[R]]
    ) -> None:
        """Cancel all pending calls of a leaf."""
        for call_id, call in progress.pending.items():
            self.router.on_result(now, call.server, result, now - call.sent_at)
            actions.append(CancelLeafCall(call_id=call_id, server=call.server))
        progress.pending.clear()

    def conclude(self, now: float, actions: list[Action[R]]) -> list[Action[R]]:
        """Finish if all leafs are settled or the deadline has passed, else set the wake-up."""
        early = self.answer_by is not None and now >= self.answer_by and self.enough()
        if now < self.deadline and self.open_leafs and not early:
            actions.append(WakeAt(at=self.next_wake()))
            return actions
        for leaf, progress in self.progress.items():
            if progress.pending:
                progress.failure = LeafFailureReason.TIMEOUT
                progress.runs += len(progress.pending)
                self.observe_leaf(now, leaf, progress)
            self.cancel_pending(now, progress, CallResult.TIMED_OUT, actions)
        self.finished = True
        actions.append(Finished(result=self.result()))
        return actions

    def result(self) -> Result[R, RequestFailure]:
        """Build the answer, or the failure if too few leafs answered."""
        return self.merge.result(
            leafs=self.leafs,
            snapshot=self.snapshot,
            answers={
                leaf: entry.answer
                for leaf, entry in self.progress.items()
                if entry.answer is not None
            },
            failures={
                leaf: entry.failure
                for leaf, entry in self.progress.items()
                if entry.answer is None and entry.failure is not None
            },
            outcome=self.outcome(),
        )

    def outcome(self) -> Outcome:
        """Tell whether any call of the query may have run."""
        runs = any(entry.runs or entry.answer is not None for entry in self.progress.values())
        return Outcome.MAY_HAVE_RUN if runs else Outcome.NOT_RUN


def _call_result(failure: LeafFailure) -> CallResult:
    if failure.reason in REFUSALS:
        return CallResult.REFUSED
    if failure.reason is LeafFailureReason.TIMEOUT:
        return CallResult.TIMED_OUT
    return CallResult.FAILED
