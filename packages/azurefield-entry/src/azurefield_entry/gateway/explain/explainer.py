"""Explains where a request would go by the decisions that it would meet, in their order."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from math import isfinite
from typing import TYPE_CHECKING

from msgspec.structs import replace
from result import Err, Ok

from azurefield.crash_evidence import Standing
from azurefield.explanation import (
    ExpectedRefusal,
    Explanation,
    ForwardedRequests,
    InstanceCandidate,
    MatchedRoute,
    MatchedWorkspace,
    Place,
    QuotaShare,
)
from azurefield.query_actions import Finished
from azurefield_entry.callers.refusals import body_too_large, too_much_memory
from azurefield_entry.clock import now
from azurefield_entry.gateway.callers.front import GatewayFront
from azurefield_entry.gateway.explain.instances import InstanceExplainer
from azurefield_entry.gateway.explain.servers import ServerExplainer, milliseconds
from azurefield_entry.gateway.peers.coordinator import CoordinatorService
from azurefield_entry.gateway.ports import GatewayRequest
from azurefield_entry.gateway.quotas.workspace_quotas import expected_refusal
from azurefield_entry.gateway.requests.dispatch import may_outlast_stop, shutting_down_failure
from azurefield_entry.gateway.requests.outcomes import (
    crashing_request_failure,
    no_allowed_server_failure,
    no_server_reachable_failure,
)
from azurefield_entry.gateway.service import GatewayService

if TYPE_CHECKING:
    from typing import Any

    from azurefield.explanation import ExplainQuery
    from azurefield.failures import RequestFailure
    from azurefield.query import FanOut
    from azurefield.routes import Route, RouteTable
    from azurefield.workspaces import Workspace
    from azurefield_entry.gateway.quotas.workspace_quotas import SharePreview
    from azurefield_entry.gateway.requests.access import AdmittedRequest

INSTANCES_LISTED_MAX = 20


@dataclass(slots=True, kw_only=True)
class RequestExplainer:
    """Explains requests by the state of this process; changes nothing and sends nothing.

    :param coordinator: None if this instance takes no forwarded requests
    :param turn: lets one explanation be built at a time
    """

    gateway: GatewayService
    front: GatewayFront
    coordinator: CoordinatorService | None = None
    servers: ServerExplainer = field(init=False)
    instances: InstanceExplainer = field(init=False)
    turn: asyncio.Lock = field(default_factory=asyncio.Lock)

    def __post_init__(self) -> None:
        gateway = self.gateway
        self.servers = ServerExplainer(
            own_zone=gateway.availability_zone,
            directory=gateway.directory,
            router=gateway.router,
            connections=gateway.connections,
            quotas=gateway.quotas,
        )
        self.instances = InstanceExplainer(
            forwarding=gateway.forwarding, peers=gateway.dispatcher.peers
        )

    async def explain(self, query: ExplainQuery) -> Explanation:
        """Explain a request under the version of the configuration that is in force now."""
        async with self.turn:
            table = self.gateway.table if self.gateway.listing_received else None
            request = self.make_request(query)
            early = self.refuse_body(query, table)
            match self.gateway.access.preview(request, table, query.workspace):
                case Err(failure):
                    return self.describe(table, request, early or failure)
                case Ok(admitted):
                    described = self.describe(table, admitted.request, early)
                    return await self.explain_admitted(query, admitted, described)

    def make_request(self, query: ExplainQuery) -> GatewayRequest:
        """Build a request that arrives now, without a body."""
        return GatewayRequest(
            request_id="-",
            method=query.method.upper(),
            host=query.host,
            target=query.path,
            headers=(),
            body=b"",
            arrived_at=now(),
            deadline=None,
            stops_at=self.front.stops_at,
        )

    def refuse_body(self, query: ExplainQuery, table: RouteTable | None) -> RequestFailure | None:
        """Return why the body of a request would be refused; None if it would not."""
        limits = self.front.limits if table is None else table.limits
        if query.body_bytes > limits.body_bytes_max:
            return body_too_large(limits.body_bytes_max)
        return None if self.front.load.has_room(query.body_bytes) else too_much_memory()

    def describe(
        self, table: RouteTable | None, request: GatewayRequest, refusal: RequestFailure | None
    ) -> Explanation:
        """Describe this instance and the route of a request.

        :param refusal: why it would be refused; None if nothing speaks against it so far
        """
        gateway = self.gateway
        age_s = gateway.store_age_s()
        route = None if table is None else table.match(request.host, request.target)
        return Explanation(
            instance=gateway.instance,
            availability_zone=gateway.availability_zone,
            version=None if table is None else table.version,
            store_age_ms=milliseconds(age_s) if isfinite(age_s) else None,
            draining=self.front.draining,
            place=Place.NOWHERE,
            refusal=describe_refusal(refusal),
            route=None if route is None else describe_route(route, table),
            own_fraction=round(gateway.dispatcher.own_fraction(), 3),
        )

    async def explain_admitted(
        self, query: ExplainQuery, admitted: AdmittedRequest, described: Explanation
    ) -> Explanation:
        """Explain a request that has a route and a workspace.

        :param described: what is known of it so far
        """
        request, route, version = admitted.request, admitted.route, admitted.version
        standing = self.standing(query, request)
        shares = self.shares(request.workspace, version)
        fan_out = self.gateway.planner.preview(
            request, route, version, suspect=standing is Standing.SUSPECT
        )
        instances = self.instances.coordinators(route)
        place = Place.COORDINATOR if instances else Place.HERE
        if not instances and described.own_fraction < 1.0:
            instances = self.instances.other_instances(route)
            place = self.place_in_partition(instances)
        refusal = described.refusal or describe_refusal(
            self.gateway.access.edge.preview(request, route)
            or quota_refusal(request.workspace, shares)
            or self.dispatch_refusal(admitted, standing)
            or (self.run_refusal(fan_out) if place is Place.HERE else None)
        )
        zones = self.gateway.forwarding.zones_for(route) or ()
        matched = described.route
        explained = replace(
            described,
            route=(
                None if matched is None else replace(matched, allowed_regions=sorted_regions(route))
            ),
            place=place if refusal is None else Place.NOWHERE,
            refusal=refusal,
            workspace=describe_workspace(request.workspace, shares),
            rank=route.priority,
            standing=standing,
            coordinator_zones=tuple(sorted(zones)),
            instances=tuple(instances[:INSTANCES_LISTED_MAX]),
            instances_left_out=len(instances[INSTANCES_LISTED_MAX:]),
            forwarded=self.forwarded(admitted),
        )
        # Other tasks run from here on, and another version may come into force.
        services = await self.servers.explain(fan_out, route.services)
        left_out = len(route.services) - len(services)
        return replace(explained, services=services, services_left_out=left_out)

    def standing(self, query: ExplainQuery, request: GatewayRequest) -> Standing | None:
        """Return how a request may run after ends of servers; None if its content is unknown."""
        if query.digest is None and query.body_bytes:
            return None
        digest = request.content_digest if query.digest is None else query.digest
        return self.gateway.crash_watch.standing(digest)

    def shares(self, workspace: Workspace | None, version: int) -> list[SharePreview]:
        """List the shares of a workspace's quota; none without a quota."""
        if workspace is None or workspace.quota is None:
            return []
        return self.gateway.workspace_quotas.preview(workspace.name, workspace.quota, version)

    def place_in_partition(self, others: list[InstanceCandidate]) -> Place:
        """Return where a request runs while this instance passes some or all of them on."""
        passes_all_on = self.gateway.dispatcher.own_fraction() <= 0.0
        reachable = any(other.may_be_chosen for other in others)
        return Place.OTHER_INSTANCE if passes_all_on and reachable else Place.HERE

    def dispatch_refusal(
        self, admitted: AdmittedRequest, standing: Standing | None
    ) -> RequestFailure | None:
        """Return why a request would be refused wherever it runs; None if it would not."""
        if standing is Standing.REFUSED:
            return crashing_request_failure()
        if self.gateway.dispatcher.lacks_allowed_servers(admitted.route):
            return no_allowed_server_failure()
        outlasts = may_outlast_stop(admitted.request, admitted.route)
        return shutting_down_failure() if outlasts and not admitted.route.idempotent else None

    def run_refusal(self, fan_out: FanOut[Any, Any]) -> RequestFailure | None:
        """Return why a request that runs here would fail at once; None if it would be sent."""
        if self.gateway.dispatcher.reaches_no_server:
            return no_server_reachable_failure()
        at = now()
        if fan_out.reason_not_to_start(at) is None:
            return None
        # Calls nothing, since there is a reason not to, and ends with the failure.
        for action in fan_out.start(at):
            if isinstance(action, Finished) and isinstance(action.result, Err):
                return action.result.err_value
        return None

    def forwarded(self, admitted: AdmittedRequest) -> ForwardedRequests | None:
        """Return what this instance would reply to another one that forwards the request."""
        if self.coordinator is None:
            return None
        return ForwardedRequests(refusal=self.coordinator.preview(admitted))


def sorted_regions(route: Route) -> tuple[str, ...] | None:
    """Return the regions that a route allows, in order; None if it allows all."""
    return None if route.allowed_regions is None else tuple(sorted(route.allowed_regions))


def quota_refusal(workspace: Workspace | None, shares: list[SharePreview]) -> RequestFailure | None:
    """Return why the quota of a workspace would refuse a request; None if it may get a token."""
    if workspace is None or not shares:
        return None
    return expected_refusal(workspace.name, shares)


def describe_refusal(failure: RequestFailure | None) -> ExpectedRefusal | None:
    """Describe a failure for the answer."""
    if failure is None:
        return None
    retry_after_s = failure.retry_after_s
    return ExpectedRefusal(
        kind=failure.kind,
        detail=failure.detail,
        retry_after_ms=None if retry_after_s is None else milliseconds(retry_after_s),
    )


def describe_route(route: Route, table: RouteTable | None) -> MatchedRoute:
    """Describe a route for the answer."""
    return MatchedRoute(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        public=route.public,
        needs_key=table is not None and table.workspaces is not None and not route.public,
        idempotent=route.idempotent,
        timeout_ms=milliseconds(route.timeout_s),
        goal_ms=None if route.goal_s is None else milliseconds(route.goal_s),
        attempts_max=route.attempts_max,
        priority=route.priority,
        allowed_regions=sorted_regions(route),
    )


def describe_workspace(
    workspace: Workspace | None, shares: list[SharePreview]
) -> MatchedWorkspace | None:
    """Describe a workspace and the shares of its quota for the answer."""
    if workspace is None:
        return None
    quota = workspace.quota
    return MatchedWorkspace(
        name=workspace.name,
        priority=workspace.priority,
        rate_per_s=None if quota is None else quota.rate_per_s,
        burst=None if quota is None else quota.burst,
        shares=tuple(
            QuotaShare(
                slot=share.slot,
                issuer=share.holder,
                asked=share.denied_for_s <= 0.0,
                denied_for_ms=milliseconds(share.denied_for_s),
                silent=share.silent,
                tokens=None if share.tokens is None else round(share.tokens, 3),
            )
            for share in shares
        ),
    )
