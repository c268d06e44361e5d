"""Forwarding of bookings between instances: frames and pending calls."""

from __future__ import annotations

import json
from asyncio import Future
from typing import Any

import msgspec
from msgspec import Struct, field
from result import Err, Ok, Result

from azurefield.booking import outcome_unknown
from azurefield.failures import RequestFailure
from azurefield_entry.messages import BookingAnswer, BookingRequest
from azurefield_entry.peers.frames import (
    FRAME_BYTES_MAX,
    MILLISECONDS_MAX,
    ForwardFields,
    ForwardResultFields,
)

# The rest of the frame is reserved for its other fields.
ANSWER_BYTES_MAX = FRAME_BYTES_MAX - 4096

BookingResult = Result[BookingAnswer, RequestFailure]


class BookingBody(Struct, kw_only=True, frozen=True):
    """The booking's key and payload as the caller sent them; the JSON body of a frame."""

    key: str
    payload: dict[str, Any]


class ForwardedCall(Struct, kw_only=True):
    """A booking that was forwarded to another instance and has no answer yet."""

    instance: str
    reply: Future[BookingResult]


class ForwardedCalls(Struct, kw_only=True):
    """The forwarded bookings without an answer yet, by call identifier.

    ``prefix`` makes the identifiers unique among all instances and incarnations.
    """

    prefix: str
    calls_sent: int = 0
    pending: dict[str, ForwardedCall] = field(default_factory=dict)

    def register(
        self, now: float, request: BookingRequest, instance: str, reply: Future[BookingResult]
    ) -> ForwardFields:
        """Register a call and return the fields of the frame that forwards it."""
        self.calls_sent += 1
        call = f"{self.prefix}.{self.calls_sent}"
        self.pending[call] = ForwardedCall(instance=instance, reply=reply)
        reply.add_done_callback(lambda _: self.pending.pop(call, None))
        return ForwardFields(
            call=call,
            request_id=request.request_id,
            ticket=request.ticket,
            service=request.service,
            member=request.member,
            body=json.dumps({"key": request.key, "payload": request.payload}).encode(),
            deadline_ms=min(MILLISECONDS_MAX, max(0, int((request.deadline - now) * 1000))),
        )

    def complete(self, instance: str, fields: ForwardResultFields) -> None:
        """Resolve the reply of a pending call if it was forwarded to ``instance``."""
        call = self.pending.get(fields.call)
        if call is not None and call.instance == instance and not call.reply.done():
            call.reply.set_result(decode_result(fields))


def decode_request(now: float, fields: ForwardFields) -> Result[BookingRequest, RequestFailure]:
    """Decode a booking that another instance forwarded here."""
    try:
        body = msgspec.json.decode(fields.body, type=BookingBody)
    except (msgspec.MsgspecError, RecursionError):
        return Err(outcome_unknown("the forwarded booking could not be decoded"))
    return Ok(
        BookingRequest(
            request_id=fields.request_id,
            service=fields.service,
            member=fields.member,
            ticket=fields.ticket,
            key=body.key,
            payload=body.payload,
            deadline=now + fields.deadline_ms / 1000,
        )
    )


def answer_fields(call: str, result: BookingResult) -> ForwardResultFields:
    """Build the fields of the frame that answers a forwarded booking."""
    match result:
        case Ok(answer):
            try:
                body = msgspec.json.encode(answer)
            except (msgspec.MsgspecError, ValueError, RecursionError):
                body = b""
            if 0 < len(body) < ANSWER_BYTES_MAX:
                return ForwardResultFields(call=call, status="answered", body=body)
            failure = outcome_unknown(
                "the booking ran, but its answer can't be encoded or is too large to forward"
            )
        case Err(failure):
            pass
    return ForwardResultFields(call=call, status="failed", body=msgspec.json.encode(failure))


def decode_result(fields: ForwardResultFields) -> BookingResult:
    """Decode the result of a forwarded booking."""
    try:
        if fields.status == "answered":
            return Ok(msgspec.json.decode(fields.body, type=BookingAnswer))
        return Err(msgspec.json.decode(fields.body, type=RequestFailure))
    except (msgspec.MsgspecError, RecursionError):
        return Err(outcome_unknown("the answer of the forwarded booking could not be decoded"))
