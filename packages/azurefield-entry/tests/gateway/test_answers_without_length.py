"""Answers without a length, which end with their connection, from servers that answer twice."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from result import Err, Ok

from azurefield.failures import LeafFailureReason
from azurefield.model import Outcome
from azurefield_entry.gateway.ports import GatewayRequest, LeafCall
from azurefield_entry.gateway.servers.connection import HttpLeafConnection
from azurefield_testkit.entry_support.scripted_server import (
    PlainDialect,
    ScriptedServer,
    listening,
)

if TYPE_CHECKING:
    from result import Result

    from azurefield.failures import LeafFailure
    from azurefield_entry.gateway.ports import OpaqueAnswer

ANSWER = b"HTTP/1.1 200 OK\r\nId: /1\r\nProof: p\r\n\r\nbody"
EARLIER = b"HTTP/1.1 503 Service Unavailable\r\nId: /0\r\nContent-Length: 0\r\n\r\n"
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nRefused: 1\r\nId: /0\r\nContent-Length: 4\r\n\r\nbusy"
)
# A shorter begin of a status line can't be told from a body.
CUTS = (5, 8, 12, 15, 16, 17, 19, 20, 24, len(ANSWER) - 4, len(ANSWER) - 1)


async def exchange(*segments: bytes) -> Result[OpaqueAnswer, LeafFailure]:
    """Make a call to a server that sends some segments and closes the connection."""
    async with listening(ScriptedServer(script=[[*segments]], close=True)) as address:
        connection = HttpLeafConnection(address=address, dialect=PlainDialect())
        request = GatewayRequest(
            request_id="/1",
            method="GET",
            host="x",
            target="/1",
            headers=(),
            body=b"",
            arrived_at=0.0,
            deadline=None,
        )
        try:
            return await connection.exchange(LeafCall(request=request, server="s", deadline=0.0))
        finally:
            await connection.close()


@pytest.mark.parametrize(
    "segments",
    [
        (ANSWER + ANSWER,),
        (ANSWER, ANSWER),
        (ANSWER[:-2], ANSWER),
        (ANSWER, EARLIER),
        *((ANSWER, ANSWER[:cut]) for cut in CUTS),
    ],
    ids=["whole", "whole-later", "first-cut", "earlier", *(f"cut-{cut}" for cut in CUTS)],
)
async def test_a_second_answer_is_no_part_of_a_body_without_a_length(
    segments: tuple[bytes, ...],
) -> None:
    """Guards against bodies that go on with the copy of an answer."""
    result = await exchange(*segments)
    assert isinstance(result, Err), result.ok_value
    assert result.err_value.reason is LeafFailureReason.MALFORMED
    assert result.err_value.outcome is Outcome.MAY_HAVE_RUN


@pytest.mark.parametrize("cut", range(len(b"HTTP/"), len(REFUSAL) + 1))
async def test_a_refusal_is_no_part_of_a_body_without_a_length(cut: int) -> None:
    """Guards against bodies that go on with a refusal whose first header their answers lack."""
    result = await exchange(ANSWER, REFUSAL[:cut])
    assert isinstance(result, Err), result.ok_value
    assert result.err_value.reason is LeafFailureReason.MALFORMED
    assert result.err_value.outcome is Outcome.MAY_HAVE_RUN


@pytest.mark.parametrize("reason_length", [0, 1, 62, 63, 64, 65, 100, 1000, 8000])
@pytest.mark.parametrize("only_copy", [True, False], ids=["one", "both"])
async def test_a_copy_is_found_whatever_the_length_of_its_reason_phrase(
    reason_length: int, only_copy: bool
) -> None:
    """Guards against a body that goes on with a copy whose status line is long.

    The copy has the long reason, or both have it.
    """
    copy = ANSWER.replace(b"OK", b"x" * reason_length)
    result = await exchange(ANSWER if only_copy else copy, copy)
    assert isinstance(result, Err), len(result.ok_value.body)
    assert result.err_value.reason is LeafFailureReason.MALFORMED
    assert result.err_value.outcome is Outcome.MAY_HAVE_RUN


@pytest.mark.parametrize(
    "example",
    [
        b"GET /1 HTTP/1.1\r\nId: /1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nServer: example\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nServer: example\r\nProof: q\r\n\r\n",
        b"HTTP/1.1 200 OK",
        b"HTTP/1.1 404 Not Found\r\nthe page is gone",
        b"see HTTP/1.1 and HTTP/2",
    ],
    ids=["request", "other-server", "more-headers", "status-line", "text-below", "names"],
)
async def test_a_body_without_a_length_may_hold_examples_of_http(example: bytes) -> None:
    """Guards against whole answers that are refused because of what their bodies say."""
    result = await exchange(ANSWER, b" " + example + b".")
    assert isinstance(result, Ok), result.err_value
    assert result.ok_value.body == b"body " + example + b"."


@pytest.mark.timeout(60)
@pytest.mark.parametrize(
    "repeated",
    [
        b"HTTP/1.1 200 ",
        b"HTTP/1.1 200 OK\r\nx",
        b"\r\nProof:",
        b"HTTP/1.1 \r\nProof:",
        b"HTTP/1.1 200\r\nProof \t",
        b"HTTP/1.1 200\r",
        b"HTTP/1.1 200\r\nServer: s\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n" + b"Server: s\r\n" * 10 + b"\r\n",
        b"A:\r\n",
    ],
)
async def test_the_search_for_another_answer_does_not_hold_up_the_event_loop(
    repeated: bytes,
) -> None:
    """Guards against a search whose time grows with the square of the body's length."""
    result = await exchange(ANSWER, repeated * (4_000_000 // len(repeated)), b".")
    assert isinstance(result, Ok), result.err_value
