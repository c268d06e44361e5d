"""A connection to a backend server: each call gets exactly its own answer."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

import pytest
from result import Err, Ok

from azurefield.failures import LeafFailureReason
from azurefield.model import Outcome
from azurefield_entry.gateway.servers.connection import (
    ANSWER_BYTES_MAX,
    HttpLeafConnection,
    failure,
)
from azurefield_testkit.entry_support.scripted_server import (
    PlainDialect,
    ScriptedServer,
    listening,
)
from azurefield_testkit.entry_support.server_calls import answer, call, chunked, connected
from azurefield_testkit.waiting import wait_until

if TYPE_CHECKING:

    from result import Result

    from azurefield.failures import LeafFailure
    from azurefield_entry.gateway.ports import Headers, LeafCall, OpaqueAnswer

R = LeafFailureReason
# Four times the size at which a connection gives up on an answer.
SENT_BYTES_MAX = 4 * ANSWER_BYTES_MAX


WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\nId: /1\r\n\r\nbody"


@pytest.mark.parametrize(
    ("segments", "usable"),
    [
        ([answer("/1", b"body")], True),
        ([answer("/1", b"body")[:10], answer("/1", b"body")[10:]], True),
        ([chunked("/1", b"body")], True),
        ([answer("/1", b"body", "Connection: close\r\n")], False),
        ([answer("/1", b"body") + answer("/1", b"no")], False),
        ([chunked("/1", b"body") + answer("/1", b"no")], False),
        ([answer("/1", b"body"), answer("/1", b"no")], False),
        ([answer("/0", b"no"), answer("/1", b"body")], False),
        ([answer("/0", b"no") + answer("/1", b"body")], False),
        ([b"HTTP/1.1 100 Continue\r\n\r\n" + answer("/1", b"body")], True),
        ([answer("/1", b"body").replace(b"Id: /1\r\n", b"")], False),
    ],
    ids=[
        "whole",
        "two-segments",
        "chunked",
        "closing",
        "extra-behind",
        "extra-behind-chunked",
        "extra-later",
        "extra-of-another-before",
        "both-in-one-segment",
        "interim",
        "without-identity",
    ],
)
async def test_a_call_gets_its_own_answer_and_unusable_connections_are_not_reused(
    segments: list[bytes], usable: bool
) -> None:
    """Guards against returning an extra answer, which belongs to no call, as the call's answer."""
    async with connected(ScriptedServer(script=[segments])) as connection:
        result = await connection.exchange(call("/1"))
        assert isinstance(result, Ok)
        assert result.ok_value.body == b"body"
        await asyncio.sleep(0.03)
        assert connection.usable is usable


@pytest.mark.parametrize(
    ("segments", "close", "reason"),
    [
        ([answer("/1", b"body")[:-1]], True, R.TRUNCATED),
        ([answer("/1", b"body")[:-1], b""], False, R.CONNECTION_LOST),
        ([b""], False, R.CONNECTION_LOST),
        ([], True, R.CONNECTION_LOST),
        ([b"rubbish\r\n\r\n"], False, R.MALFORMED),
        ([WITHOUT_LENGTH, b""], False, R.CONNECTION_LOST),
        ([chunked("/1", b"body")[:-7]], True, R.TRUNCATED),
    ],
    ids=["short", "reset", "no-answer", "closed", "rubbish", "unframed-reset", "chunks-cut"],
)
async def test_an_answer_that_is_not_whole_is_a_failure_that_may_have_run(
    segments: list[bytes], close: bool, reason: LeafFailureReason
) -> None:
    """Guards against a truncated answer that is treated as complete."""
    async with connected(ScriptedServer(script=[segments], close=close)) as connection:
        result = await connection.exchange(call("/1"))
        assert isinstance(result, Err)
        assert (result.err_value.reason, result.err_value.outcome) == (
            reason,
            Outcome.MAY_HAVE_RUN,
        )
        assert not connection.usable


HEADS = {
    "with-length": answer("/1", b"body"),
    "without-length": WITHOUT_LENGTH,
    "chunked": chunked("/1", b"body"),
    "empty-body": answer("/1", b""),
}


@pytest.mark.parametrize("head", HEADS)
async def test_an_answer_that_ends_within_its_head_is_a_failure(head: str) -> None:
    """Guards against an empty or short success, framed as whole, for half of a head."""
    whole = HEADS[head]
    for length in range(whole.index(b"\r\n\r\n") + 4):
        segments = [whole[:length]] if length else []
        async with connected(ScriptedServer(script=[segments], close=True)) as connection:
            result = await connection.exchange(call("/1"))
        assert isinstance(result, Err), whole[:length]
        assert result.err_value.outcome is Outcome.MAY_HAVE_RUN


async def test_an_answer_without_a_length_ends_with_its_connection() -> None:
    """Guards against rejecting a whole answer that has no length and ends with the connection."""
    async with connected(ScriptedServer(script=[[WITHOUT_LENGTH]], close=True)) as connection:
        result = await connection.exchange(call("/1"))
        assert isinstance(result, Ok)
        assert result.ok_value.body == b"body"
        assert not connection.usable


async def test_a_connection_is_used_again_and_an_answer_to_head_has_no_body() -> None:
    """Guards against a new connection for each call, and against waiting for the body of a HEAD."""
    server = ScriptedServer(script=[[answer("/1", b"one")], [answer("/2", b"abc")[:-3]]])
    async with connected(server) as connection:
        assert isinstance(await connection.exchange(call("/1")), Ok)
        assert isinstance(await connection.exchange(call("/2", "HEAD")), Ok)
        assert (server.accepted, server.requests) == (1, ["/1", "/2"])


class UnreadableDialect(PlainDialect):
    """Finds no answer readable."""

    def decode(
        self, call: LeafCall, status: int, headers: Headers, body: bytes, *, reused: bool
    ) -> Result[OpaqueAnswer, LeafFailure] | None:
        decoded = super().decode(call, status, headers, body, reused=reused)
        return decoded and Err(failure(R.MALFORMED))


async def test_a_connection_is_not_used_behind_an_answer_that_cannot_be_read() -> None:
    """Guards against calls behind a head that is joined from those of two answers."""
    server = ScriptedServer(script=[[answer("/1", b"one")]])
    async with connected(server) as connection:
        connection.dialect = UnreadableDialect()
        assert isinstance(await connection.exchange(call("/1")), Err)
        assert not connection.usable


EXTRA = answer("/1", b"no", "Note: a b\r\n")
EXTRA_CHUNKED = chunked("/1", b"no")


@pytest.mark.parametrize(
    "own", [answer("/1", b"body"), chunked("/1", b"body")], ids=["len", "chunk"]
)
@pytest.mark.parametrize("extra", [EXTRA, EXTRA_CHUNKED, b"\r\n\r\n"], ids=["len", "chunk", "line"])
@pytest.mark.parametrize("interim", [b"", b"HTTP/1.1 100 Continue\r\n\r\n"], ids=["", "interim"])
async def test_any_byte_behind_an_answer_ends_the_use_of_its_connection(
    own: bytes, extra: bytes, interim: bytes
) -> None:
    """Guards against a begun extra answer whose head is joined with that of the next answer."""
    for length in range(1, len(extra) + 1):
        segments = [interim + own + extra[:length]]
        async with connected(ScriptedServer(script=[segments])) as connection:
            result = await connection.exchange(call("/1"))
            assert isinstance(result, Ok)
            assert result.ok_value.body == b"body"
            assert not connection.usable, extra[:length]


@pytest.mark.parametrize("extra", [EXTRA, EXTRA_CHUNKED], ids=["len", "chunk"])
async def test_an_extra_answer_that_arrives_while_the_connection_is_idle_ends_its_use(
    extra: bytes,
) -> None:
    """Guards against a connection whose next answer is read behind a part of an extra one."""
    for length in range(1, len(extra), 7):
        script = [[answer("/1", b"body"), extra[:length]]]
        async with connected(ScriptedServer(script=script)) as connection:
            assert isinstance(await connection.exchange(call("/1")), Ok)
            await wait_until(lambda: not connection.usable, f"{extra[:length]!r} ends the use")


@pytest.mark.parametrize("extra", [EXTRA, EXTRA_CHUNKED], ids=["len", "chunk"])
@pytest.mark.parametrize("joined", [True, False], ids=["one-segment", "two-segments"])
async def test_the_cut_copy_of_an_earlier_answer_is_not_joined_with_the_next_one(
    extra: bytes, joined: bool
) -> None:
    """Guards against an answer with the status or headers of a copy that was cut off before it."""
    own = answer("/2", b"next")
    for length in range(1, len(extra)):
        cut = extra[:length]
        second = [cut + own] if joined else [cut, own]
        server = ScriptedServer(script=[[answer("/1", b"body")], second], close=True)
        async with connected(server) as connection:
            assert isinstance(await connection.exchange(call("/1")), Ok)
            result = await connection.exchange(call("/2"))
            if isinstance(result, Ok):
                assert result.ok_value.body == b"next"
                assert [value for name, value in result.ok_value.headers if name == "Id"] == ["/2"]
                assert not any("HTTP/1.1" in value for _, value in result.ok_value.headers)
            else:
                assert result.err_value.outcome is Outcome.MAY_HAVE_RUN
            assert not connection.usable


async def test_a_cancelled_call_closes_its_connection() -> None:
    """Guards against the late answer of a cancelled call being returned to the next call."""
    async with connected(ScriptedServer(script=[[]])) as connection:
        task = asyncio.create_task(connection.exchange(call("/1")))
        await asyncio.sleep(0.02)
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
        assert not connection.usable


async def test_the_idle_time_that_a_server_grants_is_kept() -> None:
    """Guards against a call on a connection that the server is about to close."""
    server = ScriptedServer(script=[[answer("/1", b"one", "Keep-Alive: timeout=0\r\n")]])
    async with connected(server) as connection:
        assert isinstance(await connection.exchange(call("/1")), Ok)
        assert not connection.usable


async def test_a_server_that_can_t_be_reached_did_not_run_the_call() -> None:
    """Guards against refusing a retry of a call that was never sent."""
    connection = HttpLeafConnection(address="127.0.0.1:1", dialect=PlainDialect())
    result = await connection.exchange(call("/1"))
    assert isinstance(result, Err)
    assert (result.err_value.reason, result.err_value.outcome) == (
        R.CONNECT_FAILED,
        Outcome.NOT_RUN,
    )


async def test_a_late_copy_without_an_identity_is_not_taken_for_the_next_answer() -> None:
    """Guards against a second copy of an answer that reaches the caller of the next call."""
    copy = answer("/1", b"one").replace(b"Id: /1\r\n", b"")
    server = ScriptedServer(script=[[answer("/1", b"one")], [copy, answer("/2", b"two")]])
    async with connected(server) as connection:
        for target, body in (("/1", b"one"), ("/2", b"two")):
            result = await connection.exchange(call(target))
            assert isinstance(result, Ok)
            assert result.ok_value.body == body
        assert not connection.usable


HEAD = b"HTTP/1.1 200 OK\r\nId: /1\r\n"
MEGABYTE = b"x" * (1 << 20)


@pytest.mark.parametrize(
    ("start", "repeated"),
    [
        (b"", MEGABYTE),
        (b"HTTP/1.1 200 ", MEGABYTE),
        (HEAD + b"Long: ", MEGABYTE),
        (HEAD, b"Name: value\r\n" * 50_000),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 20_000),
        (HEAD + b"\r\n", MEGABYTE),
        (HEAD + b"Content-Length: 99999999999\r\n\r\n", MEGABYTE),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"100000\r\n" + MEGABYTE + b"\r\n"),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;", MEGABYTE),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"Name: value\r\n" * 50_000),
    ],
    ids=[
        "no-answer",
        "status-line",
        "header",
        "headers",
        "interim-answers",
        "unframed-body",
        "long-body",
        "chunks",
        "chunk-extension",
        "trailers",
    ],
)
async def test_bytes_without_end_end_the_call_and_the_connection(
    start: bytes, repeated: bytes
) -> None:
    """Guards against a server in trouble that fills the memory until the deadline of the call."""
    sent = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal sent
        await reader.readuntil(b"\r\n\r\n")
        writer.write(start)
        with suppress(ConnectionError):
            while sent < SENT_BYTES_MAX:
                writer.write(repeated)
                sent += len(repeated)
                await writer.drain()
        writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    connection = HttpLeafConnection(address=f"127.0.0.1:{port}", dialect=PlainDialect())
    async with asyncio.timeout(20):
        result = await connection.exchange(call("/1"))
    assert isinstance(result, Err)
    assert result.err_value.outcome is Outcome.MAY_HAVE_RUN
    assert not connection.usable
    assert sent < SENT_BYTES_MAX, "the connection must be closed long before the server gives up"
    listener.close()


async def test_headers_that_are_no_text_do_not_lose_an_answer() -> None:
    """Guards against an answer that is lost because of bytes in a header that nobody needs."""
    odd = answer("/1", b"body").replace(
        b"Content-Length",
        b"Note: \xe9\r\nKeep-Alive: timeout=" + b"9" * 5000 + b"\r\nContent-Length",
    )
    async with connected(ScriptedServer(script=[[odd]])) as connection:
        result = await connection.exchange(call("/1"))
        assert isinstance(result, Ok)
        assert result.ok_value.body == b"body"


async def test_a_port_that_is_too_large_does_not_lead_to_another_server() -> None:
    """Guards against a call to the port that is left when the upper bits are cut off."""
    server = ScriptedServer(script=[[answer("/1", b"body")]])
    async with listening(server) as address:
        host, _, port = address.rpartition(":")
        connection = HttpLeafConnection(
            address=f"{host}:{int(port) + 65_536}", dialect=PlainDialect()
        )
        result = await connection.exchange(call("/1"))
    assert isinstance(result, Err)
    assert result.err_value.reason is R.CONNECT_FAILED
    assert server.accepted == 0


async def test_an_address_that_can_t_exist_did_not_run_the_call() -> None:
    """Guards against a call without a result because its server registered an invalid port."""
    connection = HttpLeafConnection(address="127.0.0.1:99999", dialect=PlainDialect())
    result = await connection.exchange(call("/1"))
    assert isinstance(result, Err)
    assert result.err_value.reason is R.CONNECT_FAILED
