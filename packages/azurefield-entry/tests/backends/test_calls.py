from __future__ import annotations

import asyncio
import socket
from functools import partial
from typing import TYPE_CHECKING, Any

import pytest

from azurefield.failures import LeafFailureReason
from azurefield.model import Outcome
from azurefield_entry.backends import exchange
from azurefield_entry.backends.calls import call_leaf
from azurefield_entry.backends.connection import Connection
from azurefield_entry.backends.pool import ConnectionPool
from azurefield_testkit.entry_support.wire_server import (
    Script,
    WireRequest,
    WireServer,
    make_call,
    pool_to,
)

if TYPE_CHECKING:
    from azurefield_entry.messages import LeafCallEnded

NOT_RUN, MAY = Outcome.NOT_RUN, Outcome.MAY_HAVE_RUN
R = LeafFailureReason
RECORD = {"key": "k", "rank": 0, "fields": {}}


def failure_of(ended: LeafCallEnded) -> tuple[LeafFailureReason, Outcome]:
    failure = ended.result.unwrap_err()
    return failure.reason, failure.outcome


def answering(status: int, body: object, *, declared: int = 0) -> Script:
    async def script(request: WireRequest) -> None:
        request.send(status, body, declared=declared)
        if declared:
            request.writer.close()

    return script


def changed(**changes: Any) -> Script:
    async def script(request: WireRequest) -> None:
        request.answer(**changes)

    return script


async def close_unanswered(request: WireRequest) -> None:
    request.writer.transport.abort()


async def close_after_half_of_the_header(request: WireRequest) -> None:
    request.writer.write(b"HTTP/1.1 200 OK\r\nContent-Le")
    request.writer.close()


async def send_bytes_that_are_not_http(request: WireRequest) -> None:
    request.writer.write(b"\x00\x01garbage\r\n\r\n")
    request.writer.close()


async def never_answer(request: WireRequest) -> None:
    await request.until_cancelled()


async def redirect(request: WireRequest) -> None:
    head = "HTTP/1.1 307 X\r\nLocation: /leafs/other/book\r\nContent-Length: 0\r\n\r\n"
    request.writer.write(head.encode())


def refusal(reason: str, outcome: str = "not_run") -> dict[str, str]:
    return {"outcome": outcome, "reason": reason, "incarnation": "i9"}


FAULTS: dict[str, tuple[Script, LeafFailureReason, Outcome]] = {
    "closed-after-reading": (close_unanswered, R.CONNECTION_LOST, MAY),
    "half-a-header": (close_after_half_of_the_header, R.CONNECTION_LOST, MAY),
    "not-http": (send_bytes_that_are_not_http, R.MALFORMED, MAY),
    "no-answer-by-the-deadline": (never_answer, R.TIMEOUT, MAY),
    "redirect-is-not-followed": (redirect, R.SERVER_ERROR, MAY),
    "status-000": (answering(0, refusal("shedding")), R.MALFORMED, MAY),
    "status-099": (answering(99, refusal("shedding")), R.MALFORMED, MAY),
    "status-600": (answering(600, refusal("shedding")), R.MALFORMED, MAY),
    "truncated-body": (answering(200, {}, declared=9), R.TRUNCATED, MAY),
    "not-json": (answering(200, b"{"), R.MALFORMED, MAY),
    "deeply-nested-json": (answering(200, b"[" * 3999), R.MALFORMED, MAY),
    "fields-missing": (answering(200, {"leaf": "leaf/1"}), R.MALFORMED, MAY),
    "answer-too-large": (changed(records=[RECORD] * 200, record_count=200), R.MALFORMED, MAY),
    "another-call": (changed(request_id="c2"), R.IDENTITY_MISMATCH, MAY),
    "another-leaf": (changed(leaf="leaf/2"), R.IDENTITY_MISMATCH, MAY),
    "another-index": (changed(index_version=8), R.SNAPSHOT_MISMATCH, MAY),
    "another-map": (changed(map_version=3), R.SNAPSHOT_MISMATCH, MAY),
    "records-missing": (changed(record_count=1), R.TRUNCATED, MAY),
    "draining": (answering(503, refusal("draining")), R.DRAINING, NOT_RUN),
    "shedding": (answering(503, refusal("shedding")), R.SHEDDING, NOT_RUN),
    "version-missing": (answering(503, refusal("version_missing")), R.VERSION_MISSING, NOT_RUN),
    "wrong-leaf": (answering(503, refusal("wrong_leaf")), R.WRONG_LEAF, NOT_RUN),
    "deadline": (answering(503, refusal("deadline")), R.TIMEOUT, NOT_RUN),
    "new-reason": (answering(503, refusal("other")), R.SERVER_ERROR, NOT_RUN),
    "refusal-of-another-call": (
        answering(503, refusal("shedding") | {"request_id": "c2"}),
        R.IDENTITY_MISMATCH,
        MAY,
    ),
    "503-but-ran": (answering(503, refusal("shedding", "ran")), R.SERVER_ERROR, MAY),
    "503-without-outcome": (answering(503, b"busy"), R.SERVER_ERROR, MAY),
    "500-not-run": (answering(500, refusal("shedding")), R.SERVER_ERROR, MAY),
    "200-not-run": (answering(200, refusal("shedding")), R.MALFORMED, MAY),
}


@pytest.mark.parametrize(("script", "reason", "outcome"), FAULTS.values(), ids=FAULTS.keys())
async def test_each_fault_of_a_server_gives_its_reason_and_a_true_outcome(
    monkeypatch: pytest.MonkeyPatch,
    script: Script,
    reason: LeafFailureReason,
    outcome: Outcome,
) -> None:
    """Guards against a call that is reported as `not_run` although it may have run.

    After `not_run` a booking is sent to another server, so it would run twice.
    """
    monkeypatch.setattr(exchange, "ANSWER_BYTES_MAX", 4000)
    server = WireServer(script=script)
    async with pool_to(server) as pool:
        ended = await call_leaf(pool, make_call("c1", deadline_s=0.3))
        assert failure_of(ended) == (reason, outcome)
        assert len(server.requests) == 1, "aiohttp must not send a request again"
        assert ended.incarnation == ("i9" if outcome is NOT_RUN else None)


async def test_a_refused_connection_is_not_run() -> None:
    """Guards against a call that is not retried although no byte of it was sent."""
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{closed.getsockname()[1]}"
        ended = await call_leaf(
            ConnectionPool(connect=partial(Connection, address=address), ceiling=1), make_call("c1")
        )
    assert failure_of(ended) == (R.CONNECT_FAILED, NOT_RUN)


async def test_a_server_that_closes_before_reading_may_have_run_the_call() -> None:
    """Guards against `not_run` for a request whose bytes were sent.

    The server closes the connection without reading, but the caller can't know that.
    """
    server = WireServer(close_on_accept=True)
    async with pool_to(server) as pool:
        ended = await call_leaf(pool, make_call("c1"))
        assert failure_of(ended)[1] is MAY


async def test_a_call_that_gets_no_connection_before_its_deadline_is_not_run() -> None:
    """Guards against `may_have_run` for a call that only waited for a free connection."""
    server = WireServer(script=never_answer)
    async with pool_to(server, ceiling=1) as pool:
        first = asyncio.create_task(call_leaf(pool, make_call("c1", deadline_s=0.4)))
        await asyncio.sleep(0.05)
        second = await call_leaf(pool, make_call("c2", deadline_s=0.1))
        assert failure_of(second) == (R.NO_CAPACITY, NOT_RUN)
        assert failure_of(await first) == (R.TIMEOUT, MAY)
        assert [request.headers["x-request-id"] for request in server.requests] == ["c1"]


async def test_a_call_whose_deadline_has_passed_is_not_sent() -> None:
    """Guards against work on a backend server whose answer would come too late."""
    server = WireServer()
    async with pool_to(server) as pool:
        ended = await call_leaf(pool, make_call("c1", deadline_s=-0.1))
        assert failure_of(ended)[1] is NOT_RUN
        assert server.accepted == 0


async def test_a_call_carries_its_identity_snapshot_deadline_and_body() -> None:
    """Guards against a request that a backend server can't assign to its call."""
    server = WireServer()
    async with pool_to(server) as pool:
        ended = await call_leaf(pool, make_call("c1"))
        request = server.requests[0]
        assert ended.result.is_ok()
        assert request.path == "/leafs/leaf%2F1/book"
        assert request.body == {"key": "k", "payload": {}}
        assert request.headers["x-request-id"] == "c1"
        assert 4000 <= int(request.headers["x-deadline-ms"]) <= 5000
