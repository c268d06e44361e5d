"""Merge policies over the opaque answers of backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct, field
from result import Err, Ok, Result

from azurefield.failures import LeafFailure, LeafFailureReason, RequestFailure
from azurefield.merge import MergedParts, Part, SingleAnswer, TopRecordsMerge
from azurefield.model import Outcome, Snapshot
from azurefield_entry.gateway.ports import OpaqueAnswer

if TYPE_CHECKING:
    from collections.abc import Mapping

SERVER_ERROR_MIN = 500


class PassThrough(Struct, kw_only=True):
    """Returns the answer of one server unchanged.

    An answer with a 5xx status counts as a failed call, so that a request that may be repeated is
    tried on another server. If no attempt succeeds, the last such answer is returned.
    """

    single: SingleAnswer[OpaqueAnswer] = field(default_factory=SingleAnswer)
    last_failure: OpaqueAnswer | None = None

    def check(
        self, answer: OpaqueAnswer, *, call_id: str, leaf: str, snapshot: Snapshot  # noqa: ARG002
    ) -> LeafFailure | None:
        """Accept a success with its proof, and any other status below 500."""
        if answer.success and answer.proof is None:
            return LeafFailure(reason=LeafFailureReason.MALFORMED, outcome=Outcome.MAY_HAVE_RUN)
        if answer.status >= SERVER_ERROR_MIN:
            self.last_failure = answer
            return LeafFailure(
                reason=LeafFailureReason.SERVER_ERROR,
                outcome=Outcome.RAN,
                detail=f"status {answer.status}",
            )
        return None

    def enough(self, *, answered: int, asked: int) -> bool:
        """Whether the server has answered."""
        return self.single.enough(answered=answered, asked=asked)

    def result(
        self,
        *,
        snapshot: Snapshot,
        leafs: tuple[str, ...],
        answers: Mapping[str, OpaqueAnswer],
        failures: Mapping[str, LeafFailureReason],
        outcome: Outcome,
    ) -> Result[OpaqueAnswer, RequestFailure]:
        """Return the accepted answer, else the last 5xx answer, else the failure."""
        result = self.single.result(
            snapshot=snapshot, leafs=leafs, answers=answers, failures=failures, outcome=outcome
        )
        if isinstance(result, Err) and self.last_failure is not None:
            return Ok(self.last_failure)
        return result


class ShardMerge(Struct, kw_only=True, frozen=True):
    """Merges the successful answers that carry a proof; other answers count as failures."""

    top_records: TopRecordsMerge

    def check(
        self, answer: OpaqueAnswer, *, call_id: str, leaf: str, snapshot: Snapshot  # noqa: ARG002
    ) -> LeafFailure | None:
        """Accept a success with its proof."""
        if answer.success and answer.proof is not None:
            return None
        return LeafFailure(
            reason=LeafFailureReason.SERVER_ERROR,
            outcome=Outcome.RAN,
            detail=f"status {answer.status}",
        )

    def enough(self, *, answered: int, asked: int) -> bool:
        """Whether the fraction of shards that answered is large enough."""
        return self.top_records.enough(answered=answered, asked=asked)

    def result(
        self,
        *,
        snapshot: Snapshot,
        leafs: tuple[str, ...],
        answers: Mapping[str, OpaqueAnswer],
        failures: Mapping[str, LeafFailureReason],
        outcome: Outcome,
    ) -> Result[MergedParts, RequestFailure]:
        """Merge the parts, or return why too few shards answered."""
        parts = {
            leaf: Part(proof=answer.proof, body=answer.body)
            for leaf, answer in answers.items()
            if answer.proof is not None
        }
        return self.top_records.result(
            snapshot=snapshot, leafs=leafs, answers=parts, failures=failures, outcome=outcome
        )
