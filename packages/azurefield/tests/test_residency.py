"""Requests that may run only in some regions."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from azurefield import routes
from azurefield.directory import Directory, RegisteredServer, RegisteredState
from azurefield.model import Snapshot
from azurefield.residency import AllowedHolders, Residency
from azurefield.routes import CallerLimits, Route, RouteTable, ShardSet, SingleService, in_both
from azurefield.snapshot import Holding
from azurefield.workspaces import KeyDigest, Workspace, WorkspaceEntry, WorkspaceKeys

if TYPE_CHECKING:
    from collections.abc import Callable

    from azurefield.routes import Target

REGIONS = {"eu-1": "eu", "eu-2": "eu", "us-1": "us", "asia-1": "asia"}
# Zones of servers; the last one has no known region.
ZONES = (*REGIONS, "elsewhere")
BOUNDS = (
    None,
    frozenset({"eu"}),
    frozenset({"us", "eu"}),
    frozenset({"asia"}),
    frozenset({"mars"}),
)
SNAPSHOT = Snapshot(index_version=1, map_version=1)


def server(name: str, service: str, zone: str) -> RegisteredServer:
    return RegisteredServer(
        server=name,
        service=service,
        address="192.0.2.1:80",
        availability_zone=zone,
        state=RegisteredState.LIVE,
    )


def route(target: Target, allowed: frozenset[str] | None) -> Route:
    return Route(
        name="r",
        host="x",
        prefix="/",
        target=target,
        idempotent=True,
        timeout_s=1.0,
        allowed_regions=allowed,
    )


@pytest.mark.parametrize(
    ("zone", "allowed", "expected"),
    [
        ("eu-1", None, True),
        ("elsewhere", None, True),
        ("eu-1", frozenset({"eu"}), True),
        ("us-1", frozenset({"eu"}), False),
        ("elsewhere", frozenset({"eu"}), False),
        ("elsewhere", frozenset({"elsewhere"}), False),
        ("eu-1", frozenset({"eu-1"}), False),
        ("eu-1", frozenset(), False),
    ],
)
def test_a_bound_allows_only_zones_known_to_be_in_its_regions(
    zone: str, allowed: frozenset[str] | None, *, expected: bool
) -> None:
    """Guards against a zone without a region, or with a region's name, that gets bound requests."""
    assert Residency(regions=REGIONS).allows(zone, allowed) is expected


@pytest.mark.parametrize(
    ("target", "allowed", "expected"),
    [
        (SingleService(service="a"), frozenset({"eu"}), True),
        (SingleService(service="a"), frozenset({"us"}), False),
        (SingleService(service="none"), frozenset({"eu"}), False),
        (SingleService(service="a"), frozenset(), False),
        (ShardSet(shards=("a", "b"), top=1, coverage_min=0.5), frozenset({"us"}), True),
        (ShardSet(shards=("a", "b"), top=1, coverage_min=0.6), frozenset({"us"}), False),
        (ShardSet(shards=("a", "b"), top=1, coverage_min=0.0), frozenset({"asia"}), False),
    ],
)
def test_enough_services_need_a_server_in_an_allowed_region(
    target: Target, allowed: frozenset[str], *, expected: bool
) -> None:
    """Guards against a query that is refused although its allowed servers cover enough shards."""
    directory = Directory()
    directory.on_entry(server("a1", "a", "eu-1"))
    directory.on_entry(server("b1", "b", "us-1"))
    found = Residency(regions=REGIONS).has_servers(directory, route(target, allowed))
    assert found is expected


def test_an_evacuated_zone_leaves_no_server_rather_than_one_elsewhere() -> None:
    """Guards against an evacuation that moves requests out of their regions."""
    directory = Directory()
    directory.on_entry(server("a1", "a", "eu-1"))
    directory.on_entry(server("a2", "a", "us-1"))
    directory.on_evacuation("eu-1")
    residency, allowed = Residency(regions=REGIONS), frozenset({"eu"})
    holders = AllowedHolders(directory=directory, residency=residency, allowed=allowed)
    assert holders.holders(0.0, Holding(leaf="a", snapshot=SNAPSHOT)) == ()
    assert not residency.has_servers(directory, route(SingleService(service="a"), allowed))


def test_the_regions_without_a_zone_are_named() -> None:
    """Guards against a misspelt region that refuses all requests without a trace."""
    entries = [
        WorkspaceEntry(
            name="v", keys=(KeyDigest.of("k"),), allowed_regions=frozenset({"eu", "mars"})
        ),
        WorkspaceEntry(name="w", keys=(KeyDigest.of("l"),)),
    ]
    table = RouteTable.build(
        version=1,
        routes=[route(SingleService(service="a"), frozenset({"us", "moon"}))],
        services={},
        limits=CallerLimits(),
        workspaces=WorkspaceKeys.build(entries),
    )
    assert Residency(regions=REGIONS).unknown_regions(table) == {"mars", "moon"}


class UnknownZonesAllowed(Residency):
    """A weakened copy: it lets zones without a known region pass."""

    def allows(self, zone: str, allowed: frozenset[str] | None) -> bool:
        return zone not in self.regions or Residency.allows(self, zone, allowed)


def in_either(first: frozenset[str] | None, second: frozenset[str] | None) -> frozenset[str] | None:
    """A weakened copy: it allows the regions of the route and those of the workspace."""
    return None if first is None or second is None else first | second


def wrong_servers(residency: Residency, random: Random) -> list[str]:
    """List the servers that random requests could reach outside their regions."""
    wrong = []
    for number in range(300):
        directory = Directory()
        for index in range(random.randint(1, 6)):
            directory.on_entry(server(f"s{index}", "a", random.choice(ZONES)))
        workspace = Workspace(name="w", allowed_regions=random.choice(BOUNDS))
        plain = route(SingleService(service="a"), random.choice(BOUNDS))
        table = RouteTable.build(
            version=number,
            routes=[plain],
            services={},
            limits=CallerLimits(),
            workspaces=WorkspaceKeys(by_name={"w": workspace}),
        )
        applied = table.for_workspace(plain, workspace)
        if applied.allowed_regions is None:
            holders = directory.holders(0.0, Holding(leaf="a", snapshot=SNAPSHOT))
        else:
            holders = AllowedHolders(
                directory=directory, residency=residency, allowed=applied.allowed_regions
            ).holders(0.0, Holding(leaf="a", snapshot=SNAPSHOT))
        for name in holders:
            region = REGIONS.get(directory.servers[name].availability_zone)
            bounds = (plain.allowed_regions, workspace.allowed_regions)
            if any(bound is not None and region not in bound for bound in bounds):
                wrong.append(name)
    return wrong


@pytest.mark.parametrize(
    ("kind", "combine", "finds"),
    [
        pytest.param(Residency, in_both, False, id="as-built"),
        pytest.param(UnknownZonesAllowed, in_both, True, id="weakened-zones"),
        pytest.param(Residency, in_either, True, id="weakened-bounds"),
    ],
)
def test_no_server_is_outside_the_regions_of_route_and_workspace(
    monkeypatch: pytest.MonkeyPatch,
    kind: type[Residency],
    combine: Callable[[frozenset[str] | None, frozenset[str] | None], frozenset[str] | None],
    *,
    finds: bool,
) -> None:
    """Guards against a bound that is dropped where route and workspace both have one."""
    monkeypatch.setattr(routes, "in_both", combine)
    assert bool(wrong_servers(kind(regions=REGIONS), Random(7))) is finds
