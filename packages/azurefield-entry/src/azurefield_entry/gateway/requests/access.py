"""Finds the route and the workspace of each request, where a caller's request arrives."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from logbook import Logger
from msgspec import Struct
from msgspec.structs import replace
from result import Err, Ok, Result

from azurefield.failures import FailureKind, RequestFailure
from azurefield.model import Outcome
from azurefield.routes import Route
from azurefield.workspaces import Workspace
from azurefield_entry.clock import now
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.ports import GatewayRequest
from azurefield_entry.gateway.requests.edge import EdgeService
from azurefield_entry.gateway.requests.outcomes import refusal
from azurefield_entry.gateway.requests.workspace_results import WorkspaceResults
from azurefield_entry.log_limit import LineLimit

if TYPE_CHECKING:
    from azurefield.routes import RouteTable
    from azurefield.workspaces import WorkspaceKeys

# While the store was last heard of longer ago than this, an unknown key may be a new one. In calm,
# a watch of the store returns after 2.5 s at the latest.
KEYS_STALE_S = 4.0
# Log lines for requests without a known key.
REFUSED_LINES_PER_S = 10.0
log = Logger("gateway")


class LookupResult(StrEnum):
    """How the look-up of a request's key ended."""

    FOUND = "found"
    PUBLIC = "public"
    MISSING = "missing"
    UNKNOWN = "unknown"
    STALE = "stale"


class KeyLookup(Struct, kw_only=True, frozen=True):
    """The look-up of a request's key.

    :param workspace: set only if the key was found
    """

    result: LookupResult
    workspace: Workspace | None = None

    @property
    def admits(self) -> bool:
        """Whether the request may run."""
        return self.result in (LookupResult.FOUND, LookupResult.PUBLIC)


class AdmittedRequest(Struct, kw_only=True, frozen=True):
    """A request with its route and its workspace, all of one version.

    :param route: with the priority of the workspace's requests
    """

    request: GatewayRequest
    route: Route
    version: int


@dataclass(slots=True, kw_only=True)
class RequestAccess:
    """Admits the requests that match a route and, where it needs one, have a workspace's key.

    Keys go no further than this class: an admitted request has its workspace instead.

    :param store_age_s: returns the time since the store last answered
    :param edge: refuses requests while this process is too busy for them
    """

    metrics: GatewayMetrics
    store_age_s: Callable[[], float]
    results: WorkspaceResults = field(init=False)
    edge: EdgeService = field(init=False)
    refused_lines: LineLimit = field(
        default_factory=lambda: LineLimit(lines_per_s=REFUSED_LINES_PER_S)
    )

    def __post_init__(self) -> None:
        self.results = WorkspaceResults(metrics=self.metrics)
        self.edge = EdgeService(metrics=self.metrics)

    def admit(
        self, request: GatewayRequest, table: RouteTable | None
    ) -> Result[AdmittedRequest, RequestFailure]:
        """Find the route and the workspace of a caller's request.

        :param table: None until both a configuration and a listing of the servers are known
        """
        match find_route(request, table):
            case Err(failure):
                return Err(failure)
            case Ok((table, route)):
                pass
        if table.workspaces is None:
            return Ok(admitted(pass_identity_on(request), route, table, None))
        lookup = self.look_up(request, route, table.workspaces)
        self.metrics.key_lookups.labels(lookup.result).inc()
        if lookup.admits:
            return self.admit_unless_busy(admitted(request, route, table, lookup.workspace))
        self.log_refused(request, route, table.version, lookup.result)
        return Err(key_failure(lookup.result))

    def admit_unless_busy(self, found: AdmittedRequest) -> Result[AdmittedRequest, RequestFailure]:
        """Admit a request unless this process is too busy for it."""
        refused = self.edge.refuse(found.request, found.route)
        if refused is None:
            return Ok(found)
        self.results.record(found.request.workspace, Err(refused))
        return Err(refused)

    def look_up(
        self, request: GatewayRequest, route: Route, workspaces: WorkspaceKeys
    ) -> KeyLookup:
        """Look the key of a request up; on public routes it does not matter."""
        if route.public:
            return KeyLookup(result=LookupResult.PUBLIC)
        key = None if request.caller_key is None else request.caller_key.value
        if not key:
            return KeyLookup(result=LookupResult.MISSING)
        workspace = workspaces.find(key)
        if workspace is not None:
            return KeyLookup(result=LookupResult.FOUND, workspace=workspace)
        return KeyLookup(result=self.unmatched_result())

    def unmatched_result(self) -> LookupResult:
        """Return the result for a key that no workspace has, by the age of what is known."""
        stale = self.store_age_s() > KEYS_STALE_S
        return LookupResult.STALE if stale else LookupResult.UNKNOWN

    def preview(
        self, request: GatewayRequest, table: RouteTable | None, workspace: str | None
    ) -> Result[AdmittedRequest, RequestFailure]:
        """Decide as ``admit`` would for a key of a workspace; counts and logs nothing.

        :param workspace: its name; None for a request without a key
        """
        match find_route(request, table):
            case Err(failure):
                return Err(failure)
            case Ok((table, route)):
                pass
        if table.workspaces is None or route.public:
            return Ok(admitted(request, route, table, None))
        if workspace is None:
            return Err(key_failure(LookupResult.MISSING))
        found = table.workspaces.by_name.get(workspace)
        if found is None:
            return Err(key_failure(self.unmatched_result()))
        return Ok(admitted(request, route, table, found))

    def readmit(
        self, request: GatewayRequest, table: RouteTable | None
    ) -> Result[AdmittedRequest, RequestFailure]:
        """Find the route of a request that another instance has admitted and forwarded.

        Its workspace is found by name. It is refused as not run if the version in force here would
        not have admitted it.
        """
        if table is None:
            return Err(no_configuration_failure())
        route = table.match(request.host, request.target)
        if route is None:
            return Err(refusal(FailureKind.NOT_READY, "no route of the coordinator matches"))
        keys = None if route.public else table.workspaces
        named = request.workspace
        workspace = None if keys is None or named is None else keys.by_name.get(named.name)
        if workspace is None and (keys is not None or named is not None):
            return Err(refusal(FailureKind.NOT_READY, "no workspace of the coordinator matches"))
        return Ok(admitted(request, route, table, workspace))

    def log_refused(
        self, request: GatewayRequest, route: Route, version: int, result: LookupResult
    ) -> None:
        """Log a request without a known key; a flood of them gets few lines."""
        if self.refused_lines.allow(now()):
            log.info(
                "Request id={} route={} version={} is refused: key {}, store_age_ms={:.0f}.",
                request.request_id,
                route.name,
                version,
                result,
                self.store_age_s() * 1000,
            )


def find_route(
    request: GatewayRequest, table: RouteTable | None
) -> Result[tuple[RouteTable, Route], RequestFailure]:
    """Find the route of a request, and return it with its table."""
    if table is None:
        return Err(no_configuration_failure())
    route = table.match(request.host, request.target)
    return Err(no_route_failure(table.version)) if route is None else Ok((table, route))


def admitted(
    request: GatewayRequest, route: Route, table: RouteTable, workspace: Workspace | None
) -> AdmittedRequest:
    """Build an admitted request, which has its workspace and no key."""
    if workspace is not request.workspace or request.caller_key is not None:
        request = replace(request, workspace=workspace, caller_key=None)
    return AdmittedRequest(
        request=request, route=table.for_workspace(route, workspace), version=table.version
    )


def pass_identity_on(request: GatewayRequest) -> GatewayRequest:
    """Return a request with all its headers, for a version without workspaces."""
    if request.caller_key is None:
        return request
    return replace(request, headers=request.headers + request.caller_key.headers, caller_key=None)


def no_configuration_failure() -> RequestFailure:
    """Build the failure of a request that arrives before the first configuration."""
    return refusal(FailureKind.NOT_READY, "no configuration has been loaded yet")


def no_route_failure(version: int) -> RequestFailure:
    """Build the failure of a request that matches no route."""
    return RequestFailure(
        kind=FailureKind.UNKNOWN_SERVICE,
        outcome=Outcome.NOT_RUN,
        detail=f"no route of configuration version {version} matches",
    )


def key_failure(result: LookupResult) -> RequestFailure:
    """Build the failure of a request without a known key; it shows nothing of what was sent."""
    if result is LookupResult.STALE:
        return refusal(FailureKind.NOT_READY, "the key may be newer than this instance knows")
    return RequestFailure(
        kind=FailureKind.UNAUTHORIZED,
        outcome=Outcome.NOT_RUN,
        detail="the key is missing or unknown",
    )
