"""Differential tests of the fan-out against a naive replay of the complete history."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from msgspec.structs import replace
from result import Err, Ok, Result

import azurefield.merge as merge_module
from azurefield.failures import LeafFailure, LeafFailureReason, RequestFailure
from azurefield.hedging import NoHedging
from azurefield.merge import SnapshotMerge
from azurefield.model import Outcome, RequestKind, Snapshot, even_shard_map
from azurefield.query import FanOut
from azurefield.query_actions import Action, CancelLeafCall, Finished, SendLeafCall, WakeAt
from azurefield.retry import RetryBudget
from azurefield.routing import RoundRobinRouter
from azurefield.snapshot import Holding, LeafAnswer, MergedAnswer, Record
from azurefield_testkit.proof import Guarantee, ProofRecorder, ProofRow

if TYPE_CHECKING:
    from collections.abc import Callable

REQUESTED = Snapshot(index_version=7, map_version=2)
OTHERS = (
    Snapshot(index_version=6, map_version=2),
    Snapshot(index_version=7, map_version=1),
)
LEAFS = ("a", "b", "c", "d")
KEYS = tuple(f"key-{number}" for number in range(24))
DEADLINE = 100


def records_of(leaf: str, snapshot: Snapshot) -> tuple[Record, ...]:
    """Return the records of a leaf.

    They differ between map versions in their keys and between index versions in their fields.
    """
    leafs = LEAFS if snapshot.map_version == 2 else LEAFS[::-1]
    shard_map = even_shard_map(version=snapshot.map_version, leafs=leafs)
    return tuple(
        Record(key=key, rank=float(len(key)), fields={"v": snapshot.index_version})
        for key in KEYS
        if shard_map.leaf_of(key) == leaf
    )


@dataclass(slots=True, kw_only=True, frozen=True)
class Behaviour:
    """What happens to one call: ``kind`` of event, its delay and the number of copies delivered."""

    delay: int
    kind: str
    copies: int


behaviours = st.builds(
    Behaviour,
    delay=st.integers(0, DEADLINE + 30),
    kind=st.sampled_from(
        ["answer"] * 4
        + [
            "old-index",
            "old-map",
            "truncated",
            "other-call",
            "other-leaf",
            "refused",
            "lost",
            "never",
        ]
    ),
    copies=st.integers(1, 3),
)


class FixedDelayHedge(NoHedging):
    """Hedges every call after 20 time units, without a budget."""

    def delay_s(self, leaf: str) -> float | None:  # noqa: ARG002
        return 20.0

    def try_spend(self, now: float, leaf: str) -> bool:  # noqa: ARG002
        return True


@dataclass(slots=True, kw_only=True)
class AllHolders:
    """Returns all servers as holders of every leaf."""

    names: tuple[str, ...]

    def holders(self, now: float, holding: Holding) -> tuple[str, ...]:  # noqa: ARG002
        return self.names


@dataclass(slots=True, kw_only=True)
class History:
    """All calls and events of one query.

    ``closed`` and ``finished_after`` hold the number of events delivered before a call was
    cancelled and before the query finished.
    """

    sent: dict[str, SendLeafCall] = field(default_factory=dict)
    closed: dict[str, int] = field(default_factory=dict)
    delivered: list[tuple[str, LeafAnswer | LeafFailure]] = field(default_factory=list)
    finished_after: int | None = None
    result: Result[MergedAnswer, RequestFailure] | None = None


def event_of(call: SendLeafCall, behaviour: Behaviour) -> LeafAnswer | LeafFailure | None:
    """Build the event that is delivered for a call; None if nothing arrives."""
    snapshot = {"old-index": OTHERS[0], "old-map": OTHERS[1]}.get(behaviour.kind, REQUESTED)
    leaf = LEAFS[LEAFS.index(call.leaf) - 1] if behaviour.kind == "other-leaf" else call.leaf
    records = records_of(leaf, snapshot)
    answer = LeafAnswer(
        call_id="other.0" if behaviour.kind == "other-call" else call.call_id,
        leaf=leaf,
        snapshot=snapshot,
        record_count=len(records),
        records=records,
    )
    match behaviour.kind:
        case "never":
            return None
        case "refused":
            return LeafFailure(reason=LeafFailureReason.SHEDDING, outcome=Outcome.NOT_RUN)
        case "lost":
            return LeafFailure(
                reason=LeafFailureReason.CONNECTION_LOST, outcome=Outcome.MAY_HAVE_RUN
            )
        case "truncated":
            return replace(answer, records=records[:-1], record_count=len(records))
    return answer


def run(leafs: tuple[str, ...], kind: RequestKind, script: list[Behaviour]) -> History:
    """Run a fan-out in virtual time; late and duplicate events arrive even after a cancel."""
    history = History()
    fan_out = FanOut(
        request_id="r",
        merge=SnapshotMerge(kind=kind, limit=1000),
        snapshot=REQUESTED,
        leafs=leafs,
        deadline=DEADLINE,
        holders=AllHolders(names=("s1", "s2", "s3")),
        router=RoundRobinRouter(),
        hedging=FixedDelayHedge(),
        retries=RetryBudget(ratio=0.1),
    )
    queue: list[tuple[float, int, str, LeafAnswer | LeafFailure | None]] = []
    order = iter(range(1_000_000))

    def apply_actions(now: float, actions: list[Action[MergedAnswer]]) -> None:
        for action in actions:
            match action:
                case SendLeafCall():
                    behaviour = script[len(history.sent) % len(script)]
                    history.sent[action.call_id] = action
                    event = event_of(action, behaviour)
                    for copy in range(behaviour.copies if event is not None else 0):
                        at = now + behaviour.delay + copy
                        heapq.heappush(queue, (at, next(order), action.call_id, event))
                case CancelLeafCall(call_id=call_id):
                    history.closed[call_id] = len(history.delivered)
                case WakeAt(at=at):
                    heapq.heappush(queue, (at, next(order), "", None))
                case Finished(result=result):
                    assert history.result is None, "finished twice"
                    history.finished_after = len(history.delivered)
                    history.result = result

    apply_actions(0, fan_out.start(0))
    while queue:
        now, _, call_id, event = heapq.heappop(queue)
        if event is None:
            apply_actions(now, fan_out.on_tick(now))
            continue
        history.delivered.append((call_id, event))
        if isinstance(event, LeafAnswer):
            apply_actions(now, fan_out.on_answer(now, call_id, event))
        else:
            apply_actions(now, fan_out.on_failure(now, call_id, event))
    return history


def naive_answers(history: History) -> dict[str, LeafAnswer]:
    """Replay the history; the first complete answer that matches an open call of a leaf counts."""
    answers: dict[str, LeafAnswer] = {}
    ended: set[str] = set()
    for position, (call_id, event) in enumerate(history.delivered[: history.finished_after]):
        call = history.sent[call_id]
        closed = history.closed.get(call_id, position + 1) <= position
        if call_id in ended or call.leaf in answers or closed:
            continue
        ended.add(call_id)
        complete = isinstance(event, LeafAnswer) and event.record_count == len(event.records)
        if (
            isinstance(event, LeafAnswer)
            and complete
            and (event.call_id, event.leaf, event.snapshot) == (call_id, call.leaf, REQUESTED)
        ):
            answers[call.leaf] = event
    return answers


def violations(leafs: tuple[str, ...], kind: RequestKind, history: History) -> list[str]:
    """Compare the result with the naive replay and with the records of the leafs."""
    if history.result is None:
        return ["the query never finished"]
    expected = naive_answers(history)
    enough = len(expected) == len(leafs) or (kind.partial and bool(expected))
    match history.result:
        case Err():
            return ["failed although enough leafs answered"] if enough else []
        case Ok(merged):
            if not enough:
                return ["answered although too few leafs answered"]
    found = []
    covered = set(leafs) - {entry.leaf for entry in merged.coverage.missing}
    if covered != set(expected) or merged.coverage.leafs_covered != len(expected):
        found.append("coverage differs")
    stored = [record for leaf in covered for record in records_of(leaf, REQUESTED)]
    if sorted(merged.records, key=lambda r: r.key) != sorted(stored, key=lambda r: r.key):
        found.append("records differ from those of the covered leafs in the snapshot")
    return found


cases = given(
    leafs=st.integers(1, 4).map(lambda count: LEAFS[:count]),
    kind=st.sampled_from([RequestKind.LISTING, RequestKind.URGENT, RequestKind.LOOKUP]),
    script=st.lists(behaviours, min_size=1, max_size=8),
)


def explore_histories(examples: int) -> tuple[int, list[str]]:
    """Generate histories from a fixed seed; return their number and all violations."""
    tried = 0
    found: list[str] = []

    @seed(20261204)
    @settings(max_examples=examples, deadline=None, database=None)
    @cases
    def collect(leafs: tuple[str, ...], kind: RequestKind, script: list[Behaviour]) -> None:
        nonlocal tried
        tried += 1
        found.extend(violations(leafs, kind, run(leafs, kind, script)))

    collect()
    return tried, found


@pytest.mark.prove
def test_the_fan_out_answers_as_the_naive_replay_of_the_same_history(proof: ProofRecorder) -> None:
    """Guards against mixed snapshots, overstated coverage and answers to another request.

    The generated histories contain wrong, truncated, late, duplicate and missing answers.
    """
    tried, found = explore_histories(1500)
    for guarantee in (Guarantee.ONE_SNAPSHOT, Guarantee.TRUE_COVERAGE, Guarantee.WHOLE_ANSWER):
        proof(ProofRow(guarantee=guarantee, topic="fan-out", cases=tried, violations=len(found)))
    assert found == []


def _accept_anything(answer: LeafAnswer, **_: object) -> Result[LeafAnswer, LeafFailure]:
    return Ok(answer)


def _accept_other_snapshots(
    answer: LeafAnswer, *, call_id: str, leaf: str, snapshot: Snapshot  # noqa: ARG001
) -> Result[LeafAnswer, LeafFailure]:
    if (answer.call_id, answer.leaf) != (call_id, leaf):
        return Err(LeafFailure(reason=LeafFailureReason.MALFORMED, outcome=Outcome.MAY_HAVE_RUN))
    return Ok(answer)


@pytest.mark.prove
@pytest.mark.parametrize(
    "weakened", [_accept_anything, _accept_other_snapshots], ids=["no-check", "no-snapshot-check"]
)
def test_a_fan_out_without_the_answer_check_is_caught(
    weakened: Callable[..., Result[LeafAnswer, LeafFailure]],
    monkeypatch: pytest.MonkeyPatch,
    proof: ProofRecorder,
) -> None:
    """Guards against a comparison that can't fail: without the check it must find violations."""
    monkeypatch.setattr(merge_module, "check_answer", weakened)
    _, found = explore_histories(300)
    for guarantee in (Guarantee.ONE_SNAPSHOT, Guarantee.TRUE_COVERAGE, Guarantee.WHOLE_ANSWER):
        proof(ProofRow(guarantee=guarantee, topic="fan-out", weakened=len(found)))
    assert found
