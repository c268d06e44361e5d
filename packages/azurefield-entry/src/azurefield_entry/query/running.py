"""State of the queries and bookings that are running."""

from __future__ import annotations

from asyncio import Future, TimerHandle, get_running_loop
from typing import TYPE_CHECKING, Any, TypeVar

from msgspec import Struct
from result import Result

from azurefield.failures import RequestFailure
from azurefield.model import RequestKind, Snapshot
from azurefield.query import FanOut
from azurefield.snapshot import LeafAnswer, MergedAnswer
from azurefield_entry.messages import BookingAnswer, BookingRequest, QueryCost, QueryRequest
from azurefield_entry.query.booking import BookingDispatch
from azurefield_entry.query.state import ServiceState

if TYPE_CHECKING:
    from azurefield.snapshot import SnapshotChoice
    from azurefield_entry.kernel import Mailbox

T = TypeVar("T")


class WakeQuery(Struct, kw_only=True, frozen=True):
    """To ``query`` itself: the wake-up timer of a query has fired."""

    request_id: str


class WakeSuspects(Struct, kw_only=True, frozen=True):
    """To ``query`` itself: the deadline of a queued suspect has passed."""


class RunningQuery(Struct, kw_only=True):
    """A running fan-out and the future of its caller.

    ``wake_at`` is the time for which the wake-up timer is set, None after it has fired. It is kept
    here because uvloop rounds the time that its timer handle returns.
    """

    request: QueryRequest
    state: ServiceState
    fan_out: FanOut[LeafAnswer, MergedAnswer]
    reply: Future[Result[MergedAnswer, RequestFailure]]
    query_cost: QueryCost
    fingerprint: str
    wake_up: TimerHandle | None = None
    wake_at: float | None = None

    @property
    def kind(self) -> RequestKind:
        """The kind of its leaf calls."""
        return self.request.kind

    def set_wake_up(self, at: float, mailbox: Mailbox) -> None:
        """Set the wake-up timer or move it to another time."""
        if self.wake_at == at:
            return
        if self.wake_up is not None:
            self.wake_up.cancel()
        wake = WakeQuery(request_id=self.request.request_id)
        self.wake_at = at
        self.wake_up = get_running_loop().call_at(at, mailbox.send, wake)

    def record_query_cost(self) -> None:
        """Record what the query cost.

        A look-up of one record calls one leaf, so it does not show the number of leafs.
        """
        if self.request.kind.partial:
            self.query_cost.leafs_total = len(self.fan_out.leafs)
        self.query_cost.leaf_latency_s = self.fan_out.median_leaf_latency_s()

    def body(self) -> dict[str, Any]:
        """Return the JSON body of its leaf calls."""
        return query_body(self.request)


class RunningBooking(Struct, kw_only=True):
    """A running booking and the future of ``bookings``, which dispatched it."""

    dispatch: BookingDispatch
    reply: Future[Result[BookingAnswer, RequestFailure]]
    fingerprint: str

    @property
    def request(self) -> BookingRequest:
        """The booking."""
        return self.dispatch.request

    @property
    def state(self) -> ServiceState:
        """The routing state that it started with."""
        return self.dispatch.state

    @property
    def kind(self) -> RequestKind:
        """The kind of its leaf calls."""
        return RequestKind.BOOKING

    def body(self) -> dict[str, Any]:
        """Return the JSON body of its leaf call."""
        return booking_body(self.request)


class SentCall(Struct, kw_only=True, frozen=True):
    """A leaf call in flight and the query or booking that sent it."""

    owner: RunningQuery | RunningBooking
    server: str
    leaf: str
    snapshot: Snapshot


def query_body(request: QueryRequest) -> dict[str, Any]:
    """Return the JSON body of a query's leaf calls."""
    if request.kind is RequestKind.LOOKUP:
        return {"key": request.key}
    return {"query": request.query, "limit": request.limit}


def booking_body(request: BookingRequest) -> dict[str, Any]:
    """Return the JSON body of a booking's leaf call."""
    return {"key": request.key, "payload": request.payload}


def resolve(reply: Future[T], result: T) -> None:
    """Set the result unless the future is already done, for example cancelled."""
    if not reply.done():
        reply.set_result(result)


def leafs_of(kind: RequestKind, key: str | None, choice: SnapshotChoice) -> tuple[str, ...]:
    """List the leafs that a request needs: all, or only the one that owns its key."""
    if kind.partial:
        return choice.shard_map.leafs
    leaf = choice.shard_map.leaf_of(key or "")
    return () if leaf is None else (leaf,)
