"""State of one running request and of its calls."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING, Any

from msgspec import Struct, field
from result import Err, Ok, Result

from azurefield.crash_evidence import Standing
from azurefield.failures import LeafFailure, LeafFailureReason, RequestFailure
from azurefield.merge import MergedParts
from azurefield.model import Outcome
from azurefield.query import FanOut
from azurefield.routes import Route
from azurefield.sharing import RequestClass
from azurefield_entry.gateway.ports import GatewayRequest, LeafConnection, OpaqueAnswer

if TYPE_CHECKING:
    from collections.abc import Callable

# After these failures, the server may have ended while it ran the call.
UNANSWERED_REASONS = frozenset(
    {LeafFailureReason.CONNECTION_LOST, LeafFailureReason.TRUNCATED, LeafFailureReason.TIMEOUT}
)
RequestResult = Result[OpaqueAnswer | MergedParts, RequestFailure]


class CompletedRun(Struct, kw_only=True, frozen=True):
    """A run that has ended.

    :param attempts: the largest number of its calls to one service that may have run
    """

    result: RequestResult
    attempts: int = 0


# The log line of a request lists at most this many of its calls.
LOGGED_CALLS_MAX = 40


class ActiveCall(Struct, kw_only=True):
    """A running call.

    :param sent_at: when it was sent; None while it waits or connects
    :param connection: the one that it connects or uses; None while it waits
    :param silence_timer: the next check whether its server is silent
    """

    task: asyncio.Task[None]
    sent_at: float | None = None
    connection: LeafConnection | None = None
    silence_timer: asyncio.TimerHandle | None = None

    def stop_watching(self) -> None:
        """Cancel the check for silence."""
        if self.silence_timer is not None:
            self.silence_timer.cancel()
            self.silence_timer = None


class SentCall(Struct, kw_only=True):
    """A call that was sent and may have run without an answer.

    :param lost: whether the server broke the connection off
    :param checked: whether the server was found down after it
    """

    server: str
    service: str
    sent_at: float
    lost: bool = False
    checked: bool = False


class RunningRequest(Struct, kw_only=True):
    """A running request.

    :param digest: identifies the content of the request, whatever its request id
    :param fan_out: one over opaque answers or one over parts; both are used in the same way
    :param logged_calls: the calls that ended, for the log line
    :param standing: how the request may run
    :param sent_calls: its calls that were sent and not answered, by call id
    :param attempts: its calls that may have run, by service
    :param answered_services: the services of which a server has run it and answered
    :param carried_by: the connections that have carried one of its calls; a late copy of their
        answers can't be told from the answer to a repeated call
    """

    request: GatewayRequest
    route: Route
    version: int
    digest: str
    fan_out: FanOut[Any, Any]
    result_future: asyncio.Future[RequestResult]
    logged_calls: list[str] = field(default_factory=list)
    standing: Standing = Standing.USUAL
    sent_calls: dict[str, SentCall] = field(default_factory=dict)
    attempts: Counter[str] = field(default_factory=Counter)
    answered_services: set[str] = field(default_factory=set)
    carried_by: list[LeafConnection] = field(default_factory=list)
    wake_at: float | None = None
    wake_up: asyncio.TimerHandle | None = None

    @property
    def request_class(self) -> RequestClass:
        """The class in which its calls wait for connections."""
        return RequestClass.of(self.route.priority, self.request.workspace)

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have run a call of it."""
        return self.attempts.total() > 0

    def set_wake_up(self, at: float, wake: Callable[[RunningRequest], None]) -> None:
        """Set the wake-up timer, replacing an earlier one."""
        if self.wake_at == at:
            return
        self.clear_wake_up()
        self.wake_at = at
        self.wake_up = asyncio.get_running_loop().call_at(at, wake, self)

    def clear_wake_up(self) -> None:
        """Cancel the wake-up timer."""
        if self.wake_up is not None:
            self.wake_up.cancel()
        self.wake_up = self.wake_at = None

    def record_call(self, server: str, result: str, elapsed_s: float) -> None:
        """Record, for the log line, how a call ended."""
        if len(self.logged_calls) < LOGGED_CALLS_MAX:
            self.logged_calls.append(f"{server}:{result}:{elapsed_s * 1000:.0f}")


def record_reply(
    running: RunningRequest, call_id: str, result: Result[OpaqueAnswer, LeafFailure]
) -> None:
    """Record whether the server of a call has survived it."""
    call = running.sent_calls.get(call_id)
    if call is None:
        return
    match result:
        case Ok(_):
            running.answered_services.add(call.service)
        case Err(LeafFailure(reason=reason)) if reason in UNANSWERED_REASONS:
            call.lost = reason is not LeafFailureReason.TIMEOUT
            return
        case Err(LeafFailure(outcome=Outcome.NOT_RUN)):
            running.attempts[call.service] -= 1
    del running.sent_calls[call_id]
