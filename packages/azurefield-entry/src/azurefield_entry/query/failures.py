"""Request failures that ``query`` creates itself."""

from __future__ import annotations

from azurefield.failures import FailureKind, LeafFailure, LeafFailureReason, RequestFailure
from azurefield.model import Outcome

UNAVAILABLE_RETRY_AFTER_S = 1.0


def unknown_service(service: str) -> RequestFailure:
    """Return the failure of a request for a service that was removed from the configuration."""
    return RequestFailure(
        kind=FailureKind.UNKNOWN_SERVICE,
        outcome=Outcome.NOT_RUN,
        detail=f"service {service} is not in the configuration in force",
    )


def no_snapshot() -> RequestFailure:
    """Return the failure of a request if no usable backend server has reported a snapshot."""
    return RequestFailure(
        kind=FailureKind.NO_SNAPSHOT,
        outcome=Outcome.NOT_RUN,
        detail="no usable backend server has reported a snapshot",
        retry_after_s=UNAVAILABLE_RETRY_AFTER_S,
    )


def leaf_unavailable(detail: str) -> RequestFailure:
    """Return the failure of a request whose leaf no backend server can serve now."""
    return RequestFailure(
        kind=FailureKind.LEAF_UNAVAILABLE,
        outcome=Outcome.NOT_RUN,
        detail=detail,
        retry_after_s=UNAVAILABLE_RETRY_AFTER_S,
    )


def no_leaf_for_key() -> RequestFailure:
    """Return the failure of a request for a key that no leaf owns."""
    return leaf_unavailable("the shard map assigns no leaf to the key")


def not_encodable() -> RequestFailure:
    """Return the failure of a request whose body can't be encoded for a backend server."""
    return RequestFailure(
        kind=FailureKind.MALFORMED_REQUEST,
        outcome=Outcome.NOT_RUN,
        detail="the body can't be encoded as JSON",
        field="body",
    )


def instance_stopped() -> RequestFailure:
    """Return the failure of a request that is still running when the service stops."""
    return RequestFailure(
        kind=FailureKind.SHUTTING_DOWN,
        outcome=Outcome.MAY_HAVE_RUN,
        detail="the instance stopped before the request ended",
    )


def booking_failure(failure: LeafFailure, *, expired: bool) -> RequestFailure:
    """Return the failure of a booking whose last call failed and that is not retried.

    :param expired: whether the deadline of the booking has passed
    """
    detail = f"call to the backend server failed: {failure.reason} {failure.detail}".rstrip()
    if failure.outcome is Outcome.RAN:
        kind = FailureKind.BOOKING_FAILED
    elif failure.outcome is Outcome.MAY_HAVE_RUN:
        kind = FailureKind.OUTCOME_UNKNOWN
    elif expired or failure.reason is LeafFailureReason.TIMEOUT:
        kind = FailureKind.DEADLINE_EXCEEDED
    else:
        return leaf_unavailable(detail)
    return RequestFailure(kind=kind, outcome=failure.outcome, detail=detail)
