"""Checks the history of a run: the results of callers against the journals of backend servers."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from azurefield.model import Outcome, RequestKind, ShardMap, Snapshot
from azurefield.snapshot import Record
from azurefield_testkit.backend_state import BookingRun, CallWhileLeaving
from azurefield_testkit.records import Dataset, matches

if TYPE_CHECKING:
    from collections.abc import Iterator

# A leaving backend server must get no new calls after this time.
NEW_CALLS_WHILE_LEAVING_MAX_S = 3.0


class ViolationKind(StrEnum):
    """The guarantee that a history violates."""

    DOUBLE_RUN = "double-run"
    FALSE_NOT_RUN = "false-not-run"
    ANSWER_WITHOUT_RUN = "answer-without-run"
    MIXED_SNAPSHOT = "mixed-snapshot"
    OVERSTATED_COVERAGE = "overstated-coverage"
    INCONSISTENT_COVERAGE = "inconsistent-coverage"
    FOREIGN_ANSWER = "foreign-answer"
    VERSION_WENT_BACK = "version-went-back"
    WORK_WHILE_LEAVING = "work-while-leaving"


@dataclass(slots=True, kw_only=True, frozen=True)
class Violation:
    """One violated guarantee with the request, booking, instance or server concerned."""

    kind: ViolationKind
    subject: str
    detail: str


@dataclass(slots=True, kw_only=True, frozen=True)
class SentRequest:
    """One request as its caller sent it; ``booking`` is the same for all attempts of a booking."""

    request_id: str
    service: str
    kind: RequestKind
    limit: int = 0
    query: dict[str, Any] = field(default_factory=dict)
    key: str = ""
    booking: str = ""


@dataclass(slots=True, kw_only=True, frozen=True)
class ReceivedAnswer:
    """The answer of a request that succeeded."""

    request_id: str
    snapshot: Snapshot
    leafs_total: int
    leafs_covered: int
    missing: tuple[str, ...]
    records: tuple[Record, ...]


@dataclass(slots=True, kw_only=True, frozen=True)
class RequestResult:
    """The result of one request as its caller saw it, with wall-clock times.

    ``status`` is 0 and ``outcome`` None if the connection broke or the caller's timeout passed.
    ``problem`` is the type of the problem in an error answer.
    """

    request: SentRequest
    sent_at: float
    ended_at: float
    status: int
    outcome: Outcome | None = None
    problem: str = ""
    answer: ReceivedAnswer | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class ObservedVersion:
    """The configuration version that an instance reported as in force at a time."""

    instance: str
    incarnation: str
    at: float
    version: int


@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceRecords:
    """The generated records and the shard maps of one service."""

    dataset: Dataset
    maps: dict[int, ShardMap]


@dataclass(slots=True, kw_only=True)
class History:
    """All observations of one run, from callers, backend servers and instances."""

    services: dict[str, ServiceRecords]
    results: list[RequestResult] = field(default_factory=list)
    bookings: list[BookingRun] = field(default_factory=list)
    calls_while_leaving: list[CallWhileLeaving] = field(default_factory=list)
    versions: list[ObservedVersion] = field(default_factory=list)


def find_violations(history: History) -> list[Violation]:
    """Find all violations of a history."""
    return [
        *check_bookings(history),
        *check_answers(history),
        *check_versions(history),
        *check_leaving(history),
    ]


def check_bookings(history: History) -> Iterator[Violation]:
    """Check that each booking ran at most once and that the results of its callers are true."""
    runs: dict[str, list[BookingRun]] = defaultdict(list)
    for run in history.bookings:
        runs[str(run.payload.get("booking", run.call_id))].append(run)
    attempts: dict[str, list[RequestResult]] = defaultdict(list)
    for result in history.results:
        if result.request.kind is RequestKind.BOOKING:
            attempts[result.request.booking].append(result)
    for booking, booking_runs in runs.items():
        if len(booking_runs) > 1:
            servers = ", ".join(run.server for run in booking_runs)
            yield Violation(kind=ViolationKind.DOUBLE_RUN, subject=booking, detail=servers)
        for run in booking_runs:
            yield from check_run_outcomes(run, booking, attempts.get(booking, []))
    for booking, booking_attempts in attempts.items():
        successes = [result for result in booking_attempts if result.status == 200]
        if successes and booking not in runs:
            detail = f"answered at {successes[0].ended_at:.3f}, not in any journal"
            yield Violation(kind=ViolationKind.ANSWER_WITHOUT_RUN, subject=booking, detail=detail)


def check_run_outcomes(
    run: BookingRun, booking: str, attempts: list[RequestResult]
) -> Iterator[Violation]:
    """Check that no result claims ``not_run`` for a booking that ran.

    An attempt sent after the run must not end as ``not_run``. Of the attempts sent before the run,
    at least one must end otherwise, namely the one that caused it. The others may end as
    ``not_run``, since an instance can have refused them before the booking ran.
    """
    before = [result for result in attempts if result.sent_at <= run.at]
    after = [result for result in attempts if result.sent_at > run.at]
    false_refusals = [result for result in after if result.outcome is Outcome.NOT_RUN]
    if before and all(result.outcome is Outcome.NOT_RUN for result in before):
        false_refusals.append(before[-1])
    for result in false_refusals:
        detail = (
            f"{run.server} ran it at {run.at:.3f}; "
            f"the caller got {result.problem} at {result.ended_at:.3f}"
        )
        yield Violation(kind=ViolationKind.FALSE_NOT_RUN, subject=booking, detail=detail)


def check_answers(history: History) -> Iterator[Violation]:
    """Check the request identity, snapshot and coverage of every answer with records."""
    for result in history.results:
        if result.answer is None or result.request.kind is RequestKind.BOOKING:
            continue
        if result.answer.request_id != result.request.request_id:
            yield Violation(
                kind=ViolationKind.FOREIGN_ANSWER,
                subject=result.request.request_id,
                detail=f"answer of {result.answer.request_id}",
            )
        yield from check_snapshot(result.request, result.answer)
        yield from check_coverage(
            result.request, result.answer, history.services[result.request.service]
        )


def check_snapshot(request: SentRequest, answer: ReceivedAnswer) -> Iterator[Violation]:
    """Check that all records come from the index version that the answer states."""
    versions = {record.fields.get("index_version") for record in answer.records}
    if versions - {answer.snapshot.index_version}:
        detail = f"states {answer.snapshot.index_version}, records of {sorted(map(str, versions))}"
        yield Violation(
            kind=ViolationKind.MIXED_SNAPSHOT, subject=request.request_id, detail=detail
        )


def check_coverage(
    request: SentRequest, answer: ReceivedAnswer, service: ServiceRecords
) -> Iterator[Violation]:
    """Check that the stated coverage is consistent and that the records agree with it.

    An answer must hold exactly the best matching records of the leafs that it covers.
    """
    shard_map = service.maps[answer.snapshot.map_version]
    leafs = {leaf for leaf in shard_map.leafs if request.kind is not RequestKind.LOOKUP}
    if request.kind is RequestKind.LOOKUP:
        leafs = {shard_map.leaf_of(request.key) or ""}
    missing = set(answer.missing)
    consistent = (
        answer.leafs_total == len(leafs)
        and answer.leafs_covered == len(leafs) - len(missing)
        and missing <= leafs
        and len(missing) == len(answer.missing)
    )
    if not consistent:
        yield Violation(
            kind=ViolationKind.INCONSISTENT_COVERAGE,
            subject=request.request_id,
            detail=f"{answer.leafs_covered} of {answer.leafs_total}, missing {answer.missing}",
        )
        return
    expected = expected_keys(request, service, answer.snapshot, leafs - missing)
    received = [record.key for record in answer.records]
    if received != expected:
        lost = len(set(expected) - set(received))
        foreign = len(set(received) - set(expected))
        yield Violation(
            kind=ViolationKind.OVERSTATED_COVERAGE,
            subject=request.request_id,
            detail=f"{lost} of {len(expected)} expected records missing, {foreign} unexpected ones",
        )


def expected_keys(
    request: SentRequest, service: ServiceRecords, snapshot: Snapshot, covered: set[str]
) -> list[str]:
    """List the keys that a complete answer from the covered leafs contains, in its order."""
    shard_map = service.maps[snapshot.map_version]
    keys = [
        record.key
        for record in service.dataset.records(snapshot.index_version)
        if (record.key == request.key if request.key else matches(record, request.query))
        and shard_map.leaf_of(record.key) in covered
    ]
    return keys if request.kind is RequestKind.LOOKUP else keys[: request.limit]


def check_versions(history: History) -> Iterator[Violation]:
    """Check that no instance went back to a lower configuration version without a restart."""
    highest: dict[tuple[str, str], int] = {}
    for observed in sorted(history.versions, key=lambda observed: observed.at):
        known = highest.get((observed.instance, observed.incarnation), 0)
        if observed.version < known:
            yield Violation(
                kind=ViolationKind.VERSION_WENT_BACK,
                subject=observed.instance,
                detail=f"from {known} to {observed.version}",
            )
        highest[observed.instance, observed.incarnation] = max(known, observed.version)


def check_leaving(history: History) -> Iterator[Violation]:
    """Check that a leaving backend server gets no new calls after the allowed time."""
    for call in history.calls_while_leaving:
        if call.after_s > NEW_CALLS_WHILE_LEAVING_MAX_S:
            yield Violation(
                kind=ViolationKind.WORK_WHILE_LEAVING,
                subject=call.server,
                detail=f"call {call.call_id} after {call.after_s:.2f} s",
            )
