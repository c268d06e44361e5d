"""Interfaces between the gateway and its platform: the store, backend servers and callers."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from msgspec import Struct

from azurefield.coordinators import InstanceProfile
from azurefield.crash_evidence import CrashReport, digest_of
from azurefield.directory import RegisteredServer
from azurefield.issuer_slots import SlotKey
from azurefield.routes import RouteTable
from azurefield.server_limits import NO_LIMIT
from azurefield.server_load import ServerLoad
from azurefield.workspaces import Workspace
from azurefield_platform.failures import InvalidCall

if TYPE_CHECKING:
    from aiohttp.web import BaseRequest, Response
    from result import Result

    from azurefield.failures import LeafFailure, RequestFailure
    from azurefield.merge import MergedParts
    from azurefield_platform.failures import (
        MalformedReply,
        PlatformUnavailable,
        ReplyLost,
    )

Headers = tuple[tuple[str, str], ...]


@dataclass(slots=True, kw_only=True, frozen=True)
class CallerKey:
    """What a caller says of its identity; it is never logged.

    It is passed on, as ordinary headers, only while the configuration has no workspaces.

    :param value: the key of a workspace; None if the caller sent none, or two different ones
    :param headers: the headers that it was taken from, and those in which the caller named a
        workspace itself
    """

    value: str | None = field(repr=False)
    headers: Headers = field(default=(), repr=False)


class GatewayRequest(Struct, kw_only=True, frozen=True):
    """A caller's whole request; times are those of the event loop's clock.

    :param target: path and query as received
    :param headers: without hop-by-hop headers, which concern only one connection, and without
        those of ``caller_key``
    :param deadline: when the caller stops waiting; None if it gave no deadline
    :param stops_at: when this instance stops and ends the request; None while no stop is near
    :param attempts_used: attempts that earlier runs for the same caller may have made on a service
    :param workspace: the workspace of the caller's key; None on routes that need no key, and while
        the configuration has no workspaces
    :param caller_key: None if the caller sent no such header, and once the request is admitted
    """

    request_id: str
    method: str
    host: str
    target: str
    headers: Headers
    body: bytes
    arrived_at: float
    deadline: float | None
    stops_at: float | None = None
    attempts_used: int = 0
    workspace: Workspace | None = None
    caller_key: CallerKey | None = None

    @property
    def content_digest(self) -> str:
        """Identifies the content and the workspace of the request, whatever its request id."""
        workspace = () if self.workspace is None else (self.workspace.name,)
        return digest_of(self.method, self.host, self.target, self.body, *workspace)

    @property
    def workspace_name(self) -> str:
        """The name of the workspace for the log; ``-`` if there is none."""
        return "-" if self.workspace is None else self.workspace.name

    def deadline_on(self, timeout_s: float) -> float:
        """Return when the request has to end on a route with a timeout."""
        deadline = self.arrived_at + timeout_s
        return deadline if self.deadline is None else min(deadline, self.deadline)


class OpaqueAnswer(Struct, kw_only=True, frozen=True):
    """A backend server's whole answer; the gateway does not interpret its body.

    :param proof: proves to the caller which server answered which request; None if missing
    :param limit_per_s: requests per second that the server takes from all instances together;
        ``NO_LIMIT`` if the answer names no limit, None if what it names is unreadable
    :param load: the load that the server reported; None without a readable report
    """

    status: int
    headers: Headers
    body: bytes
    proof: str | None
    limit_per_s: float | None = NO_LIMIT
    load: ServerLoad | None = None

    @property
    def success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300


class LeafCall(Struct, kw_only=True, frozen=True):
    """One call to a backend server; no other server may run it."""

    request: GatewayRequest
    server: str
    deadline: float


class LeafConnection(Protocol):
    """One connection to a backend server, for one call at a time.

    :param bytes_exchanged: what all its calls have sent and received
    """

    idle_since: float
    bytes_exchanged: int

    @property
    def usable(self) -> bool:
        """Whether another call may be sent."""

    async def open(self) -> bool:
        """Connect unless that was done before; return whether a call can be sent at once."""

    async def exchange(self, call: LeafCall) -> Result[OpaqueAnswer, LeafFailure]:
        """Send a call, connecting first if needed, and wait for its whole answer.

        Cancelling it closes the connection.
        """

    async def close(self) -> None:
        """Close the connection at once."""


class LeafDialect(Protocol):
    """Wire format of calls to backend servers and of their answers."""

    def encode(self, call: LeafCall, now: float) -> tuple[bytes, ...]:
        """Encode the whole request, in parts; the body is one of them and not copied."""

    def decode(
        self, call: LeafCall, status: int, headers: Headers, body: bytes, *, reused: bool
    ) -> Result[OpaqueAnswer, LeafFailure] | None:
        """Decode a whole answer; None if it belongs to another request.

        :param reused: whether an earlier call used the connection; an answer that does not name
            its request then belongs to none, since the answers before it have named theirs
        """

    def names_request(self, headers: Headers) -> bool:
        """Whether an answer names the request that it belongs to.

        Behind one that does not, a late copy of it can't be told from the next answer.
        """


class CallerDialect(Protocol):
    """Wire format of callers' requests and of the answers to them."""

    def parse_request(
        self, request: BaseRequest, body: bytes, now: float
    ) -> Result[GatewayRequest, RequestFailure]:
        """Translate a caller's request that was received completely."""

    def build_response(
        self, result: Result[OpaqueAnswer | MergedParts, RequestFailure]
    ) -> Response:
        """Build the answer to a caller."""


class InstanceEntry(Struct, kw_only=True, frozen=True):
    """The store entry of a running instance.

    :param relay_address: ``host:port`` where it relays changes of the store; None if it does not
    :param coordinator_address: ``host:port`` where it accepts forwarded requests; None if it does
        not
    :param capacity: its processor capacity in cores
    """

    instance: str
    availability_zone: str = ""
    relay_address: str | None = None
    coordinator_address: str | None = None
    capacity: float = 0.0

    @property
    def profile(self) -> InstanceProfile:
        """What the choice of coordinators needs of the entry."""
        return InstanceProfile(
            instance=self.instance,
            availability_zone=self.availability_zone,
            capacity=self.capacity,
            coordinator_address=self.coordinator_address,
        )


class CrashReportEntry(Struct, kw_only=True, frozen=True):
    """A crash report of any instance."""

    report: CrashReport


class EvacuatedZone(Struct, kw_only=True, frozen=True):
    """The operator's request to use no server of an availability zone until it is removed."""

    zone: str


Item = RouteTable | RegisteredServer | InstanceEntry | CrashReportEntry | SlotKey | EvacuatedZone


class Removed(Struct, kw_only=True, frozen=True):
    """A removed key of the store; ``key`` is None if it does not concern the gateway."""

    key: ItemKey | None


class ServerKey(Struct, kw_only=True, frozen=True):
    """Key of a backend server's entry."""

    server: str


class InstanceKey(Struct, kw_only=True, frozen=True):
    """Key of an instance's entry."""

    instance: str


class SlotName(Struct, kw_only=True, frozen=True):
    """Key of an issuer slot."""

    slot: int


class EvacuationKey(Struct, kw_only=True, frozen=True):
    """Key of the request to evacuate an availability zone."""

    zone: str


ItemKey = ServerKey | InstanceKey | SlotName | EvacuationKey


class Listing(Struct, kw_only=True, frozen=True):
    """All items of the store that concern the gateway, as of ``revision`` or later.

    :param era: rises when the store is restored from a copy; None if the store names none
    """

    items: tuple[Item, ...]
    revision: int
    era: int | None = None


class Changes(Struct, kw_only=True, frozen=True):
    """What changed in the store, in order, up to ``revision``.

    :param encoded: the changes without keys of workspaces, for ``decode_changes`` of instances that
        follow this one; empty if there are none
    :param era: rises when the store is restored from a copy; None if the store names none
    """

    items: tuple[Item | Removed, ...]
    revision: int
    encoded: bytes = b""
    era: int | None = None


class HistoryLost(Struct, kw_only=True, frozen=True):
    """The store no longer has all changes after the requested revision."""


class Lease(Struct, kw_only=True, frozen=True):
    """A lease of the store; its number means another lease in another era.

    :param era: the store's era when it was granted; None if the store names none
    :param length_s: the length that applies; None if it is the requested one
    """

    number: int
    era: int | None = None
    length_s: float | None = None


class LeaseEnded(Struct, kw_only=True, frozen=True):
    """The lease of an entry has ended, or the store has lost it."""


class KeyChanged(InvalidCall, kw_only=True, frozen=True):
    """A conditional write was not applied, as the key has another revision."""


class MetadataStore(Protocol):
    """The platform's store, in the gateway's terms."""

    def use_address(self, address: str) -> None:
        """Send further calls to another ``host:port``."""

    async def list_all(
        self,
    ) -> Result[Listing, PlatformUnavailable | MalformedReply | InvalidCall]:
        """Read everything."""

    async def watch(
        self, after: int, wait_s: float
    ) -> Result[Changes, HistoryLost | PlatformUnavailable | MalformedReply | InvalidCall]:
        """Wait up to ``wait_s`` for changes after a revision; return none if there were none."""

    def decode_changes(self, encoded: bytes) -> Result[Changes, MalformedReply]:
        """Decode changes that a relay forwarded; one of an earlier version may send keys."""

    async def new_lease(
        self, ttl_s: float
    ) -> Result[Lease, PlatformUnavailable | ReplyLost | InvalidCall]:
        """Create a lease."""

    async def renew_lease(
        self, lease: Lease
    ) -> Result[None, LeaseEnded | PlatformUnavailable | ReplyLost | InvalidCall]:
        """Renew a lease."""

    async def put(
        self,
        entry: InstanceEntry | CrashReportEntry | SlotKey,
        lease: Lease,
        revision: int | None = None,
    ) -> Result[None, LeaseEnded | PlatformUnavailable | ReplyLost | InvalidCall]:
        """Write an entry; the store removes it when its lease ends.

        :param revision: the revision that the key must have, 0 if it must not exist; None for any
        """
