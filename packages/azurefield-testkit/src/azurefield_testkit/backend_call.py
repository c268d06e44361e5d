"""Parser for calls in the dialect of the backend servers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from azurefield.model import RequestKind, Snapshot
from azurefield.snapshot import Holding

if TYPE_CHECKING:
    from aiohttp import web

OPERATIONS = {
    "search": RequestKind.LISTING,
    "lookup": RequestKind.LOOKUP,
    "book": RequestKind.BOOKING,
}


@dataclass(slots=True, kw_only=True, frozen=True)
class LeafCall:
    """The parsed headers and body of one call; ``deadline`` is a time of the event loop's clock.

    ``text`` is the body as it was received.
    """

    call_id: str
    kind: RequestKind
    holding: Holding
    deadline: float
    ticket: str | None
    body: dict[str, Any]
    text: str


async def read_call(request: web.Request) -> LeafCall | None:
    """Parse a call; None if it is malformed."""
    now = asyncio.get_running_loop().time()
    text = await request.text()
    headers = request.headers
    try:
        snapshot = Snapshot(
            index_version=int(headers["X-Index-Version"]),
            map_version=int(headers["X-Map-Version"]),
        )
        return LeafCall(
            call_id=headers["X-Request-Id"],
            kind=OPERATIONS[request.match_info["operation"]],
            holding=Holding(leaf=request.match_info["leaf"], snapshot=snapshot),
            deadline=now + float(headers["X-Deadline-Ms"]) / 1000,
            ticket=headers.get("Idempotency-Key"),
            body=msgspec.json.decode(text, type=dict[str, Any]),
            text=text,
        )
    except (KeyError, ValueError, msgspec.DecodeError):
        return None
