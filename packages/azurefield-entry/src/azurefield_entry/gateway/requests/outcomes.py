"""Failures that the gateway builds itself, and how results are named in the log and the metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok

from azurefield.failures import FailureKind, LeafFailure, LeafFailureReason, RequestFailure
from azurefield.merge import MergedParts
from azurefield.model import Outcome
from azurefield.partition import PROBE_INTERVAL_S
from azurefield_entry.gateway import policies
from azurefield_entry.gateway.ports import OpaqueAnswer

if TYPE_CHECKING:
    from result import Result

# Priorities that have label values of their own.
PRIORITIES_LABELLED = 32


def refusal(kind: FailureKind, detail: str) -> RequestFailure:
    """Build the failure of a request that was not run and may be sent again."""
    return RequestFailure(
        kind=kind, outcome=Outcome.NOT_RUN, detail=detail, retry_after_s=policies.RETRY_AFTER_S
    )


def no_server_reachable_failure() -> RequestFailure:
    """Build the failure of a request that neither this instance nor another one can run."""
    return RequestFailure(
        kind=FailureKind.LEAF_UNAVAILABLE,
        outcome=Outcome.NOT_RUN,
        detail="this instance reaches no server, and no other instance accepts the request",
        retry_after_s=PROBE_INTERVAL_S,
    )


def no_allowed_server_failure() -> RequestFailure:
    """Build the failure of a request that no server in an allowed region can run."""
    return refusal(FailureKind.LEAF_UNAVAILABLE, "no server in an allowed region is usable")


def crashing_request_failure() -> RequestFailure:
    """Build the failure of a request under which servers ended."""
    return RequestFailure(
        kind=FailureKind.REQUEST_CRASHES_SERVERS,
        outcome=Outcome.MAY_HAVE_RUN,
        detail="servers ended each time while they ran this request",
    )


def describe(result: Result[OpaqueAnswer | MergedParts, RequestFailure]) -> str:
    """Format the result of a request for the log."""
    match result:
        case Ok(MergedParts(proofs=proofs, missing=0)):
            return f"whole parts={len(proofs)}"
        case Ok(MergedParts(proofs=proofs, missing=missing)):
            return f"partial parts={len(proofs)} missing={missing}"
        case Ok(OpaqueAnswer(status=status)):
            return f"answered status={status}"
        case Err(failure):
            return f"{failure.kind} outcome={failure.outcome} detail={failure.detail!r}"
    return "unknown"


def priority_label(priority: int) -> str:
    """Return the label value of a priority; only the most urgent ones have values of their own."""
    return str(priority) if 0 <= priority < PRIORITIES_LABELLED else "other"


def not_sent(reason: LeafFailureReason) -> LeafFailure:
    """Build the failure of a call of which no byte was sent."""
    return LeafFailure(reason=reason, outcome=Outcome.NOT_RUN)
