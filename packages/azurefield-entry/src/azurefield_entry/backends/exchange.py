"""One HTTP exchange with a backend server and the mapping of all its failures."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
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
from result import Err, Ok, Result
from yarl import URL

from azurefield.failures import LeafFailure, LeafFailureReason
from azurefield.model import Outcome
from azurefield_entry.backends.connection import TrackedResponse
from azurefield_entry.backends.dialect import CallFailed

if TYPE_CHECKING:
    from collections.abc import Callable

    from azurefield_entry.backends.connection import Connection
    from azurefield_entry.backends.pool import ConnectionPool

T = TypeVar("T")
ANSWER_BYTES_MAX = 8 * 1024 * 1024
# Timers can fire up to 1 ms early. A query cancels its calls at the deadline; without the slack, a
# call that times out a little before would be sent again elsewhere.
DEADLINE_SLACK_S = 0.005


@dataclass(slots=True, kw_only=True, frozen=True)
class HttpRequest:
    """What is sent; ``path`` is percent-encoded, ``deadline`` a time of the event loop's clock."""

    method: str
    path: str
    deadline: float
    priority: int
    body: bytes | None = None
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True, frozen=True)
class HttpAnswer:
    """A whole answer, whatever its status."""

    status: int
    body: bytes


async def exchange(
    pool: ConnectionPool[Connection],
    request: HttpRequest,
    decode: Callable[[HttpAnswer], Result[T, CallFailed]],
) -> Result[T, CallFailed]:
    """Send a request on a connection of the pool, read the whole answer and decode it.

    The server is told the time that is left after the wait for the connection. The connection
    returns to the pool only after a valid answer or refusal. After any other failure, a timeout or
    a cancellation it is closed, so that a late answer can't be taken for that of another call.
    """
    latest = request.deadline + DEADLINE_SLACK_S
    match await pool.acquire(priority=request.priority, deadline=latest):
        case Err(failure):
            return Err(CallFailed(failure=failure))
        case Ok(connection):
            pass
    reusable = False
    try:
        answered = await _send(connection, request)
        if isinstance(answered, Err):
            return Err(CallFailed(failure=answered.err_value))
        result = decode(answered.ok_value)
        reusable = result.is_ok() or result.unwrap_err().failure.outcome is Outcome.NOT_RUN
        return result
    finally:
        pool.release(connection, reusable=reusable)


async def _send(connection: Connection, request: HttpRequest) -> Result[HttpAnswer, LeafFailure]:
    connection.may_have_sent = False
    remaining_s = request.deadline - asyncio.get_running_loop().time()
    if remaining_s <= 0:
        return Err(failure_of(TimeoutError("not sent"), may_have_sent=False))
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
    chunks: list[bytes] = []
    size = 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > ANSWER_BYTES_MAX:
            return Err(
                LeafFailure(
                    reason=LeafFailureReason.MALFORMED,
                    outcome=Outcome.MAY_HAVE_RUN,
                    detail=f"answer above {ANSWER_BYTES_MAX} bytes",
                )
            )
        chunks.append(chunk)
    return Ok(HttpAnswer(status=response.status, body=b"".join(chunks)))


def failure_of(error: Exception, *, may_have_sent: bool) -> LeafFailure:
    """Map an exception of aiohttp or of the deadline to a failure.

    :param may_have_sent: whether a byte of the request can have left this process
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
