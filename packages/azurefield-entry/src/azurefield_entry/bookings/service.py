"""Service ``bookings``: issues tickets and runs each booking at most once."""

from __future__ import annotations

import asyncio
import secrets
from asyncio import Future
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

import logbook
from msgspec import Struct
from result import Err, Ok

from azurefield.booking import (
    BookingLedger,
    Dispatch,
    Forward,
    Join,
    Refuse,
    Replay,
    TicketIssuer,
    booking_fingerprint,
    outcome_unknown,
)
from azurefield.failures import FailureKind, RequestFailure
from azurefield.model import Outcome
from azurefield_entry.bookings.forwarding import (
    BookingResult,
    ForwardedCalls,
    answer_fields,
    decode_request,
)
from azurefield_entry.kernel import Stop
from azurefield_entry.messages import (
    BookingAnswer,
    BookingRequest,
    CorrectRefusalOutcome,
    DispatchBooking,
    IssueTicket,
    PeerFrame,
    PeersChanged,
    RunBooking,
    SendToPeer,
)
from azurefield_entry.peers.frames import (
    ForwardFields,
    ForwardResultFields,
    fields_dict,
    parse_fields,
)
from azurefield_entry.peers.identity import Identity

if TYPE_CHECKING:
    from azurefield_entry.kernel import Kernel, Mailbox

log = logbook.Logger("bookings")

TICKET_KEY_BYTES = 32
# An answer that ``query`` gives at the deadline still reaches the caller, with its exact outcome.
LOCAL_ANSWER_GRACE_S = 0.1
# Longer than the grace of the issuer, so that its answer arrives first.
FORWARDED_ANSWER_GRACE_S = 0.3


class DispatchEnded(Struct, kw_only=True, frozen=True):
    """To this service: ``query`` replied to a dispatched booking."""

    dispatch: Dispatch
    result: BookingResult


class RequestAnswered(Struct, kw_only=True, frozen=True):
    """To this service: a request was answered or cancelled.

    ``call`` and ``instance`` are set if another instance forwarded the request.
    """

    reply: Future[BookingResult]
    instance: str
    call: str | None


def new_ledger(identity: Identity, lifetime_s: float) -> BookingLedger[BookingAnswer]:
    """Create the ledger of this incarnation with a new secret key for its tickets."""
    key = secrets.token_bytes(TICKET_KEY_BYTES)
    return BookingLedger(
        issuer=TicketIssuer(incarnation=identity.incarnation, key=key, lifetime_s=lifetime_s)
    )


@dataclass(slots=True, kw_only=True)
class BookingsService:
    """Handles tickets and bookings as the ledger decides.

    ``waiting`` holds the replies that wait for a dispatch, by the sequence number of the dispatch.
    ``instance_by_incarnation`` maps the incarnation of each linked instance to its name.

    After ``Stop`` the service runs until all open requests are answered and all dispatches have
    ended; their deadlines bound this time. Stop ``query`` and ``peers`` after it.
    """

    identity: Identity
    ledger: BookingLedger[BookingAnswer]
    waiting: dict[int, list[Future[BookingResult]]] = field(default_factory=dict)
    forwarded: ForwardedCalls = field(init=False)
    instance_by_incarnation: dict[str, str] = field(default_factory=dict)
    open_replies: set[Future[BookingResult]] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.forwarded = ForwardedCalls(
            prefix=f"{self.identity.instance}.{self.identity.incarnation}"
        )

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Handle messages until ``Stop``, then until all open requests have ended."""
        loop = asyncio.get_running_loop()
        stopping = False
        while not stopping or self.open_replies or self.waiting:
            message = await mailbox.receive()
            if isinstance(message, Stop):
                stopping = True
            else:
                self.handle(kernel, mailbox, loop.time(), message)

    def handle(self, kernel: Kernel, mailbox: Mailbox, now: float, message: object) -> None:
        """Handle one message."""
        match message:
            case IssueTicket(reply=reply):
                self.ledger.release(now)
                if not reply.done():
                    reply.set_result(Ok(self.ledger.issuer.issue(now)))
            case CorrectRefusalOutcome(ticket=ticket, failure=failure, reply=refusal_reply):
                if not refusal_reply.done():
                    refusal_reply.set_result(
                        self.ledger.correct_refusal_outcome(now, ticket, failure)
                    )
            case RunBooking(request=request, reply=reply):
                self.track(mailbox, reply, call=None)
                self.handle_booking(kernel, mailbox, now, request, reply, forwarded=False)
            case DispatchEnded(dispatch=dispatch, result=result):
                answer = self.ledger.on_finished(dispatch, result)
                for reply in self.waiting.pop(dispatch.sequence, []):
                    resolve(reply, answer)
            case RequestAnswered():
                self.on_request_answered(kernel, message)
            case PeersChanged(peers=peers):
                self.instance_by_incarnation = {
                    peer.incarnation: peer.instance for peer in peers if peer.linked
                }
            case PeerFrame():
                self.on_frame(kernel, mailbox, now, message)

    def on_frame(self, kernel: Kernel, mailbox: Mailbox, now: float, message: PeerFrame) -> None:
        """Handle a frame from another instance."""
        if message.type == "forward":
            self.on_forwarded_booking(kernel, mailbox, now, message)
            return
        match parse_fields(ForwardResultFields, message.fields):
            case Ok(fields):
                self.forwarded.complete(message.instance, fields)

    def track(
        self,
        mailbox: Mailbox,
        reply: Future[BookingResult],
        *,
        call: str | None,
        instance: str = "",
    ) -> None:
        """Keep track of a request until it is answered."""
        self.open_replies.add(reply)
        reply.add_done_callback(
            lambda ended: mailbox.send(RequestAnswered(reply=ended, instance=instance, call=call))
        )

    def handle_booking(
        self,
        kernel: Kernel,
        mailbox: Mailbox,
        now: float,
        request: BookingRequest,
        reply: Future[BookingResult],
        *,
        forwarded: bool,
    ) -> None:
        """Dispatch, join, replay, refuse or forward a booking, as the ledger decides."""
        try:
            fingerprint = booking_fingerprint(
                service=request.service,
                member=request.member,
                key=request.key,
                payload=request.payload,
            )
        except (ValueError, RecursionError):
            resolve(reply, Err(malformed_payload()))
            return
        match self.ledger.request(now, request.ticket, fingerprint, forwarded=forwarded):
            case Dispatch() as dispatch:
                self.waiting[dispatch.sequence] = [reply]
                fail_at_deadline(reply, request.deadline + LOCAL_ANSWER_GRACE_S)
                self.dispatch(kernel, mailbox, dispatch, request)
            case Join(sequence=sequence):
                self.waiting[sequence].append(reply)
                fail_at_deadline(reply, request.deadline + LOCAL_ANSWER_GRACE_S)
            case Replay(result=result):
                resolve(reply, result)
            case Refuse(failure=failure):
                resolve(reply, Err(failure))
            case Forward(incarnation=incarnation):
                self.forward(kernel, now, request, incarnation, reply)

    def dispatch(
        self, kernel: Kernel, mailbox: Mailbox, dispatch: Dispatch, request: BookingRequest
    ) -> None:
        """Ask ``query`` to send the booking to its leaf."""
        future: Future[BookingResult] = asyncio.get_running_loop().create_future()
        future.add_done_callback(
            lambda ended: mailbox.send(
                DispatchEnded(dispatch=dispatch, result=future_result(ended))
            )
        )
        kernel.lookup("query").send(DispatchBooking(request=request, reply=future))

    def forward(
        self,
        kernel: Kernel,
        now: float,
        request: BookingRequest,
        incarnation: str,
        reply: Future[BookingResult],
    ) -> None:
        """Forward a booking to the instance that issued its ticket.

        The outcome is unknown if no link to that instance is up.
        """
        instance = self.instance_by_incarnation.get(incarnation)
        if instance is None:
            resolve(
                reply,
                Err(
                    outcome_unknown(
                        "the instance that issued the ticket has stopped or can't be reached"
                    )
                ),
            )
            return
        fields = fields_dict(self.forwarded.register(now, request, instance, reply))
        fail_at_deadline(reply, request.deadline + FORWARDED_ANSWER_GRACE_S)
        kernel.lookup("peers").send(SendToPeer(instance=instance, type="forward", fields=fields))

    def on_forwarded_booking(
        self, kernel: Kernel, mailbox: Mailbox, now: float, message: PeerFrame
    ) -> None:
        """Run a booking that another instance forwarded here."""
        match parse_fields(ForwardFields, message.fields):
            case Err(error):
                log.warning(
                    "dropped a malformed booking forwarded by {}: {}",
                    message.instance,
                    error.detail,
                )
                return
            case Ok(fields):
                pass
        reply: Future[BookingResult] = asyncio.get_running_loop().create_future()
        self.track(mailbox, reply, call=fields.call, instance=message.instance)
        match decode_request(now, fields):
            case Err(failure):
                resolve(reply, Err(failure))
            case Ok(request):
                self.handle_booking(kernel, mailbox, now, request, reply, forwarded=True)

    def on_request_answered(self, kernel: Kernel, ended: RequestAnswered) -> None:
        """Forget an answered request; send the answer to the instance that forwarded it, if any."""
        self.open_replies.discard(ended.reply)
        if ended.call is not None:
            fields = fields_dict(answer_fields(ended.call, future_result(ended.reply)))
            kernel.lookup("peers").send(
                SendToPeer(instance=ended.instance, type="forwarded", fields=fields)
            )


def malformed_payload() -> RequestFailure:
    """Describe a payload that can't be encoded as JSON, for instance one nested too deeply."""
    return RequestFailure(
        kind=FailureKind.MALFORMED_REQUEST,
        outcome=Outcome.NOT_RUN,
        detail="the payload can't be encoded as JSON",
        field="payload",
    )


def resolve(reply: Future[BookingResult], result: BookingResult) -> None:
    """Set the result of a reply that is neither set nor cancelled yet."""
    if not reply.done():
        reply.set_result(result)


def fail_at_deadline(reply: Future[BookingResult], deadline: float) -> None:
    """Fail a request that has no answer at its deadline; the booking itself continues."""
    failure = RequestFailure(
        kind=FailureKind.DEADLINE_EXCEEDED,
        outcome=Outcome.MAY_HAVE_RUN,
        detail="the booking did not end within the deadline; repeat the request with the same"
        " ticket to get its outcome",
    )
    timer = asyncio.get_running_loop().call_at(deadline, partial(resolve, reply, Err(failure)))
    reply.add_done_callback(lambda _: timer.cancel())


def future_result(future: Future[BookingResult]) -> BookingResult:
    """Return the result of a done future; the outcome of a cancelled one is unknown."""
    if future.cancelled():
        return Err(outcome_unknown("the request was cancelled"))
    return future.result()
