from __future__ import annotations

from typing import Any

import pytest
from msgspec.structs import replace

from azurefield.membership import (
    HEARTBEAT_MAX_AGE_S,
    INSTANCE_RETENTION_S,
    ISOLATION_TIMEOUT_S,
    Heartbeat,
    InstanceState,
    InstanceView,
    IsolationMonitor,
    KnownInstance,
    LeavingReportSource,
    LeavingServerTracker,
    ListedInstance,
)
from azurefield.snapshot import ServerState, StatusReport

LISTED = ListedInstance(
    name="b", peer_address="b:1", availability_zone="z", state=InstanceState.LIVE
)
KNOWN = KnownInstance(
    incarnation="c1",
    sequence=7,
    peer_address="c:1",
    availability_zone="z",
    state=InstanceState.LIVE,
)
HEARTBEAT = Heartbeat(
    instance="b",
    incarnation="b1",
    sequence=5,
    peer_address="b:2",
    availability_zone="z",
    state=InstanceState.LIVE,
    known={"c": KNOWN, "a": KNOWN},
    ceilings={"s": 4},
)


@pytest.mark.parametrize(
    ("listed_until", "heartbeat_at", "now", "others"),
    [
        (50.0, None, 50.0, {"b"}),
        (0.0, None, INSTANCE_RETENTION_S, {"b"}),
        (0.0, None, INSTANCE_RETENTION_S + 0.1, set()),
        (0.0, 5.0, 5.0 + HEARTBEAT_MAX_AGE_S, {"b", "c"}),
        (0.0, 5.0, 5.1 + HEARTBEAT_MAX_AGE_S, {"b"}),
        (0.0, 5.0, 5.1 + INSTANCE_RETENTION_S, set()),
    ],
    ids=["listed", "retained", "departed", "peer-report", "old-peer-report", "silent-unlisted"],
)
def test_an_instance_counts_while_listed_or_sending_and_for_the_retention_time_after(
    listed_until: float, heartbeat_at: float | None, now: float, others: set[str]
) -> None:
    """Guards against wrong connection shares: of departed instances, and of paused ones.

    A departed instance must not keep its share, and a paused one, which may still have its
    connections open, must not lose it.
    """
    view = InstanceView(instance="a")
    view.on_list(0.0, [LISTED])
    if heartbeat_at is not None:
        view.on_heartbeat(heartbeat_at, HEARTBEAT)
    view.on_list(listed_until, [LISTED] if listed_until else [])
    assert set(view.others(now)) == others


def test_only_direct_knowledge_is_published_and_ceilings_only_of_silent_instances() -> None:
    """Guards against a departed instance that still counts because others report it to each other.

    So a heartbeat carries only the instances that its sender knows directly.
    """
    view = InstanceView(instance="a")
    view.on_list(0.0, [replace(LISTED, state=InstanceState.LEAVING)])
    view.on_heartbeat(1.0, HEARTBEAT)
    view.on_heartbeat(1.0, replace(HEARTBEAT, sequence=4, ceilings={}))
    fresh = replace(
        KNOWN, incarnation="b1", sequence=5, peer_address="b:2", state=InstanceState.LEAVING
    )
    assert view.known(1.0) == {"b": fresh}
    silent = replace(fresh, peer_address="b:1", silent=True, ceilings={"s": 4})
    assert view.known(1.1 + HEARTBEAT_MAX_AGE_S) == {"b": silent}
    assert view.others(1.0)["c"].sequence == 0


def status(incarnation: str, state: ServerState = ServerState.LIVE) -> StatusReport:
    return StatusReport(
        server="s", incarnation=incarnation, state=state, load=0.0, holdings=frozenset(), maps=()
    )


ServerEvent = tuple[str, Any]  # Source of the event, and an incarnation or the listed flag.

LIVE_1 = ("status", "1")
LIVE_2 = ("status", "2")
REFUSED_1 = ("refusal", "1")
REFUSED_WITHOUT_INCARNATION = ("refusal", None)
LISTED_LEAVING = ("list", True)
LISTED_LIVE = ("list", False)


@pytest.mark.parametrize(
    ("events", "leaving"),
    [
        ([REFUSED_1], True),
        ([LISTED_LEAVING], True),
        ([("leaving", "1")], True),
        ([REFUSED_1, LIVE_1], True),
        ([REFUSED_1, LIVE_2], False),
        ([REFUSED_1, LIVE_2, REFUSED_1], False),
        ([REFUSED_1, LIVE_2, ("leaving", "1")], False),
        ([REFUSED_1, LIVE_2, ("refusal", "2")], True),
        ([LIVE_1, LISTED_LEAVING, LIVE_1], True),
        ([LIVE_1, LISTED_LEAVING, LIVE_2, LISTED_LEAVING], False),
        ([LISTED_LEAVING, LIVE_2, LISTED_LEAVING], True),
        ([LISTED_LEAVING, LIVE_2, LISTED_LIVE], False),
        ([LISTED_LEAVING, REFUSED_1, LISTED_LIVE, LIVE_1], True),
        ([LIVE_1, REFUSED_WITHOUT_INCARNATION, LIVE_2], False),
        ([REFUSED_1, ("starting", "2")], True),
        ([REFUSED_1, ("refusal", "2"), LIVE_1], True),
    ],
    ids=lambda value: (
        "-".join(f"{kind}-{detail}" for kind, detail in value) if isinstance(value, list) else ""
    ),
)
def test_a_backend_server_is_avoided_until_it_is_live_under_another_incarnation(
    events: list[ServerEvent], leaving: bool
) -> None:
    """Guards against work for a leaving server, and a restarted server that stays unused.

    The sources lag and disagree: the list names no incarnation, and a report about an incarnation
    may arrive after its successor has started.
    """
    tracker = LeavingServerTracker()
    for kind, detail in events:
        if kind == "list":
            servers = frozenset({"s"})
            tracker.on_list(
                live=frozenset() if detail else servers, leaving=servers if detail else frozenset()
            )
        elif kind == "refusal":
            tracker.report("s", detail, LeavingReportSource.REFUSAL)
        else:
            state = ServerState.LIVE if kind == "status" else ServerState(kind)
            tracker.on_status(status(detail, state))
    assert tracker.servers() == (frozenset({"s"}) if leaving else frozenset())


def test_a_report_is_forwarded_once_and_never_if_it_came_from_a_peer() -> None:
    """Guards against reports that instances forward to each other in a loop."""
    tracker = LeavingServerTracker()
    assert tracker.report("s", "1", LeavingReportSource.REFUSAL)
    assert not tracker.report("s", "1", LeavingReportSource.REFUSAL)
    assert not tracker.report("t", "1", LeavingReportSource.PEER)
    assert tracker.on_list(live=frozenset(), leaving=frozenset({"u"})) == ["u"]
    assert tracker.on_list(live=frozenset(), leaving=frozenset({"u"})) == []
    tracker.retain_only(frozenset({"t"}))
    assert tracker.servers() == {"t"}


@pytest.mark.parametrize(
    ("silent_s", "others", "isolated"),
    [
        (ISOLATION_TIMEOUT_S - 0.1, True, False),
        (ISOLATION_TIMEOUT_S, True, True),
        (60.0, False, False),
    ],
    ids=["short", "long", "alone"],
)
def test_an_instance_without_store_and_peers_is_isolated_after_5_s(
    silent_s: float, others: bool, isolated: bool
) -> None:
    """Guards against answers under a configuration that may be outdated."""
    monitor = IsolationMonitor(last_contact=0.0)
    monitor.on_contact(10.0)
    monitor.on_contact(2.0)
    assert monitor.isolated(10.0 + silent_s, others_listed_live=others) is isolated
