"""Runs the bookings that this instance dispatches."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from msgspec import Struct
from result import Err, Ok

from azurefield.model import RequestKind
from azurefield.query_actions import SendLeafCall
from azurefield_entry.metrics import Metrics
from azurefield_entry.query.admission import Admission
from azurefield_entry.query.booking import BookingDispatch, BookingResult
from azurefield_entry.query.failures import instance_stopped
from azurefield_entry.query.leaf_calls import LeafCalls
from azurefield_entry.query.quarantine import Quarantine
from azurefield_entry.query.running import RunningBooking, booking_body, leafs_of, resolve

if TYPE_CHECKING:
    from azurefield_entry.messages import DispatchBooking, LeafCallEnded
    from azurefield_entry.query.admission import AdmittedRequest


class BookingRunner(Struct, kw_only=True):
    """Starts bookings and sends their calls, one at a time."""

    metrics: Metrics
    admission: Admission
    quarantine: Quarantine
    leaf_calls: LeafCalls

    def start(self, now: float, message: DispatchBooking) -> None:
        """Send a booking to the leaf that owns its key."""
        request = message.request
        body = booking_body(request)
        match self.admission.admit(now, request.service, RequestKind.BOOKING, body):
            case Err(failure):
                resolve(message.reply, Err(failure))
            case Ok(admitted):
                self.start_admitted(now, message, admitted)

    def start_admitted(
        self, now: float, message: DispatchBooking, admitted: AdmittedRequest
    ) -> None:
        """Send the first call of a booking, or queue the booking if it is a suspect."""
        request, state, fingerprint = message.request, admitted.state, admitted.fingerprint
        holders = self.quarantine.allowed_holders(state.holdings, fingerprint)
        dispatch = BookingDispatch(request=request, state=state, holders=holders)
        booking = RunningBooking(dispatch=dispatch, reply=message.reply, fingerprint=fingerprint)
        choice = state.holdings.choose(now)
        if choice is not None and self.quarantine.suspects.is_suspect(now, fingerprint):
            leafs = leafs_of(booking.kind, request.key, choice)
            servers = state.servers_of(now, leafs, choice.snapshot)
            resume = partial(self.start_dispatch, booking)
            self.leaf_calls.enqueue_suspect(now, booking, servers, resume)
        else:
            self.start_dispatch(booking, now)

    def start_dispatch(self, booking: RunningBooking, now: float) -> None:
        """Send the first call of a booking unless it was convicted while it was queued."""
        failure = self.quarantine.suspects.refusal(now, booking.fingerprint)
        step = Err(failure) if failure is not None else booking.dispatch.start(now)
        self.continue_booking(booking, step)

    def on_call_ended(self, now: float, booking: RunningBooking, ended: LeafCallEnded) -> None:
        """Send the booking's next call or reply with its result."""
        step = booking.dispatch.on_call_ended(now, ended.result)
        if isinstance(step, SendLeafCall):
            self.metrics.retries.labels(booking.request.service).inc()
        self.continue_booking(booking, step)

    def continue_booking(self, booking: RunningBooking, step: SendLeafCall | BookingResult) -> None:
        """Send the booking's next call or reply with its result."""
        if isinstance(step, SendLeafCall):
            self.leaf_calls.send(booking, step)
        else:
            if step.is_ok():
                self.quarantine.suspects.on_answered(booking.fingerprint)
            resolve(booking.reply, step)

    def fail_running(self) -> None:
        """Fail the bookings that have a call in flight."""
        for call in self.leaf_calls.in_flight.values():
            if isinstance(call.owner, RunningBooking):
                resolve(call.owner.reply, Err(instance_stopped()))
