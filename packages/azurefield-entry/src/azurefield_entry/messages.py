"""Messages between the services of one process.

The receiver of each message is named in its docstring. A message that expects a reply carries a
future as ``reply``; the receiver always resolves it, also with a failure.
"""

from __future__ import annotations

from asyncio import Future
from dataclasses import dataclass, field
from typing import Any

from result import Result

from azurefield.failures import LeafFailure, RequestFailure
from azurefield.model import Configuration, RequestKind, Snapshot
from azurefield.snapshot import LeafAnswer, MergedAnswer, StatusReport


@dataclass(slots=True, kw_only=True, frozen=True)
class QueryRequest:
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


@dataclass(slots=True, kw_only=True, frozen=True)
class BookingRequest:
    """A checked booking with its ticket."""

    request_id: str
    service: str
    member: str
    ticket: str
    key: str
    payload: dict[str, Any]
    deadline: float


@dataclass(slots=True, kw_only=True, frozen=True)
class BookingAnswer:
    """What the backend server answered to a booking that ran."""

    leaf: str
    snapshot: Snapshot
    result: dict[str, Any]


@dataclass(slots=True, kw_only=True)
class QueryCost:
    """What a query cost; a value is None if no leaf was called or no call ended.

    ``leaf_latency_s`` is the median over the leafs, from the first call of each to its end.
    """

    leafs_total: int | None = None
    leaf_latency_s: float | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class RunQuery:
    """To ``query``: run a query and reply with its answer.

    ``query`` fills in ``query_cost`` before it replies, also with a failure. Admission uses it for
    its limit and for the cost of later requests.
    """

    request: QueryRequest
    reply: Future[Result[MergedAnswer, RequestFailure]]
    query_cost: QueryCost = field(default_factory=QueryCost)


@dataclass(slots=True, kw_only=True, frozen=True)
class CancelQuery:
    """To ``query``: the caller disconnected; cancel the query."""

    request_id: str


@dataclass(slots=True, kw_only=True, frozen=True)
class IssueTicket:
    """To ``bookings``: issue a ticket for one booking."""

    service: str
    reply: Future[Result[str, RequestFailure]]


@dataclass(slots=True, kw_only=True, frozen=True)
class RunBooking:
    """To ``bookings``: run a booking, wait for a running one, replay its result or forward it."""

    request: BookingRequest
    reply: Future[Result[BookingAnswer, RequestFailure]]


@dataclass(slots=True, kw_only=True, frozen=True)
class CorrectRefusalOutcome:
    """To ``bookings``: correct the outcome of a booking that was refused before ``RunBooking``."""

    ticket: str
    failure: RequestFailure
    reply: Future[RequestFailure]


@dataclass(slots=True, kw_only=True, frozen=True)
class DispatchBooking:
    """To ``query``: send a booking, which this instance may run, to the leaf that owns its key.

    The reply claims ``NOT_RUN`` only if no byte reached a backend server or the server refused it.
    """

    request: BookingRequest
    reply: Future[Result[BookingAnswer, RequestFailure]]


@dataclass(slots=True, kw_only=True, frozen=True)
class CallLeaf:
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


@dataclass(slots=True, kw_only=True, frozen=True)
class CancelCall:
    """To ``backends``: cancel a call and close its connection; no ``LeafCallEnded`` may follow."""

    call_id: str


@dataclass(slots=True, kw_only=True, frozen=True)
class LeafCallEnded:
    """To ``query``: a call ended. The answer to a booking has one record, the booking's result.

    ``incarnation`` is the incarnation that a refusal of the backend server named, if any.
    """

    call_id: str
    result: Result[LeafAnswer, LeafFailure]
    incarnation: str | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class StatusReceived:
    """To ``query`` and ``membership``: a backend server answered a status probe."""

    service: str
    report: StatusReport


@dataclass(slots=True, kw_only=True, frozen=True)
class StatusProbeMissed:
    """To ``query``: a backend server did not answer its status probe.

    ``unreachable`` says that no connection could be opened, so calls to it fail as well.
    """

    service: str
    server: str
    unreachable: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class ConfigurationChanged:
    """To all services that handle requests: a higher configuration version is in force."""

    configuration: Configuration
    digest: str


@dataclass(slots=True, kw_only=True, frozen=True)
class ServerLeaving:
    """To ``membership``: a source reports that a backend server is leaving.

    ``incarnation`` is None if the source does not know it.
    """

    server: str
    incarnation: str | None
    source: str


@dataclass(slots=True, kw_only=True, frozen=True)
class LeavingServersChanged:
    """To ``query``: the complete set of leaving backend servers, which get no new work."""

    servers: frozenset[str]


@dataclass(slots=True, kw_only=True, frozen=True)
class PeerInfo:
    """A known entry instance; ``linked`` is whether the link to it is up."""

    instance: str
    incarnation: str
    peer_address: str
    availability_zone: str
    linked: bool
    leaving: bool


@dataclass(slots=True, kw_only=True, frozen=True)
class PeersChanged:
    """To ``backends``, ``bookings``, ``configuration``, ``front``, ``admin``: known instances."""

    peers: tuple[PeerInfo, ...]


@dataclass(slots=True, kw_only=True, frozen=True)
class PeerFrame:
    """From ``peers`` to the service that handles the frame's type."""

    instance: str
    type: str
    fields: dict[str, Any]


@dataclass(slots=True, kw_only=True, frozen=True)
class SendToPeer:
    """To ``peers``: send a frame to one instance, or to all linked ones if it is None.

    A frame to an instance without a link is dropped; the sender has its own timeout.
    """

    instance: str | None
    type: str
    fields: dict[str, Any]


@dataclass(slots=True, kw_only=True, frozen=True)
class ReadinessChanged:
    """To ``admin`` and ``front``: whether a part is ready for requests, and if not, why."""

    part: str
    ready: bool
    reason: str


@dataclass(slots=True, kw_only=True, frozen=True)
class CeilingsChanged:
    """To ``backends``: how many connections may be open to each backend server.

    ``backends`` applies it at once and answers with ``ConnectionsOpen``. A server that is not in
    ``ceilings`` keeps its ceiling.
    """

    revision: int
    ceilings: dict[str, int]


@dataclass(slots=True, kw_only=True, frozen=True)
class ConnectionsOpen:
    """To ``membership``: open connections by backend server, after they or the ceilings changed.

    ``revision`` is that of the last applied ``CeilingsChanged``. Connections freed by a lower
    ceiling go to other instances only after this confirmation.
    """

    revision: int
    connections: dict[str, int]


@dataclass(slots=True, kw_only=True, frozen=True)
class StoreContacted:
    """To ``membership``: the key-value service answered."""


@dataclass(slots=True, kw_only=True, frozen=True)
class MemberUse:
    """To ``membership``: the use by service and member, which heartbeats carry to the peers."""

    use: dict[str, dict[str, float]]


@dataclass(slots=True, kw_only=True, frozen=True)
class PeerAddressesChanged:
    """To ``peers``: the addresses, by name, of all other instances to connect to."""

    addresses: dict[str, str]


@dataclass(slots=True, kw_only=True, frozen=True)
class LinkChanged:
    """To ``membership``: the link to an instance came up or went down."""

    instance: str
    incarnation: str
    linked: bool
