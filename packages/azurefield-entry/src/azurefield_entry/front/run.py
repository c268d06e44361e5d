"""Execution of one valid request: decoding of the body, admission and the wait for the reply."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

from aiohttp import web
from logbook import Logger
from msgspec import Struct
from msgspec.structs import replace
from result import Err, Ok, Result

from azurefield.failures import FailureKind, RequestFailure
from azurefield.model import Outcome, RequestKind
from azurefield_entry.front.activity import Activity
from azurefield_entry.front.admission import Admission, PendingRequest
from azurefield_entry.front.answers import booking_response, query_response, ticket_response
from azurefield_entry.front.arrival import Arrival
from azurefield_entry.front.bodies import (
    BookingBody,
    LookupBody,
    SearchBody,
    TicketBody,
    decode_body,
)
from azurefield_entry.front.state import not_ready
from azurefield_entry.front.validation import RequestParameters, check_ticket
from azurefield_entry.kernel import Kernel
from azurefield_entry.messages import (
    BookingAnswer,
    BookingRequest,
    CancelQuery,
    CorrectRefusalOutcome,
    IssueTicket,
    QueryCost,
    QueryRequest,
    RunBooking,
    RunQuery,
)
from azurefield_entry.metrics import Metrics
from azurefield_entry.notify import notify

if TYPE_CHECKING:
    from azurefield.snapshot import MergedAnswer

REFUSAL_CORRECTION_TIMEOUT_S = 0.5
# Internal services reply by the deadline. The extra time only guards against a reply that is lost.
REPLY_GRACE_S = 1.0
T = TypeVar("T")
ResponseResult = Result[web.Response, RequestFailure]
log = Logger("front")


class FrontContext(Struct, kw_only=True):
    """Objects that all requests share."""

    kernel: Kernel
    metrics: Metrics
    admission: Admission
    activity: Activity


class RequestRun(Struct, kw_only=True, frozen=True):
    """One request whose path and headers are valid."""

    context: FrontContext
    arrival: Arrival
    parameters: RequestParameters
    deadline: float
    body: bytes

    async def run_query(self) -> ResponseResult:
        """Run a listing, an urgent look-up or a look-up."""
        match self.decode_query():
            case Err(failure):
                return Err(failure)
            case Ok(request):
                pass
        match await self.admit():
            case Err(failure):
                return Err(failure)
        reply: asyncio.Future[Result[MergedAnswer, RequestFailure]] = _new_reply()
        query_cost = QueryCost()
        try:
            message = RunQuery(request=request, reply=reply, query_cost=query_cost)
            notify(self.context.kernel, "query", message)
            result = await self.wait_for_reply(reply)
        except asyncio.CancelledError:
            notify(self.context.kernel, "query", CancelQuery(request_id=self.arrival.request_id))
            raise
        finally:
            self.context.admission.release(self.arrival.request_id, query_cost)
        return result.map(self.build_query_response)

    def decode_query(self) -> Result[QueryRequest, RequestFailure]:
        """Decode the body of a query."""
        if self.parameters.policy.kind is RequestKind.LOOKUP:
            return decode_body(self.body, LookupBody).map(
                lambda lookup: self.make_request(key=lookup.key, limit=1, query={})
            )
        return decode_body(self.body, SearchBody).map(
            lambda search: self.make_request(key=None, limit=search.limit, query=search.query)
        )

    def make_request(
        self, *, key: str | None, limit: int, query: dict[str, object]
    ) -> QueryRequest:
        """Build the request for ``query``."""
        return QueryRequest(
            request_id=self.arrival.request_id,
            service=self.parameters.config.name,
            member=self.parameters.member,
            kind=self.parameters.policy.kind,
            deadline=self.deadline,
            limit=limit,
            key=key,
            query=query,
        )

    def build_query_response(self, answer: MergedAnswer) -> web.Response:
        """Build the answer of a query and record its coverage."""
        service = self.parameters.config.name
        kind = self.parameters.policy.kind
        self.context.metrics.coverage.labels(service, kind).observe(answer.coverage.fraction)
        return query_response(answer, request_id=self.arrival.caller_id, service=service)

    async def run_booking(self, request: web.Request) -> ResponseResult:
        """Run a booking; it continues if the caller disconnects."""
        ticket = check_ticket(request.headers)
        if isinstance(ticket, Err):
            return ticket
        decoded = decode_body(self.body, BookingBody)
        if isinstance(decoded, Err):
            return Err(
                await correct_refusal_outcome(self.context.kernel, request, decoded.err_value)
            )
        match await self.admit():
            case Err(failure):
                return Err(await correct_refusal_outcome(self.context.kernel, request, failure))
        booking = BookingRequest(
            request_id=self.arrival.request_id,
            service=self.parameters.config.name,
            member=self.parameters.member,
            ticket=ticket.ok_value,
            key=decoded.ok_value.key,
            payload=decoded.ok_value.payload,
            deadline=self.deadline,
        )
        reply: asyncio.Future[Result[BookingAnswer, RequestFailure]] = _new_reply()
        self.context.activity.begin(self.booking_activity_id)
        reply.add_done_callback(self.end_booking)
        if not notify(self.context.kernel, "bookings", RunBooking(request=booking, reply=reply)):
            reply.cancel()
            return Err(not_ready("bookings are not served"))
        result = await self.wait_for_reply(reply)
        return result.map(
            lambda answer: booking_response(
                answer, request_id=self.arrival.caller_id, service=self.parameters.config.name
            )
        )

    @property
    def booking_activity_id(self) -> str:
        """The identity of the booking in ``activity``, for which a planned stop waits."""
        return f"{self.arrival.request_id}.booking"

    def end_booking(self, _reply: asyncio.Future[Result[BookingAnswer, RequestFailure]]) -> None:
        """Release a booking that has ended, whether or not its caller still waits."""
        self.context.admission.release(self.arrival.request_id)
        self.context.activity.end(self.booking_activity_id)

    async def issue_ticket(self) -> ResponseResult:
        """Issue a ticket; it needs no admission since no backend server is called."""
        if self.body:
            decoded = decode_body(self.body, TicketBody)
            if isinstance(decoded, Err):
                return decoded
        reply: asyncio.Future[Result[str, RequestFailure]] = _new_reply()
        service = self.parameters.config.name
        if not notify(self.context.kernel, "bookings", IssueTicket(service=service, reply=reply)):
            return Err(not_ready("bookings are not served"))
        result = await self.wait_for_reply(reply)
        return result.map(
            lambda ticket: ticket_response(
                ticket, request_id=self.arrival.caller_id, service=service
            )
        )

    async def admit(self) -> Result[None, RequestFailure]:
        """Wait for admission; an admitted request must be released."""
        return await self.context.admission.submit(
            PendingRequest(
                request_id=self.arrival.request_id,
                config=self.parameters.config,
                member=self.parameters.member,
                kind=self.parameters.policy.kind,
                arrived_at=self.arrival.at,
                deadline=self.deadline,
            )
        )

    async def wait_for_reply(
        self, reply: asyncio.Future[Result[T, RequestFailure]]
    ) -> Result[T, RequestFailure]:
        """Wait for an internal service's reply; the future is kept if the caller disconnects."""
        now = asyncio.get_running_loop().time()
        await asyncio.wait({reply}, timeout=self.deadline - now + REPLY_GRACE_S)
        if reply.done() and not reply.cancelled():
            return reply.result()
        log.error(
            "Request {} got no reply from the internal service that runs it; failing the request.",
            self.arrival.request_id,
        )
        booking = self.parameters.policy.kind is RequestKind.BOOKING
        return Err(
            RequestFailure(
                kind=FailureKind.OUTCOME_UNKNOWN if booking else FailureKind.INTERNAL,
                outcome=Outcome.MAY_HAVE_RUN,
                detail="the internal service that runs the request did not reply",
            )
        )


def _new_reply() -> asyncio.Future[Result[T, RequestFailure]]:
    return asyncio.get_running_loop().create_future()


async def correct_refusal_outcome(
    kernel: Kernel, request: web.Request, failure: RequestFailure
) -> RequestFailure:
    """Let ``bookings`` correct the outcome of a booking that is refused before it was sent there.

    Without a reply in time the outcome is ``MAY_HAVE_RUN``, since an earlier attempt with the same
    ticket may have run.
    """
    ticket = check_ticket(request.headers)
    if isinstance(ticket, Err):
        return failure
    reply: asyncio.Future[RequestFailure] = asyncio.get_running_loop().create_future()
    message = CorrectRefusalOutcome(ticket=ticket.ok_value, failure=failure, reply=reply)
    if notify(kernel, "bookings", message):
        await asyncio.wait({reply}, timeout=REFUSAL_CORRECTION_TIMEOUT_S)
    return reply.result() if reply.done() else replace(failure, outcome=Outcome.MAY_HAVE_RUN)
