"""Error answers as ``application/problem+json``: status and title of each failure kind."""

from __future__ import annotations

from math import ceil
from typing import Any

import msgspec
from aiohttp import web

from azurefield.failures import FailureKind, RequestFailure
from azurefield.model import Outcome

TYPE_PREFIX = "urn:azurefield:problem:"
CONTENT_TYPE = "application/problem+json"

PROBLEMS: dict[FailureKind, tuple[int, str]] = {
    FailureKind.MALFORMED_REQUEST: (400, "The request is malformed"),
    FailureKind.BODY_TOO_LARGE: (413, "The body is too large"),
    FailureKind.UNKNOWN_SERVICE: (404, "The service does not exist"),
    FailureKind.UNKNOWN_MEMBER: (403, "The member may not use the service"),
    FailureKind.UNAUTHORIZED: (401, "The key is missing or unknown"),
    FailureKind.QUOTA_EXCEEDED: (429, "The quota of requests is used up"),
    FailureKind.KIND_NOT_OFFERED: (404, "The service does not offer this kind of request"),
    FailureKind.INVALID_DEADLINE: (400, "The deadline is invalid"),
    FailureKind.QUEUE_FULL: (503, "Too many requests are waiting"),
    FailureKind.DEADLINE_UNREACHABLE: (503, "The request can't finish before its deadline"),
    FailureKind.DEADLINE_EXCEEDED: (504, "The deadline passed"),
    FailureKind.NO_SNAPSHOT: (503, "No snapshot is available"),
    FailureKind.LEAF_UNAVAILABLE: (503, "No backend server can serve the records"),
    FailureKind.NOT_READY: (503, "The instance is not ready"),
    FailureKind.SHUTTING_DOWN: (503, "The instance is shutting down"),
    FailureKind.TICKET_REQUIRED: (428, "A booking needs a ticket"),
    FailureKind.TICKET_INVALID: (428, "The idempotency key is not a ticket"),
    FailureKind.TICKET_BODY_MISMATCH: (422, "The ticket was used with another body"),
    FailureKind.OUTCOME_UNKNOWN: (409, "It is unknown whether the booking ran"),
    FailureKind.BOOKING_FAILED: (502, "The booking ran without a usable result"),
    FailureKind.REQUEST_CRASHES_SERVERS: (422, "The request crashes backend servers"),
    FailureKind.INTERNAL: (500, "Internal error"),
}


def problem_response(failure: RequestFailure, *, request_id: str) -> web.Response:
    """Build the error answer of a failure."""
    status, title = PROBLEMS[failure.kind]
    problem: dict[str, Any] = {
        "type": f"{TYPE_PREFIX}{failure.kind}",
        "title": title,
        "status": status,
        "detail": failure.detail,
        "request_id": request_id,
        "outcome": failure.outcome,
    }
    if failure.field is not None:
        problem["field"] = failure.field
    if failure.allowed is not None:
        problem["allowed"] = failure.allowed
    headers = {"X-Request-Id": request_id}
    if failure.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, ceil(failure.retry_after_s)))
    return web.Response(
        status=status,
        body=msgspec.json.encode(problem),
        content_type=CONTENT_TYPE,
        headers=headers,
    )


def plain_http_problem(error: web.HTTPException, *, request_id: str) -> web.Response:
    """Build the error answer to a request for a path or method that the API does not have."""
    problem = {
        "type": "about:blank",
        "title": error.reason,
        "status": error.status,
        "detail": f"{error.status} {error.reason}",
        "request_id": request_id,
        "outcome": Outcome.NOT_RUN,
    }
    headers = {"X-Request-Id": request_id}
    if "Allow" in error.headers:
        headers["Allow"] = error.headers["Allow"]
    return web.Response(
        status=error.status,
        body=msgspec.json.encode(problem),
        content_type=CONTENT_TYPE,
        headers=headers,
    )
