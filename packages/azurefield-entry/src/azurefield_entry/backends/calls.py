"""Leaf calls: the HTTP request and the check that the answer belongs to its call."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from azurefield.snapshot import LeafAnswer, check_answer
from azurefield_entry.backends.dialect import PATHS, FailedExchange, decode_answer, decode_error
from azurefield_entry.backends.exchange import HttpAnswer, HttpRequest, exchange
from azurefield_entry.messages import CallLeaf, LeafCallEnded

if TYPE_CHECKING:
    from azurefield_entry.backends.connection import Connection
    from azurefield_entry.backends.pool import ConnectionPool


async def call_leaf(pool: ConnectionPool[Connection], call: CallLeaf) -> LeafCallEnded:
    """Make one leaf call: wait for a connection, send the request and check the answer."""
    match await exchange(pool, _request_of(call), lambda answer: _decode(call, answer)):
        case Ok(leaf_answer):
            return LeafCallEnded(call_id=call.call_id, result=Ok(leaf_answer))
        case Err(failed):
            return LeafCallEnded(
                call_id=call.call_id, result=Err(failed.failure), incarnation=failed.incarnation
            )


def _decode(call: CallLeaf, answer: HttpAnswer) -> Result[LeafAnswer, FailedExchange]:
    if answer.status != 200:
        return Err(decode_error(answer.status, answer.body, call_id=call.call_id))
    return (
        decode_answer(answer.body)
        .and_then(
            lambda leaf_answer: check_answer(
                leaf_answer, call_id=call.call_id, leaf=call.leaf, snapshot=call.snapshot
            )
        )
        .map_err(lambda failure: FailedExchange(failure=failure))
    )


def _request_of(call: CallLeaf) -> HttpRequest:
    return HttpRequest(
        method="POST",
        path=f"/leafs/{quote(call.leaf, safe='')}/{PATHS[call.kind]}",
        deadline=call.deadline,
        priority=call.priority,
        body=msgspec.json.encode(call.body),
        headers={
            "Content-Type": "application/json",
            "X-Request-Id": call.call_id,
            "X-Index-Version": str(call.snapshot.index_version),
            "X-Map-Version": str(call.snapshot.map_version),
        },
    )
