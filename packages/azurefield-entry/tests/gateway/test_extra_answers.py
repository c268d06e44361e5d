"""Extra answers of a backend server behind answers whose end or whose trailers hide them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from result import Err, Ok

from azurefield.failures import LeafFailureReason
from azurefield.model import Outcome
from azurefield_entry.gateway.ports import GatewayRequest, LeafCall
from azurefield_entry.gateway.servers.answer_end import CHUNKS_END, ENDS_PER_READ_MAX
from azurefield_entry.gateway.servers.connection import PARSED_BYTES_MAX, HttpLeafConnection
from azurefield_testkit.entry_support.scripted_server import (
    PlainDialect,
    ScriptedServer,
    listening,
)

if TYPE_CHECKING:
    from aiohttp.http import HttpResponseParser

    from azurefield_entry.gateway.servers.exchange import Exchange


def call(target: str) -> LeafCall:
    request = GatewayRequest(
        request_id=target,
        method="GET",
        host="x",
        target=target,
        headers=(),
        body=b"",
        arrived_at=0.0,
        deadline=None,
    )
    return LeafCall(request=request, server="s", deadline=0.0)


def answer(identity: str, body: bytes) -> bytes:
    head = f"HTTP/1.1 200 OK\r\nId: {identity}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def chunked(identity: str, body: bytes, trailer: str = "") -> bytes:
    head = f"HTTP/1.1 200 OK\r\nId: {identity}\r\nTransfer-Encoding: chunked\r\n\r\n"
    return f"{head}{len(body):x}\r\n{body.decode()}\r\n0\r\n{trailer}\r\n".encode()


# Only a call that hangs takes this long.
ANSWERED_S = 5.0
TRAILER = "Not-Executed: 1\r\n"


async def test_a_trailer_is_no_header_of_the_next_answer_of_its_connection() -> None:
    """Guards against a request that has run and is refused for a trailer of another answer."""
    script = [[chunked("/1", b"one", TRAILER)], [answer("/2", b"two")]]
    async with listening(ScriptedServer(script=script)) as address:
        connection = HttpLeafConnection(address=address, dialect=PlainDialect())
        for target, body in (("/1", b"one"), ("/2", b"two")):
            result = await connection.exchange(call(target))
            assert isinstance(result, Ok)
            assert result.ok_value.body == body
            assert "Not-Executed" not in dict(result.ok_value.headers)
        assert connection.usable
        await connection.close()


@pytest.mark.parametrize("trailer", [TRAILER, ""], ids=["trailer", "no-trailer"])
@pytest.mark.parametrize("joined", [True, False], ids=["one-segment", "two-segments"])
async def test_a_trailer_of_an_extra_answer_is_no_header_of_the_answer_behind_it(
    trailer: str, joined: bool
) -> None:
    """Guards against the same for a late second copy, in one read with the answer or not."""
    copy, own = chunked("/1", b"one", trailer), answer("/2", b"two")
    for cut in range(1, len(own), 3):
        segments = [copy + own[:cut], own[cut:]] if joined else [copy, own[:cut], own[cut:]]
        script = [[answer("/1", b"one")], segments]
        async with listening(ScriptedServer(script=script)) as address:
            connection = HttpLeafConnection(address=address, dialect=PlainDialect())
            assert isinstance(await connection.exchange(call("/1")), Ok)
            match await connection.exchange(call("/2")):
                case Ok(own_answer):
                    assert own_answer.body == b"two"
                    assert "Not-Executed" not in dict(own_answer.headers)
                case Err(failure):
                    assert trailer
                    assert joined
                    assert failure.outcome is Outcome.MAY_HAVE_RUN
            assert not connection.usable
            await connection.close()


@pytest.mark.parametrize(
    "first_copy",
    [chunked("/1", b"one"), chunked("/1", b"a\r\n0\r\n\r\nHb", TRAILER)],
    ids=["two-copies", "end-in-body"],
)
async def test_what_looks_like_an_end_without_trailers_does_not_hide_a_trailer(
    first_copy: bytes,
) -> None:
    """Guards against a request that has run and is refused for a trailer behind such an end."""
    copies = first_copy + chunked("/1", b"one", TRAILER)
    script = [[answer("/1", b"one")], [copies + answer("/2", b"two")]]
    async with listening(ScriptedServer(script=script)) as address:
        connection = HttpLeafConnection(address=address, dialect=PlainDialect())
        assert isinstance(await connection.exchange(call("/1")), Ok)
        result = await connection.exchange(call("/2"))
        assert isinstance(result, Err), result.ok_value.headers
        assert result.err_value.outcome is Outcome.MAY_HAVE_RUN


OWN_ANSWERS = {"chunks": chunked("/2", b"two"), "length": answer("/2", b"two")}


@pytest.mark.parametrize("own", OWN_ANSWERS.values(), ids=OWN_ANSWERS)
@pytest.mark.parametrize(
    "copy",
    [
        chunked("/1", b"one"),
        chunked("/1", b"").removesuffix(b"0\r\n\r\n"),
        chunked("/1", b"one\r\n0\r\n"),
        chunked("/1", b"one") * 2,
        chunked("/1", b"x" * 1000),
    ],
    ids=["one", "empty", "ends-overlap", "two-copies", "long"],
)
async def test_an_extra_answer_whose_end_is_cut_does_not_hide_the_answer_behind_it(
    copy: bytes, own: bytes
) -> None:
    """Guards against taking the end of the call's own chunks for the one of the extra answer.

    The own answer is then thrown away, and the call waits until its deadline.
    """
    for cut in range(len(copy) - 12, len(copy) + 1):
        segments = [copy[:cut], copy[cut:] + own]
        async with listening(ScriptedServer(script=[[answer("/1", b"1")], segments])) as address:
            connection = HttpLeafConnection(address=address, dialect=PlainDialect())
            assert isinstance(await connection.exchange(call("/1")), Ok)
            async with asyncio.timeout(ANSWERED_S):
                result = await connection.exchange(call("/2"))
            assert isinstance(result, Ok), result.err_value
            assert result.ok_value.body == b"two"
            assert not connection.usable
            await connection.close()


@pytest.mark.parametrize("own", OWN_ANSWERS.values(), ids=OWN_ANSWERS)
async def test_an_extra_answer_that_ends_at_a_limit_of_the_parsed_bytes_hides_nothing(
    own: bytes,
) -> None:
    """Guards against the same for one read that is parsed in several pieces."""
    shortest = len(chunked("/1", b"x" * PARSED_BYTES_MAX)) - PARSED_BYTES_MAX
    for behind in range(len(CHUNKS_END) + 1):
        copy = chunked("/1", b"x" * (PARSED_BYTES_MAX - shortest + behind))
        script = [[answer("/1", b"1")], [copy + own]]
        async with listening(ScriptedServer(script=script)) as address:
            connection = HttpLeafConnection(address=address, dialect=PlainDialect())
            assert isinstance(await connection.exchange(call("/1")), Ok)
            async with asyncio.timeout(ANSWERED_S):
                result = await connection.exchange(call("/2"))
            assert isinstance(result, Ok), result.err_value
            assert result.ok_value.body == b"two"
            await connection.close()


@pytest.mark.parametrize("own", OWN_ANSWERS.values(), ids=OWN_ANSWERS)
async def test_an_answer_behind_the_trailers_of_an_extra_one_is_not_waited_for(own: bytes) -> None:
    """Guards against the same for an extra answer whose end can't be told from its trailers."""
    copy = chunked("/1", b"one", TRAILER)
    for cut in range(len(copy) - len(TRAILER) - 8, len(copy) + 1):
        segments = [copy[:cut], copy[cut:] + own]
        async with listening(ScriptedServer(script=[[answer("/1", b"1")], segments])) as address:
            connection = HttpLeafConnection(address=address, dialect=PlainDialect())
            assert isinstance(await connection.exchange(call("/1")), Ok)
            async with asyncio.timeout(ANSWERED_S):
                result = await connection.exchange(call("/2"))
            if cut == len(copy):
                assert isinstance(result, Ok), result.err_value
                assert result.ok_value.body == b"two"
                assert "Not-Executed" not in dict(result.ok_value.headers)
            else:
                assert isinstance(result, Err), result.ok_value
                assert result.err_value.reason is LeafFailureReason.MALFORMED
                assert result.err_value.outcome is Outcome.MAY_HAVE_RUN
            await connection.close()


@pytest.mark.parametrize("own", OWN_ANSWERS.values(), ids=OWN_ANSWERS)
@pytest.mark.parametrize("copy", [chunked("/1", b"one"), answer("/1", b"one")], ids=OWN_ANSWERS)
async def test_a_connection_is_not_reused_if_the_own_answer_ends_in_a_later_read(
    copy: bytes, own: bytes
) -> None:
    """Guards against forgetting the extra answer that was read with the begin of the own one."""
    for cut in range(1, len(own)):
        segments = [copy + own[:cut], own[cut:]]
        async with listening(ScriptedServer(script=[[answer("/1", b"1")], segments])) as address:
            connection = HttpLeafConnection(address=address, dialect=PlainDialect())
            assert isinstance(await connection.exchange(call("/1")), Ok)
            result = await connection.exchange(call("/2"))
            assert isinstance(result, Ok), result.err_value
            assert result.ok_value.body == b"two"
            assert not connection.usable, cut
            await connection.close()


class CountingConnection(HttpLeafConnection):
    """Counts the bytes that are parsed."""

    parsed_bytes = 0

    def parse(self, exchange: Exchange, parser: HttpResponseParser, data: bytes) -> None:
        """Count the bytes."""
        self.parsed_bytes += len(data)
        super().parse(exchange, parser, data)


SHORT_COPY = b"HTTP/1.1 200 \r\nTransfer-Encoding:chunked\r\n\r\n0\r\n\r\n"


@pytest.mark.parametrize("copies", [1, 10, 100, 250, 500, 1000])
async def test_many_extra_answers_in_one_read_are_parsed_once(copies: int) -> None:
    """Guards against parsing that is quadratic or recurses in the number of extra answers."""
    first, extra, own = answer("/1", b"one"), SHORT_COPY * copies, answer("/2", b"two")
    async with listening(ScriptedServer(script=[[first], [extra + own]])) as address:
        connection = CountingConnection(address=address, dialect=PlainDialect())
        assert isinstance(await connection.exchange(call("/1")), Ok)
        result = await connection.exchange(call("/2"))
        assert not connection.usable
        await connection.close()
    assert connection.parsed_bytes <= len(first + extra + own)
    if copies < ENDS_PER_READ_MAX:
        assert isinstance(result, Ok), result.err_value
        assert result.ok_value.body == b"two"
    else:
        assert isinstance(result, Err), result.ok_value
        assert result.err_value.reason is LeafFailureReason.MALFORMED
        assert result.err_value.outcome is Outcome.MAY_HAVE_RUN


WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\nId: /1\r\n\r\nbody"
# A copy that is cut off within this can't be told from the body.
TOO_SHORT = len(b"HTTP")


@pytest.mark.parametrize("copy", [WITHOUT_LENGTH, answer("/0", b"no"), chunked("/0", b"no")])
@pytest.mark.parametrize("late", [True, False], ids=["late", "same-write"])
async def test_a_copy_behind_an_answer_without_a_length_is_no_part_of_its_body(
    copy: bytes, late: bool
) -> None:
    """Guards against a body that goes on with the copy because it ends with the connection."""
    for length in range(TOO_SHORT + 1, len(copy) + 1):
        cut = copy[:length]
        segments = [WITHOUT_LENGTH, cut] if late else [WITHOUT_LENGTH + cut]
        async with listening(ScriptedServer(script=[segments], close=True)) as address:
            connection = HttpLeafConnection(address=address, dialect=PlainDialect())
            result = await connection.exchange(call("/1"))
        assert isinstance(result, Err), cut
        assert (result.err_value.reason, result.err_value.outcome) == (
            LeafFailureReason.MALFORMED,
            Outcome.MAY_HAVE_RUN,
        )


@pytest.mark.parametrize("body", [b'"GET / HTTP/1.1" 200', b"HTTP/", b"HTTP/1.1 200 OK\r\nId: /1"])
async def test_a_body_with_a_length_may_hold_a_status_line(body: bytes) -> None:
    """Guards against rejecting a body whose end is known for what it holds."""
    async with listening(ScriptedServer(script=[[answer("/1", body)]])) as address:
        connection = HttpLeafConnection(address=address, dialect=PlainDialect())
        result = await connection.exchange(call("/1"))
        assert isinstance(result, Ok)
        assert result.ok_value.body == body
        assert connection.usable
        await connection.close()
