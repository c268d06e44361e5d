from __future__ import annotations

from random import Random

import pytest

from azurefield.model import Snapshot, even_shard_map
from azurefield.snapshot import Holding, ServerState, StatusReport
from azurefield_entry.query.silent_servers import MISSED_PROBES_UNTIL_SILENT
from azurefield_entry.query.state import ServiceState, new_state
from azurefield_testkit.entry_support.instance import make_service_config

SNAPSHOT = Snapshot(index_version=1, map_version=1)
SHARD_MAP = even_shard_map(version=1, leafs=("a", "b"))


def report(server: str, *, incarnation: str = "i1") -> StatusReport:
    """Build the status report of a server that holds one leaf, the first letter of its name."""
    return StatusReport(
        server=server,
        incarnation=incarnation,
        state=ServerState.LIVE,
        load=0.0,
        holdings=frozenset({Holding(leaf=server[0], snapshot=SNAPSHOT)}),
        maps=(SHARD_MAP,),
    )


def make_state(*, leaving: frozenset[str] = frozenset()) -> ServiceState:
    state = new_state(make_service_config([]), leaving=frozenset(), random=Random(1))
    for server in ("a1", "a2", "a3", "b1"):
        state.on_status(0.0, report(server))
    state.set_leaving(0.0, leaving)
    return state


def holders(state: ServiceState, leaf: str, now: float) -> tuple[str, ...]:
    return state.holdings.holders(now, Holding(leaf=leaf, snapshot=SNAPSHOT))


@pytest.mark.parametrize(
    ("missed", "leaving", "expected"),
    [
        pytest.param({"a1": 2}, set(), {"a1", "a2", "a3"}, id="two-missed-probes-are-no-silence"),
        pytest.param({"a1": 3}, set(), {"a2", "a3"}, id="a-silent-server-gets-no-new-work"),
        pytest.param({"a1": 3, "a2": 3}, {"a3"}, {"a1", "a2"}, id="the-other-is-leaving"),
        pytest.param(
            {"a1": 3, "a2": 3, "a3": 3}, set(), {"a1", "a2", "a3"}, id="all-of-the-leaf-are-silent"
        ),
    ],
)
def test_a_silent_server_is_excluded_unless_a_leaf_would_have_no_server(
    missed: dict[str, int], leaving: set[str], expected: set[str]
) -> None:
    """Guards against calls to a dead server until its last status report is 30 s old."""
    state = make_state(leaving=frozenset(leaving))
    for server, count in missed.items():
        for _ in range(count):
            state.on_probe_missed(1.0, server, unreachable=False)
    assert set(holders(state, "a", 1.0)) == expected
    assert holders(state, "b", 1.0) == ("b1",)
    for server in missed:
        state.on_status(2.0, report(server))
    assert set(holders(state, "a", 2.0)) == {"a1", "a2", "a3"} - leaving


def test_a_restarted_server_begins_slowly_and_one_that_misses_probes_does_not() -> None:
    """Guards against a restarted server that gets its full share of calls without slow start."""
    state = make_state()
    for _ in range(MISSED_PROBES_UNTIL_SILENT):
        state.on_probe_missed(1.0, "a1", unreachable=False)
    state.on_status(2.0, report("a1"))
    assert state.router.pace.share(2.0, "a1") == 1.0
    state.on_status(3.0, report("a1", incarnation="i2"))
    assert state.router.pace.share(3.0, "a1") < 0.2
