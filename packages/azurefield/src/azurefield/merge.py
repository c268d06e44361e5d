"""Merge policies: which leaf answers are valid, how many are enough, and how they are merged."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

from msgspec import Struct
from result import Err, Ok, Result

from azurefield.failures import FailureKind, LeafFailure, LeafFailureReason, RequestFailure
from azurefield.model import Outcome, RequestKind, Snapshot
from azurefield.snapshot import LeafAnswer, MergedAnswer, check_answer, merge

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

LISTED_REASONS_MAX = 5
RETRY_AFTER_S = 1.0
# Allows for binary rounding: 0.55 of 100 shards is computed as 55.00000000000001, which would
# otherwise require 56 answers.
COVERAGE_ROUNDING_TOLERANCE = 1e-9

A = TypeVar("A")
A_contra = TypeVar("A_contra", contravariant=True)
R = TypeVar("R")
R_co = TypeVar("R_co", covariant=True)


class MergePolicy(Protocol[A_contra, R_co]):
    """Decides on the answers of one query."""

    def check(
        self, answer: A_contra, *, call_id: str, leaf: str, snapshot: Snapshot
    ) -> LeafFailure | None:
        """Return why an answer can't be used, or None if it can."""

    def enough(self, *, answered: int, asked: int) -> bool:
        """Whether a result can be built from this number of answers."""

    def result(
        self,
        *,
        snapshot: Snapshot,
        leafs: tuple[str, ...],
        answers: Mapping[str, A_contra],
        failures: Mapping[str, LeafFailureReason],
        outcome: Outcome,
    ) -> Result[R_co, RequestFailure]:
        """Build the result.

        :param failures: why other leafs have no answer; a leaf in neither mapping timed out
        :param outcome: whether any call of the query may have run, for the failure
        """


class SnapshotMerge(Struct, kw_only=True, frozen=True):
    """Merges ranked records of one snapshot; kinds with partial answers need one leaf, others all.

    ``limit`` is the maximum number of records in the answer.
    """

    kind: RequestKind
    limit: int

    def check(
        self, answer: LeafAnswer, *, call_id: str, leaf: str, snapshot: Snapshot
    ) -> LeafFailure | None:
        """Check that an answer is complete and belongs to the call, the leaf and the snapshot."""
        match check_answer(answer, call_id=call_id, leaf=leaf, snapshot=snapshot):
            case Err(failure):
                return failure
        return None

    def enough(self, *, answered: int, asked: int) -> bool:
        """Whether a result can be built from this number of answers."""
        return answered >= (1 if self.kind.partial else asked)

    def result(
        self,
        *,
        snapshot: Snapshot,
        leafs: tuple[str, ...],
        answers: Mapping[str, LeafAnswer],
        failures: Mapping[str, LeafFailureReason],
        outcome: Outcome,
    ) -> Result[MergedAnswer, RequestFailure]:
        """Merge the answers, or return the failure if too few leafs answered."""
        if not self.enough(answered=len(answers), asked=len(leafs)):
            return Err(too_few_answers_failure(leafs, answers, failures, outcome))
        return Ok(
            merge(
                snapshot=snapshot,
                leafs=leafs,
                answers=answers,
                failures=failures,
                limit=self.limit,
            )
        )


class Part(Struct, kw_only=True, frozen=True):
    """The opaque answer of one leaf; ``proof`` shows the caller which server it is from."""

    proof: str
    body: bytes


class MergedParts(Struct, kw_only=True, frozen=True):
    """The top records of the leafs that answered, in descending order.

    ``proofs`` are those of the merged parts, and ``missing`` is the number of leafs without one.
    """

    proofs: tuple[str, ...]
    missing: int
    body: bytes


class TopRecordsMerge(Struct, kw_only=True, frozen=True):
    """Keeps the top records of parts that consist of records of a fixed size.

    :param top: the maximum number of records in the answer
    :param coverage_min: the fraction of the leafs that must have answered, 0 to 1
    :param record_bytes: the size of a record; a shorter remainder of a part is ignored
    """

    top: int
    coverage_min: float
    record_bytes: int

    def check(
        self, answer: Part, *, call_id: str, leaf: str, snapshot: Snapshot  # noqa: ARG002
    ) -> LeafFailure | None:
        """Accept every part; answers to other calls are discarded before this check."""
        return None

    def enough(self, *, answered: int, asked: int) -> bool:
        """Whether a large enough fraction of the leafs answered, and at least one.

        >>> policy = TopRecordsMerge(top=5, coverage_min=0.75, record_bytes=16)
        >>> policy.enough(answered=8, asked=10), policy.enough(answered=7, asked=10)
        (True, False)
        """
        return answered > 0 and answered >= self.coverage_min * asked - COVERAGE_ROUNDING_TOLERANCE

    def result(
        self,
        *,
        snapshot: Snapshot,  # noqa: ARG002
        leafs: tuple[str, ...],
        answers: Mapping[str, Part],
        failures: Mapping[str, LeafFailureReason],
        outcome: Outcome,
    ) -> Result[MergedParts, RequestFailure]:
        """Merge the parts, or return the failure if too few leafs answered."""
        if not self.enough(answered=len(answers), asked=len(leafs)):
            return Err(too_few_answers_failure(leafs, answers, failures, outcome))
        parts = [answers[leaf] for leaf in leafs if leaf in answers]
        return Ok(
            MergedParts(
                proofs=tuple(part.proof for part in parts),
                missing=len(leafs) - len(parts),
                body=join_top_records(parts, self.top, self.record_bytes),
            )
        )


class SingleAnswer(Struct, Generic[A], kw_only=True, frozen=True):
    """Returns the answer of the only leaf unchanged."""

    def check(
        self, answer: A, *, call_id: str, leaf: str, snapshot: Snapshot  # noqa: ARG002
    ) -> LeafFailure | None:
        """Accept every answer; answers to other calls are discarded before this check."""
        return None

    def enough(self, *, answered: int, asked: int) -> bool:
        """Whether the leaf has answered."""
        return answered >= asked

    def result(
        self,
        *,
        snapshot: Snapshot,  # noqa: ARG002
        leafs: tuple[str, ...],
        answers: Mapping[str, A],
        failures: Mapping[str, LeafFailureReason],
        outcome: Outcome,
    ) -> Result[A, RequestFailure]:
        """Return the answer, or the failure if there is none."""
        for answer in answers.values():
            return Ok(answer)
        return Err(too_few_answers_failure(leafs, answers, failures, outcome))


def join_top_records(parts: Iterable[Part], top: int, record_bytes: int) -> bytes:
    """Join the greatest records of all parts, compared as bytes, in descending order.

    >>> parts = [Part(proof="", body=b"aacc"), Part(proof="", body=b"bbccx")]
    >>> join_top_records(parts, 3, 2)
    b'ccccbb'
    """
    records = [
        part.body[start : start + record_bytes]
        for part in parts
        for start in range(0, len(part.body) - record_bytes + 1, record_bytes)
    ]
    records.sort(reverse=True)
    return b"".join(records[:top])


def too_few_answers_failure(
    leafs: tuple[str, ...],
    answers: Mapping[str, A],
    failures: Mapping[str, LeafFailureReason],
    outcome: Outcome,
) -> RequestFailure:
    """Build the failure of a query for which too few leafs answered."""
    missing = {
        leaf: failures.get(leaf, LeafFailureReason.TIMEOUT) for leaf in leafs if leaf not in answers
    }
    timed_out = LeafFailureReason.TIMEOUT in missing.values()
    listed = list(missing.items())[:LISTED_REASONS_MAX]
    reasons = ", ".join(f"{leaf}: {reason}" for leaf, reason in listed)
    return RequestFailure(
        kind=FailureKind.DEADLINE_EXCEEDED if timed_out else FailureKind.LEAF_UNAVAILABLE,
        outcome=outcome,
        detail=f"{len(answers)} of {len(leafs)} leafs answered ({reasons})",
        retry_after_s=RETRY_AFTER_S,
    )
