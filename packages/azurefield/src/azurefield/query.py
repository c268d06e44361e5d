"""State machine of one query: fan-out to leafs, retries, hedges, deadline and merge."""

from __future__ import annotations

from dataclasses import dataclass, field
from statistics import median
from typing import Generic, TypeVar

from azurefield.call_result import CallResult, result_of
from azurefield.failures import (
    NEVER_SENT_REASONS,
    LeafFailure,
    LeafFailureReason,
)
from azurefield.hedging import HedgePolicy
from azurefield.leaf_progress import CallStage, LeafProgress, PendingCall
from azurefield.loss_containment import LossContainment, RetryDecision
from azurefield.merge import MergePolicy
from azurefield.model import Outcome, Snapshot
from azurefield.query_actions import Action, CancelLeafCall, Finished, SendLeafCall, WakeAt
from azurefield.query_result import ResultBuilder
from azurefield.query_timers import QueryTimers
from azurefield.retry import CallBudget
from azurefield.routing import Router
from azurefield.server_choice import CallLimits, Holders, ServerChoice
from azurefield.server_limits import NoServerLimits

# Delay before a call is sent again to the servers that refused it. Refusals are usually brief.
RESEND_DELAY_S = 0.05

A = TypeVar("A")
R = TypeVar("R")


@dataclass(slots=True, kw_only=True)
class FanOut(Generic[A, R]):
    """One query over the leafs of one snapshot.

    The owner passes in events in chronological order and carries out the returned actions. A query
    that is not ``idempotent`` is sent again only after a failure with the outcome ``NOT_RUN``, and
    is never hedged.

    :param merge: decides which answers count, how many are enough and what the result is
    :param deadline: time at which the query ends with the answers received so far
    :param attempts_max: the maximum number of servers on which a leaf's call may run; None for no
        limit
    :param answer_by: time from which the query ends as soon as enough leafs have answered
    :param first_deadline: earlier deadline of calls that are sent before ``answer_by`` while
        another attempt is left and within the budget. An overloaded server then drops such a call
        instead of answering it too late. None for ``deadline``
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
    limits: CallLimits = field(default_factory=NoServerLimits)
    attempts_max: int | None = None
    answer_by: float | None = None
    first_deadline: float | None = None
    progress: dict[str, LeafProgress[A]] = field(default_factory=dict)
    leaf_of_call: dict[str, str] = field(default_factory=dict)
    open_leafs: set[str] = field(default_factory=set)
    answered: int = 0
    timers: QueryTimers = field(default_factory=QueryTimers)
    containment: LossContainment = field(default_factory=LossContainment)
    choice: ServerChoice = field(init=False)
    calls_sent: int = 0
    finished: bool = False

    def __post_init__(self) -> None:
        self.choice = ServerChoice(
            snapshot=self.snapshot, holders=self.holders, router=self.router, limits=self.limits
        )

    def start(self, now: float) -> list[Action[R]]:
        """Send the first call of each leaf; none if there can be no result."""
        actions: list[Action[R]] = []
        self.progress = {
            leaf: LeafProgress(position=position) for position, leaf in enumerate(self.leafs)
        }
        self.timers.progress = [*self.progress.values()]
        problem = self.reason_not_to_start(now)
        for leaf in self.leafs:
            if problem is not None:
                self.progress[leaf].failure = problem
                continue
            self.open_leafs.add(leaf)
            self.hedging.on_first_call(leaf)
            self.retries.on_first_attempt(now, leaf)
            if not self.send(now, leaf, actions):
                self.progress[leaf].failure = LeafFailureReason.NO_SERVER
                self.open_leafs.discard(leaf)
        return self.finish_or_schedule_wake(now, actions)

    def reason_not_to_start(self, now: float) -> LeafFailureReason | None:
        """Return why no call can lead to a result; None if calls can."""
        if now >= self.deadline:
            return LeafFailureReason.TIMEOUT
        known = sum(bool(self.choice.servers(now, leaf)) for leaf in self.leafs)
        if not self.merge.enough(answered=known, asked=len(self.leafs)):
            return LeafFailureReason.NO_SERVER
        opening = sum(self.choice.opens_at(now, leaf) < self.deadline for leaf in self.leafs)
        enough = self.merge.enough(answered=opening, asked=len(self.leafs))
        return None if enough else LeafFailureReason.RATE_LIMITED

    def on_answer(self, now: float, call_id: str, answer: A) -> list[Action[R]]:
        """Record a leaf's answer if the call is still pending and the answer belongs to it."""
        leaf = self.leaf_of_pending_call(call_id)
        if leaf is None:
            return []
        rejection = self.merge.check(answer, call_id=call_id, leaf=leaf, snapshot=self.snapshot)
        if rejection is not None:
            return self.on_failure(now, call_id, rejection)
        progress = self.progress[leaf]
        call = progress.pending.pop(call_id)
        latency_s = now - call.sent_at
        self.router.on_result(now, call.server, CallResult.ANSWERED, latency_s)
        self.record_leaf_latency(now, leaf, progress)
        progress.answer = answer
        self.answered += 1
        self.open_leafs.discard(leaf)
        actions: list[Action[R]] = []
        self.cancel_pending(now, progress, CallResult.CANCELLED, actions)
        for held in self.containment.on_answered():
            self.resend(now, held, actions)
        return self.finish_or_schedule_wake(now, actions)

    def on_failure(self, now: float, call_id: str, failure: LeafFailure) -> list[Action[R]]:
        """Record a failed call and retry it on another server, within the retry budget."""
        leaf = self.leaf_of_pending_call(call_id)
        if leaf is None:
            return []
        progress = self.progress[leaf]
        call = progress.pending.pop(call_id)
        self.router.on_result(now, call.server, result_of(failure), now - call.sent_at)
        progress.failure = failure.reason
        progress.ended_attempts += failure.outcome is not Outcome.NOT_RUN
        actions: list[Action[R]] = []
        if failure.reason is LeafFailureReason.CONNECTION_LOST:
            for given_up in self.containment.on_lost(leaf, call.server):
                self.give_up(given_up)
        if not progress.pending and now < self.deadline:
            self.retry(now, leaf, failure, actions)
        if failure.outcome is Outcome.NOT_RUN:
            progress.refused_by.add(call.server)
        if not progress.pending and progress.resend_at is None:
            self.schedule_resend(now, progress)
        if progress.settled:
            self.give_up(leaf)
            for held in self.containment.on_gave_up(leaf):
                self.resend(now, held, actions)
        return self.finish_or_schedule_wake(now, actions)

    def retry(self, now: float, leaf: str, failure: LeafFailure, actions: list[Action[R]]) -> None:
        """Send a failed call to another server, or hold it back after many lost calls."""
        if failure.reason is not LeafFailureReason.CONNECTION_LOST:
            decision = RetryDecision.SEND
        elif not self.may_retry(now, leaf):
            return
        else:
            decision = self.containment.decide(leaf)
        match decision:
            case RetryDecision.SEND if self.try_spend_retry(now, leaf, failure):
                self.send(now, leaf, actions)
            case RetryDecision.HOLD:
                self.timers.set_resend(self.progress[leaf], self.deadline)

    def give_up(self, leaf: str) -> None:
        """Stop waiting for a leaf that gets no further call."""
        self.progress[leaf].resend_at = None
        self.open_leafs.discard(leaf)

    def set_stage(self, call_id: str, stage: CallStage) -> None:
        """Record how far a pending call is."""
        leaf = self.leaf_of_pending_call(call_id)
        if leaf is not None:
            self.progress[leaf].pending[call_id].stage = stage

    def schedule_resend(self, now: float, progress: LeafProgress[A]) -> None:
        """Schedule a repeated call to the servers that did not run a leaf's call.

        This applies to a leaf that has no pending call after a failure.
        """
        opens_at = min(map(self.limits.opens_at, progress.refused_by), default=now)
        at = max(now + RESEND_DELAY_S, opens_at)
        limited = progress.failure is LeafFailureReason.RATE_LIMITED
        latest = progress.quota_by(now, self.deadline) if limited else self.deadline
        rerun_forbidden = progress.ended_attempts and not self.idempotent
        if (
            progress.refused_by
            and not rerun_forbidden
            and self.attempts_left(progress)
            and at < latest
        ):
            self.timers.set_resend(progress, at)

    def resend(self, now: float, leaf: str, actions: list[Action[R]]) -> None:
        """Send a leaf's call again, also to the servers that did not run it before."""
        progress = self.progress[leaf]
        progress.resend_at = None
        progress.tried -= progress.refused_by
        progress.refused_by.clear()
        affordable = progress.failure in NEVER_SENT_REASONS or self.retries.try_spend(now, leaf)
        sent = affordable and self.send(now, leaf, actions)
        if not sent and not progress.pending:
            self.open_leafs.discard(leaf)

    def try_spend_retry(self, now: float, leaf: str, failure: LeafFailure) -> bool:
        """Whether a failed call may be sent to another server; if so, one retry is spent.

        A call that never reached a server added no load there, so its retry is free.
        """
        if not self.may_retry(now, leaf):
            return False
        return failure.reason in NEVER_SENT_REASONS or self.retries.try_spend(now, leaf)

    def may_retry(self, now: float, leaf: str) -> bool:
        """Whether a leaf's call may be sent to another server, apart from the retry budget."""
        progress = self.progress[leaf]
        if not self.idempotent and progress.ended_attempts:
            return False
        return self.attempts_left(progress) and bool(self.untried(now, leaf, open_by=self.deadline))

    def attempts_left(self, progress: LeafProgress[A]) -> bool:
        """Whether the limit of attempts allows another call for a leaf."""
        attempts = progress.ended_attempts + len(progress.pending)
        return self.attempts_max is None or attempts < self.attempts_max

    def on_tick(self, now: float) -> list[Action[R]]:
        """Send the hedges and repeated calls that are due; end the query at its deadline."""
        if self.finished:
            return []
        actions: list[Action[R]] = []
        if now < self.deadline:
            for position in self.timers.take_due_hedges(now):
                self.send_hedge(now, self.leafs[position], actions)
            for position in self.timers.take_due_resends(now):
                self.resend(now, self.leafs[position], actions)
        return self.finish_or_schedule_wake(now, actions)

    def cancel(self, now: float) -> list[Action[R]]:
        """End the query without a result because the caller disconnected."""
        actions: list[Action[R]] = []
        for progress in self.progress.values():
            self.cancel_pending(now, progress, CallResult.CANCELLED, actions)
        self.finished = True
        return actions

    def leaf_of_pending_call(self, call_id: str) -> str | None:
        """Return the leaf of a call that is pending, else None."""
        leaf = self.leaf_of_call.get(call_id)
        if self.finished or leaf is None or call_id not in self.progress[leaf].pending:
            return None
        return leaf

    def next_wake(self) -> float:
        """Return the earliest time of the next hedge, repeated call, early result and deadline."""
        at = self.deadline
        if self.answer_by is not None and self.enough():
            at = min(at, self.answer_by)
        return min(at, self.timers.next_due())

    def enough(self) -> bool:
        """Whether the leafs that have answered are enough for a result."""
        return self.merge.enough(answered=self.answered, asked=len(self.leafs))

    def send_hedge(self, now: float, leaf: str, actions: list[Action[R]]) -> None:
        """Send a second call for a leaf whose only call exceeded the hedge delay.

        It never waits for quota.
        """
        progress = self.progress[leaf]
        if len(progress.pending) != 1 or not self.idempotent or self.containment.active:
            return
        if (
            self.attempts_left(progress)
            and self.untried(now, leaf, open_by=now)
            and self.hedging.try_spend(now, leaf)
        ):
            self.send(now, leaf, actions)
        progress.hedge_at = None

    def can_be_enough(self) -> bool:
        """Whether there is a result if all open leafs answer."""
        possible = self.answered + len(self.open_leafs)
        return self.merge.enough(answered=possible, asked=len(self.leafs))

    def untried(self, now: float, leaf: str, *, open_by: float) -> tuple[str, ...]:
        """List the holders of a leaf that this query has not tried yet and that are open then."""
        return self.choice.untried(now, leaf, self.progress[leaf].tried, open_by=open_by)

    def send(self, now: float, leaf: str, actions: list[Action[R]]) -> bool:
        """Send one call for a leaf to a backend server that was not tried yet.

        :return: whether a server could be chosen
        """
        progress = self.progress[leaf]
        server = self.choice.choose(now, leaf, progress.tried, open_by=self.deadline)
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
        self.timers.set_hedge(progress, None if delay_s is None else now + delay_s)
        self.router.on_dispatch(now, server)
        deadline = self.call_deadline(now, leaf, progress)
        actions.append(
            SendLeafCall(
                call_id=call_id,
                leaf=leaf,
                server=server,
                snapshot=self.snapshot,
                deadline=deadline,
                start_by=self.start_by(now, leaf, deadline),
            )
        )
        return True

    def start_by(self, now: float, leaf: str, deadline: float) -> float:
        """Return until when a call may wait for quota: not at all if another server is open."""
        if len(self.progress[leaf].pending) > 1 or self.untried(now, leaf, open_by=now):
            return now
        if self.answer_by is not None and now < self.answer_by:
            deadline = min(deadline, self.answer_by)
        return max(now, self.progress[leaf].quota_by(now, deadline))

    def call_deadline(self, now: float, leaf: str, progress: LeafProgress[A]) -> float:
        """Return the deadline of a call that is sent now."""
        if self.first_deadline is None or self.answer_by is None or now >= self.answer_by:
            return self.deadline
        if not self.attempts_left(progress) or not self.retries.can_spend(now, leaf):
            return self.deadline
        return min(self.deadline, self.first_deadline)

    def record_leaf_latency(self, now: float, leaf: str, progress: LeafProgress[A]) -> None:
        """Record how long a leaf took from its first call.

        The latency of the call that answered first would hide the slow calls that were hedged. The
        observed quantile would then fall, and hedges would be sent earlier and earlier.
        """
        if progress.first_sent_at is not None:
            progress.latency_s = now - progress.first_sent_at
            self.hedging.observe(leaf, progress.latency_s)

    def median_leaf_latency_s(self) -> float | None:
        """Return the median latency of the leafs that have a latency; None if there are none.

        Admission control uses it as the load signal, since the slowest leaf says little about the
        load.
        """
        known = [entry.latency_s for entry in self.progress.values() if entry.latency_s is not None]
        return median(known) if known else None

    def cancel_pending(
        self, now: float, progress: LeafProgress[A], result: CallResult, actions: list[Action[R]]
    ) -> None:
        """Cancel all pending calls of a leaf."""
        for call_id, call in progress.pending.items():
            ended = CallResult.NOT_SENT if call.stage is CallStage.WAITING else result
            self.router.on_result(now, call.server, ended, now - call.sent_at)
            actions.append(CancelLeafCall(call_id=call_id, server=call.server))
        progress.pending.clear()

    def finish_or_schedule_wake(self, now: float, actions: list[Action[R]]) -> list[Action[R]]:
        """Finish the query if it is done, else set the next wake-up.

        It is done when all leafs have settled, when ``answer_by`` has passed and enough leafs have
        answered, when enough can't answer any more, or at the deadline.
        """
        early = self.answer_by is not None and now >= self.answer_by and self.enough()
        if now < self.deadline and self.open_leafs and not early and self.can_be_enough():
            actions.append(WakeAt(at=self.next_wake()))
            return actions
        for leaf, progress in self.progress.items():
            if progress.pending:
                sent = sum(call.stage is CallStage.SENT for call in progress.pending.values())
                if sent or progress.failure is None:
                    progress.failure = LeafFailureReason.TIMEOUT
                progress.ended_attempts += sent
                self.record_leaf_latency(now, leaf, progress)
            self.cancel_pending(now, progress, CallResult.TIMED_OUT, actions)
        self.finished = True
        builder = ResultBuilder(merge=self.merge, choice=self.choice, progress=self.progress)
        actions.append(Finished(result=builder.build(now)))
        return actions
