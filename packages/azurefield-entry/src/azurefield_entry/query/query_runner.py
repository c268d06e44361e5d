"""Runs the fan-outs of queries."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from msgspec import Struct, field
from result import Err, Ok

from azurefield.hedging import NoHedging
from azurefield.merge import SnapshotMerge
from azurefield.query import FanOut
from azurefield.query_actions import CancelLeafCall, Finished, SendLeafCall, WakeAt
from azurefield_entry.metrics import Metrics
from azurefield_entry.query.admission import Admission
from azurefield_entry.query.failures import instance_stopped, no_leaf_for_key, no_snapshot
from azurefield_entry.query.leaf_calls import LeafCalls
from azurefield_entry.query.quarantine import Quarantine
from azurefield_entry.query.running import RunningQuery, leafs_of, query_body, resolve

if TYPE_CHECKING:
    from result import Result

    from azurefield.failures import RequestFailure
    from azurefield.query_actions import Action
    from azurefield.snapshot import MergedAnswer, SnapshotChoice
    from azurefield_entry.messages import LeafCallEnded, RunQuery
    from azurefield_entry.query.admission import AdmittedRequest
    from azurefield_entry.query.running import SentCall


class QueryRunner(Struct, kw_only=True):
    """Owns every running query, by request id, and executes the actions of its fan-out."""

    metrics: Metrics
    admission: Admission
    quarantine: Quarantine
    leaf_calls: LeafCalls
    queries: dict[str, RunningQuery] = field(default_factory=dict)

    def start(self, now: float, message: RunQuery) -> None:
        """Choose the snapshot and the leafs of a query and send its first calls."""
        request = message.request
        match self.admission.admit(now, request.service, request.kind, query_body(request)):
            case Err(failure):
                resolve(message.reply, Err(failure))
            case Ok(admitted):
                self.start_admitted(now, message, admitted)

    def start_admitted(self, now: float, message: RunQuery, admitted: AdmittedRequest) -> None:
        """Send the first calls of a query, or queue the query if it is a suspect."""
        request, state = message.request, admitted.state
        choice = state.holdings.choose(now)
        if choice is None:
            resolve(message.reply, Err(no_snapshot()))
            return
        leafs = leafs_of(request.kind, request.key, choice)
        if not leafs:
            resolve(message.reply, Err(no_leaf_for_key()))
            return
        suspect = self.quarantine.suspects.is_suspect(now, admitted.fingerprint)
        query = self.new_query(message, admitted, choice, leafs, suspect=suspect)
        self.queries[request.request_id] = query
        if suspect:
            servers = state.servers_of(now, leafs, choice.snapshot)
            resume = partial(self.start_fan_out, query)
            self.leaf_calls.enqueue_suspect(now, query, servers, resume)
        else:
            self.start_fan_out(query, now)

    def new_query(
        self,
        message: RunQuery,
        admitted: AdmittedRequest,
        choice: SnapshotChoice,
        leafs: tuple[str, ...],
        *,
        suspect: bool,
    ) -> RunningQuery:
        """Create a query and its fan-out; calls of a suspect are not hedged."""
        request, state = message.request, admitted.state
        fan_out = FanOut(
            request_id=request.request_id,
            merge=SnapshotMerge(kind=request.kind, limit=request.limit),
            snapshot=choice.snapshot,
            leafs=leafs,
            deadline=request.deadline,
            holders=self.quarantine.allowed_holders(state.holdings, admitted.fingerprint),
            router=state.router,
            hedging=NoHedging() if suspect else state.hedging,
            retries=state.retries,
        )
        return RunningQuery(
            request=request,
            state=state,
            fan_out=fan_out,
            reply=message.reply,
            query_cost=message.query_cost,
            fingerprint=admitted.fingerprint,
        )

    def start_fan_out(self, query: RunningQuery, now: float) -> None:
        """Send the first calls unless the query ended while it was queued."""
        if query.request.request_id in self.queries:
            self.execute_actions(query, query.fan_out.start(now))

    def wake(self, now: float, request_id: str) -> None:
        """Send the hedges that are due or end the query at its deadline."""
        query = self.queries.get(request_id)
        if query is not None:
            query.wake_at = None
            sent_before = query.fan_out.calls_sent
            actions = query.fan_out.on_tick(now)
            hedges = query.fan_out.calls_sent - sent_before
            self.metrics.hedges.labels(query.request.service).inc(hedges)
            self.execute_actions(query, actions)

    def cancel(self, now: float, request_id: str) -> None:
        """Remove a query whose caller disconnected and cancel its calls."""
        query = self.queries.get(request_id)
        if query is not None:
            self.execute_actions(query, query.fan_out.cancel(now))
            self.remove(query)
            self.quarantine.resume_ready(now)

    def on_call_ended(
        self, now: float, query: RunningQuery, call: SentCall, ended: LeafCallEnded
    ) -> None:
        """Continue a query, or queue it if it is a suspect whose call failed."""
        if ended.result.is_err() and self.quarantine.suspects.is_suspect(now, query.fingerprint):
            servers = query.state.servers_of(now, (call.leaf,), call.snapshot)
            tried = frozenset(query.fan_out.progress[call.leaf].tried)
            resume = partial(self.continue_query, query, ended)
            self.leaf_calls.enqueue_suspect(now, query, servers, resume, tried=tried)
        else:
            self.continue_query(query, ended, now)

    def continue_query(self, query: RunningQuery, ended: LeafCallEnded, now: float) -> None:
        """Pass the end of a call to its fan-out; a query that was removed has no calls left."""
        sent_before = query.fan_out.calls_sent
        match ended.result:
            case Ok(answer):
                actions = query.fan_out.on_answer(now, ended.call_id, answer)
            case Err(failure):
                actions = query.fan_out.on_failure(now, ended.call_id, failure)
        retries = query.fan_out.calls_sent - sent_before
        self.metrics.retries.labels(query.request.service).inc(retries)
        self.execute_actions(query, actions)

    def execute_actions(self, query: RunningQuery, actions: list[Action[MergedAnswer]]) -> None:
        """Execute the actions that a fan-out returned."""
        for action in actions:
            match action:
                case SendLeafCall():
                    self.leaf_calls.send(query, action)
                case CancelLeafCall(call_id=call_id):
                    self.leaf_calls.cancel(query, call_id)
                case WakeAt(at=at):
                    query.set_wake_up(at, self.leaf_calls.mailbox)
                case Finished(result=result):
                    self.finish(query, result)

    def finish(self, query: RunningQuery, result: Result[MergedAnswer, RequestFailure]) -> None:
        """Reply with the result of a query and remove it."""
        query.record_query_cost()
        if isinstance(result, Ok) and result.ok_value.coverage.fraction >= 1.0:
            self.quarantine.suspects.on_answered(query.fingerprint)
        resolve(query.reply, result)
        self.remove(query)

    def remove(self, query: RunningQuery) -> None:
        """Remove a query that has ended."""
        if query.wake_up is not None:
            query.wake_up.cancel()
        self.queries.pop(query.request.request_id, None)

    def stop_hedging_suspects(self, now: float) -> None:
        """Send no more hedges for the running queries that are suspects."""
        for query in self.queries.values():
            if self.quarantine.suspects.is_suspect(now, query.fingerprint):
                query.fan_out.hedging = NoHedging()

    def end_convicted(self, now: float, fingerprint: str) -> None:
        """End the queries of a convicted request; a booking that was sent is not interrupted."""
        failure = self.quarantine.suspects.refusal(now, fingerprint)
        for query in [entry for entry in self.queries.values() if entry.fingerprint == fingerprint]:
            self.execute_actions(query, query.fan_out.cancel(now))
            if failure is not None:
                resolve(query.reply, Err(failure))
            self.remove(query)

    def fail_running(self) -> None:
        """Fail every running query."""
        for query in list(self.queries.values()):
            resolve(query.reply, Err(instance_stopped()))
            self.remove(query)
