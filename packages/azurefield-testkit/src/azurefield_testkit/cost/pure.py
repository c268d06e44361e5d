"""Processor time of the decision code, which does no input or output."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from random import Random
from typing import TYPE_CHECKING

from azurefield.admission import AdmissionQueue, AdmissionRequest
from azurefield.concurrency_limit import ConcurrencyLimit
from azurefield.hedging import BudgetedHedging
from azurefield.limits import ConnectionShares
from azurefield.membership import Heartbeat, InstanceState, KnownInstance
from azurefield.merge import SnapshotMerge
from azurefield.model import RequestKind, ShardMap, Snapshot, even_shard_map
from azurefield.query import FanOut
from azurefield.query_actions import SendLeafCall
from azurefield.retry import RetryBudget
from azurefield.routing import OwnObservationRouter
from azurefield.snapshot import (
    Holding,
    HoldingsTable,
    LeafAnswer,
    Record,
    ServerState,
    StatusReport,
    choose_snapshot,
    merge,
)
from azurefield_testkit.cost.timing import Timings

if TYPE_CHECKING:
    from azurefield_testkit.cost.series import Series

REPLICAS = 3
RECORDS_PER_LEAF = 10
LISTING_LIMIT = 40
SNAPSHOT = Snapshot(index_version=1, map_version=1)
CONNECTION_LIMIT = 60
UNREACHED_DEADLINE_S = 1000.0


@dataclass(slots=True, kw_only=True, frozen=True)
class PureSizes:
    """Sizes and repetitions of the measurements without processes."""

    leafs: tuple[int, ...] = (3, 8, 24, 100, 300, 1200)
    large_leafs: tuple[int, ...] = (300, 1200, 6000, 18000)
    instances: tuple[int, ...] = (2, 8, 28, 100)
    servers: tuple[int, ...] = (8, 96, 261)
    queued: tuple[int, ...] = (16, 64, 256)
    batch: tuple[int, ...] = (1, 10, 100, 1000)
    repetitions: int = 5


def leaf_names(count: int) -> tuple[str, ...]:
    """Return the names of this many leafs."""
    return tuple(f"leaf-{number:05}" for number in range(count))


def measure_pure(sizes: PureSizes) -> list[Series]:
    """Measure queries, admission control and connection shares."""
    timings = Timings(repetitions=sizes.repetitions)
    for leafs in sizes.leafs:
        time_query(timings, leafs)
    for queued in sizes.queued:
        time_admission(timings, queued)
    for instances in sizes.instances:
        time_shares(timings, instances, servers=sizes.servers[-1])
    return list(timings.series.values())


def time_query(timings: Timings, count: int) -> None:
    """Time the choice of a snapshot, the fan-out and the merge of one query."""
    leafs = leaf_names(count)
    shard_map = even_shard_map(version=1, leafs=leafs)
    reports = status_reports(leafs, shard_map)
    table = HoldingsTable()
    for report in reports:
        table.report(0.0, report)
    answers = {leaf: leaf_answer(leaf, leaf) for leaf in leafs}
    choose = partial(choose_snapshot, reports, {1: shard_map})
    timings.time(f"choose_snapshot, {REPLICAS} servers a leaf", "leaf", count, choose)
    merged = partial(
        merge, snapshot=SNAPSHOT, leafs=leafs, answers=answers, failures={}, limit=LISTING_LIMIT
    )
    timings.time(f"merge, {RECORDS_PER_LEAF} records a leaf", "leaf", count, merged)
    router = OwnObservationRouter(random=Random(1))
    hedging = BudgetedHedging(budget=0.05)
    run = partial(run_query, leafs, table, router, hedging, answers)
    timings.time("FanOut from start to end", "leaf", count, run)


def status_reports(leafs: tuple[str, ...], shard_map: ShardMap) -> list[StatusReport]:
    """Build the reports of all servers; all contain the same shard map."""
    return [
        StatusReport(
            server=f"{leaf}-{number}",
            incarnation="i",
            state=ServerState.LIVE,
            load=0.5,
            holdings=frozenset({Holding(leaf=leaf, snapshot=SNAPSHOT)}),
            maps=(shard_map,),
        )
        for leaf in leafs
        for number in range(REPLICAS)
    ]


def leaf_answer(call_id: str, leaf: str) -> LeafAnswer:
    """Build the answer of one leaf."""
    records = tuple(
        Record(key=f"{leaf}-{number}", rank=1 - number / 100, fields={"group": "north"})
        for number in range(RECORDS_PER_LEAF)
    )
    return LeafAnswer(
        call_id=call_id,
        leaf=leaf,
        snapshot=SNAPSHOT,
        record_count=len(records),
        records=records,
    )


def run_query(
    leafs: tuple[str, ...],
    table: HoldingsTable,
    router: OwnObservationRouter,
    hedging: BudgetedHedging,
    answers: dict[str, LeafAnswer],
) -> None:
    """Run one query in which every leaf answers its first call."""
    fan_out = FanOut(
        request_id="q",
        merge=SnapshotMerge(kind=RequestKind.LISTING, limit=LISTING_LIMIT),
        snapshot=SNAPSHOT,
        leafs=leafs,
        deadline=20.0,
        holders=table,
        router=router,
        hedging=hedging,
        retries=RetryBudget(ratio=0.1),
    )
    for action in fan_out.start(10.0):
        if isinstance(action, SendLeafCall):
            known = answers[action.leaf]
            answer = LeafAnswer(
                call_id=action.call_id,
                leaf=action.leaf,
                snapshot=SNAPSHOT,
                record_count=known.record_count,
                records=known.records,
            )
            fan_out.on_answer(10.01, action.call_id, answer)
    assert fan_out.finished


def time_admission(timings: Timings, queued: int) -> None:
    """Time the arrival and the end of one request while others are queued."""
    kinds = dict.fromkeys(RequestKind, 1)
    queue = AdmissionQueue(
        limit=ConcurrencyLimit(limit=8.0, target_s=0.01, ceiling=8.0),
        queue_limit=queued + 1,
        priorities=kinds,
        kind_weights=dict.fromkeys(RequestKind, 1.0),
        weights={f"member-{number}": 1.0 for number in range(4)},
    )
    running: list[str] = []
    numbers = iter(range(1 << 30))

    def submit() -> None:
        number = next(numbers)
        request = AdmissionRequest(
            request_id=str(number),
            member=f"member-{number % 4}",
            kind=RequestKind.LISTING,
            arrived_at=number * 1e-5,
            deadline=number * 1e-5 + UNREACHED_DEADLINE_S,
        )
        queue.submit(request.arrived_at, request)
        running.extend(decision.request_id for decision in queue.take_decisions())

    def arrive_and_end() -> None:
        submit()
        first = next(iter(queue.running))
        queue.release(next(numbers) * 1e-5, first, 0.01)
        queue.take_decisions()

    for _ in range(queued + 8):
        submit()
    assert queue.queued >= queued - 8
    timings.time("AdmissionQueue, arrival and end", "waiting request", queued, arrive_and_end)


def time_shares(timings: Timings, instances: int, *, servers: int) -> None:
    """Time one update of the ceilings after a heartbeat from each peer."""
    names = [f"entry-{number}" for number in range(instances)]
    limits = {f"server-{number}": CONNECTION_LIMIT for number in range(servers)}
    shares = ConnectionShares(instance=names[0], incarnation="i", started_at=0.0)
    shares.set_limits(limits)
    shares.set_others(0.0, frozenset(names[1:]))
    heartbeats = [heartbeat(name, names, limits) for name in names[1:]]
    for entry in heartbeats:
        shares.on_heartbeat(1.0, entry)
    name = f"ConnectionShares.update, {servers} servers"
    timings.time(name, "instance", instances, partial(shares.update, 3.0))


def heartbeat(sender: str, names: list[str], ceilings: dict[str, int]) -> Heartbeat:
    """Build a heartbeat that lists all other instances."""
    return Heartbeat(
        instance=sender,
        incarnation="i",
        sequence=1,
        peer_address="127.0.0.1:9000",
        availability_zone="zone-a",
        state=InstanceState.LIVE,
        known=known_instances(sender, names),
        ceilings=dict.fromkeys(ceilings, 1),
    )


def known_instances(sender: str, names: list[str]) -> dict[str, KnownInstance]:
    """Build the entries of a heartbeat about the other instances."""
    return {
        name: KnownInstance(
            incarnation="0123456789abcdef0123456789abcdef",
            sequence=1_000_000,
            peer_address="127.0.0.1:9000",
            availability_zone="zone-a",
            state=InstanceState.LIVE,
        )
        for name in names
        if name != sender
    }
