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
    """Read a body of at most ``BODY_BYTES_MAX`` bytes.

    :param deadline: time of the event loop's clock at which reading is given up
    """
    if (request.content_length or 0) > BODY_BYTES_MAX:
        return Err(_too_large())
    body = bytearray()
    try:
        async with asyncio.timeout_at(deadline):
            async for chunk in request.content.iter_any():
                body += chunk
                if len(body) > BODY_BYTES_MAX:
                    return Err(_too_large())
    except TimeoutError:
        return Err(
            RequestFailure(
                kind=FailureKind.DEADLINE_EXCEEDED,
                outcome=Outcome.NOT_RUN,
                detail="the body did not arrive before the deadline",
            )
        )
    except (web.PayloadAccessError, web.RequestPayloadError) as error:
        return Err(_malformed(f"the body can't be read: {error}"))
    return Ok(bytes(body))


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


def _too_large() -> RequestFailure:
    return invalid_input(
        FailureKind.BODY_TOO_LARGE,
        "the body is too large",
        field="body",
        allowed=f"at most {BODY_BYTES_MAX} bytes",
    )
