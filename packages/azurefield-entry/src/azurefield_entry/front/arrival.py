"""Identity and arrival time of callers' requests."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from itertools import count
from typing import TYPE_CHECKING

from msgspec import Struct, field
from result import Err, Ok

from azurefield.failures import RequestFailure
from azurefield_entry.front.validation import check_request_id

if TYPE_CHECKING:

    from aiohttp import web


class Arrival(Struct, kw_only=True, frozen=True):
    """A request that arrived at the time ``at`` of the event loop's clock.

    ``caller_id`` is echoed to the caller. ``request_id`` is unique among all instances even if two
    callers send the same identity; the identities of leaf calls derive from it. ``failure`` is set
    if the caller's identity is invalid.
    """

    caller_id: str
    request_id: str
    at: float
    failure: RequestFailure | None


class ArrivalRegistry(Struct, kw_only=True):
    """Assigns an identity to each request."""

    incarnation: str
    numbers: Iterator[int] = field(default_factory=count)

    def register(self, request: web.BaseRequest) -> Arrival:
        """Record the arrival of a request; an invalid identity is replaced and gives a failure."""
        own_id = f"{self.incarnation}.{next(self.numbers)}"
        failure: RequestFailure | None = None
        caller_id: str | None = None
        match check_request_id(request.headers):
            case Ok(value):
                caller_id = value
            case Err(refusal):
                failure = refusal
        return Arrival(
            caller_id=caller_id or own_id,
            request_id=f"{caller_id}.{own_id}" if caller_id else own_id,
            at=asyncio.get_running_loop().time(),
            failure=failure,
        )
