"""The look-up of a request's route and workspace, where it arrives and on a coordinator."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from msgspec.structs import replace
from result import Err, Ok

from azurefield.failures import FailureKind, RequestFailure
from azurefield.merge import MergedParts
from azurefield.model import Outcome
from azurefield.routes import CallerLimits, Route, RouteTable, SingleService
from azurefield.sharing import RequestClass, SharedAdmission
from azurefield.workspaces import KeyDigest, Workspace, WorkspaceEntry, WorkspaceKeys
from azurefield_entry.clock import now
from azurefield_entry.gateway.callers.failure_response import write_failure
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.peers.forward_frames import decode_request, encode_request
from azurefield_entry.gateway.ports import CallerKey, GatewayRequest, OpaqueAnswer
from azurefield_entry.gateway.requests.access import KEYS_STALE_S, RequestAccess
from azurefield_entry.gateway.requests.outcomes import refusal
from azurefield_entry.gateway.requests.workspace_results import (
    LABELLED_MAX,
    WorkspaceResult,
    WorkspaceResults,
    result_of,
)
from azurefield_entry.log_limit import LineLimit
from azurefield_testkit.entry_support.gateway_parts import make_request

SECRET = "Kx7qPz2mWv9t"
WORKSPACES = WorkspaceKeys.build(
    [
        WorkspaceEntry(name="w1", keys=(KeyDigest.of(SECRET),), priority=3),
        WorkspaceEntry(name="w2", keys=(KeyDigest.of("k2"),)),
    ]
)


def table(workspaces: WorkspaceKeys | None = WORKSPACES) -> RouteTable:
    def route(prefix: str, *, public: bool) -> Route:
        target = SingleService(service="desk")
        return Route(
            name=prefix,
            host="x",
            prefix=prefix,
            target=target,
            idempotent=True,
            timeout_s=1.0,
            public=public,
        )

    routes = [route("/keyed/", public=False), route("/public/", public=True)]
    return RouteTable.build(
        version=4, routes=routes, services={}, limits=CallerLimits(), workspaces=workspaces
    )


def access(store_age_s: float = 0.0) -> RequestAccess:
    return RequestAccess(metrics=GatewayMetrics(), store_age_s=lambda: store_age_s)


def request(path: str, key: str | None, **changes: Any) -> GatewayRequest:
    headers = (("Key", key or ""), ("Claim", "forged"))
    return make_request(path, caller_key=CallerKey(value=key, headers=headers), **changes)


async def test_a_busy_instance_refuses_what_exceeds_a_workspace_s_part_as_not_run() -> None:
    """Guards against a refusal that is not true or not counted, and against other requests."""
    busy = access()
    greedy = RequestClass.of(3, WORKSPACES.by_name["w1"])
    busy.edge.admission.shared = SharedAdmission(
        capacity_per_s=10.0, parts={greedy: 5.0}, credits={greedy: 0.0}
    )
    refused = busy.admit(request("/keyed/1", SECRET), table())
    assert isinstance(refused, Err)
    answer = write_failure(refused.err_value)
    assert (answer.status, result_of(refused)) == (503, WorkspaceResult.REFUSED)
    assert 0.1 <= float(answer.headers["Retry-After"]) <= 1.0
    assert busy.results.ratios.counts["w1"].asked == 1
    for path, key in (("/keyed/1", "k2"), ("/public/1", SECRET)):
        assert isinstance(busy.admit(request(path, key), table()), Ok)
    assert isinstance(busy.admit(request("/keyed/1", SECRET), table(None)), Ok)


@pytest.mark.parametrize(
    ("path", "key", "workspace"),
    [("/keyed/1", SECRET, "w1"), ("/keyed/1", "k2", "w2"), ("/public/1", SECRET, None)]
    + [("/public/1", key, None) for key in ("unknown", "", None)],
)
@pytest.mark.parametrize("store_age_s", [0.0, 1000.0])
async def test_an_admitted_request_has_its_workspace_and_no_key(
    path: str, key: str | None, workspace: str | None, store_age_s: float
) -> None:
    """Guards against a key that leaves the instance, and a customer stopped by an outage."""
    admitted = access(store_age_s).admit(request(path, key), table())
    assert isinstance(admitted, Ok)
    found = admitted.ok_value
    assert (found.request.workspace and found.request.workspace.name) == workspace
    assert (found.request.caller_key, found.request.headers) == (None, ())
    assert (found.version, found.route.priority) == (4, 3 if workspace == "w1" else 0)
    frame = msgspec.msgpack.encode(encode_request(1, 4, found.request, now()))
    assert not any(SECRET[at : at + 4].encode() in frame for at in range(len(SECRET) - 3))
    assert b"forged" not in frame


@pytest.mark.parametrize(
    ("path", "key", "store_age_s", "kind"),
    [
        ("/keyed/1", None, 0.0, FailureKind.UNAUTHORIZED),
        ("/keyed/1", "", 0.0, FailureKind.UNAUTHORIZED),
        ("/keyed/1", SECRET[:-1], 0.0, FailureKind.UNAUTHORIZED),
        ("/keyed/1", "w1", KEYS_STALE_S, FailureKind.UNAUTHORIZED),
        ("/keyed/1", SECRET.lower(), KEYS_STALE_S + 0.1, FailureKind.NOT_READY),
        ("/keyed/1", None, KEYS_STALE_S + 0.1, FailureKind.UNAUTHORIZED),
        ("/other/1", SECRET, 0.0, FailureKind.UNKNOWN_SERVICE),
        ("/other/1", None, KEYS_STALE_S + 0.1, FailureKind.UNKNOWN_SERVICE),
    ],
)
async def test_a_request_without_a_known_key_is_refused(
    path: str, key: str | None, store_age_s: float, kind: FailureKind
) -> None:
    """Guards against callers without a workspace, and a final answer to a key that may be new."""
    refused = access(store_age_s).admit(request(path, key), table())
    assert isinstance(refused, Err)
    failure = refused.err_value
    assert (failure.kind, failure.outcome) == (kind, Outcome.NOT_RUN)
    assert (failure.retry_after_s is not None) is (kind is FailureKind.NOT_READY)
    assert not key or key not in str(failure)


async def test_without_a_configuration_every_key_is_refused_as_not_run() -> None:
    """Guards against a 401, which is final, from an instance that knows no key yet."""
    for refused in (
        access().admit(request("/keyed/1", SECRET), None),
        access().readmit(make_request("/keyed/1", workspace=Workspace(name="w1")), None),
    ):
        assert isinstance(refused, Err)
        assert refused.err_value.kind is FailureKind.NOT_READY


async def test_without_workspaces_requests_run_as_they_came() -> None:
    """Guards against an earlier deployment that needs a key or loses headers."""
    sent = request("/keyed/1", "unknown")
    admitted = access().admit(sent, table(None))
    assert isinstance(admitted, Ok)
    assert sent.caller_key is not None
    assert admitted.ok_value.request.headers == sent.caller_key.headers
    assert admitted.ok_value.request.workspace is None


@pytest.mark.parametrize(
    ("path", "named", "workspaces", "runs"),
    [
        pytest.param("/keyed/1", "w1", WORKSPACES, True, id="known"),
        pytest.param("/keyed/1", "gone", WORKSPACES, False, id="workspace-removed"),
        pytest.param("/keyed/1", None, WORKSPACES, False, id="workspace-needed"),
        pytest.param("/keyed/1", "w1", None, False, id="no-workspaces-here"),
        pytest.param("/keyed/1", None, None, True, id="no-workspaces-anywhere"),
        pytest.param("/public/1", None, WORKSPACES, True, id="public"),
        pytest.param("/public/1", "w1", WORKSPACES, False, id="public-only-here"),
        pytest.param("/other/1", "w1", WORKSPACES, False, id="no-route"),
    ],
)
async def test_a_forwarded_request_runs_only_with_a_workspace_of_the_version_here(
    path: str, named: str | None, workspaces: WorkspaceKeys | None, *, runs: bool
) -> None:
    """Guards against a run for no or another workspace while versions differ."""
    workspace = None if named is None else Workspace(name=named)
    frame = encode_request(1, 4, make_request(path, workspace=workspace), now())
    readmitted = access().readmit(decode_request(frame, now()), table(workspaces))
    assert isinstance(readmitted, Ok) is runs
    if isinstance(readmitted, Ok):
        known = None if named is None else WORKSPACES.by_name[named]
        assert readmitted.ok_value.request.workspace == known
    else:
        assert readmitted.err_value.outcome is Outcome.NOT_RUN


async def test_equal_content_of_two_workspaces_is_not_the_same_request() -> None:
    """Guards against one customer who has another one's requests refused as crashing."""
    plain = make_request("/keyed/1")
    owned = [replace(plain, workspace=Workspace(name=name)) for name in ("w1", "w2")]
    assert len({one.content_digest for one in (plain, *owned)}) == 3
    again = replace(owned[0], request_id="other", workspace=Workspace(name="w1", priority=1))
    assert again.content_digest == owned[0].content_digest


def test_a_flood_of_refused_requests_gets_few_log_lines() -> None:
    """Guards against callers without keys whose log lines push out all others."""
    limit = LineLimit(lines_per_s=10.0)
    assert sum(limit.allow(number / 1000) for number in range(1000)) <= 20
    assert sum(limit.allow(2.0 + number) for number in range(5)) == 5


async def test_the_results_of_many_workspaces_have_a_bounded_number_of_label_values() -> None:
    """Guards against metrics that take a process's memory with each new workspace."""
    metrics = GatewayMetrics()
    results = WorkspaceResults(metrics=metrics)
    failure = RequestFailure(
        kind=FailureKind.LEAF_UNAVAILABLE, outcome=Outcome.MAY_HAVE_RUN, detail=""
    )
    for number in range(3 * LABELLED_MAX):
        results.record(Workspace(name=f"w{number}"), Err(failure))
    results.record(None, Err(failure))
    families = {family.name: family for family in metrics.registry.collect()}
    samples = families["azurefield_gateway_workspace_requests"].samples
    counts = {one.labels["workspace"]: one.value for one in samples if one.name.endswith("_total")}
    assert len(counts) == LABELLED_MAX + 1
    assert counts["other"] == 2 * LABELLED_MAX


@pytest.mark.parametrize(
    ("result", "expected"),
    [
        (Ok(MergedParts(proofs=(), missing=1, body=b"")), WorkspaceResult.SERVED),
        (Ok(OpaqueAnswer(status=204, headers=(), body=b"", proof="p")), WorkspaceResult.SERVED),
        (Ok(OpaqueAnswer(status=500, headers=(), body=b"", proof="p")), WorkspaceResult.FAILED),
        (Err(refusal(FailureKind.QUOTA_EXCEEDED, "")), WorkspaceResult.OVER_QUOTA),
        (Err(refusal(FailureKind.LEAF_UNAVAILABLE, "")), WorkspaceResult.REFUSED),
    ],
)
def test_only_a_success_counts_as_served(result: Any, expected: WorkspaceResult) -> None:
    """Guards against a ratio that hides the failures of a workspace."""
    assert result_of(result) is expected
