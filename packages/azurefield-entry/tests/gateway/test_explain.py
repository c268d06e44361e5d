"""Explanations of where a request would go, by the real decisions of a gateway."""

from __future__ import annotations

import asyncio
from copy import deepcopy
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, cast

import msgspec
import pytest
from prometheus_client import generate_latest
from result import Ok

from azurefield.coordinators import InstanceProfile
from azurefield.crash_evidence import ServerEnded, digest_of
from azurefield.directory import RegisteredState
from azurefield.explanation import ExplainQuery, Explanation, ObstacleReason, Place
from azurefield.failures import FailureKind
from azurefield.issuer_slots import SlotHold
from azurefield.quota_shares import share_slots
from azurefield.routes import (
    CallerLimits,
    Route,
    RouteTable,
    ServiceLimits,
    ShardSet,
    SingleService,
    Target,
    WeightedServices,
)
from azurefield.sharing import RequestClass
from azurefield.warmup_limits import WarmupBound
from azurefield.workspaces import KeyDigest, RequestQuota, WorkspaceEntry, WorkspaceKeys
from azurefield_entry.clock import lease_now, now
from azurefield_entry.gateway.callers.front import GatewayFront
from azurefield_entry.gateway.explain.explainer import RequestExplainer
from azurefield_entry.gateway.explain.servers import SERVERS_LISTED_MAX
from azurefield_entry.gateway.peers.coordinator import CoordinatorService
from azurefield_entry.gateway.service import GatewayService
from azurefield_testkit.entry_support.gateway_parts import make_gateway, make_request, make_server

if TYPE_CHECKING:
    from collections.abc import Callable

    from azurefield.directory import RegisteredServer

KEY = "Kx7qPz2mWv9tRb4n"
QUOTA = RequestQuota(rate_per_s=0.001, burst=9.0)
SHARDS = tuple(f"shard{number}" for number in range(54))
SERVICES = ("desk", "light", "none", *SHARDS)
BODY_BYTES = 5000


def route(name: str, target: Target, **changes: Any) -> Route:
    """Build the route of a prefix that has its name."""
    fields: dict[str, Any] = {"idempotent": True, "timeout_s": 1.0, "priority": 3} | changes
    return Route(name=name, host="x", prefix=f"/{name}/", target=target, **fields)


TABLE = RouteTable.build(
    version=7,
    routes=[
        route("s", SingleService(service="desk")),
        route("order", SingleService(service="desk"), idempotent=False),
        route("open", SingleService(service="desk"), public=True, priority=5),
        route("none", SingleService(service="none")),
        route("eu", SingleService(service="desk"), allowed_regions=frozenset({"eu"})),
        route("w", WeightedServices(weights=(("light", 1.0), ("desk", 3.0)))),
        route("l", ShardSet(shards=SHARDS, top=1, coverage_min=0.5)),
    ],
    services={name: ServiceLimits(connections_max=30, warmup_rate_per_s=4.0) for name in SERVICES},
    limits=CallerLimits(),
    workspaces=WorkspaceKeys.build(
        [
            WorkspaceEntry(name="w1", keys=(KeyDigest.of(KEY),), priority=1),
            WorkspaceEntry(name="w2", keys=(), quota=QUOTA),
        ]
    ),
)


@dataclass(slots=True, kw_only=True)
class Parts:
    """A gateway that knows servers of all services but one, and its explainer."""

    gateway: GatewayService
    front: GatewayFront
    explainer: RequestExplainer

    async def explain(self, path: str = "/s/1", **query: Any) -> Explanation:
        """Explain a request of the workspace w1, and check the form of the answer."""
        asked = ExplainQuery(host="x", path=path, **({"workspace": "w1"} | query))
        explanation = await self.explainer.explain(asked)
        encoded = msgspec.json.encode(explanation)
        assert KEY.encode() not in encoded
        assert msgspec.json.decode(encoded, type=Explanation) == explanation
        return explanation

    def state(self) -> tuple[str, object, bytes]:
        """Return all that requests change: state, random numbers and metrics."""
        metrics = generate_latest(self.gateway.metrics.registry)
        random = self.gateway.router.random
        return f"{self.gateway!r} {self.front!r}", random.getstate(), metrics


def servers() -> list[RegisteredServer]:
    """List three servers of each service."""
    return [
        replace(make_server("192.0.2.1:80", f"{service}-{number}"), service=service)
        for service in SERVICES
        if service != "none"
        for number in range(3)
    ]


def parts(table: RouteTable | None = TABLE) -> Parts:
    items = [] if table is None else [table]
    gateway = make_gateway(*items, *servers())
    gateway.store_contact_at = now()
    front = GatewayFront(
        address="192.0.2.1:1",
        readiness_address="192.0.2.1:2",
        dialect=cast("Any", None),
        gateway=gateway,
        finish_timeout_s=1.0,
    )
    explainer = RequestExplainer(gateway=gateway, front=front)
    return Parts(gateway=gateway, front=front, explainer=explainer)


def hold_empty_shares(made: Parts) -> None:
    """Let this instance issue all shares, of which nothing is left yet."""
    slots = share_slots("w2")
    since = lease_now()
    holds = dict.fromkeys(slots, SlotHold(taken_at=since, filled_from=since))
    made.gateway.workspace_quotas.on_slots(dict.fromkeys(slots, "i1"), since + 60.0, holds)


def deny_shares(made: Parts) -> None:
    """Let another instance have denied a request of each share."""
    quotas = made.gateway.workspace_quotas
    quotas.holders = dict.fromkeys(share_slots("w2"), "i2")
    for request in quotas.share_requests("w2", QUOTA, 7):
        quotas.choice.on_denied(now(), request, 60.0)


def convict(made: Parts) -> None:
    """Let enough servers have ended under the request."""
    digest = digest_of("GET", "x", "/s/1", b"", "w1")
    for number in range(3):
        report = ServerEnded(
            request=digest,
            service="desk",
            server=f"desk-{number}",
            incarnation="",
            run=f"r{number}",
            suspect=True,
        )
        made.gateway.crash_watch.evidence.on_report(now(), report)


def lose_servers(made: Parts) -> None:
    """Let this instance reach no server."""
    made.gateway.partition_watch.detector.since = now()


def deny_tokens(made: Parts) -> None:
    """Let each server have a limit under which no token is expected in time."""
    for number in range(3):
        made.gateway.quotas.limits.on_denied(now(), f"desk-{number}", 0, 60.0)


def use_up_part_of_callers(made: Parts) -> None:
    """Let the workspace have used up its part while this process is busy."""
    shared = made.gateway.access.edge.admission.shared
    request_class = RequestClass(priority=2, workspace="w1", weight=None)
    shared.parts, shared.credits = {request_class: 1.0}, {request_class: 0.0}


def be_late(made: Parts) -> None:
    """Let this process be too late for any request."""
    lag = made.gateway.access.edge.admission.lag
    lag.lasting, lag.lag_s = True, 60.0


def stop_soon(made: Parts) -> None:
    made.front.stops_at = now() + 0.1


def lose_store(made: Parts) -> None:
    made.gateway.store_contact_at = now() - 60.0


def fill_memory(made: Parts) -> None:
    made.front.load.memory.limit_bytes = BODY_BYTES


def nothing(made: Parts) -> None:
    """Leave everything as it is."""


@pytest.mark.parametrize(
    ("prepare", "query", "kind"),
    [
        pytest.param(nothing, {"path": "/other/"}, FailureKind.UNKNOWN_SERVICE, id="no-route"),
        pytest.param(nothing, {"workspace": None}, FailureKind.UNAUTHORIZED, id="no-key"),
        pytest.param(nothing, {"workspace": KEY}, FailureKind.UNAUTHORIZED, id="unknown-workspace"),
        pytest.param(lose_store, {"workspace": "w9"}, FailureKind.NOT_READY, id="perhaps-new"),
        pytest.param(
            nothing, {"body_bytes": 2_000_000}, FailureKind.BODY_TOO_LARGE, id="body-too-large"
        ),
        pytest.param(fill_memory, {"body_bytes": BODY_BYTES}, FailureKind.QUEUE_FULL, id="memory"),
        pytest.param(use_up_part_of_callers, {}, FailureKind.QUEUE_FULL, id="busy"),
        pytest.param(be_late, {}, FailureKind.QUEUE_FULL, id="too-late"),
        pytest.param(nothing, {"workspace": "w2"}, FailureKind.NOT_READY, id="no-quota-issuer"),
        pytest.param(
            hold_empty_shares, {"workspace": "w2"}, FailureKind.QUOTA_EXCEEDED, id="quota-empty"
        ),
        pytest.param(
            deny_shares, {"workspace": "w2"}, FailureKind.QUOTA_EXCEEDED, id="quota-denied"
        ),
        pytest.param(convict, {}, FailureKind.REQUEST_CRASHES_SERVERS, id="crashing-request"),
        pytest.param(stop_soon, {"path": "/order/1"}, FailureKind.SHUTTING_DOWN, id="stop"),
        pytest.param(lose_servers, {}, FailureKind.LEAF_UNAVAILABLE, id="partition"),
        pytest.param(nothing, {"path": "/none/1"}, FailureKind.LEAF_UNAVAILABLE, id="no-server"),
        pytest.param(
            nothing, {"path": "/eu/1"}, FailureKind.LEAF_UNAVAILABLE, id="no-allowed-region"
        ),
        pytest.param(deny_tokens, {}, FailureKind.LEAF_UNAVAILABLE, id="no-token"),
    ],
)
async def test_a_refusal_is_named_and_is_what_the_request_then_gets(
    prepare: Callable[[Parts], None], query: dict[str, Any], kind: FailureKind
) -> None:
    """Guards against an explanation that promises an answer, or names another reason."""
    made = parts()
    prepare(made)
    explanation = await made.explain(**query)
    assert explanation.refusal is not None
    assert (explanation.place, explanation.refusal.kind) == (Place.NOWHERE, kind)
    if "body_bytes" in query:
        return  # The front refuses it before the gateway gets the request.
    workspace = query.get("workspace", "w1")
    found = TABLE.workspaces and TABLE.workspaces.by_name.get(workspace or "")
    sent = make_request(query.get("path", "/s/1"), workspace=found, stops_at=made.front.stops_at)
    if found is not None:
        previewed = made.gateway.access.preview(sent, TABLE, workspace)
        if isinstance(previewed, Ok):
            admitted = previewed.ok_value
            refused = made.gateway.access.edge.refuse(admitted.request, admitted.route)
            if refused is None:
                refused = (await made.gateway.run_admitted(admitted)).unwrap_err()
            assert refused.kind is kind


async def test_without_a_configuration_the_answer_says_so() -> None:
    """Guards against an error instead of an answer from an instance that has just started."""
    explanation = await parts(None).explain()
    assert explanation.refusal is not None
    assert (explanation.version, explanation.refusal.kind) == (None, FailureKind.NOT_READY)


def eject(made: Parts) -> None:
    made.gateway.router.eject(now(), "desk-0")


def back_off(made: Parts) -> None:
    made.gateway.router.view("desk-0").back_off(now())


def stall(made: Parts) -> None:
    made.gateway.router.on_dispatch(now() - 1.0, "desk-0")


def evacuate(made: Parts) -> None:
    change(made, availability_zone="two")
    made.gateway.registry.apply_evacuations(now(), made.gateway.directory.on_evacuation("two"))


def leave(made: Parts) -> None:
    change(made, state=RegisteredState.LEAVING)


def misdirect(made: Parts) -> None:
    made.gateway.directory.on_misdirected("desk-0")


def deny_token(made: Parts) -> None:
    made.gateway.quotas.limits.on_answer(now(), "desk-0", 2.0, now())
    made.gateway.quotas.limits.on_denied(now(), "desk-0", 0, 60.0)


def use_all_connections(made: Parts) -> None:
    pool = made.gateway.connections.pool(made.gateway.directory.servers["desk-0"])
    pool.open_count = pool.ceiling


def change(made: Parts, **changes: Any) -> None:
    """Change the entry of the first server."""
    entry = replace(made.gateway.directory.servers["desk-0"], incarnation="2", **changes)
    made.gateway.apply_change(now(), entry)


@pytest.mark.parametrize(
    ("prepare", "reason"),
    [
        (eject, ObstacleReason.EJECTED),
        (back_off, ObstacleReason.BACKOFF),
        (stall, ObstacleReason.STALLED),
        (evacuate, ObstacleReason.EVACUATED),
        (leave, ObstacleReason.LEAVING),
        (misdirect, ObstacleReason.MISDIRECTED),
        (deny_token, ObstacleReason.NO_TOKEN),
    ],
)
async def test_what_speaks_against_a_server_is_named(
    prepare: Callable[[Parts], None], reason: ObstacleReason
) -> None:
    """Guards against a server that is named as a choice although it gets no call."""
    made = parts()
    prepare(made)
    (service,) = (await made.explain()).services
    against = {one.server: [found.reason for found in one.against] for one in service.servers}
    assert reason in against.pop("desk-0")
    assert against == {"desk-1": [], "desk-2": []}
    chosen = {one.server for one in service.servers if one.may_be_chosen}
    assert chosen == {"desk-1", "desk-2"}


async def test_servers_outside_the_allowed_regions_are_named_as_such() -> None:
    """Guards against a server that is named although the request may not run there."""
    made = parts()
    made.gateway.residency.regions = {"one": "eu", "two": "us"}
    change(made, availability_zone="two")
    explanation = await made.explain("/eu/1")
    assert explanation.route is not None
    assert explanation.route.allowed_regions == ("eu",)
    (service,) = explanation.services
    against = {one.server: [found.reason for found in one.against] for one in service.servers}
    assert against == {"desk-0": [ObstacleReason.OUTSIDE_REGIONS], "desk-1": [], "desk-2": []}
    assert [one.server for one in service.servers if not one.may_be_chosen] == ["desk-0"]


async def test_a_refused_request_is_shown_with_the_regions_of_its_route() -> None:
    """Guards against a bound route that is shown as one that may run anywhere."""
    explanation = await parts().explain("/eu/1", workspace="nobody")
    assert explanation.refusal is not None
    assert explanation.route is not None
    assert explanation.route.allowed_regions == ("eu",)


async def test_a_server_without_a_free_connection_is_named_as_such() -> None:
    """Guards against a call whose wait for a connection can't be seen in advance."""
    made = parts()
    use_all_connections(made)
    (service,) = (await made.explain()).services
    against = {one.server: [found.reason for found in one.against] for one in service.servers}
    assert against["desk-0"] == [ObstacleReason.NO_FREE_CONNECTION]
    assert all(one.may_be_chosen for one in service.servers), "calls wait for a connection"


async def test_a_server_that_warms_up_has_its_share_and_its_limits() -> None:
    """Guards against an explanation that does not show why a new server gets few calls."""
    made = parts()
    made.gateway.quotas.warmups.bound = WarmupBound(rate_factor=1.0, extra_requests=0.0)
    change(made, warmup_s=30.0)
    made.gateway.quotas.limits.on_answer(now(), "desk-0", 9.0, now())
    (service,) = (await made.explain()).services
    warming = next(one for one in service.servers if one.server == "desk-0")
    assert warming.share < 0.2
    assert (warming.warmup_limit_per_s, warming.named_limit_per_s) == (2.0, 9.0)


async def test_the_route_its_rank_and_the_next_weighted_service_are_named() -> None:
    """Guards against a version, a priority or a turn that differs from the request's own."""
    made = parts()
    explanation = await made.explain("/w/1?q=1")
    assert explanation.route is not None
    assert explanation.workspace is not None
    assert (explanation.version, explanation.route.name, explanation.route.priority) == (7, "w", 3)
    assert (explanation.workspace.name, explanation.workspace.priority) == ("w1", 1)
    assert explanation.rank == 2, "the second of two route priorities comes after the first"
    assert [one.service for one in explanation.services if one.called] == ["desk"]
    assert (await made.explain("/open/1", workspace=None)).workspace is None


def know_instances(made: Parts, own_cores: float) -> None:
    """Let the gateway know three strong instances and its own profile."""
    for name, zone, cores in (
        ("i1", "one", own_cores),
        ("c1", "one", 9.0),
        ("c2", "one", 9.0),
        ("c3", "two", 9.0),
    ):
        profile = InstanceProfile(
            instance=name, availability_zone=zone, capacity=cores, coordinator_address="192.0.2.1:9"
        )
        made.gateway.forwarding.view.on_profile(profile)


async def test_a_coordinator_runs_the_route_itself() -> None:
    """Guards against a coordinator that is said to forward to another one."""
    made = parts()
    know_instances(made, own_cores=10.0)
    made.gateway.forwarding.zones = {"l": frozenset({"one"})}
    explanation = await made.explain("/l/1")
    assert (explanation.place, explanation.instances) == (Place.HERE, ())
    assert explanation.coordinator_zones == ("one",)


async def test_in_a_partition_the_instances_that_may_run_requests_are_named() -> None:
    """Guards against an instance that is named although it has refused or is late."""
    made = parts()
    know_instances(made, own_cores=1.0)
    lose_servers(made)
    peers = made.gateway.dispatcher.peers
    peers.on_refused(now(), "c1")
    peers.on_refused(now(), "c2", retry_after_s=0.9)
    explanation = await made.explain()
    assert (explanation.place, explanation.own_fraction) == (Place.OTHER_INSTANCE, 0.0)
    against = {
        one.instance: {found.reason for found in one.against} for one in explanation.instances
    }
    assert against == {"c1": {ObstacleReason.REFUSED}, "c2": {ObstacleReason.LATE}, "c3": set()}
    assert [one.instance for one in explanation.instances if one.may_be_chosen] == ["c3"]
    chosen = peers.choose(now(), made.gateway.forwarding.view.profiles.values())
    assert chosen is not None
    assert chosen.instance == "c3"


def overload(coordinator: CoordinatorService) -> None:
    coordinator.lag.on_tick(now() - 5.0)


def use_up_part(coordinator: CoordinatorService) -> None:
    """Let the workspace have used up its part of a busy process."""
    request_class = RequestClass(priority=2, workspace="w1", weight=None)
    coordinator.admission.parts = {request_class: 1.0}
    coordinator.admission.credits = {request_class: 0.0}


def drain(coordinator: CoordinatorService) -> None:
    coordinator.draining = True


def accept(coordinator: CoordinatorService) -> None:
    """Leave the coordinator as it is."""


@pytest.mark.parametrize(
    ("prepare", "refusal"),
    [
        (accept, None),
        (drain, "a planned stop has begun"),
        (overload, "the event loop is"),
        (use_up_part, "the workspace's part is used up"),
    ],
)
async def test_it_says_what_this_instance_replies_to_others(
    prepare: Callable[[CoordinatorService], None], refusal: str | None
) -> None:
    """Guards against a busy coordinator that is said to accept, and against charging it."""
    made = parts()
    coordinator = CoordinatorService(
        address="192.0.2.1:9",
        version=lambda: 7,
        admit=cast("Any", None),
        run_request=cast("Any", None),
        quota_issuer=made.gateway.quotas.issuer,
        answer_share=made.gateway.workspace_quotas.answer,
        on_crash_report=lambda _: None,
        partitioned=lambda: False,
        finish_timeout_s=1.0,
    )
    prepare(coordinator)
    made.explainer.coordinator = coordinator
    before = deepcopy((coordinator.admission, coordinator.lag))
    explanation = await made.explain("/w/1")
    assert (coordinator.admission, coordinator.lag) == before
    assert explanation.forwarded is not None
    found = explanation.forwarded.refusal
    assert (found or "").startswith(refusal or "")
    assert (found is None) == (refusal is None)


async def test_all_of_an_answer_is_of_one_version() -> None:
    """Guards against a route of one version with the servers' part of another."""
    made = parts()
    asking = asyncio.create_task(made.explain("/l/1"))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    newer = RouteTable.build(version=8, routes=[], services={}, limits=CallerLimits())
    made.gateway.apply_route_table(newer)
    made.gateway.apply_listing(now(), ())
    explanation = await asking
    assert explanation.route is not None
    assert (explanation.version, explanation.route.name) == (7, "l")
    assert len(explanation.services) == len(SHARDS)
    assert explanation.services[0].servers, "listed before the change"
    assert not explanation.services[-1].servers, "its servers were gone when its turn came"


@pytest.mark.parametrize(
    ("silent", "may_run"),
    [
        pytest.param((), {"c1", "c2"}, id="calm"),
        pytest.param(("c1",), {"c2"}, id="one-silent"),
        pytest.param(("c1", "c2"), {"c3"}, id="zone-silent"),
    ],
)
async def test_coordinators_are_named_and_silent_ones_avoided(
    silent: tuple[str, ...], may_run: set[str]
) -> None:
    """Guards against a coordinator that is named although requests avoid it."""
    made = parts()
    forwarding = made.gateway.forwarding
    know_instances(made, own_cores=0.1)
    forwarding.zones = {"l": frozenset({"one", "two"})}
    for name in silent:
        forwarding.choice.on_silent(now(), name)
    explanation = await made.explain("/l/1")
    assert (explanation.place, explanation.coordinator_zones) == (
        Place.COORDINATOR,
        ("one", "two"),
    )
    assert {one.instance for one in explanation.instances if one.may_be_chosen} == may_run
    for one in explanation.instances:
        reasons = {found.reason for found in one.against}
        assert (ObstacleReason.SILENT in reasons) == (one.instance in silent)
    route_of_shards = TABLE.match("x", "/l/1")
    assert route_of_shards is not None
    assert {forwarding.choose(route_of_shards) for _ in range(50)} == may_run


async def test_of_many_shards_the_best_servers_are_listed_and_the_others_counted() -> None:
    """Guards against an answer whose size grows with the deployment."""
    explanation = await parts().explain("/l/1")
    listed = sum(len(service.servers) for service in explanation.services)
    assert len(explanation.services) == len(SHARDS)
    assert listed <= SERVERS_LISTED_MAX
    assert all(len(one.servers) + one.left_out == 3 for one in explanation.services)
    assert all(one.servers[0].may_be_chosen for one in explanation.services)


@pytest.mark.parametrize("path", ["/s/1", "/w/1", "/l/1", "/none/1", "/eu/1", "/other/1"])
@pytest.mark.parametrize(
    "prepare",
    [
        use_up_part_of_callers,
        be_late,
        nothing,
        hold_empty_shares,
        convict,
        lose_servers,
        deny_tokens,
        eject,
        deny_token,
    ],
)
async def test_an_explanation_changes_nothing(path: str, prepare: Callable[[Parts], None]) -> None:
    """Guards against tokens, turns, random numbers, counters or views that asking uses up."""
    made = parts()
    prepare(made)
    for workspace in ("w1", "w2"):
        before = made.state()
        await made.explain(path, workspace=workspace)
        assert made.state() == before


@pytest.mark.parametrize(
    "decide",
    [
        lambda gateway: gateway.planner.fan_out(now(), make_request(), TABLE.routes[0], 7),
        lambda gateway: gateway.router.choose(now(), ("desk-0", "desk-1")),
        lambda gateway: gateway.workspace_quotas.share_requests("w2", QUOTA, 7),
        lambda gateway: gateway.access.admit(make_request("/s/1"), TABLE),
    ],
)
async def test_a_decision_in_place_of_its_preview_would_be_found(
    decide: Callable[[GatewayService], object],
) -> None:
    """Guards against a comparison of states that misses what a decision changes."""
    made = parts()
    before = made.state()
    decide(made.gateway)
    assert made.state() != before


@pytest.mark.parametrize(
    "parameters",
    [
        {"host": "x"},
        {"host": "x", "path": "no-slash"},
        {"host": "x", "path": "/", "key": KEY},
        {"host": "x", "path": "/", "body_bytes": KEY},
        {"host": "x", "path": "/", "method": KEY + " /"},
    ],
)
def test_wrong_parameters_are_refused_without_repeating_them(parameters: dict[str, str]) -> None:
    """Guards against a key that is passed by mistake and comes back in an error text."""
    assert KEY not in ExplainQuery.parse(parameters).unwrap_err()
