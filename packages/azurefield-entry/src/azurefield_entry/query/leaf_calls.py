"""Leaf calls in flight, of queries and bookings."""

from __future__ import annotations

from asyncio import get_running_loop
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from logbook import Logger
from result import Err

from azurefield.failures import LeafFailureReason
from azurefield.snapshot import Holding
from azurefield_entry.kernel import Kernel, Mailbox
from azurefield_entry.messages import CallLeaf, CancelCall, LeafCallEnded, ServerLeaving
from azurefield_entry.metrics import Metrics
from azurefield_entry.notify import notify
from azurefield_entry.query.quarantine import Quarantine
from azurefield_entry.query.running import RunningBooking, RunningQuery, SentCall, WakeSuspects
from azurefield_entry.query.suspect_queue import WaitingSuspect

if TYPE_CHECKING:
    from collections.abc import Callable

    from azurefield.query_actions import SendLeafCall

log = Logger("query")


@dataclass(slots=True, kw_only=True)
class LeafCalls:
    """Sends leaf calls to ``backends`` and records how they end.

    ``kernel`` and ``mailbox`` are those of the service ``query``, set when it is started.
    """

    metrics: Metrics
    quarantine: Quarantine
    in_flight: dict[str, SentCall] = field(default_factory=dict)
    kernel: Kernel = field(init=False)
    mailbox: Mailbox = field(init=False)

    def send(self, owner: RunningQuery | RunningBooking, call: SendLeafCall) -> None:
        """Record a leaf call as in flight and pass it to ``backends``."""
        self.in_flight[call.call_id] = SentCall(
            owner=owner, server=call.server, leaf=call.leaf, snapshot=call.snapshot
        )
        now = get_running_loop().time()
        self.quarantine.suspects.on_sent(now, call.call_id, call.server, owner.fingerprint)
        message = CallLeaf(
            call_id=call.call_id,
            service=owner.request.service,
            server=call.server,
            leaf=call.leaf,
            kind=owner.kind,
            snapshot=call.snapshot,
            deadline=call.deadline,
            priority=owner.state.priority(owner.kind),
            body=owner.body(),
        )
        notify(self.kernel, "backends", message)

    def cancel(self, owner: RunningQuery, call_id: str) -> None:
        """Cancel a leaf call; its end is not reported to its owner."""
        self.count(owner, "cancelled")
        self.in_flight.pop(call_id, None)
        self.quarantine.suspects.on_call_ended(call_id)
        notify(self.kernel, "backends", CancelCall(call_id=call_id))

    def end(self, ended: LeafCallEnded) -> SentCall | None:
        """Remove a leaf call that has ended and apply a refusal by the backend server.

        :return: the call, None if it was cancelled
        """
        call = self.in_flight.pop(ended.call_id, None)
        if call is None:
            return None
        reason = failure_reason(ended)
        self.count(call.owner, reason or "answered")
        if reason is LeafFailureReason.VERSION_MISSING:
            holding = Holding(leaf=call.leaf, snapshot=call.snapshot)
            call.owner.state.holdings.remove_holding(call.server, holding)
        elif reason is LeafFailureReason.DRAINING:
            self.report_leaving(call.server, ended)
        return call

    def report_leaving(self, server: str, ended: LeafCallEnded) -> None:
        """Tell ``membership`` that a backend server is draining."""
        log.info(
            "Backend server {} refused a call because it is draining; reporting it as leaving.",
            server,
        )
        leaving = ServerLeaving(server=server, incarnation=ended.incarnation, source="refusal")
        notify(self.kernel, "membership", leaving)

    def enqueue_suspect(
        self,
        now: float,
        owner: RunningQuery | RunningBooking,
        servers: tuple[tuple[str, ...], ...],
        resume: Callable[[float], None],
        *,
        tried: frozenset[str] = frozenset(),
    ) -> None:
        """Queue a suspect until a server of each leaf is free, at most until its deadline."""
        deadline = owner.request.deadline
        get_running_loop().call_at(deadline, self.mailbox.send, WakeSuspects())
        waiting = WaitingSuspect(
            fingerprint=owner.fingerprint,
            servers=servers,
            tried=tried,
            deadline=deadline,
            resume=resume,
        )
        self.quarantine.enqueue(now, waiting)

    def count(self, owner: RunningQuery | RunningBooking, result: str) -> None:
        """Count a leaf call by how it ended."""
        self.metrics.leaf_calls.labels(owner.request.service, result).inc()


def failure_reason(ended: LeafCallEnded) -> LeafFailureReason | None:
    """Return why a leaf call failed, None if it was answered."""
    return ended.result.err_value.reason if isinstance(ended.result, Err) else None
