from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from azurefield.failures import LeafFailureReason
from azurefield.model import ShardMap, Snapshot, even_shard_map
from azurefield.snapshot import (
    HOLDINGS_MAX_AGE_S,
    Holding,
    HoldingsTable,
    LeafAnswer,
    Record,
    ServerState,
    SnapshotChoice,
    StatusReport,
    merge,
)
from azurefield_testkit.proof import Guarantee, ProofRecorder, ProofRow

if TYPE_CHECKING:
    from collections.abc import Sequence

SERVERS = ("s1", "s2", "s3", "s4")
MAPS = {
    1: even_shard_map(version=1, leafs=("a", "b")),
    2: even_shard_map(version=2, leafs=("a", "b", "c")),
}
SNAPSHOTS = tuple(Snapshot(index_version=i, map_version=m) for i in (1, 2) for m in (1, 2))

holdings = st.builds(Holding, leaf=st.sampled_from("abc"), snapshot=st.sampled_from(SNAPSHOTS))
reports = st.builds(
    StatusReport,
    server=st.sampled_from(SERVERS),
    incarnation=st.just("1"),
    state=st.sampled_from([ServerState.LIVE] * 3 + [ServerState.LEAVING, ServerState.STARTING]),
    load=st.just(0.0),
    holdings=st.frozensets(holdings, max_size=5),
    maps=st.just(tuple(MAPS.values())),
)
conflicting = reports.map(
    lambda report: replace(report, maps=(even_shard_map(version=2, leafs=("a", "c")),))
)
operations = st.lists(
    st.one_of(
        st.tuples(st.just("report"), reports),
        st.tuples(st.just("report"), conflicting),
        st.tuples(st.just("forget"), st.sampled_from(SERVERS)),
        st.tuples(st.just("retract"), st.tuples(st.sampled_from(SERVERS), holdings)),
        st.tuples(st.just("unusable"), st.frozensets(st.sampled_from(SERVERS), max_size=3)),
        st.tuples(st.just("wait"), st.floats(0.5, HOLDINGS_MAX_AGE_S)),
    ),
    max_size=14,
)


@dataclass(slots=True, kw_only=True)
class NaiveHoldings:
    """Naive version that keeps all reports and computes each choice from scratch."""

    known: dict[str, tuple[float, StatusReport]] = field(default_factory=dict)
    unusable: frozenset[str] = frozenset()

    def choose(self, now: float) -> tuple[bool, Snapshot] | None:
        """Return whether the best choice is complete, and its snapshot."""
        fresh = [r for at, r in self.known.values() if now - at <= HOLDINGS_MAX_AGE_S]
        descriptions: dict[int, set[ShardMap]] = {}
        for report in fresh:
            for shard_map in report.maps:
                descriptions.setdefault(shard_map.version, set()).add(shard_map)
        best = None
        for snapshot in SNAPSHOTS:
            maps = descriptions.get(snapshot.map_version, set())
            if len(maps) != 1:
                continue
            leafs = set(next(iter(maps)).leafs)
            usable = [
                r for r in fresh if r.state is ServerState.LIVE and r.server not in self.unusable
            ]
            held = {h.leaf for r in usable for h in r.holdings if h.snapshot == snapshot}
            if not any(h.snapshot == snapshot for r in usable for h in r.holdings):
                continue
            rank = (held >= leafs, len(held & leafs) / len(leafs), snapshot)
            best = rank if best is None else max(best, rank)
        return None if best is None else (best[0], best[2])


def completeness_and_snapshot(choice: SnapshotChoice | None) -> tuple[bool, Snapshot] | None:
    """Return the part of a choice that the naive version computes too."""
    return None if choice is None else (choice.complete, choice.snapshot)


def differences(table: HoldingsTable, script: Sequence[tuple[str, object]]) -> int:
    """Apply a script to the table and the naive version; count the choices that differ."""
    naive, now, found = NaiveHoldings(), 0.0, 0
    for name, argument in script:
        match name, argument:
            case "report", StatusReport() as report:
                table.report(now, report)
                naive.known[report.server] = (now, report)
            case "forget", str(server):
                table.forget(server)
                naive.known.pop(server, None)
            case "retract", (str(server), Holding() as holding):
                table.remove_holding(server, holding)
                if server in naive.known:
                    at, known = naive.known[server]
                    updated = replace(known, holdings=known.holdings - {holding})
                    naive.known[server] = (at, updated)
            case "unusable", frozenset() as servers:
                table.set_excluded_servers(servers)
                naive.unusable = servers
            case "wait", float(seconds):
                now += seconds
        found += completeness_and_snapshot(table.choose(now)) != naive.choose(now)
    return found


class NeverInvalidated(HoldingsTable):
    """Weakened variant that keeps a cached choice until a report expires, despite new reports."""

    def invalidate(self) -> None:
        pass


def compare_scripts(table: type[HoldingsTable], examples: int) -> tuple[int, int]:
    """Generate scripts from a fixed seed; return their number and the choices that differ."""
    tried = found = 0

    @seed(20261204)
    @settings(max_examples=examples, deadline=None, database=None)
    @given(script=operations)
    def collect(script: list[tuple[str, object]]) -> None:
        nonlocal tried, found
        tried += 1
        found += differences(table(), script)

    collect()
    return tried, found


def test_a_server_that_returns_with_the_same_holdings_after_its_report_expired_is_used() -> None:
    """Guards against a cached choice that ignores a server which reports again after a silence.

    Its report has expired meanwhile, so the same holdings must invalidate the cached choice.
    """
    report = StatusReport(
        server="s2",
        incarnation="1",
        state=ServerState.LIVE,
        load=0.0,
        holdings=frozenset(Holding(leaf=leaf, snapshot=SNAPSHOTS[0]) for leaf in "ab"),
        maps=tuple(MAPS.values()),
    )
    script: list[tuple[str, object]] = [
        ("report", report),
        ("wait", HOLDINGS_MAX_AGE_S + 1),
        ("report", replace(report, server="s1", holdings=frozenset())),
        ("report", report),
    ]
    assert differences(HoldingsTable(), script) == 0


@pytest.mark.prove
def test_the_cached_choice_equals_the_choice_computed_from_scratch(proof: ProofRecorder) -> None:
    """Guards against a stale cached choice.

    Holdings or the unusable servers may have changed, or a report may have expired.
    """
    tried, found = compare_scripts(HoldingsTable, 1500)
    _, weakened = compare_scripts(NeverInvalidated, 300)
    proof(
        ProofRow(
            guarantee=Guarantee.TRUE_COVERAGE,
            topic="snapshot choice",
            cases=tried,
            violations=found,
            weakened=weakened,
        )
    )
    assert found == 0
    assert weakened > 0


def answer(leaf: str, *records: tuple[str, float]) -> LeafAnswer:
    """Build a leaf answer from keys and ranks."""
    return LeafAnswer(
        call_id="c",
        leaf=leaf,
        snapshot=SNAPSHOTS[0],
        record_count=len(records),
        records=tuple(Record(key=key, rank=rank, fields={}) for key, rank in records),
    )


@pytest.mark.parametrize(
    ("answers", "limit", "keys", "missing"),
    [
        pytest.param({}, 5, [], [("a", "timeout"), ("b", "no_server")], id="nothing-answered"),
        pytest.param(
            {"a": answer("a", ("x", 1), ("y", 3))},
            5,
            ["y", "x"],
            [("b", "no_server")],
            id="partial",
        ),
        pytest.param(
            {"b": answer("b", ("z", 2)), "a": answer("a", ("y", 2), ("x", 9))},
            2,
            ["x", "y"],
            [],
            id="limit-keeps-the-highest-ranks-then-key-order",
        ),
    ],
)
def test_merge_orders_limits_and_names_each_missing_leaf(
    answers: dict[str, LeafAnswer], limit: int, keys: list[str], missing: list[tuple[str, str]]
) -> None:
    """Guards against wrong order, too many records, and missing leafs without their reason."""
    merged = merge(
        snapshot=SNAPSHOTS[0],
        leafs=("a", "b"),
        answers=answers,
        failures={"b": LeafFailureReason.NO_SERVER},
        limit=limit,
    )
    assert [record.key for record in merged.records] == keys
    assert [(leaf.leaf, str(leaf.reason)) for leaf in merged.coverage.missing] == missing
    assert merged.coverage.leafs_covered == len(answers)
