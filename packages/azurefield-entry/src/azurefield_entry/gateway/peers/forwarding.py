"""Forwards requests to other instances: queries to coordinators, or all in a partition."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from functools import cache, partial
from typing import TYPE_CHECKING, TypeVar

from logbook import Logger
from msgspec import Struct
from result import Err, Ok, Result

from azurefield.call_result import CallResult
from azurefield.coordinator_choice import CoordinatorChoice
from azurefield.coordinators import CoordinatorView, fleet_needs_coordinators, zones_near_shards
from azurefield.failures import FailureKind, RequestFailure
from azurefield.model import Outcome
from azurefield.residency import Residency
from azurefield.routes import ShardSet
from azurefield.routing import OwnObservationRouter
from azurefield_entry.clock import now
from azurefield_entry.gateway.peers.forward_frames import (
    CancelRequest,
    RequestAccepted,
    RequestAnswered,
    RequestFailed,
    RequestRefused,
    RequestServed,
    decode_result,
    encode_request,
)
from azurefield_entry.gateway.peers.links import PeerLink, PeerLinks
from azurefield_entry.gateway.requests.running import RequestResult
from azurefield_entry.gateway.zone_traffic import ZoneTraffic

if TYPE_CHECKING:
    from azurefield.coordinators import InstanceProfile
    from azurefield.directory import Directory
    from azurefield.routes import Route, RouteTable
    from azurefield_entry.gateway.peers.frames import FromPeer
    from azurefield_entry.gateway.ports import GatewayRequest

# Longest wait until a coordinator accepts a request, as a fraction of the route's latency goal; at
# least and, without a goal, exactly the second value.
ACCEPT_WAIT_FRACTION = 0.35
ACCEPT_WAIT_MIN_S = 0.05
# A timeout that is later than this was delayed by a pause of this process.
SUSPENDED_MIN_S = 0.05
# A result may arrive this much after the deadline of its request.
RESULT_MARGIN_S = 0.25
T = TypeVar("T")
log = Logger("forwarding")


class ForwardProblem(StrEnum):
    """Why there is no result of a forwarded request.

    ``REFUSED``: it was not run, so this instance may run it. ``UNANSWERED``: no acceptance came in
    time. ``LOST``: the coordinator was lost while it ran the request.
    """

    REFUSED = "refused"
    UNANSWERED = "unanswered"
    LOST = "lost"


class NotForwarded(Struct, kw_only=True, frozen=True):
    """There is no result of a forwarded request.

    :param retry_after_s: when the instance that refused it expects to accept requests again
    :param link_lost: whether the link to the instance has ended
    :param no_room: whether it refused only because it has no memory for the body
    """

    problem: ForwardProblem
    detail: str
    retry_after_s: float | None = None
    link_lost: bool = False
    no_room: bool = False


class ForwardTarget(Struct, kw_only=True, frozen=True):
    """The instance that a request is forwarded to.

    :param accepts_until_deadline: whether its acceptance may come until the request's deadline
    :param last_choice: whether no other instance is asked after this one
    """

    instance: str
    accepts_until_deadline: bool = False
    last_choice: bool = False


class ForwardedCall(Struct, kw_only=True):
    """A request that was sent to a coordinator."""

    accepted: asyncio.Future[Result[None, NotForwarded]]
    result: asyncio.Future[Result[RequestResult, NotForwarded]]

    def on_frame(self, frame: FromPeer) -> None:
        """Apply a frame of the coordinator."""
        match frame:
            case RequestAccepted():
                set_result(self.accepted, Ok(None))
            case RequestRefused(detail=detail, retry_after_s=retry_after_s, no_room=no_room):
                refused = NotForwarded(
                    problem=ForwardProblem.REFUSED,
                    detail=detail,
                    retry_after_s=retry_after_s,
                    no_room=no_room,
                )
                set_result(self.accepted, Err(refused))
            case RequestAnswered() | RequestServed() | RequestFailed():
                set_result(self.result, Ok(decode_result(frame)))

    def on_lost(self, detail: str) -> None:
        """Record that the link has ended; the request may have run."""
        unanswered = NotForwarded(problem=ForwardProblem.UNANSWERED, detail=detail, link_lost=True)
        set_result(self.accepted, Err(unanswered))
        lost = NotForwarded(problem=ForwardProblem.LOST, detail=detail, link_lost=True)
        set_result(self.result, Err(lost))


@dataclass(slots=True, kw_only=True)
class Forwarding:
    """Decides which requests are forwarded, and forwards them.

    :param router: chooses coordinators by the observed time to their results
    :param zones: the availability zones near the shards of each route, by route name; empty
        while the fleet needs no coordinators
    :param traffic: counts the bytes exchanged with other zones; None not to count them
    :param bounded_zones: those near the shards' servers in some regions, by these regions
    """

    view: CoordinatorView
    router: OwnObservationRouter
    residency: Residency = field(default_factory=Residency)
    traffic: ZoneTraffic | None = None
    zones: Mapping[str, frozenset[str]] = field(default_factory=dict)
    bounded_zones: dict[frozenset[str], dict[str, frozenset[str]]] = field(default_factory=dict)
    peers: PeerLinks = field(init=False)
    choice: CoordinatorChoice = field(init=False)

    def __post_init__(self) -> None:
        self.choice = CoordinatorChoice(view=self.view, router=self.router)
        self.peers = PeerLinks(view=self.view, on_heard=self.choice.on_heard, traffic=self.traffic)

    def update(self, table: RouteTable, directory: Directory, instances: int) -> bool:
        """Recompute for which routes the fleet needs coordinators, and where they should be.

        :return: whether that has changed
        """
        before, bounded_before = self.zones, self.bounded_zones
        self.zones, self.bounded_zones = {}, {}
        # Many routes have the same shards.
        near_zones = cache(partial(self.near_zones, directory))
        for route in table.routes:
            target = route.target
            if isinstance(target, ShardSet) and self.needs_coordinators(
                target, table, directory, instances
            ):
                shards, allowed = target.shards, route.allowed_regions
                self.zones[route.name] = near_zones(shards, allowed)
                for bound in table.region_bounds(route):
                    near = near_zones(shards, bound)
                    self.bounded_zones.setdefault(bound, {})[route.name] = near
        if self.zones != before:
            zones = {route: sorted(zones) for route, zones in self.zones.items()}
            log.info("Coordinators run the requests of these routes, in these zones: {}.", zones)
        return (self.zones, self.bounded_zones) != (before, bounded_before)

    def near_zones(
        self, directory: Directory, shards: Collection[str], allowed: frozenset[str] | None
    ) -> frozenset[str]:
        """Return the zones that host most of the shards in allowed regions."""
        return zones_near_shards(
            directory, shards, lambda zone: self.residency.allows(zone, allowed)
        )

    def zones_for(self, route: Route) -> frozenset[str] | None:
        """Return the zones whose coordinators may run a route's requests; None for no coordinators.

        :param route: as it applies to the requests' workspace
        """
        zones, allowed = self.zones.get(route.name), route.allowed_regions
        if zones is None or allowed is None:
            return zones
        bounded = self.bounded_zones.get(allowed, {}).get(route.name, zones)
        return frozenset(zone for zone in bounded if self.residency.allows(zone, allowed))

    def needs_coordinators(
        self, target: ShardSet, table: RouteTable, directory: Directory, instances: int
    ) -> bool:
        """Whether coordinators are needed for a set of shards, judged by its first known server."""
        for shard in target.shards:
            limits = table.services.get(shard)
            for server in directory.usable.get(shard, ()):
                if limits is not None:
                    return fleet_needs_coordinators(
                        instances=instances,
                        connections_max=limits.connections_max,
                        slots=directory.servers[server].slots,
                    )
        return False

    def zones_by_service(self, table: RouteTable) -> dict[str, frozenset[str]]:
        """Return the zones of the coordinators that call each service of a shard."""
        zones: dict[str, frozenset[str]] = {}
        for route in table.routes:
            if route.name in self.zones:
                bounded = [
                    near.get(route.name, frozenset()) for near in self.bounded_zones.values()
                ]
                near = self.zones[route.name].union(*bounded)
                for service in route.services:
                    zones[service] = zones.get(service, frozenset()) | near
        return zones

    def connection_shares(self, table: RouteTable) -> dict[str, int]:
        """Return this instance's share of a server's connections, for each service of a shard."""
        return {
            service: self.view.connection_share(table.services[service].connections_max, zones)
            for service, zones in self.zones_by_service(table).items()
            if service in table.services
        }

    def allowances(self, table: RouteTable, total: float) -> dict[str, float]:
        """Return this instance's part of an allowance, for each service of a shard."""
        return {
            service: total * self.view.fraction(zones)
            for service, zones in self.zones_by_service(table).items()
        }

    def profiles_for(self, route: Route) -> list[InstanceProfile]:
        """List the instances that may run a route: its coordinators if it has any, else all.

        Those outside the allowed regions never get a body.
        """
        zones = self.zones_for(route)
        if zones is None:
            return [
                profile
                for profile in self.view.profiles.values()
                if self.residency.allows(profile.availability_zone, route.allowed_regions)
            ]
        names = {name for zone in zones for name in self.view.by_zone.get(zone, ())}
        return [self.view.profiles[name] for name in sorted(names)]

    def choose(self, route: Route, tried: Collection[str] = ()) -> str | None:
        """Choose the coordinator of a request; None if this instance runs it itself.

        :param tried: those that are not asked again
        """
        zones = self.zones_for(route)
        return None if zones is None else self.choice.choose(now(), zones, tried)

    def candidates(self, route: Route) -> tuple[str, ...]:
        """List the coordinators that ``choose`` compares; changes nothing."""
        zones = self.zones_for(route)
        return () if zones is None else self.choice.candidates(now(), zones)

    async def forward(
        self, target: ForwardTarget, request: GatewayRequest, route: Route, version: int
    ) -> Result[RequestResult, NotForwarded]:
        """Let another instance run a request; cancelling this cancels the request there."""
        sent_at = now()
        coordinator = target.instance
        self.router.on_dispatch(sent_at, coordinator)
        call_result = CallResult.CANCELLED
        silent = False
        try:
            match await self.peers.link(coordinator):
                case Err(unreachable):
                    call_result = CallResult.FAILED
                    return Err(
                        NotForwarded(problem=ForwardProblem.REFUSED, detail=unreachable.detail)
                    )
                case Ok(link):
                    result = await self.exchange(link, target, request, route, version)
            call_result = call_result_of(result)
            silent = is_silent(result)
            return result
        finally:
            ended_at = now()
            self.router.on_result(ended_at, coordinator, call_result, ended_at - sent_at)
            if silent and not target.accepts_until_deadline:
                self.choice.on_silent(ended_at, coordinator)
                log.info(
                    "Request id={}: instance {} did not reply in time.",
                    request.request_id,
                    coordinator,
                )

    async def exchange(
        self,
        link: PeerLink,
        target: ForwardTarget,
        request: GatewayRequest,
        route: Route,
        version: int,
    ) -> Result[RequestResult, NotForwarded]:
        """Send a request over a link and wait for its result."""
        loop = asyncio.get_running_loop()
        call = ForwardedCall(accepted=loop.create_future(), result=loop.create_future())
        number = link.expect(call)
        try:
            left_s = max(0.0, request.deadline_on(route.timeout_s) - now())
            must_end_in_s = left_s if target.last_choice else None
            link.send(encode_request(number, version, request, now(), must_end_in_s=must_end_in_s))
            wait_s = left_s if target.accepts_until_deadline else acceptance_wait_s(route)
            match await wait_for_acceptance(call, wait_s):
                case Err(not_forwarded):
                    return Err(not_forwarded)
            return await wait_for_result(call, request, route)
        finally:
            del link.pending[number]
            if not call.result.done():
                link.send(CancelRequest(number=number))

    def retain_only(self, instances: frozenset[str]) -> None:
        """Drop the instances that no longer run."""
        self.view.retain_only(instances)
        for name in self.peers.retain_only(instances):
            self.router.forget(name)
            self.choice.forget(name)


def acceptance_wait_s(route: Route) -> float:
    """Return how long to wait until a coordinator accepts a request."""
    return max(ACCEPT_WAIT_MIN_S, ACCEPT_WAIT_FRACTION * (route.goal_s or 0.0))


async def wait_for_acceptance(call: ForwardedCall, wait_s: float) -> Result[None, NotForwarded]:
    """Wait until an instance accepts or refuses a request.

    If this process was suspended meanwhile, the reply may have arrived without being read, and is
    waited for once more.
    """
    for _ in range(2):
        due = now() + wait_s
        try:
            async with asyncio.timeout_at(due):
                return await asyncio.shield(call.accepted)
        except TimeoutError:
            if now() < due + SUSPENDED_MIN_S:
                break
    detail = f"not accepted within {wait_s * 1000:.0f} ms"
    return Err(NotForwarded(problem=ForwardProblem.UNANSWERED, detail=detail))


async def wait_for_result(
    call: ForwardedCall, request: GatewayRequest, route: Route
) -> Result[RequestResult, NotForwarded]:
    """Wait for the result of an accepted request, at most until shortly after its deadline."""
    deadline = request.deadline_on(route.timeout_s)
    try:
        async with asyncio.timeout_at(deadline + RESULT_MARGIN_S):
            return await asyncio.shield(call.result)
    except TimeoutError:
        return Err(NotForwarded(problem=ForwardProblem.LOST, detail="no result in time"))


def call_result_of(result: Result[RequestResult, NotForwarded]) -> CallResult:
    """Return what a forwarded request says of its coordinator.

    One without memory for a body still runs smaller requests.
    """
    if isinstance(result, Ok):
        return CallResult.ANSWERED
    return CallResult.NOT_SENT if result.err_value.no_room else CallResult.FAILED


def is_silent(result: Result[RequestResult, NotForwarded]) -> bool:
    """Whether an instance did not accept a request in time, or its link ended under it.

    One that accepted it and is only late with the result still sends heartbeats.
    """
    if isinstance(result, Ok):
        return False
    failure = result.err_value
    return failure.link_lost or failure.problem is ForwardProblem.UNANSWERED


def lost_failure(lost: NotForwarded) -> RequestFailure:
    """Build the failure of a request that a coordinator may have run without returning a result."""
    return RequestFailure(
        kind=FailureKind.LEAF_UNAVAILABLE,
        outcome=Outcome.MAY_HAVE_RUN,
        detail=f"the coordinator returned no result: {lost.detail}",
    )


def set_result(future: asyncio.Future[T], value: T) -> None:
    """Set the result of a future unless it has one."""
    if not future.done():
        future.set_result(value)
