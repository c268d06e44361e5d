from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

import pytest
from msgspec.structs import replace as replace_record

from azurefield.model import Outcome, RequestKind, Snapshot, even_shard_map
from azurefield_testkit.backend_state import BookingRun, CallWhileLeaving
from azurefield_testkit.history import (
    History,
    ObservedVersion,
    ReceivedAnswer,
    RequestResult,
    SentRequest,
    ServiceRecords,
    ViolationKind,
    find_violations,
)
from azurefield_testkit.records import Dataset

if TYPE_CHECKING:
    from collections.abc import Callable

    from azurefield.snapshot import Record

MAP = even_shard_map(version=1, leafs=("a", "b"))
DATASET = Dataset(service="desk", seed=1, count=60)
SNAPSHOT = Snapshot(index_version=1, map_version=1)
LIMIT = 1000


def booking_result(**changes: Any) -> RequestResult:
    request = SentRequest(request_id="r1", service="desk", kind=RequestKind.BOOKING, booking="b1")
    base = RequestResult(request=request, sent_at=10.0, ended_at=11.0, status=200)
    return replace(base, **changes)


def run(**changes: Any) -> BookingRun:
    base = BookingRun(
        server="s1",
        call_id="c1",
        ticket=None,
        leaf="a",
        at=10.5,
        key="k",
        payload={"booking": "b1"},
    )
    return replace(base, **changes)


def listing(**changes: Any) -> RequestResult:
    request = SentRequest(request_id="r2", service="desk", kind=RequestKind.LISTING, limit=LIMIT)
    answer = ReceivedAnswer(
        request_id="r2",
        snapshot=SNAPSHOT,
        leafs_total=2,
        leafs_covered=2,
        missing=(),
        records=DATASET.records(1),
    )
    return RequestResult(
        request=request, sent_at=1.0, ended_at=2.0, status=200, answer=replace(answer, **changes)
    )


def lookup(records: tuple[Record, ...]) -> RequestResult:
    result = listing(records=records, leafs_total=1, leafs_covered=1)
    key = DATASET.records(1)[0].key
    request = replace(result.request, kind=RequestKind.LOOKUP, key=key)
    return replace(result, request=request)


def version(at: float, number: int, incarnation: str = "i1") -> ObservedVersion:
    return ObservedVersion(instance="e1", incarnation=incarnation, at=at, version=number)


def leaving(after_s: float) -> CallWhileLeaving:
    return CallWhileLeaving(server="s1", call_id="c9", at=20.0, after_s=after_s)


def leaf_records(leaf: str) -> tuple[Record, ...]:
    return DATASET.leaf_records(index_version=1, shard_map=MAP, leaf=leaf)


def without_run() -> dict[str, Any]:
    return {"results": [booking_result()]}


NOT_RUN = {"status": 503, "outcome": Outcome.NOT_RUN, "problem": "queue-full"}
UNKNOWN = {"status": 409, "outcome": Outcome.MAY_HAVE_RUN}
OTHER_VERSION = tuple(
    replace_record(record, fields={**record.fields, "index_version": 2}) if number == 3 else record
    for number, record in enumerate(DATASET.records(1))
)

VIOLATING: list[tuple[ViolationKind, Callable[[], dict[str, Any]]]] = [
    (
        ViolationKind.DOUBLE_RUN,
        lambda: {"results": [booking_result()], "bookings": [run(), run(server="s2", at=10.6)]},
    ),
    (
        ViolationKind.FALSE_NOT_RUN,
        lambda: {"results": [booking_result(**NOT_RUN)], "bookings": [run()]},
    ),
    (
        # The only attempt sent before the run was refused, so the refusal is false.
        ViolationKind.FALSE_NOT_RUN,
        lambda: {
            "results": [booking_result(**NOT_RUN), booking_result(sent_at=13.0, ended_at=14.0)],
            "bookings": [run(at=12.0)],
        },
    ),
    (
        # The first attempt ran with an unknown outcome; the second one is refused as not run.
        ViolationKind.FALSE_NOT_RUN,
        lambda: {
            "results": [booking_result(**UNKNOWN), booking_result(**NOT_RUN, sent_at=12.0)],
            "bookings": [run()],
        },
    ),
    (ViolationKind.ANSWER_WITHOUT_RUN, without_run),
    (ViolationKind.MIXED_SNAPSHOT, lambda: {"results": [listing(records=OTHER_VERSION)]}),
    (
        ViolationKind.OVERSTATED_COVERAGE,
        lambda: {"results": [listing(records=DATASET.records(1)[:-1])]},
    ),
    (
        ViolationKind.OVERSTATED_COVERAGE,
        lambda: {"results": [listing(leafs_covered=1, missing=("b",))]},
    ),
    (ViolationKind.OVERSTATED_COVERAGE, lambda: {"results": [lookup(())]}),
    (ViolationKind.INCONSISTENT_COVERAGE, lambda: {"results": [listing(missing=("b",))]}),
    (
        ViolationKind.INCONSISTENT_COVERAGE,
        lambda: {"results": [listing(leafs_total=1, leafs_covered=1, records=leaf_records("a"))]},
    ),
    (ViolationKind.FOREIGN_ANSWER, lambda: {"results": [listing(request_id="r9")]}),
    (
        ViolationKind.VERSION_WENT_BACK,
        lambda: {"versions": [version(3.0, 4), version(1.0, 5)]},
    ),
    (ViolationKind.WORK_WHILE_LEAVING, lambda: {"calls_while_leaving": [leaving(3.1)]}),
]

CORRECT: dict[str, Callable[[], dict[str, Any]]] = {
    "booking-run-once": lambda: {"results": [booking_result()], "bookings": [run()]},
    "refused-then-run-by-the-next-attempt": lambda: {
        "results": [booking_result(**NOT_RUN), booking_result(sent_at=12.0, ended_at=13.0)],
        "bookings": [run(at=12.5)],
    },
    "unknown-then-refused-before-the-run": lambda: {
        "results": [booking_result(**UNKNOWN), booking_result(**NOT_RUN, sent_at=10.2)],
        "bookings": [run()],
    },
    "full-listing": lambda: {"results": [listing()]},
    "partial-listing": lambda: {
        "results": [listing(leafs_covered=1, missing=("b",), records=leaf_records("a"))]
    },
    "lookup": lambda: {"results": [lookup(DATASET.records(1)[:1])]},
    "restart-with-a-lower-version": lambda: {"versions": [version(1.0, 5), version(2.0, 4, "i2")]},
    "work-just-after-the-news": lambda: {"calls_while_leaving": [leaving(2.9)]},
}


def history(fields: dict[str, Any]) -> History:
    services = {"desk": ServiceRecords(dataset=DATASET, maps={1: MAP})}
    return History(services=services, **fields)


@pytest.mark.parametrize(
    ("kind", "fields"), VIOLATING, ids=[f"{kind}-{n}" for n, (kind, _) in enumerate(VIOLATING)]
)
def test_each_violated_guarantee_is_found(
    kind: ViolationKind, fields: Callable[[], dict[str, Any]]
) -> None:
    """Guards against fault tests that pass because the checker misses a violation."""
    assert [violation.kind for violation in find_violations(history(fields()))] == [kind]


@pytest.mark.parametrize("fields", CORRECT.values(), ids=CORRECT.keys())
def test_a_correct_history_passes(fields: Callable[[], dict[str, Any]]) -> None:
    """Guards against a checker that reports violations in histories that callers may see."""
    assert find_violations(history(fields())) == []
