from __future__ import annotations

import pytest
from msgspec.structs import replace

from azurefield.routes import CallerLimits, Route, RouteTable, SingleService, WeightedRoundRobin
from azurefield.workspaces import Workspace, WorkspaceKeys


def route(name: str, host: str, prefix: str) -> Route:
    return Route(
        name=name,
        host=host,
        prefix=prefix,
        target=SingleService(service=name),
        idempotent=True,
        timeout_s=1.0,
    )


TABLE = RouteTable.build(
    version=3,
    routes=[
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("root", "b.example", "/"),
    ],
    services={},
    limits=CallerLimits(),
)


@pytest.mark.parametrize(
    ("host", "target", "expected"),
    [
        ("a.example", "/x/1", "short"),
        ("a.example", "/x/y/1", "long"),
        ("a.example", "/x/y", "short"),
        ("a.example", "/x", None),
        ("a.example", "/z/x/y/", None),
        ("a.example", "/?/x/y/", None),
        ("A.EXAMPLE:8080", "/x/y/1", "long"),
        ("b.example", "/anything/at/all", "root"),
        ("c.example", "/x/1", None),
        ("", "", None),
    ],
)
def test_the_longest_prefix_of_the_host_is_chosen(
    host: str, target: str, expected: str | None
) -> None:
    """Guards against sending a request to the service of another route."""
    found = TABLE.match(host, target)
    assert (found.name if found else None) == expected


@pytest.mark.parametrize(
    "weights",
    [(("a", 1.0), ("b", 1.0)), (("a", 9.0), ("b", 1.0)), (("a", 0.0), ("b", 3.0), ("c", 1.0))],
)
def test_weighted_round_robin_keeps_the_proportions_at_all_times(
    weights: tuple[tuple[str, float], ...],
) -> None:
    """Guards against weights that hold only on average over a long time."""
    round_robin = WeightedRoundRobin()
    total = sum(weight for _, weight in weights)
    counts = dict.fromkeys(dict(weights), 0)
    for number in range(1, 201):
        chosen = round_robin.choose("r", weights)
        assert chosen is not None
        counts[chosen] += 1
        for service, weight in weights:
            assert abs(counts[service] - number * weight / total) <= 1.0


def test_new_weights_start_without_old_credit() -> None:
    """Guards against keeping the credit of removed services, which distorts the new proportions."""
    round_robin = WeightedRoundRobin()
    for _ in range(7):
        round_robin.choose("r", (("a", 5.0), ("b", 1.0)))
    chosen = [round_robin.choose("r", (("c", 1.0), ("d", 1.0))) for _ in range(10)]
    assert chosen.count("c") == 5
    assert round_robin.choose("r", (("c", 0.0),)) is None


@pytest.mark.parametrize(
    ("first", "later"),
    [
        pytest.param((0, 1), (1, 0), id="the-workspace-first"),
        pytest.param((1, 0), (1, 1), id="the-route-among-equal-ones"),
        pytest.param((None, 0), (None, 1), id="the-route-without-a-workspace-s"),
        pytest.param((0, 1), (None, 1), id="a-route-s-own-beside-a-workspace-s"),
    ],
)
def test_the_workspace_s_priority_decides_before_the_route_s(
    first: tuple[int | None, int], later: tuple[int | None, int]
) -> None:
    """Guards against a less urgent workspace or route that is served first."""
    routes = [replace(route(str(number), "a", "/"), priority=number) for number in range(2)]
    workspaces = WorkspaceKeys()
    limits = CallerLimits()
    table = RouteTable.build(
        version=1, routes=routes, services={}, limits=limits, workspaces=workspaces
    )

    def rank(workspace: int | None, number: int) -> int:
        return table.for_workspace(routes[number], Workspace(name="w", priority=workspace)).priority

    assert rank(*first) < rank(*later)
    plain = RouteTable.build(version=1, routes=routes, services={}, limits=limits)
    assert plain.for_workspace(routes[1], None) is routes[1]
