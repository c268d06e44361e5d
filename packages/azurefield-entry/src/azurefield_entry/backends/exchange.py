"""One HTTP exchange with a backend server; each of its errors becomes a leaf failure."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientPayloadError,
    ClientResponse,
    ClientResponseError,
    ConnectionTimeoutError,
    InvalidURL,
)
from msgspec import Struct, field
from result import Err, Ok, Result
from yarl import URL

from azurefield.failures import LeafFailure, LeafFailureReason
from azurefield.http_status import is_final_status
from azurefield.model import Outcome
from azurefield.sharing import RequestClass
from azurefield_entry.backends.connection import TrackedResponse
from azurefield_entry.backends.dialect import FailedExchange

if TYPE_CHECKING:
    from collections.abc import Callable

    from azurefield_entry.backends.connection import Connection
    from azurefield_entry.backends.pool import ConnectionPool

T = TypeVar("T")
ANSWER_BYTES_MAX = 8 * 1024 * 1024
# Timers can fire up to 1 ms early. A query cancels its calls at the deadline; without this slack a
# call could time out just before the deadline and be retried on another server.
DEADLINE_SLACK_S = 0.005


class HttpRequest(Struct, kw_only=True, frozen=True):
    """An HTTP request to a backend server.

    ``path`` is percent-encoded, ``deadline`` is a time of the event loop's clock and ``priority``
    orders the wait for a connection, lower first.
    """

    method: str
    path: str
    deadline: float
    priority: int
    body: bytes | None = None
    headers: dict[str, str] = field(default_factory=dict)


class HttpAnswer(Struct, kw_only=True, frozen=True):
    """A complete answer with any status."""

    status: int
    body: bytes


async def exchange(
    pool: ConnectionPool[Connection],
    request: HttpRequest,
    decode: Callable[[HttpAnswer], Result[T, FailedExchange]],
) -> Result[T, FailedExchange]:
    """Send a request on a connection of the pool, read the whole answer and decode it.

    ``X-Deadline-Ms`` carries the time that is left after the wait for the connection. The
    connection returns to the pool only after a valid answer, or a refusal that names its call.
    After any other failure, a timeout or a cancellation it is closed, so that a late answer can't
    be read as the answer to another call.
    """
    latest = request.deadline + DEADLINE_SLACK_S
    request_class = RequestClass(priority=request.priority)
    match await pool.acquire(request_class=request_class, deadline=latest):
        case Err(failure):
            return Err(FailedExchange(failure=failure))
        case Ok(connection):
            pass
    reusable = False
    try:
        answered = await _send(connection, request)
        if isinstance(answered, Err):
            return Err(FailedExchange(failure=answered.err_value))
        result = decode(answered.ok_value)
        reusable = result.is_ok() or is_named_refusal(result.unwrap_err())
        return result
    finally:
        pool.release(connection, reusable=reusable)


def is_named_refusal(failed: FailedExchange) -> bool:
    """Whether a server has refused a call and named it."""
    return failed.failure.outcome is Outcome.NOT_RUN and failed.names_call


async def _send(connection: Connection, request: HttpRequest) -> Result[HttpAnswer, LeafFailure]:
    connection.may_have_sent = False
    remaining_s = request.deadline - asyncio.get_running_loop().time()
    if remaining_s <= 0:
        return Err(failure_of(TimeoutError("deadline passed before sending"), may_have_sent=False))
    deadline_ms = str(max(1, int(remaining_s * 1000)))
    try:
        async with (
            asyncio.timeout(remaining_s + DEADLINE_SLACK_S),
            connection.session.request(
                request.method,
                URL(f"http://{connection.address}{request.path}", encoded=True),
                data=request.body,
                headers=request.headers | {"X-Deadline-Ms": deadline_ms},
                allow_redirects=False,
            ) as response,
        ):
            if isinstance(response, TrackedResponse):
                connection.protocol = response.used_protocol
            return await _read(response)
    except (TimeoutError, ClientError, OSError, ValueError) as error:
        return Err(failure_of(error, may_have_sent=connection.may_have_sent))


async def _read(response: ClientResponse) -> Result[HttpAnswer, LeafFailure]:
    if not is_final_status(response.status):
        return Err(malformed(f"status {response.status} is not a valid final HTTP status"))
    chunks: list[bytes] = []
    size = 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > ANSWER_BYTES_MAX:
            return Err(malformed(f"the answer is larger than {ANSWER_BYTES_MAX} bytes"))
        chunks.append(chunk)
    return Ok(HttpAnswer(status=response.status, body=b"".join(chunks)))


def malformed(detail: str) -> LeafFailure:
    """Build the failure of a call whose answer can't be used."""
    return LeafFailure(
        reason=LeafFailureReason.MALFORMED, outcome=Outcome.MAY_HAVE_RUN, detail=detail
    )


def failure_of(error: Exception, *, may_have_sent: bool) -> LeafFailure:
    """Map an exception of aiohttp or a timeout to a leaf failure.

    :param may_have_sent: whether a byte of the request may have been sent
    """
    return LeafFailure(
        reason=_reason_of(error),
        outcome=Outcome.MAY_HAVE_RUN if may_have_sent else Outcome.NOT_RUN,
        detail=f"{type(error).__name__}: {error}",
    )


def _reason_of(error: Exception) -> LeafFailureReason:
    match error:
        case ClientConnectorError() | ConnectionTimeoutError() | InvalidURL():
            return LeafFailureReason.CONNECT_FAILED
        case TimeoutError():
            return LeafFailureReason.TIMEOUT
        case ClientPayloadError():
            return LeafFailureReason.TRUNCATED
        case ClientResponseError() | ValueError():
            return LeafFailureReason.MALFORMED
        case _:
            return LeafFailureReason.CONNECTION_LOST
