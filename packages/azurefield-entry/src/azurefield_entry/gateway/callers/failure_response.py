"""Answers to callers whose requests failed."""

from __future__ import annotations

from aiohttp.web import Response

from azurefield.failures import FailureKind, RequestFailure
from azurefield.model import Outcome

STATUS_BY_KIND = {
    FailureKind.MALFORMED_REQUEST: 400,
    FailureKind.UNAUTHORIZED: 401,
    FailureKind.UNKNOWN_SERVICE: 404,
    FailureKind.BODY_TOO_LARGE: 413,
}
TOO_MANY_REQUESTS = 429
BAD_GATEWAY = 502
SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


def write_failure(failure: RequestFailure) -> Response:
    """Build the answer to a failed request; 429 and 503 guarantee that it was not run."""
    status = STATUS_BY_KIND.get(failure.kind)
    headers = {}
    if status is None and failure.outcome is Outcome.NOT_RUN:
        over_quota = failure.kind is FailureKind.QUOTA_EXCEEDED
        status = TOO_MANY_REQUESTS if over_quota else SERVICE_UNAVAILABLE
        if failure.retry_after_s is not None:
            headers["Retry-After"] = f"{failure.retry_after_s:.3f}"
    if status is None:
        timed_out = failure.kind is FailureKind.DEADLINE_EXCEEDED
        status = GATEWAY_TIMEOUT if timed_out else BAD_GATEWAY
    return Response(status=status, text=f"{failure.kind}: {failure.detail}\n", headers=headers)


def malformed(field: str, allowed: str) -> RequestFailure:
    """Build the failure of a request with a missing or malformed part."""
    return RequestFailure(
        kind=FailureKind.MALFORMED_REQUEST,
        outcome=Outcome.NOT_RUN,
        detail=f"{field} is missing or malformed",
        field=field,
        allowed=allowed,
    )
