"""Where a gateway sends requests that may run only in some regions."""

from __future__ import annotations

from dataclasses import replace as replace_entry
from typing import TYPE_CHECKING, Any

import pytest
from msgspec.structs import replace
from result import Err

from azurefield.coordinators import InstanceProfile
from azurefield.failures import FailureKind, LeafFailure, LeafFailureReason
from azurefield.model import Outcome
from azurefield.query_actions import SendLeafCall
from azurefield.residency import Residency
from azurefield.routes import (
    CallerLimits,
    Route,
    RouteTable,
    ServiceLimits,
    ShardSet,
    SingleService,
)
from azurefield.workspaces import KeyDigest, WorkspaceEntry, WorkspaceKeys
from azurefield_entry.clock import now
from azurefield_entry.gateway.peers.forwarding import Forwarding
from azurefield_entry.gateway.policies import TICK_INTERVAL_S
from azurefield_entry.gateway.quotas.server_quotas import ServerQuotas
from azurefield_entry.gateway.requests.planning import RequestPlanner
from azurefield_entry.gateway.servers.connection import HttpLeafConnection
from azurefield_entry.gateway.servers.connections import ServerConnections
from azurefield_testkit.entry_support.gateway_parts import make_gateway, make_request, make_server

if TYPE_CHECKING:
    from collections.abc import Callable

    from azurefield.directory import RegisteredServer
    from azurefield_entry.gateway.service import GatewayService

REGIONS = {"one": "eu", "two": "us", "three": "us"}
EU, US = frozenset({"eu"}), frozenset({"us"})
SHARDS = ("a", "b")
ROUTE = Route(
    name="r",
    host="x",
    prefix="/",
    target=SingleService(service="desk"),
    idempotent=True,
    timeout_s=0.5,
    goal_s=0.2,
    attempts_max=5,
)
QUERY = replace(ROUTE, target=ShardSet(shards=SHARDS, top=1, coverage_min=0.5))


def servers() -> list[RegisteredServer]:
    """Build servers of all services in each zone, and in one without a region."""
    entries = []
    for service in ("desk", *SHARDS):
        for zone in (*REGIONS, "unknown"):
            entry = make_server("192.0.2.1:80", f"{service}-{zone}")
            entries.append(replace_entry(entry, service=service, availability_zone=zone, slots=4))
    return entries


def table(route: Route, workspace: frozenset[str] | None = None) -> RouteTable:
    entry = WorkspaceEntry(name="w", keys=(KeyDigest.of("k"),), allowed_regions=workspace)
    return RouteTable.build(
        version=1,
        routes=[route],
        services=dict.fromkeys(("desk", *SHARDS), ServiceLimits(connections_max=5)),
        limits=CallerLimits(),
        workspaces=WorkspaceKeys.build([entry]),
    )


def gateway(version: RouteTable, *, instances: int = 0) -> GatewayService:
    """Build a gateway in zone ``one`` that knows some other instances in each zone."""
    service = make_gateway(version, *servers())
    service.residency.regions = REGIONS
    for zone in (*REGIONS, "unknown"):
        for number in range(instances):
            profile = InstanceProfile(
                instance=f"{zone}-{number}",
                availability_zone=zone,
                capacity=4.0,
                coordinator_address="192.0.2.1:81",
            )
            service.forwarding.view.on_profile(profile)
            service.instances.on_listed(profile.instance)
    service.update_coordinators(version)
    return service


@pytest.mark.parametrize("bound", [EU, US])
async def test_first_calls_hedges_and_retries_stay_in_the_allowed_regions(
    bound: frozenset[str],
) -> None:
    """Guards against a second call that leaves the regions when the allowed servers fail."""
    version = table(ROUTE, bound)
    service = gateway(version)
    assert version.workspaces is not None
    route = version.for_workspace(ROUTE, version.workspaces.by_name["w"])
    called = set()
    for number in range(40):
        fan_out = service.planner.fan_out(now(), make_request(f"/{number}"), route, 1)
        actions = fan_out.start(now())
        for step in range(8):
            calls = [action for action in actions if isinstance(action, SendLeafCall)]
            called |= {call.server for call in calls}
            at = now() + 0.08 * (step + 1)
            actions = fan_out.on_tick(at)
            failed = LeafFailure(reason=LeafFailureReason.SHEDDING, outcome=Outcome.NOT_RUN)
            for call in calls[step % 2 :]:
                actions += fan_out.on_failure(at, call.call_id, failed)
    zones = {zone for zone, region in REGIONS.items() if region in bound}
    assert called == {f"desk-{zone}" for zone in zones}


def every_zone(_: Residency, zone: str, allowed: frozenset[str] | None) -> bool:  # noqa: ARG001
    """A weakened copy of ``Residency.allows``."""
    return True


@pytest.mark.parametrize("route", [ROUTE, QUERY], ids=["one-service", "shards"])
@pytest.mark.parametrize("bound", [EU, US, EU | US, frozenset({"asia"})])
@pytest.mark.parametrize(
    ("allows", "holds"),
    [
        pytest.param(Residency.allows, True, id="as-built"),
        pytest.param(every_zone, False, id="weakened"),
    ],
)
async def test_only_instances_in_allowed_regions_get_a_body(
    monkeypatch: pytest.MonkeyPatch,
    allows: Callable[[Residency, str, frozenset[str] | None], bool],
    bound: frozenset[str],
    route: Route,
    *,
    holds: bool,
) -> None:
    """Guards against a coordinator, or an instance in a partition, in another region."""
    monkeypatch.setattr(Residency, "allows", allows)
    version = table(replace(route, allowed_regions=bound))
    service = gateway(version, instances=3)
    (bounded,) = version.routes
    names = {profile.instance for profile in service.forwarding.profiles_for(bounded)}
    for tried in ([], ["two-0"], ["two-0", "two-1"]):
        chosen = service.forwarding.choose(bounded, tried)
        names |= set() if chosen is None else {chosen}
    zones = {name.rpartition("-")[0] for name in names}
    assert all(REGIONS.get(zone) in bound for zone in zones) is holds
    assert bool(service.forwarding.zones) is (route is QUERY)


async def test_a_workspace_s_coordinators_are_near_its_allowed_servers() -> None:
    """Guards against a weak instance that calls all shards of a bound workspace itself."""
    version = table(QUERY, US)
    service = gateway(version, instances=3)
    assert version.workspaces is not None
    bounded = version.for_workspace(QUERY, version.workspaces.by_name["w"])
    assert service.forwarding.zones_for(bounded) == frozenset({"two", "three"})
    chosen = service.forwarding.choose(bounded)
    assert chosen is not None
    assert chosen.startswith(("two", "three"))
    shares = service.forwarding.zones_by_service(version)
    assert shares["a"] >= {"one", "two", "three"}


async def test_the_zones_of_many_routes_with_the_same_shards_are_computed_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against work for each route and bound in each tick of the event loop."""
    computed: list[frozenset[str] | None] = []
    near_zones = Forwarding.near_zones

    def count(*asked: Any) -> frozenset[str]:
        computed.append(asked[-1])
        return near_zones(*asked)

    routes = [replace(QUERY, name=f"r{number}", prefix=f"/{number}/") for number in range(20)]
    version = replace(table(QUERY, US), by_host={"x": {one.prefix: one for one in routes}})
    service = gateway(version, instances=3)
    monkeypatch.setattr(Forwarding, "near_zones", count)
    service.update_coordinators(version)
    assert service.forwarding.zones.keys() == {one.name for one in routes}
    assert sorted(computed, key=str) == sorted([None, US], key=str)


@pytest.mark.parametrize("bound", [frozenset({"asia"}), frozenset({"eu-lost"})])
async def test_a_request_without_an_allowed_server_is_refused_at_once(
    monkeypatch: pytest.MonkeyPatch, bound: frozenset[str]
) -> None:
    """Guards against a body that is sent on, or a wait, although no server may run the request."""

    async def forward(*_: object, **__: object) -> None:
        raise AssertionError("the request was sent on")

    monkeypatch.setattr(Forwarding, "forward", forward)
    service = gateway(table(replace(QUERY, allowed_regions=bound, public=True)), instances=3)
    began_at = now()
    result = await service.handle(make_request())
    assert isinstance(result, Err)
    failure = result.err_value
    assert now() - began_at < TICK_INTERVAL_S
    assert (failure.kind, failure.outcome) == (FailureKind.LEAF_UNAVAILABLE, Outcome.NOT_RUN)
    assert failure.detail == "no server in an allowed region is usable"


async def test_a_server_that_moved_out_of_the_allowed_regions_gets_no_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a call that was chosen before its server's entry changed."""
    route = replace(ROUTE, allowed_regions=frozenset({"asia"}), public=True)
    service = gateway(table(route))
    monkeypatch.setattr(Residency, "has_servers", lambda *_: True)
    monkeypatch.setattr(RequestPlanner, "holders", lambda planner, _: planner.directory)
    monkeypatch.setattr(ServerConnections, "pool", lambda *_: pytest.fail("a call was sent"))
    result = await service.handle(make_request())
    assert isinstance(result, Err)
    assert result.err_value.outcome is Outcome.NOT_RUN
    assert service.metrics.region_refusals.labels("call")._value.get() >= len(REGIONS)


@pytest.mark.parametrize(
    ("owner", "method"),
    [(ServerQuotas, "acquire"), (HttpLeafConnection, "open")],
    ids=["for-a-token", "for-a-connection"],
)
async def test_a_server_that_moves_while_a_call_waits_gets_no_call(
    monkeypatch: pytest.MonkeyPatch, owner: type, method: str
) -> None:
    """Guards against a body that reaches another region after a wait."""
    service = gateway(table(replace(ROUTE, allowed_regions=EU, public=True)))
    sent: list[object] = []

    async def move(*_: object) -> bool:
        entry = service.directory.servers["desk-one"]
        service.apply_change(now(), replace_entry(entry, availability_zone="two"))
        return True

    async def exchange(_: object, call: object) -> Err[LeafFailure]:
        sent.append(call)
        return Err(LeafFailure(reason=LeafFailureReason.SHEDDING, outcome=Outcome.NOT_RUN))

    monkeypatch.setattr(HttpLeafConnection, "open", move)
    monkeypatch.setattr(owner, method, move)
    monkeypatch.setattr(HttpLeafConnection, "exchange", exchange)
    result = await service.handle(make_request())
    assert isinstance(result, Err)
    assert result.err_value.outcome is Outcome.NOT_RUN
    assert not sent


async def test_a_call_that_waited_for_a_token_uses_the_present_address(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a pool that keeps the address that a server had before it moved."""
    service = gateway(table(replace(ROUTE, allowed_regions=EU, public=True)))
    connected: list[str] = []

    async def move(*_: object) -> bool:
        entry = service.directory.servers["desk-one"]
        service.apply_change(now(), replace_entry(entry, address="192.0.2.2:80"))
        return True

    async def refuse(connection: HttpLeafConnection) -> bool:
        connected.append(connection.address)
        return False

    monkeypatch.setattr(ServerQuotas, "acquire", move)
    monkeypatch.setattr(HttpLeafConnection, "open", refuse)
    await service.handle(make_request())
    assert set(connected) == {"192.0.2.2:80"}
