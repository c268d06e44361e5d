"""Plans requests: shards, deadlines, hedging and the budget of further calls."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from msgspec import Struct, field

from azurefield.directory import Directory
from azurefield.hedging import HedgePolicy, LeafLatencies, NoHedging, SharedDelayHedging
from azurefield.merge import TopRecordsMerge
from azurefield.model import Snapshot
from azurefield.query import FanOut
from azurefield.residency import AllowedHolders, Residency
from azurefield.retry import WindowedBudget
from azurefield.routes import ShardSet, WeightedRoundRobin, WeightedServices
from azurefield.routing import Router
from azurefield.server_limits import RouteServerLimits, ServerLimits
from azurefield_entry.gateway import policies
from azurefield_entry.gateway.requests.answers import PassThrough, ShardMerge

if TYPE_CHECKING:
    from azurefield.routes import Route, RouteTable
    from azurefield.server_choice import Holders
    from azurefield_entry.gateway.ports import GatewayRequest


class RequestPlanner(Struct, kw_only=True):
    """Builds the fan-out of each request from the policies that all requests share."""

    directory: Directory
    router: Router
    budget: WindowedBudget
    residency: Residency = field(default_factory=Residency)
    limits: ServerLimits = field(default_factory=ServerLimits)
    weighted_round_robin: WeightedRoundRobin = field(default_factory=WeightedRoundRobin)
    hedging: dict[str, SharedDelayHedging] = field(default_factory=dict)
    request_count: int = 0

    def retain_only(self, table: RouteTable) -> None:
        """Drop the state of routes and services that are not in the table."""
        routes = frozenset(route.name for route in table.routes)
        self.weighted_round_robin.retain_only(routes)
        self.hedging = {name: entry for name, entry in self.hedging.items() if name in routes}
        self.budget.retain_only(
            frozenset(service for route in table.routes for service in route.services)
        )

    def tick(self, now: float, table: RouteTable) -> None:
        """Adjust the hedge quantile of each route to the budget."""
        for route in table.routes:
            hedging = self.hedging.get(route.name)
            if hedging is not None:
                hedging.latencies.quantile = self.hedge_quantile(now, route)

    def hedge_quantile(self, now: float, route: Route) -> float:
        """Return the latency quantile beyond which the budget can pay for hedges."""
        share = policies.HEDGE_BUDGET_FRACTION * self.budget.share(now, route.services)
        return max(policies.HEDGE_QUANTILE_MIN, 1.0 - share)

    def fan_out(
        self,
        now: float,
        request: GatewayRequest,
        route: Route,
        version: int,
        *,
        suspect: bool = False,
    ) -> FanOut[Any, Any]:
        """Build the fan-out of a request.

        :param suspect: whether servers may end under it, so that it gets one attempt and no hedges
        """
        self.request_count += 1
        services = route.services
        if isinstance(route.target, WeightedServices):
            chosen = self.weighted_round_robin.choose(route.name, route.target.weights)
            services = () if chosen is None else (chosen,)
        hedging = NoHedging() if suspect else self.route_hedging(now, route)
        return self.build(request, route, version, services, hedging, suspect=suspect)

    def preview(
        self,
        request: GatewayRequest,
        route: Route,
        version: int,
        *,
        suspect: bool = False,
    ) -> FanOut[Any, Any]:
        """Build what ``fan_out`` would build next, without hedges; changes nothing."""
        services = route.services
        if isinstance(route.target, WeightedServices):
            following = self.weighted_round_robin.next(route.name, route.target.weights)
            services = () if following is None else (following,)
        return self.build(request, route, version, services, NoHedging(), suspect=suspect)

    def build(
        self,
        request: GatewayRequest,
        route: Route,
        version: int,
        services: tuple[str, ...],
        hedging: HedgePolicy,
        *,
        suspect: bool,
    ) -> FanOut[Any, Any]:
        """Build the fan-out of a request over some services; changes nothing."""
        deadline = request.arrived_at + route.timeout_s
        if request.deadline is not None:
            deadline = min(deadline, request.deadline - policies.CALLER_TRANSIT_S)
        answer_by = None
        if route.goal_s is not None:
            answer_by = request.arrived_at + max(0.0, route.goal_s - policies.CALLER_TRANSIT_S)
        options: dict[str, Any] = {
            "request_id": f"{request.request_id}.{self.request_count}",
            "snapshot": Snapshot(index_version=version, map_version=version),
            "deadline": deadline,
            "holders": self.holders(route),
            "router": self.router,
            "hedging": hedging,
            "retries": self.budget,
            "idempotent": route.idempotent,
            "limits": RouteServerLimits(limits=self.limits, priority=route.priority),
            "attempts_max": 1 if suspect else attempts_left(request, route),
            "answer_by": answer_by,
        }
        if answer_by is not None and isinstance(route.target, ShardSet):
            extra_s = policies.FIRST_DEADLINE_EXTRA_FRACTION * (answer_by - request.arrived_at)
            options["first_deadline"] = answer_by + extra_s
        if not isinstance(route.target, ShardSet):
            return FanOut(leafs=services, merge=PassThrough(), **options)
        top_records = TopRecordsMerge(
            top=route.target.top,
            coverage_min=route.target.coverage_min,
            record_bytes=policies.RECORD_BYTES,
        )
        return FanOut(leafs=services, merge=ShardMerge(top_records=top_records), **options)

    def holders(self, route: Route) -> Holders:
        """Return the servers that requests of a route may use."""
        if route.allowed_regions is None:
            return self.directory
        return AllowedHolders(
            directory=self.directory, residency=self.residency, allowed=route.allowed_regions
        )

    def route_hedging(self, now: float, route: Route) -> SharedDelayHedging:
        """Return the hedge policy of a route, made on first use."""
        known = self.hedging.get(route.name)
        if known is None:
            quantile = self.hedge_quantile(now, route)
            latencies = LeafLatencies(quantile=quantile, recent_calls=policies.HEDGE_RECENT_CALLS)
            goal_s = route.goal_s
            known = SharedDelayHedging(
                latencies=latencies,
                budget=self.budget,
                initial_delay_s=(
                    None if goal_s is None else policies.INITIAL_HEDGE_DELAY_FRACTION * goal_s
                ),
            )
            self.hedging[route.name] = known
        return known


def attempts_left(request: GatewayRequest, route: Route) -> int | None:
    """Return on how many servers of a service a request may still run; None for no limit."""
    return None if route.attempts_max is None else route.attempts_max - request.attempts_used
