"""Failures of requests that are refused for their bodies; none of them has run."""

from __future__ import annotations

from azurefield.failures import FailureKind, RequestFailure
from azurefield.model import Outcome

# Time after which a refused caller may retry.
RETRY_AFTER_S = 0.1


class BodyRefusedError(Exception):
    """A body is not read to its end.

    :param failure: why
    """

    def __init__(self, failure: RequestFailure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


def too_much_memory() -> RequestFailure:
    """Build the failure of a request that is refused for what all callers hold."""
    return RequestFailure(
        kind=FailureKind.QUEUE_FULL,
        outcome=Outcome.NOT_RUN,
        detail="callers hold too much memory",
        retry_after_s=RETRY_AFTER_S,
    )


def body_too_large(limit: int) -> RequestFailure:
    """Build the failure of a request whose body is too large."""
    return RequestFailure(
        kind=FailureKind.BODY_TOO_LARGE,
        outcome=Outcome.NOT_RUN,
        detail="the body is too large",
        field="body",
        allowed=f"at most {limit} bytes",
    )


def malformed_body() -> RequestFailure:
    """Build the failure of a request whose body is not framed as HTTP demands."""
    return RequestFailure(
        kind=FailureKind.MALFORMED_REQUEST,
        outcome=Outcome.NOT_RUN,
        detail="the body is malformed",
        field="body",
        allowed="chunks with their sizes, and lines of trailers",
    )


def trailers_too_large(limit: int) -> RequestFailure:
    """Build the failure of a request with too much behind its body, or between its chunks."""
    return RequestFailure(
        kind=FailureKind.BODY_TOO_LARGE,
        outcome=Outcome.NOT_RUN,
        detail="the trailers or the framing of the body are too large",
        field="body",
        allowed=f"at most {limit} bytes in a row without a byte of the body",
    )
