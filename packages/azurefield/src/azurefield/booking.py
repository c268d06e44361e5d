"""At-most-once execution of bookings: tickets, and the ledger of the instance that issued them.

An incarnation is one start of an instance's process. Only the incarnation that issued a ticket
dispatches its booking, and it keeps the ticket's ledger entry until the ticket expires by its own
clock. A restarted instance has another incarnation and another key, so a ticket from before the
restart can never be dispatched again.
"""

from __future__ import annotations

import hashlib
import hmac
import json
import re
from enum import StrEnum
from heapq import heappop, heappush
from typing import Any, Generic, TypeVar

from msgspec import Struct, field
from msgspec.structs import replace
from result import Err, Ok, Result

from azurefield.failures import FailureKind, RequestFailure
from azurefield.model import Outcome

TICKET_VERSION = "v1"
MAC_HEX_DIGITS = 32
TICKET_PATTERN = re.compile(
    rf"{TICKET_VERSION}\.([0-9a-f]{{8,64}})\.([0-9]{{1,18}})\.([0-9]{{1,18}})"
    rf"\.([0-9a-f]{{{MAC_HEX_DIGITS}}})",
    re.ASCII,
)

Answer = TypeVar("Answer")


class Ticket(Struct, kw_only=True, frozen=True):
    """The claims of a ticket; ``expiry_ms`` is a time of the issuer's monotonic clock."""

    incarnation: str
    sequence: int
    expiry_ms: int
    mac: str

    def expired(self, now: float) -> bool:
        """Whether the ticket has expired by the issuer's clock."""
        return now * 1000 >= self.expiry_ms


def parse_ticket(text: str) -> Result[Ticket, RequestFailure]:
    """Parse a ticket without verifying that an instance issued it."""
    found = TICKET_PATTERN.fullmatch(text)
    if found is None:
        return Err(ticket_required())
    incarnation, sequence, expiry_ms, mac = found.groups()
    return Ok(
        Ticket(incarnation=incarnation, sequence=int(sequence), expiry_ms=int(expiry_ms), mac=mac)
    )


def booking_fingerprint(*, service: str, member: str, key: str, payload: dict[str, Any]) -> str:
    """Hash the content of a booking, regardless of the order of the payload's fields."""
    content = json.dumps([service, member, key, payload], sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(content.encode()).hexdigest()


class TicketIssuer(Struct, kw_only=True):
    """Issues and verifies the tickets of one incarnation.

    :param incarnation: lower-case hex digits, random for each start of the process
    :param key: secret of the MAC, random for each start of the process, never sent anywhere
    """

    incarnation: str
    key: bytes
    lifetime_s: float
    sequence: int = 0

    def issue(self, now: float) -> str:
        """Issue a ticket that expires ``lifetime_s`` after ``now``."""
        self.sequence += 1
        expiry_ms = int((now + self.lifetime_s) * 1000)
        claims = f"{TICKET_VERSION}.{self.incarnation}.{self.sequence}.{expiry_ms}"
        return f"{claims}.{self.compute_mac(claims)}"

    def verify(self, text: str) -> Result[Ticket, RequestFailure]:
        """Check that this incarnation issued a ticket; its expiry is not checked."""
        match parse_ticket(text):
            case Err(failure):
                return Err(failure)
            case Ok(ticket):
                claims = text.rpartition(".")[0]
                issued_here = ticket.incarnation == self.incarnation
                if issued_here and hmac.compare_digest(self.compute_mac(claims), ticket.mac):
                    return Ok(ticket)
        return Err(
            RequestFailure(
                kind=FailureKind.TICKET_INVALID,
                outcome=Outcome.NOT_RUN,
                detail="the ticket is forged or altered: its authentication code is invalid",
                field="Idempotency-Key",
            )
        )

    def compute_mac(self, claims: str) -> str:
        """Compute the message authentication code (MAC) of a ticket's claims."""
        return hmac.new(self.key, claims.encode(), hashlib.sha256).hexdigest()[:MAC_HEX_DIGITS]


class Dispatch(Struct, kw_only=True, frozen=True):
    """Send the booking once, now, and pass this decision with the result to ``on_finished``."""

    sequence: int
    attempt: int


class Join(Struct, kw_only=True, frozen=True):
    """Wait for the result of the attempt that is already running."""

    sequence: int
    attempt: int


class Replay(Struct, Generic[Answer], kw_only=True, frozen=True):
    """Answer with the stored result of the finished run."""

    result: Result[Answer, RequestFailure]


class Forward(Struct, kw_only=True, frozen=True):
    """Forward the request to the instance whose current incarnation is this one."""

    incarnation: str


class Refuse(Struct, kw_only=True, frozen=True):
    """Answer with a failure."""

    failure: RequestFailure


class TicketState(StrEnum):
    """State of a ticket's booking.

    ``ABSENT``: no attempt is running and none has run. ``UNKNOWN``: the last attempt may have run.
    """

    ABSENT = "absent"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


class LedgerEntry(Struct, Generic[Answer], kw_only=True):
    """The booking of one ticket; ``result`` is set in the state ``DONE``."""

    ticket: Ticket
    fingerprint: str
    state: TicketState = TicketState.ABSENT
    attempt: int = 0
    result: Result[Answer, RequestFailure] | None = None


class BookingLedger(Struct, Generic[Answer], kw_only=True):
    """Decides for each use of a ticket whether the booking is dispatched.

    A ticket is dispatched again only after its last attempt ended with ``NOT_RUN``. An entry stays
    until its ticket expires, even after ``NOT_RUN``, because it binds the ticket to the body that
    it was first used with.
    """

    issuer: TicketIssuer
    # Keyed by the ticket's sequence number.
    entries: dict[int, LedgerEntry[Answer]] = field(default_factory=dict)
    # Heap of (expiry in ms, sequence number) of the tickets that have not expired.
    expiries: list[tuple[int, int]] = field(default_factory=list)
    # The highest ``now`` seen. Tickets expire by it, so none becomes valid again if the clock steps
    # back.
    latest_now: float = float("-inf")

    def request(
        self, now: float, text: str, fingerprint: str, *, forwarded: bool = False
    ) -> Dispatch | Join | Replay[Answer] | Forward | Refuse:
        """Decide what to do with a booking request.

        :param forwarded: whether another instance forwarded it; it is then not forwarded again
        """
        self.release(now)
        match parse_ticket(text):
            case Err(failure):
                return Refuse(failure=failure)
            case Ok(ticket):
                pass
        if ticket.incarnation != self.issuer.incarnation:
            if forwarded:
                return Refuse(
                    failure=outcome_unknown("the instance that issued the ticket has restarted")
                )
            return Forward(incarnation=ticket.incarnation)
        match self.issuer.verify(text):
            case Err(failure):
                return Refuse(failure=failure)
        if ticket.expired(self.latest_now):
            return Refuse(failure=outcome_unknown("the ticket has expired"))
        return self.use(ticket, fingerprint)

    def use(self, ticket: Ticket, fingerprint: str) -> Dispatch | Join | Replay[Answer] | Refuse:
        """Decide what to do with a verified ticket that has not expired."""
        entry = self.entries.get(ticket.sequence)
        if entry is None:
            entry = LedgerEntry(ticket=ticket, fingerprint=fingerprint)
            self.entries[ticket.sequence] = entry
            heappush(self.expiries, (ticket.expiry_ms, ticket.sequence))
        if entry.fingerprint != fingerprint:
            return Refuse(failure=body_mismatch())
        if entry.state is TicketState.RUNNING:
            return Join(sequence=ticket.sequence, attempt=entry.attempt)
        if entry.state is TicketState.UNKNOWN:
            return Refuse(failure=outcome_unknown("an earlier attempt may have run the booking"))
        if entry.result is not None:
            return Replay(result=entry.result)
        entry.state = TicketState.RUNNING
        entry.attempt += 1
        return Dispatch(sequence=ticket.sequence, attempt=entry.attempt)

    def correct_refusal_outcome(
        self, now: float, text: str, failure: RequestFailure
    ) -> RequestFailure:
        """Correct the outcome of a refusal that was decided before the ledger was consulted.

        An earlier request with the same ticket may have run the booking, for instance if its answer
        was lost. A refusal of the repeated request must then not claim ``NOT_RUN``.
        """
        self.release(now)
        match parse_ticket(text):
            case Err():
                return failure
            case Ok(ticket):
                issued_here = ticket.incarnation == self.issuer.incarnation
        if issued_here and self.issuer.verify(text).is_err():
            return failure
        entry = self.entries.get(ticket.sequence) if issued_here else None
        unused = entry is None or entry.state is TicketState.ABSENT
        if issued_here and unused and not ticket.expired(self.latest_now):
            return failure
        return replace(failure, outcome=Outcome.MAY_HAVE_RUN)

    def on_finished(
        self, dispatch: Dispatch, result: Result[Answer, RequestFailure]
    ) -> Result[Answer, RequestFailure]:
        """Record the result of a dispatched attempt.

        :return: the result for the request that was dispatched and for all that joined it
        """
        entry = self.entries.get(dispatch.sequence)
        if entry is None or entry.state is not TicketState.RUNNING:
            return result
        if entry.attempt != dispatch.attempt:
            return result
        match result:
            case Err(failure) if failure.outcome is Outcome.NOT_RUN:
                entry.state = TicketState.ABSENT
            case Err(failure) if failure.outcome is Outcome.MAY_HAVE_RUN:
                entry.state = TicketState.UNKNOWN
            case _:
                entry.state = TicketState.DONE
                entry.result = result
        if entry.ticket.expired(self.latest_now):
            del self.entries[dispatch.sequence]
        return result

    def release(self, now: float) -> None:
        """Drop the entries of expired tickets; ``on_finished`` drops those that still run.

        The ledger's time never decreases: a ticket whose entry was dropped must stay expired.
        """
        self.latest_now = max(self.latest_now, now)
        while self.expiries and self.expiries[0][0] <= self.latest_now * 1000:
            _, sequence = heappop(self.expiries)
            entry = self.entries.get(sequence)
            if entry is not None and entry.state is not TicketState.RUNNING:
                del self.entries[sequence]

    def running(self) -> int:
        """Return the number of bookings that are running."""
        return sum(entry.state is TicketState.RUNNING for entry in self.entries.values())


def outcome_unknown(detail: str) -> RequestFailure:
    """Return the failure of a booking that may or may not have run."""
    return RequestFailure(
        kind=FailureKind.OUTCOME_UNKNOWN, outcome=Outcome.MAY_HAVE_RUN, detail=detail
    )


def ticket_required() -> RequestFailure:
    """Return the failure of a booking whose idempotency key is not a ticket."""
    return RequestFailure(
        kind=FailureKind.TICKET_REQUIRED,
        outcome=Outcome.NOT_RUN,
        detail="the idempotency key of a booking must be a ticket",
        field="Idempotency-Key",
        allowed="a ticket from POST /v1/services/{service}/tickets",
    )


def body_mismatch() -> RequestFailure:
    """Return the failure of a booking whose ticket was first used with another body."""
    return RequestFailure(
        kind=FailureKind.TICKET_BODY_MISMATCH,
        outcome=Outcome.NOT_RUN,
        detail="the ticket was already used with another body; this request was not run",
        field="Idempotency-Key",
    )
