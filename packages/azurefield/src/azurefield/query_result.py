"""Result of a query from the states of its leafs."""

from __future__ import annotations

from collections.abc import Mapping
from math import inf
from typing import Generic, TypeVar

from msgspec import Struct
from msgspec.structs import replace
from result import Err, Ok, Result

from azurefield.failures import LeafFailureReason, RequestFailure
from azurefield.leaf_progress import LeafProgress
from azurefield.merge import MergePolicy
from azurefield.model import Outcome
from azurefield.server_choice import ServerChoice

# Shortest time after which a caller whose request found no quota may retry.
RETRY_AFTER_MIN_S = 0.1

A = TypeVar("A")
R = TypeVar("R")


class ResultBuilder(Struct, Generic[A, R], kw_only=True, frozen=True):
    """Builds the result of a query that has ended, by its leafs' progress."""

    merge: MergePolicy[A, R]
    choice: ServerChoice
    progress: Mapping[str, LeafProgress[A]]

    def build(self, now: float) -> Result[R, RequestFailure]:
        """Build the result, or the failure if too few leafs answered."""
        entries = self.progress.items()
        unanswered = [(leaf, entry.failure) for leaf, entry in entries if entry.answer is None]
        result = self.merge.result(
            leafs=tuple(self.progress),
            snapshot=self.choice.snapshot,
            answers={leaf: entry.answer for leaf, entry in entries if entry.answer is not None},
            failures={leaf: failure for leaf, failure in unanswered if failure is not None},
            outcome=self.outcome(),
        )
        opens_at = self.opens_at(now)
        if isinstance(result, Ok) or opens_at is None:
            return result
        return Err(replace(result.err_value, retry_after_s=opens_at - now))

    def opens_at(self, now: float) -> float | None:
        """Return when all leafs without quota may get a token; None if no leaf lacks it."""
        opens = [
            at
            for leaf, progress in self.progress.items()
            if progress.answer is None
            and progress.failure is LeafFailureReason.RATE_LIMITED
            and (at := self.choice.opens_at(now, leaf)) < inf
        ]
        return max(now + RETRY_AFTER_MIN_S, *opens) if opens else None

    def outcome(self) -> Outcome:
        """Return whether any call of the query may have run."""
        may_have_run = any(
            entry.ended_attempts or entry.answer is not None for entry in self.progress.values()
        )
        return Outcome.MAY_HAVE_RUN if may_have_run else Outcome.NOT_RUN
