"""Choice of the snapshot for a query; check and merge of leaf answers."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Any

from msgspec import Struct, field
from msgspec.structs import replace
from result import Err, Ok, Result

from azurefield.failures import LeafFailure, LeafFailureReason
from azurefield.model import Outcome, ShardMap, Snapshot

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

HOLDINGS_MAX_AGE_S = 30.0


class ServerState(StrEnum):
    """The state that a backend server reports for itself."""

    STARTING = "starting"
    LIVE = "live"
    LEAVING = "leaving"


class Holding(Struct, kw_only=True, frozen=True):
    """A leaf that a backend server can serve at one snapshot."""

    leaf: str
    snapshot: Snapshot


class StatusReport(Struct, kw_only=True, frozen=True):
    """The status that a backend server reported; ``load`` is between 0 and 1 and only a hint.

    ``incarnation`` changes with every start of the server, so that a restarted server no longer
    counts as leaving.
    """

    server: str
    incarnation: str
    state: ServerState
    load: float
    holdings: frozenset[Holding]
    maps: tuple[ShardMap, ...]


class SnapshotChoice(Struct, kw_only=True, frozen=True):
    """The snapshot of one query, its shard map and the leafs held by at least one usable server."""

    snapshot: Snapshot
    shard_map: ShardMap
    held_leafs: frozenset[str]

    @property
    def complete(self) -> bool:
        """Whether a usable server holds each leaf of the shard map."""
        return self.held_leafs.issuperset(self.shard_map.leafs)


class HoldingsTable(Struct, kw_only=True):
    """Records which backend server holds which leaf at which snapshot.

    A report that is not renewed within ``max_age_s`` expires. A shard-map version that two servers
    describe differently is not used, because the coverage of an answer could then be wrong.
    """

    max_age_s: float = HOLDINGS_MAX_AGE_S
    # The last report of each server with the time at which it arrived.
    reports: dict[str, tuple[float, StatusReport]] = field(default_factory=dict)
    unusable: frozenset[str] = frozenset()
    cached: SnapshotChoice | None = None
    cached_until: float = float("-inf")
    holders_of: dict[Holding, tuple[str, ...]] = field(default_factory=dict)

    def report(self, now: float, report: StatusReport) -> None:
        """Replace the report of one backend server."""
        known = self.reports.get(report.server)
        self.reports[report.server] = (now, report)
        # An expired report was no longer used, so the same holdings are a change.
        if known is None or now - known[0] > self.max_age_s or not _same_holdings(known[1], report):
            self.invalidate()

    def forget(self, server: str) -> None:
        """Remove a backend server that left the configuration."""
        if self.reports.pop(server, None) is not None:
            self.invalidate()

    def remove_holding(self, server: str, holding: Holding) -> None:
        """Remove a holding that the backend server denied in an answer."""
        known = self.reports.get(server)
        if known is None or holding not in known[1].holdings:
            return
        at, report = known
        updated = replace(report, holdings=report.holdings - {holding})
        self.reports[server] = (at, updated)
        self.invalidate()

    def set_excluded_servers(self, servers: frozenset[str]) -> None:
        """Set the backend servers that get no new calls, for instance leaving ones."""
        if servers != self.unusable:
            self.unusable = servers
            self.invalidate()

    def invalidate(self) -> None:
        """Discard the cached choice, so that the next one is recomputed."""
        self.cached_until = float("-inf")

    def holders(self, now: float, holding: Holding) -> tuple[str, ...]:
        """List the usable backend servers for a leaf at a snapshot, in name order."""
        if now >= self.cached_until:
            self.choose(now)
        return self.holders_of.get(holding, ())

    def fresh(self, now: float) -> list[tuple[float, StatusReport]]:
        """List the reports that have not expired, each with the time at which it arrived."""
        return [entry for entry in self.reports.values() if now - entry[0] <= self.max_age_s]

    def usable(self, now: float) -> list[StatusReport]:
        """List the fresh reports of live backend servers that may get new calls, sorted by name."""
        usable = [
            report
            for _, report in self.fresh(now)
            if report.state is ServerState.LIVE and report.server not in self.unusable
        ]
        return sorted(usable, key=lambda report: report.server)

    def choose(self, now: float) -> SnapshotChoice | None:
        """Choose the newest complete snapshot, else the one with the highest share of held leafs.

        :return: None if no usable backend server reported any snapshot with a known shard map
        """
        if now < self.cached_until:
            return self.cached
        usable = self.usable(now)
        self.cached = choose_snapshot(usable, self.known_maps(now))
        servers: dict[Holding, list[str]] = {}
        for report in usable:
            for holding in report.holdings:
                servers.setdefault(holding, []).append(report.server)
        self.holders_of = {holding: tuple(names) for holding, names in servers.items()}
        expiries = (at + self.max_age_s for at, _ in self.fresh(now))
        self.cached_until = min(expiries, default=now)
        return self.cached

    def known_maps(self, now: float) -> dict[int, ShardMap]:
        """Return the shard maps on which all fresh reports agree, also those of leaving servers."""
        maps: dict[int, ShardMap] = {}
        conflicting: set[int] = set()
        for _, report in self.fresh(now):
            for shard_map in report.maps:
                if maps.setdefault(shard_map.version, shard_map) != shard_map:
                    conflicting.add(shard_map.version)
        return {version: entry for version, entry in maps.items() if version not in conflicting}


def _same_holdings(first: StatusReport, second: StatusReport) -> bool:
    return (first.state, first.holdings, first.maps) == (second.state, second.holdings, second.maps)


def choose_snapshot(
    reports: Iterable[StatusReport], maps: Mapping[int, ShardMap]
) -> SnapshotChoice | None:
    """Choose the newest complete snapshot, else the one with the highest share of held leafs.

    :param reports: reports of usable backend servers
    :param maps: shard maps by version
    """
    held: dict[Snapshot, set[str]] = {}
    for report in reports:
        for holding in report.holdings:
            held.setdefault(holding.snapshot, set()).add(holding.leaf)
    choices = [
        SnapshotChoice(
            snapshot=snapshot,
            shard_map=maps[snapshot.map_version],
            held_leafs=frozenset(leafs) & frozenset(maps[snapshot.map_version].leafs),
        )
        for snapshot, leafs in held.items()
        if snapshot.map_version in maps
    ]
    return max(
        choices,
        key=lambda choice: (
            choice.complete,
            len(choice.held_leafs) / len(choice.shard_map.leafs),
            choice.snapshot,
        ),
        default=None,
    )


class Record(Struct, kw_only=True, frozen=True):
    """One search result; records are merged by descending rank, then by key."""

    key: str
    rank: float
    fields: dict[str, Any]


class LeafAnswer(Struct, kw_only=True, frozen=True):
    """A leaf's answer, with the call, leaf and snapshot that the server echoed."""

    call_id: str
    leaf: str
    snapshot: Snapshot
    record_count: int
    records: tuple[Record, ...]


def check_answer(
    answer: LeafAnswer, *, call_id: str, leaf: str, snapshot: Snapshot
) -> Result[LeafAnswer, LeafFailure]:
    """Check that an answer is complete and belongs to the requested call, leaf and snapshot."""
    if answer.call_id != call_id or answer.leaf != leaf:
        return Err(_invalid_answer(LeafFailureReason.IDENTITY_MISMATCH))
    if answer.snapshot != snapshot:
        return Err(_invalid_answer(LeafFailureReason.SNAPSHOT_MISMATCH))
    if answer.record_count != len(answer.records):
        return Err(_invalid_answer(LeafFailureReason.TRUNCATED))
    return Ok(answer)


def _invalid_answer(reason: LeafFailureReason) -> LeafFailure:
    return LeafFailure(reason=reason, outcome=Outcome.MAY_HAVE_RUN)


class MissingLeaf(Struct, kw_only=True, frozen=True):
    """A leaf of the snapshot's shard map whose records are not in the answer, and why."""

    leaf: str
    reason: LeafFailureReason


class Coverage(Struct, kw_only=True, frozen=True):
    """How many leafs of the snapshot's shard map an answer covers."""

    leafs_total: int
    leafs_covered: int
    missing: tuple[MissingLeaf, ...]

    @property
    def fraction(self) -> float:
        """Covered leafs as a fraction, 0 to 1."""
        return self.leafs_covered / self.leafs_total if self.leafs_total else 0.0


class MergedAnswer(Struct, kw_only=True, frozen=True):
    """The answer of one query, all records from one snapshot."""

    snapshot: Snapshot
    coverage: Coverage
    records: tuple[Record, ...]


def merge(
    *,
    snapshot: Snapshot,
    leafs: tuple[str, ...],
    answers: Mapping[str, LeafAnswer],
    failures: Mapping[str, LeafFailureReason],
    limit: int,
) -> MergedAnswer:
    """Merge checked leaf answers of one snapshot.

    :param leafs: the leafs of the query, each once
    :param answers: the answer of each covered leaf
    :param failures: why each other leaf is missing; a leaf in neither mapping timed out
    :param limit: the maximum number of records to return
    """
    used = [answers[leaf] for leaf in leafs if leaf in answers]
    missing = tuple(
        MissingLeaf(leaf=leaf, reason=failures.get(leaf, LeafFailureReason.TIMEOUT))
        for leaf in leafs
        if leaf not in answers
    )
    records = sorted(
        (record for answer in used for record in answer.records),
        key=lambda record: (-record.rank, record.key),
    )
    coverage = Coverage(leafs_total=len(leafs), leafs_covered=len(used), missing=missing)
    return MergedAnswer(snapshot=snapshot, coverage=coverage, records=tuple(records[:limit]))
