"""Answers of servers and instances with a status that HTTP does not have."""

from __future__ import annotations

import asyncio

import pytest
from result import Err, Ok

from azurefield.failures import LeafFailureReason
from azurefield.model import Outcome
from azurefield_entry.gateway.peers.forward_frames import RequestServed, decode_result
from azurefield_testkit.entry_support.scripted_server import (
    ScriptedServer,
)
from azurefield_testkit.entry_support.server_calls import answer, call, connected

ODD_STATUSES = ("000", "007", "099", "600", "999", "00", "0200", "20", "-20", "101")


@pytest.mark.parametrize("status", ODD_STATUSES)
@pytest.mark.parametrize("extra", ["", "Refused: 1\r\n"], ids=["answer", "refusal"])
async def test_an_odd_status_is_no_answer_and_the_call_may_have_run(
    status: str, extra: str
) -> None:
    """Guards against a caller that gets a status that HTTP does not have."""
    odd = answer("/1", b"body", extra).replace(b"200", status.encode(), 1)
    async with connected(ScriptedServer(script=[[odd]])) as connection:
        async with asyncio.timeout(5):
            result = await connection.exchange(call("/1"))
        assert isinstance(result, Err), result.ok_value
        assert result.err_value.reason is LeafFailureReason.MALFORMED
        assert result.err_value.outcome is Outcome.MAY_HAVE_RUN
        assert not connection.usable


async def test_an_odd_status_ends_the_call_before_its_body_has_arrived() -> None:
    """Guards against a call that waits for a body that nobody needs."""
    odd = answer("/1", b"body").replace(b"200", b"000", 1)[:-1]
    async with connected(ScriptedServer(script=[[odd]])) as connection:
        async with asyncio.timeout(5):
            result = await connection.exchange(call("/1"))
        assert isinstance(result, Err)


@pytest.mark.parametrize("status", ["100", "102", "103", "199"])
async def test_the_answer_behind_an_interim_one_is_the_answer(status: str) -> None:
    """Guards against a call that fails because its server first says that it is at work."""
    interim = f"HTTP/1.1 {status} Wait\r\nNote: 1\r\n\r\n".encode()
    async with connected(ScriptedServer(script=[[interim + answer("/1", b"one")]])) as connection:
        result = await connection.exchange(call("/1"))
        assert isinstance(result, Ok)
        assert (result.ok_value.status, result.ok_value.body) == (200, b"one")


@pytest.mark.parametrize("status", [-1, 0, 7, 99, 101, 199, 600, 999])
def test_an_answer_with_an_odd_status_is_none_and_may_have_run(status: int) -> None:
    """Guards against a caller that gets what an instance of another version forwards."""
    frame = RequestServed(number=1, status=status, headers=(), body=b"", proof="p")
    result = decode_result(frame)
    assert isinstance(result, Err), result.ok_value
    assert result.err_value.outcome is Outcome.MAY_HAVE_RUN
