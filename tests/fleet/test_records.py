from __future__ import annotations

import json
from base64 import b64encode
from typing import Any

import pytest
from result import Err, Ok

from azurefield.crash_evidence import RequestAnswered, ServerEnded
from azurefield.directory import RegisteredServer, RegisteredState
from azurefield.routes import (
    RouteTable,
    ServiceLimits,
    ShardSet,
    SingleService,
    WeightedServices,
)
from azurefield.workspaces import RequestQuota, Workspace
from azurefield_entry.gateway.metadata.own_records import encode_entry
from azurefield_entry.gateway.ports import (
    CrashReportEntry,
    InstanceEntry,
    InstanceKey,
    Removed,
    ServerKey,
)
from azurefield_fleet.records import decode_item, parse_key
from azurefield_fleet.store import StoredItem, decode_change, decode_listed_item
from standins import LeafStandIn, config, route

ENTRY = LeafStandIn(name="i-1", service="desk", address="192.0.2.1:80").entry()


def encoded(value: object) -> str:
    return b64encode(json.dumps(value).encode()).decode()


def test_a_leaf_s_entry_names_a_server() -> None:
    """Guards against a field of a leaf's entry that is lost or mixed up with another."""
    assert decode_item("servers/i-1", encoded(ENTRY | {"warmup_left_ms": 1500})) == Ok(
        RegisteredServer(
            server="i-1",
            service="desk",
            address="192.0.2.1:80",
            availability_zone="one",
            state=RegisteredState.LIVE,
            slots=3,
            incarnation="1700000000000",
            warmup_s=1.5,
        )
    )


@pytest.mark.parametrize(
    "value",
    [
        "%%%",
        b64encode(b"\xff\xfe").decode(),
        encoded([]),
        encoded({}),
        encoded(ENTRY | {"state": "resting"}),
        encoded(ENTRY | {"capacity": "3"}),
        encoded(ENTRY | {"capacity": True}),
        encoded(ENTRY | {"capacity": 0}),
        encoded(ENTRY | {"address": "nowhere"}),
        encoded(ENTRY | {"address": "192.0.2.1:99999"}),
        encoded(ENTRY | {"address": "192.0.2.1.9:80"}),
        encoded(ENTRY | {"address": "192.0.2.1:0"}),
        encoded(ENTRY | {"address": "192.0.2.1:-1"}),
        encoded(ENTRY | {"address": f"192.0.2.1:{10**400}"}),
        encoded(ENTRY | {"capacity": 10**400}),
        encoded(ENTRY | {"born": 10**400}),
        encoded(ENTRY | {"warmup_left_ms": 10**400}),
        b64encode(b'{"more": ' + b"[" * 100_000 + b"]" * 100_000 + b"}").decode(),
        encoded(ENTRY | {"service": None}),
        encoded(ENTRY | {"born": 1.5}),
        encoded({key: value for key, value in ENTRY.items() if key != "zone"}),
    ],
)
def test_an_entry_that_can_t_be_read_names_no_server(value: str) -> None:
    """Guards against a malformed entry that crashes the process or adds a server."""
    assert isinstance(decode_item("servers/i-1", value), Err)
    assert decode_listed_item(StoredItem(key="servers/i-1", value=value)) == []
    changes = decode_change(StoredItem(key="servers/i-1", value=value))
    assert changes == [Removed(key=ServerKey(server="i-1"))]


@pytest.mark.parametrize("server", ["", "i 1", "i-1\r\nX: y", "i-\u00e9", "i" * 300])
def test_a_name_that_can_t_be_sent_names_no_server(server: str) -> None:
    """Guards against a forged name that adds headers to calls, or fails each of them."""
    assert isinstance(decode_item(f"servers/{server}", encoded(ENTRY)), Err)


@pytest.mark.parametrize(
    "value",
    [
        {"version": 9},
        config(9, route("r", "/r/", service="desk", timeout_ms=10**400), services=("desk",)),
        config(9, route("r", "/r/"), services=("desk",)),
    ],
    ids=["incomplete", "huge-timeout", "no-service"],
)
def test_a_configuration_that_can_t_be_read_changes_nothing(value: object) -> None:
    """Guards against a malformed configuration that removes the routes or ends the process."""
    assert decode_change(StoredItem(key="op/config", value=encoded(value))) == []


@pytest.mark.parametrize(
    ("options", "target"),
    [
        ({"service": "desk"}, SingleService(service="desk")),
        (
            {"traffic_split": [{"service": "a", "weight": 3}, {"service": "b", "weight": 1}]},
            WeightedServices(weights=(("a", 3.0), ("b", 1.0))),
        ),
        (
            {"gather": ["a", "b"], "top_k": 5, "min_coverage": 0.5},
            ShardSet(shards=("a", "b"), top=5, coverage_min=0.5),
        ),
    ],
    ids=["single", "weighted", "shards"],
)
def test_a_route_says_where_its_requests_go(options: dict[str, Any], target: object) -> None:
    """Guards against a route whose requests go to other services than configured."""
    value = config(7, route("r", "/x/", **options), services=("a", "b", "desk"))
    decoded = decode_item("op/config", encoded(value | {"new_field": 1}))
    assert isinstance(decoded, Ok)
    table = decoded.ok_value
    assert isinstance(table, RouteTable)
    found = table.match("a.example", "/x/1")
    assert found is not None
    assert (table.version, found.target, found.timeout_s, found.goal_s) == (7, target, 1.0, 0.2)
    assert found.idempotent
    assert table.services["a"].connections_max == 30
    assert table.limits.idle_timeout_s == 15.0


def test_a_service_names_how_its_servers_warm_up() -> None:
    """Guards against a rate that is lost, so that a server that warms up is flooded."""
    value: dict[str, Any] = config(7, services=("desk", "other"))
    value["services"][0] |= {"warmup_s": 3.0, "warmup_per_s": 20}
    table = decode_item("op/config", encoded(value)).unwrap()
    assert isinstance(table, RouteTable)
    expected = ServiceLimits(connections_max=30, warmup_duration_s=3.0, warmup_rate_per_s=20.0)
    assert table.services == {"desk": expected, "other": ServiceLimits(connections_max=30)}


@pytest.mark.parametrize(
    ("named", "allowed"),
    [
        ({}, None),
        ({"allowed_regions": None}, None),
        ({"allowed_regions": []}, None),
        ({"allowed_regions": ["eu", "us", "eu"]}, frozenset({"eu", "us"})),
    ],
)
def test_routes_and_workspaces_name_their_regions(
    named: dict[str, Any], allowed: frozenset[str] | None
) -> None:
    """Guards against a bound that is lost, and an empty list that refuses all requests."""
    value = config(7, route("r", "/r/", service="desk", **named), services=("desk",))
    tenants = [{"name": "w", "api_keys": ["k"], **named}]
    table = decode_item("op/config", encoded(value | {"tenants": tenants})).unwrap()
    assert isinstance(table, RouteTable)
    assert table.workspaces is not None
    assert [found.allowed_regions for found in table.routes] == [allowed]
    assert table.workspaces.by_name["w"].allowed_regions == allowed


def test_a_route_that_names_no_service_is_refused() -> None:
    """Guards against a configuration that is accepted although a route has no target."""
    value = config(7, route("r", "/x/"), services=())
    assert isinstance(decode_item("op/config", encoded(value)), Err)


SECRET = "Kx7qPz2mWv9t"
TENANT = {"name": "w1", "api_keys": [SECRET], "priority": 2, "rate_per_s": 5, "burst": 7}


def with_tenants(*tenants: object, public: bool = False) -> dict[str, object]:
    routes = route("r", "/r/", service="desk", public=public)
    return config(9, routes, services=("desk",)) | {"tenants": list(tenants)}


@pytest.mark.parametrize("public", [False, True])
def test_a_configuration_names_its_workspaces_and_its_public_routes(*, public: bool) -> None:
    """Guards against a field of a workspace that is lost, and a route open to everybody."""
    decoded = decode_item("op/config", encoded(with_tenants(TENANT, public=public)))
    assert isinstance(decoded, Ok)
    table = decoded.ok_value
    assert isinstance(table, RouteTable)
    assert table.workspaces is not None
    quota = RequestQuota(rate_per_s=5.0, burst=7.0)
    assert table.workspaces.find(SECRET) == Workspace(name="w1", priority=2, quota=quota)
    assert [found.public for found in table.routes] == [public]
    assert SECRET not in repr(table)


def test_a_configuration_without_the_field_has_no_workspaces_and_an_empty_list_admits_none() -> (
    None
):
    """Guards against an earlier deployment that needs keys, and an empty list that needs none."""
    plain = config(9, route("r", "/r/", service="desk"), services=("desk",))
    for value, has_workspaces in ((plain, False), (with_tenants(), True)):
        decoded = decode_item("op/config", encoded(value))
        assert isinstance(decoded, Ok)
        assert isinstance(decoded.ok_value, RouteTable)
        assert (decoded.ok_value.workspaces is not None) is has_workspaces


@pytest.mark.parametrize(
    ("changes", "quota"),
    [
        ({"rate_per_s": 0}, None),
        ({"rate_per_s": 0, "burst": 0}, None),
        ({"burst": 0}, RequestQuota(rate_per_s=5.0, burst=0.0)),
        ({"rate_per_s": 1e300, "burst": 1e300}, RequestQuota(rate_per_s=1e9, burst=1e9)),
    ],
)
def test_a_rate_of_zero_is_no_quota_and_huge_numbers_are_bounded(
    changes: dict[str, float], quota: RequestQuota | None
) -> None:
    """Guards against a workspace without a limit that gets nothing, and an overflow."""
    decoded = decode_item("op/config", encoded(with_tenants(TENANT | changes)))
    assert isinstance(decoded, Ok)
    assert isinstance(decoded.ok_value, RouteTable)
    assert decoded.ok_value.workspaces is not None
    found = decoded.ok_value.workspaces.find(SECRET)
    assert found is not None
    assert found.quota == quota


@pytest.mark.parametrize(
    "changes",
    [
        {"rate_per_s": -1},
        {"burst": -0.5},
        {"rate_per_s": float("nan")},
        {"burst": float("inf")},
        {"rate_per_s": 10**400},
        {"rate_per_s": "5"},
        {"priority": 1.5},
        {"priority": 10**400},
        {"name": None},
        {"api_keys": SECRET},
        {"api_keys": [SECRET, 5]},
        {"api_keys": {SECRET: SECRET}},
        {"api_keys": [[SECRET]]},
    ],
)
def test_a_workspace_of_wrong_types_or_numbers_makes_its_version_unreadable(
    changes: dict[str, object],
) -> None:
    """Guards against a malformed workspace that lets callers in, or shows a key in the log."""
    value = encoded(with_tenants(TENANT | changes))
    decoded = decode_item("op/config", value)
    assert isinstance(decoded, Err)
    assert not any(SECRET[at : at + 4] in str(decoded.err_value) for at in range(len(SECRET) - 3))
    assert decode_change(StoredItem(key="op/config", value=value)) == []


@pytest.mark.parametrize(
    ("key", "item"),
    [
        (InstanceKey(instance="n1"), InstanceEntry(instance="n1")),
        (
            InstanceKey(instance="n1"),
            InstanceEntry(instance="n1", availability_zone="z", relay_address="192.0.2.1:7740"),
        ),
        (None, CrashReportEntry(report=RequestAnswered(request="f", service="s"))),
        (
            None,
            CrashReportEntry(
                report=ServerEnded(
                    request="f",
                    service="s",
                    server="i-1",
                    incarnation="9",
                    run="q1",
                    suspect=True,
                )
            ),
        ),
    ],
)
def test_own_entries_come_back_as_they_were_written(
    key: InstanceKey | None, item: InstanceEntry | CrashReportEntry
) -> None:
    """Guards against an entry that other instances of the gateway can't read."""
    path, value = encode_entry(item)
    assert parse_key(path) == key
    assert decode_item(path, b64encode(value).decode()) == Ok(item)


def test_other_keys_are_ignored() -> None:
    """Guards against a failure to read values that belong to other users of the store."""
    assert parse_key("status/anything") is None
    assert decode_item("status/anything", "%%%") == Ok(None)
