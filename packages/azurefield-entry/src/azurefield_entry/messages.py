"""Messages between the services of one process.

The receiver of each message is named in its docstring. A message that expects a reply carries a
future as ``reply``; the receiver always resolves it, also with a failure.
"""

from __future__ import annotations

from asyncio import Future
from typing import Any

from msgspec import Struct, field
from result import Result

from azurefield.failures import LeafFailure, RequestFailure
from azurefield.model import Configuration, RequestKind, Snapshot
from azurefield.snapshot import LeafAnswer, MergedAnswer, StatusReport


class QueryRequest(Struct, kw_only=True, frozen=True):
    """A checked listing, urgent look-up or single look-up.

    ``deadline`` is a time of the event loop's clock; ``key`` is set for single look-ups only.
    """

    request_id: str
    service: str
    member: str
    kind: RequestKind
    deadline: float
    limit: int
    key: str | None
    query: dict[str, Any]


class BookingRequest(Struct, kw_only=True, frozen=True):
    """A checked booking with its ticket."""

    request_id: str
    service: str
    member: str
    ticket: str
    key: str
    payload: dict[str, Any]
    deadline: float


class BookingAnswer(Struct, kw_only=True, frozen=True):
    """What the backend server answered to a booking that ran."""

    leaf: str
    snapshot: Snapshot
    result: dict[str, Any]


class QueryCost(Struct, kw_only=True):
    """What a query cost; a value is None if no leaf was called or no call ended.

    ``leaf_latency_s`` is the median over the leafs, from the first call of each to its end.
    """

    leafs_total: int | None = None
    leaf_latency_s: float | None = None


class RunQuery(Struct, kw_only=True, frozen=True):
    """To ``query``: run a query and reply with its answer.

    ``query`` fills in ``query_cost`` before it replies, also with a failure. Admission uses it for
    its limit and for the cost of later requests.
    """

    request: QueryRequest
    reply: Future[Result[MergedAnswer, RequestFailure]]
    query_cost: QueryCost = field(default_factory=QueryCost)


class CancelQuery(Struct, kw_only=True, frozen=True):
    """To ``query``: the caller disconnected; cancel the query."""

    request_id: str


class IssueTicket(Struct, kw_only=True, frozen=True):
    """To ``bookings``: issue a ticket for one booking."""

    service: str
    reply: Future[Result[str, RequestFailure]]


class RunBooking(Struct, kw_only=True, frozen=True):
    """To ``bookings``: run a booking, wait for a running one, replay its result or forward it."""

    request: BookingRequest
    reply: Future[Result[BookingAnswer, RequestFailure]]


class CorrectRefusalOutcome(Struct, kw_only=True, frozen=True):
    """To ``bookings``: correct the outcome of a booking that was refused before ``RunBooking``."""

    ticket: str
    failure: RequestFailure
    reply: Future[RequestFailure]


class DispatchBooking(Struct, kw_only=True, frozen=True):
    """To ``query``: send a booking, which this instance may run, to the leaf that owns its key.

    The reply claims ``NOT_RUN`` only if no byte reached a backend server or the server refused it.
    """

    request: BookingRequest
    reply: Future[Result[BookingAnswer, RequestFailure]]


class CallLeaf(Struct, kw_only=True, frozen=True):
    """To ``backends``: make one leaf call; it ends in one ``LeafCallEnded`` unless cancelled.

    ``body`` is the JSON body; ``priority`` orders the wait for a connection, 0 first.
    """

    call_id: str
    service: str
    server: str
    leaf: str
    kind: RequestKind
    snapshot: Snapshot
    deadline: float
    priority: int
    body: dict[str, Any]


class CancelCall(Struct, kw_only=True, frozen=True):
    """To ``backends``: cancel a call and close its connection; no ``LeafCallEnded`` may follow."""

    call_id: str


class LeafCallEnded(Struct, kw_only=True, frozen=True):
    """To ``query``: a call ended. The answer to a booking has one record, the booking's result.

    ``incarnation`` is the incarnation that a refusal of the backend server named, if any.
    """

    call_id: str
    result: Result[LeafAnswer, LeafFailure]
    incarnation: str | None = None


class StatusReceived(Struct, kw_only=True, frozen=True):
    """To ``query`` and ``membership``: a backend server answered a status probe."""

    service: str
    report: StatusReport


class StatusProbeMissed(Struct, kw_only=True, frozen=True):
    """To ``query``: a backend server did not answer its status probe.

    ``unreachable`` says that no connection could be opened, so calls to it fail as well.
    """

    service: str
    server: str
    unreachable: bool = False


class ConfigurationChanged(Struct, kw_only=True, frozen=True):
    """To all services that handle requests: a higher configuration version is in force."""

    configuration: Configuration
    digest: str


class ServerLeaving(Struct, kw_only=True, frozen=True):
    """To ``membership``: a source reports that a backend server is leaving.

    ``incarnation`` is None if the source does not know it.
    """

    server: str
    incarnation: str | None
    source: str


class LeavingServersChanged(Struct, kw_only=True, frozen=True):
    """To ``query``: the complete set of leaving backend servers, which get no new work."""

    servers: frozenset[str]


class PeerInfo(Struct, kw_only=True, frozen=True):
    """A known entry instance; ``linked`` is whether the link to it is up."""

    instance: str
    incarnation: str
    peer_address: str
    availability_zone: str
    linked: bool
    leaving: bool


class PeersChanged(Struct, kw_only=True, frozen=True):
    """To ``backends``, ``bookings``, ``configuration``, ``front``, ``admin``: known instances."""

    peers: tuple[PeerInfo, ...]


class PeerFrame(Struct, kw_only=True, frozen=True):
    """From ``peers`` to the service that handles the frame's type."""

    instance: str
    type: str
    fields: dict[str, Any]


class SendToPeer(Struct, kw_only=True, frozen=True):
    """To ``peers``: send a frame to one instance, or to all linked ones if it is None.

    A frame to an instance without a link is dropped; the sender has its own timeout.
    """

    instance: str | None
    type: str
    fields: dict[str, Any]


class ReadinessChanged(Struct, kw_only=True, frozen=True):
    """To ``admin`` and ``front``: whether a part is ready for requests, and if not, why."""

    part: str
    ready: bool
    reason: str


class CeilingsChanged(Struct, kw_only=True, frozen=True):
    """To ``backends``: how many connections may be open to each backend server.

    ``backends`` applies it at once and answers with ``ConnectionsOpen``. A server that is not in
    ``ceilings`` keeps its ceiling.
    """

    revision: int
    ceilings: dict[str, int]


class ConnectionsOpen(Struct, kw_only=True, frozen=True):
    """To ``membership``: open connections by backend server, after they or the ceilings changed.

    ``revision`` is that of the last applied ``CeilingsChanged``. Connections freed by a lower
    ceiling go to other instances only after this confirmation.
    """

    revision: int
    connections: dict[str, int]


class StoreContacted(Struct, kw_only=True, frozen=True):
    """To ``membership``: the key-value service answered."""


class MemberUse(Struct, kw_only=True, frozen=True):
    """To ``membership``: the use by service and member, which heartbeats carry to the peers."""

    use: dict[str, dict[str, float]]


class PeerAddressesChanged(Struct, kw_only=True, frozen=True):
    """To ``peers``: the addresses, by name, of all other instances to connect to."""

    addresses: dict[str, str]


class LinkChanged(Struct, kw_only=True, frozen=True):
    """To ``membership``: the link to an instance came up or went down."""

    instance: str
    incarnation: str
    linked: bool
