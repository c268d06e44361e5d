"""State machine that dispatches one booking so that it runs at most once."""

from __future__ import annotations

from msgspec import Struct, field
from result import Err, Ok, Result

from azurefield.call_result import CallResult
from azurefield.failures import LeafFailure, LeafFailureReason, RequestFailure
from azurefield.model import Outcome
from azurefield.query_actions import SendLeafCall
from azurefield.server_choice import Holders
from azurefield.snapshot import Holding, LeafAnswer
from azurefield_entry.messages import BookingAnswer, BookingRequest
from azurefield_entry.query.failures import (
    booking_failure,
    leaf_unavailable,
    no_leaf_for_key,
    no_snapshot,
)
from azurefield_entry.query.state import ServiceState

BookingResult = Result[BookingAnswer, RequestFailure]


class BookingDispatch(Struct, kw_only=True):
    """Sends a booking to one backend server at a time.

    Another server is called only if the previous call ended with ``NOT_RUN``, so that the booking
    runs at most once. The snapshot is chosen again for each call, because a refusal can change it.
    """

    request: BookingRequest
    state: ServiceState
    holders: Holders
    tried: set[str] = field(default_factory=set)
    calls_sent: int = 0
    server: str = ""
    sent_at: float = 0.0

    def start(self, now: float) -> SendLeafCall | BookingResult:
        """Return the first call, or the failure of the booking if no server can run it."""
        self.state.retries.on_first_attempt(now, "")
        return self.next_call(now)

    def on_call_ended(
        self, now: float, result: Result[LeafAnswer, LeafFailure]
    ) -> SendLeafCall | BookingResult:
        """Record the end of a call and return the next call or the booking's result."""
        latency_s = now - self.sent_at
        match result:
            case Ok(answer):
                self.state.router.on_result(now, self.server, CallResult.ANSWERED, latency_s)
                return _booking_result(answer)
            case Err(failure):
                self.state.router.on_result(now, self.server, _call_result(failure), latency_s)
                return self.retry_or_fail(now, failure)

    def retry_or_fail(self, now: float, failure: LeafFailure) -> SendLeafCall | BookingResult:
        """Retry on another server if the call did not run and deadline and budget allow it."""
        expired = now >= self.request.deadline
        if failure.outcome is Outcome.NOT_RUN and not expired and self.try_spend_retry(now):
            call = self.next_call(now)
            if isinstance(call, SendLeafCall):
                return call
        return Err(booking_failure(failure, expired=expired))

    def try_spend_retry(self, now: float) -> bool:
        """Spend one retry of the service's retry budget, if any is left."""
        return self.state.retries.try_spend(now, "")

    def next_call(self, now: float) -> SendLeafCall | BookingResult:
        """Choose a server that was not called yet for the leaf that owns the key."""
        choice = self.state.holdings.choose(now)
        if choice is None:
            return Err(no_snapshot())
        leaf = choice.shard_map.leaf_of(self.request.key)
        if leaf is None:
            return Err(no_leaf_for_key())
        holders = self.holders.holders(now, Holding(leaf=leaf, snapshot=choice.snapshot))
        untried = tuple(server for server in holders if server not in self.tried)
        server = self.state.router.choose(now, untried)
        if server is None:
            return Err(leaf_unavailable(f"no usable backend server holds leaf {leaf}"))
        self.state.router.on_dispatch(now, server)
        self.tried.add(server)
        self.server, self.sent_at = server, now
        self.calls_sent += 1
        return SendLeafCall(
            call_id=f"{self.request.request_id}.b{self.calls_sent}",
            leaf=leaf,
            server=server,
            snapshot=choice.snapshot,
            deadline=self.request.deadline,
        )


def _booking_result(answer: LeafAnswer) -> BookingResult:
    if len(answer.records) != 1:
        failure = LeafFailure(
            reason=LeafFailureReason.MALFORMED,
            outcome=Outcome.RAN,
            detail=f"{len(answer.records)} records in the answer to a booking",
        )
        return Err(booking_failure(failure, expired=False))
    return Ok(
        BookingAnswer(leaf=answer.leaf, snapshot=answer.snapshot, result=answer.records[0].fields)
    )


def _call_result(failure: LeafFailure) -> CallResult:
    if failure.reason is LeafFailureReason.TIMEOUT:
        return CallResult.TIMED_OUT
    if failure.outcome is Outcome.NOT_RUN and failure.reason is not (
        LeafFailureReason.CONNECT_FAILED
    ):
        return CallResult.REFUSED
    return CallResult.FAILED
