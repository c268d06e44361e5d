"""JSON bodies of callers' requests: size limit and strict decoding."""

from __future__ import annotations

import asyncio
import re
from typing import Annotated, Any, TypeVar

import msgspec
from aiohttp import web
from result import Err, Ok, Result

from azurefield.failures import FailureKind, RequestFailure
from azurefield.model import Outcome
from azurefield_entry.callers.bodies import read_bytes
from azurefield_entry.callers.connection import CallerConnection
from azurefield_entry.callers.refusals import BodyRefusedError, body_too_large, too_much_memory
from azurefield_entry.front.validation import invalid_input

BODY_BYTES_MAX = 64 * 1024
RECORD_LIMIT_DEFAULT = 100
RECORD_LIMIT_MAX = 1000
FIELD_IN_ERROR_PATTERN = re.compile(r"(?:at `\$\.?|field `)([^`]+)`")

Key = Annotated[str, msgspec.Meta(min_length=1, max_length=512)]
Limit = Annotated[int, msgspec.Meta(ge=1, le=RECORD_LIMIT_MAX)]
T = TypeVar("T")


class SearchBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of a listing or an urgent look-up."""

    query: dict[str, Any]
    limit: Limit = RECORD_LIMIT_DEFAULT


class LookupBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of a look-up of one record."""

    key: Key


class BookingBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of a booking."""

    key: Key
    payload: dict[str, Any]


class TicketBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of a request for a ticket; it may also be empty."""


async def read_body(request: web.Request, *, deadline: float) -> Result[bytes, RequestFailure]:
    """Read a body of at most ``BODY_BYTES_MAX`` bytes, unless callers hold too much memory.

    :param deadline: time of the event loop's clock at which reading is given up
    """
    connection = request.protocol
    assert isinstance(connection, CallerConnection)
    body = b""
    if request.can_read_body:
        try:
            async with asyncio.timeout_at(deadline):
                read = await read_bytes(request, connection, BODY_BYTES_MAX)
        except TimeoutError:
            return Err(
                RequestFailure(
                    kind=FailureKind.DEADLINE_EXCEEDED,
                    outcome=Outcome.NOT_RUN,
                    detail="the body did not arrive before the deadline",
                )
            )
        except BodyRefusedError as error:
            return Err(error.with_traceback(None).failure)
        except (web.PayloadAccessError, web.RequestPayloadError) as error:
            return Err(_malformed(f"the body can't be read: {error}"))
        if read is None:
            return Err(body_too_large(BODY_BYTES_MAX))
        body = read
    if not connection.load.use_body(connection, len(body)):
        return Err(too_much_memory())
    return Ok(body)


def decode_body(body: bytes, type_: type[T]) -> Result[T, RequestFailure]:
    """Decode a JSON body and check its shape."""
    try:
        return Ok(msgspec.json.decode(body, type=type_))
    except RecursionError:
        return Err(_malformed("the JSON is nested too deeply"))
    except ValueError as error:
        found = FIELD_IN_ERROR_PATTERN.search(str(error))
        return Err(_malformed(str(error), field=found.group(1) if found else None))


def _malformed(detail: str, *, field: str | None = None) -> RequestFailure:
    return invalid_input(
        FailureKind.MALFORMED_REQUEST, detail, field=field or "body", allowed="see docs/api.md"
    )
