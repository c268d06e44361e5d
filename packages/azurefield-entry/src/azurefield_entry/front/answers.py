"""Successful answers to callers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from aiohttp import web

if TYPE_CHECKING:
    from azurefield.model import Snapshot
    from azurefield.snapshot import Coverage, MergedAnswer
    from azurefield_entry.messages import BookingAnswer


def query_response(answer: MergedAnswer, *, request_id: str, service: str) -> web.Response:
    """Build the answer of a listing, an urgent look-up or a look-up."""
    return json_response(
        {
            "request_id": request_id,
            "service": service,
            "snapshot": _snapshot(answer.snapshot),
            "coverage": _coverage(answer.coverage),
            "records": answer.records,
        },
        request_id=request_id,
    )


def booking_response(answer: BookingAnswer, *, request_id: str, service: str) -> web.Response:
    """Build the answer of a booking that ran."""
    return json_response(
        {
            "request_id": request_id,
            "service": service,
            "snapshot": _snapshot(answer.snapshot),
            "leaf": answer.leaf,
            "result": answer.result,
        },
        request_id=request_id,
    )


def ticket_response(ticket: str, *, request_id: str, service: str) -> web.Response:
    """Build the answer that contains a new ticket."""
    return json_response(
        {"request_id": request_id, "service": service, "ticket": ticket}, request_id=request_id
    )


def json_response(body: dict[str, Any], *, request_id: str) -> web.Response:
    """Build a 200 answer that echoes the request's identity."""
    return web.Response(
        body=msgspec.json.encode(body),
        content_type="application/json",
        headers={"X-Request-Id": request_id},
    )


def _snapshot(snapshot: Snapshot) -> dict[str, int]:
    return {"index_version": snapshot.index_version, "map_version": snapshot.map_version}


def _coverage(coverage: Coverage) -> dict[str, Any]:
    return {
        "leafs_total": coverage.leafs_total,
        "leafs_covered": coverage.leafs_covered,
        "missing": [{"leaf": entry.leaf, "reason": entry.reason} for entry in coverage.missing],
    }
