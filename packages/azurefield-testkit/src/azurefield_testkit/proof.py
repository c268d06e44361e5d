"""Rows of the table that ``make prove`` prints: cases and violations for each guarantee."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

PROOF_PROPERTY = "proof"


class Guarantee(StrEnum):
    """The guarantees in the order of the design page."""

    ONE_SNAPSHOT = "1 one snapshot"
    TRUE_COVERAGE = "2 true coverage"
    WHOLE_ANSWER = "3 whole answer to its own request"
    TRUE_REFUSAL = "4 true refusal"
    AT_MOST_ONCE = "5 booking at most once"
    NO_WORK_WHEN_LEAVING = "6 no new work when leaving"
    GRACEFUL_STOP = "7 graceful stop"
    CONFIGURATION = "8 configuration never reverts"
    BAD_INPUT = "- bad input"
    FAIRNESS_AND_LIMITS = "- limits and fairness"


@dataclass(slots=True, kw_only=True, frozen=True)
class ProofRow:
    """The contribution of one test.

    ``violations`` counts those of the shipped code, which must be 0. ``weakened`` counts those
    that the same check finds in a deliberately weakened variant, which must be above 0.
    """

    guarantee: Guarantee
    topic: str
    cases: int = 0
    violations: int = 0
    weakened: int = 0
    note: str = ""


@dataclass(slots=True, kw_only=True, frozen=True)
class ProofRecorder:
    """Writes the rows of a test to the JUnit report of the test run."""

    record_property: Callable[[str, object], None]

    def __call__(self, row: ProofRow) -> None:
        """Record a row."""
        self.record_property(PROOF_PROPERTY, msgspec.json.encode(row).decode())


def aggregate(rows: Iterable[ProofRow]) -> list[ProofRow]:
    """Sum the rows with the same guarantee and topic, in the order of the guarantees."""
    sums: dict[tuple[Guarantee, str], ProofRow] = {}
    for row in rows:
        total = sums.get((row.guarantee, row.topic))
        if total is None:
            sums[row.guarantee, row.topic] = row
            continue
        sums[row.guarantee, row.topic] = ProofRow(
            guarantee=row.guarantee,
            topic=row.topic,
            cases=total.cases + row.cases,
            violations=total.violations + row.violations,
            weakened=total.weakened + row.weakened,
            note="; ".join(note for note in (total.note, row.note) if note),
        )
    return [sums[key] for key in sorted(sums, key=lambda key: (list(Guarantee).index(key[0]), key))]


def table(rows: Iterable[ProofRow]) -> str:
    """Format rows as a text table."""
    cells = [("guarantee", "topic", "cases", "violations", "weakened", "note")]
    cells += [
        (row.guarantee, row.topic, str(row.cases), str(row.violations), str(row.weakened), row.note)
        for row in rows
    ]
    widths = [max(len(line[column]) for line in cells) for column in range(5)]
    return "\n".join(
        "  ".join(
            text.ljust(width) for text, width in zip(line, [*widths, 0], strict=True)
        ).rstrip()
        for line in cells
    )
