"""The internal service ``query``: runs fan-outs and dispatches bookings."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from azurefield.failures import LeafFailureReason
from azurefield_entry.kernel import Kernel, Mailbox, Stop
from azurefield_entry.messages import (
    CancelQuery,
    DispatchBooking,
    LeafCallEnded,
    PeerFrame,
    RunQuery,
    StatusProbeMissed,
    StatusReceived,
)
from azurefield_entry.metrics import Metrics
from azurefield_entry.query.admission import Admission
from azurefield_entry.query.booking_runner import BookingRunner
from azurefield_entry.query.conviction_handler import ConvictionHandler
from azurefield_entry.query.leaf_calls import LeafCalls, failure_reason
from azurefield_entry.query.quarantine import Quarantine
from azurefield_entry.query.query_runner import QueryRunner
from azurefield_entry.query.running import RunningBooking, WakeQuery, WakeSuspects
from azurefield_entry.query.state_table import StateTable

if TYPE_CHECKING:
    from azurefield_entry.query.running import RunningQuery, SentCall
    from azurefield_entry.query.state import ServiceState


@dataclass(slots=True, kw_only=True)
class QueryService:
    """Owns the routing state of all services and passes each message to its handler."""

    metrics: Metrics
    random: Random
    quarantine: Quarantine = field(default_factory=Quarantine)
    table: StateTable = field(init=False)
    leaf_calls: LeafCalls = field(init=False)
    query_runner: QueryRunner = field(init=False)
    booking_runner: BookingRunner = field(init=False)
    conviction_handler: ConvictionHandler = field(init=False)

    def __post_init__(self) -> None:
        metrics, quarantine = self.metrics, self.quarantine
        self.table = StateTable(metrics=metrics, random=self.random)
        self.leaf_calls = LeafCalls(metrics=metrics, quarantine=quarantine)
        admission = Admission(table=self.table, quarantine=quarantine)
        self.query_runner = QueryRunner(
            metrics=metrics,
            admission=admission,
            quarantine=quarantine,
            leaf_calls=self.leaf_calls,
        )
        self.booking_runner = BookingRunner(
            metrics=metrics,
            admission=admission,
            quarantine=quarantine,
            leaf_calls=self.leaf_calls,
        )
        self.conviction_handler = ConvictionHandler(
            metrics=metrics,
            quarantine=quarantine,
            leaf_calls=self.leaf_calls,
            query_runner=self.query_runner,
        )

    @property
    def kernel(self) -> Kernel:
        """The kernel that delivers messages to the other services."""
        return self.leaf_calls.kernel

    @kernel.setter
    def kernel(self, kernel: Kernel) -> None:
        self.leaf_calls.kernel = kernel

    @property
    def mailbox(self) -> Mailbox:
        """The mailbox of this service, to which its timers send."""
        return self.leaf_calls.mailbox

    @mailbox.setter
    def mailbox(self, mailbox: Mailbox) -> None:
        self.leaf_calls.mailbox = mailbox

    @property
    def states(self) -> dict[str, ServiceState]:
        """The routing state of each service."""
        return self.table.states

    @property
    def queries(self) -> dict[str, RunningQuery]:
        """The running queries by request id."""
        return self.query_runner.queries

    @property
    def calls(self) -> dict[str, SentCall]:
        """The leaf calls in flight by call id."""
        return self.leaf_calls.in_flight

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Handle messages until ``Stop``."""
        self.kernel, self.mailbox = kernel, mailbox
        while True:
            message = await mailbox.receive()
            if isinstance(message, Stop):
                self.fail_running()
                return
            self.handle(asyncio.get_running_loop().time(), message)

    def handle(self, now: float, message: object) -> None:
        """Handle one message."""
        match message:
            case LeafCallEnded():
                self.handle_call_ended(now, message)
            case RunQuery():
                self.query_runner.start(now, message)
            case DispatchBooking():
                self.booking_runner.start(now, message)
            case WakeQuery(request_id=request_id):
                self.query_runner.wake(now, request_id)
            case WakeSuspects():
                self.quarantine.resume_ready(now)
            case CancelQuery(request_id=request_id):
                self.query_runner.cancel(now, request_id)
            case PeerFrame(type="conviction"):
                self.conviction_handler.receive(now, message)
            case StatusReceived(report=report):
                self.table.handle(now, message)
                self.conviction_handler.on_status(now, report)
            case StatusProbeMissed(server=server):
                self.table.handle(now, message)
                self.conviction_handler.on_status_missing(server)
            case _:
                self.table.handle(now, message)

    def handle_call_ended(self, now: float, ended: LeafCallEnded) -> None:
        """Pass the end of a call to the query or booking that waits for it."""
        call = self.leaf_calls.end(ended)
        if call is None:
            return
        if failure_reason(ended) is LeafFailureReason.CONNECTION_LOST:
            self.conviction_handler.on_connection_lost(now, call, ended.call_id)
        self.quarantine.suspects.on_call_ended(ended.call_id)
        if isinstance(call.owner, RunningBooking):
            self.booking_runner.on_call_ended(now, call.owner, ended)
        else:
            self.query_runner.on_call_ended(now, call.owner, call, ended)
        self.quarantine.resume_ready(now)

    def fail_running(self) -> None:
        """Fail what is still running, so that no caller waits for a stopped service."""
        self.query_runner.fail_running()
        self.booking_runner.fail_running()
