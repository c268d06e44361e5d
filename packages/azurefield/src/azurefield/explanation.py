"""What an instance answers to the question where a request would go now, and why.

The types are the wire format of the endpoint ``EXPLAIN_PATH`` in JSON. Times are in milliseconds
from the moment of the answer.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Annotated

import msgspec
from msgspec import Struct
from msgspec.structs import fields
from result import Err, Ok, Result

from azurefield.crash_evidence import Standing
from azurefield.failures import FailureKind

if TYPE_CHECKING:
    from collections.abc import Mapping

EXPLAIN_PATH = "/v1/explain"
HTTP_METHOD = r"^[A-Za-z]{1,32}$"


class ExplainQuery(Struct, kw_only=True, frozen=True):
    """The request that is asked about.

    :param path: path and query
    :param workspace: the name of its workspace; None for a request without a key
    :param body_bytes: the size of its body
    :param digest: the digest of its content in the log; None for a request without a body
    """

    host: str
    path: Annotated[str, msgspec.Meta(pattern="^/")]
    method: Annotated[str, msgspec.Meta(pattern=HTTP_METHOD)] = "GET"
    workspace: str | None = None
    body_bytes: Annotated[int, msgspec.Meta(ge=0)] = 0
    digest: str | None = None

    @classmethod
    def parse(cls, parameters: Mapping[str, str]) -> Result[ExplainQuery, str]:
        """Read the parameters of a URL.

        :return: a text that says what is wrong and repeats no value

        >>> ExplainQuery.parse({"host": "a", "path": "/x"}).unwrap().method
        'GET'
        >>> ExplainQuery.parse({"host": "a", "path": "/x", "body_bytes": "-1"}).unwrap_err()
        'Expected `int` >= 0 - at `$.body_bytes`'
        """
        known = {entry.name for entry in fields(cls)}
        if not parameters.keys() <= known:
            return Err(f"the parameters are {', '.join(sorted(known))}")
        try:
            return Ok(msgspec.convert(dict(parameters), cls, strict=False))
        except msgspec.ValidationError as error:
            return Err(str(error))


class Place(StrEnum):
    """Where a request would run; ``NOWHERE`` if it would be refused."""

    HERE = "here"
    COORDINATOR = "coordinator"
    OTHER_INSTANCE = "other-instance"
    NOWHERE = "nowhere"


class ExpectedRefusal(Struct, kw_only=True, frozen=True):
    """Why a request would be refused now.

    :param retry_after_ms: when it may be sent again; None if that is useless, or not known
    """

    kind: FailureKind
    detail: str
    retry_after_ms: float | None = None


class MatchedRoute(Struct, kw_only=True, frozen=True):
    """The route of a request.

    :param needs_key: whether requests need the key of a workspace; not on public routes, nor while
        the configuration has no workspaces
    :param priority: priority of the route, 0 first
    :param allowed_regions: where its requests may run, also by their workspace; None for anywhere
    """

    name: str
    host: str
    prefix: str
    public: bool
    needs_key: bool
    idempotent: bool
    timeout_ms: float
    goal_ms: float | None
    attempts_max: int
    priority: int
    allowed_regions: tuple[str, ...] | None = None


class QuotaShare(Struct, kw_only=True, frozen=True):
    """One share of a workspace's quota.

    :param issuer: the instance that issues it; None if none is known
    :param asked: whether the request would ask it, unless an earlier share grants a token
    :param denied_for_ms: how long no token is expected
    :param silent: whether the issuer did not reply in time lately, so that it is asked last
    :param tokens: the requests that are left; None if another instance issues the share
    """

    slot: int
    issuer: str | None
    asked: bool
    denied_for_ms: float
    silent: bool
    tokens: float | None


class MatchedWorkspace(Struct, kw_only=True, frozen=True):
    """The workspace of a request.

    :param priority: decides before the priority of the route; None to keep that one
    :param rate_per_s: rate of its quota; None without a quota
    :param shares: those that would be asked come first, in this order
    """

    name: str
    priority: int | None
    rate_per_s: float | None
    burst: float | None
    shares: tuple[QuotaShare, ...] = ()


class ObstacleReason(StrEnum):
    """What speaks against a candidate."""

    LEAVING = "leaving"
    MISDIRECTED = "another-server-at-its-address"
    EVACUATED = "zone-evacuated"
    OUTSIDE_REGIONS = "outside-allowed-regions"
    EJECTED = "ejected"
    BACKOFF = "backoff-after-failure"
    STALLED = "stalled"
    NO_TOKEN = "no-token-expected"
    NO_FREE_CONNECTION = "no-free-connection"
    SILENT = "silent"
    REFUSED = "has-refused"
    LATE = "late"
    FARTHER = "nearer-coordinators-first"


class Obstacle(Struct, kw_only=True, frozen=True):
    """One reason against a candidate.

    :param for_ms: how long it lasts; None if that is not known
    """

    reason: ObstacleReason
    for_ms: float | None = None


class InstanceCandidate(Struct, kw_only=True, frozen=True):
    """An instance that could run the request.

    :param may_be_chosen: whether the first attempt may go there
    :param outstanding: requests of this instance that it is running
    :param expected_ms: expected time to a result, by which candidates are compared
    """

    instance: str
    availability_zone: str
    other_zone: bool
    may_be_chosen: bool
    against: tuple[Obstacle, ...]
    outstanding: int
    expected_ms: float


class ConnectionCounts(Struct, kw_only=True, frozen=True):
    """The connections of this instance to one server.

    :param idle: those that are free
    :param ceiling: how many may be open
    :param waiting: calls that wait for one
    """

    open: int
    idle: int
    ceiling: int
    waiting: int


class ServerCandidate(Struct, kw_only=True, frozen=True):
    """A backend server that could run a call of the request.

    :param may_be_chosen: whether the first call may go there
    :param outstanding: calls of this instance that have not ended
    :param latency_ms: average of the answers; None if there is none
    :param failed_fraction: recent fraction of calls that failed
    :param penalty_ms: what is added for another zone
    :param expected_ms: expected wait with the penalty, by which candidates are compared
    :param share: the share of its usual calls that it gets while it rises; 1 else
    :param warmup_limit_per_s: calls per second from all instances while it warms up; None for any
    :param named_limit_per_s: limit that its answers name, for all instances; None for none
    """

    server: str
    availability_zone: str
    other_zone: bool
    may_be_chosen: bool
    against: tuple[Obstacle, ...]
    outstanding: int
    latency_ms: float | None
    failed_fraction: float
    penalty_ms: float
    expected_ms: float
    share: float
    warmup_limit_per_s: float | None
    named_limit_per_s: float | None
    connections: ConnectionCounts


class ServiceCandidates(Struct, kw_only=True, frozen=True):
    """The servers of one service, or of one shard, the best first.

    :param called: whether the request would call it; of weighted services, it calls the next one
    :param usable: how many servers may get calls
    :param left_out: how many servers are not listed
    """

    service: str
    called: bool
    usable: int
    servers: tuple[ServerCandidate, ...]
    left_out: int


class ForwardedRequests(Struct, kw_only=True, frozen=True):
    """What this instance would reply if another one forwarded the request to it.

    :param refusal: None if it would accept
    """

    refusal: str | None


class Explanation(Struct, kw_only=True, frozen=True):
    """Where a request would go, as one instance decides now.

    :param version: the version of the configuration in which route, workspace and rank were found;
        None if there is none
    :param store_age_ms: time since the store last answered; None if it never did
    :param draining: whether a planned stop has begun
    :param rank: the combined priority of workspace and route, 0 first
    :param standing: how the request may run after ends of servers under it; None if it is not
        known, for a body without a digest
    :param own_fraction: the fraction of requests that this instance does not pass on; below 1 in
        and after a partition from all servers
    :param coordinator_zones: the zones whose coordinators run the route; empty if each instance
        runs it itself
    :param instances: coordinators, or other instances to which the request may be passed on
    :param services_left_out: how many services are not listed
    :param forwarded: None if this instance takes no forwarded requests
    """

    instance: str
    availability_zone: str
    version: int | None
    store_age_ms: float | None
    draining: bool
    place: Place
    refusal: ExpectedRefusal | None = None
    route: MatchedRoute | None = None
    workspace: MatchedWorkspace | None = None
    rank: int | None = None
    standing: Standing | None = None
    own_fraction: float = 1.0
    coordinator_zones: tuple[str, ...] = ()
    instances: tuple[InstanceCandidate, ...] = ()
    instances_left_out: int = 0
    services: tuple[ServiceCandidates, ...] = ()
    services_left_out: int = 0
    forwarded: ForwardedRequests | None = None
