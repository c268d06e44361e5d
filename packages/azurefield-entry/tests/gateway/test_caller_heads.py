"""Heads of callers' requests in whatever reads they arrive, and what is kept of them."""

from __future__ import annotations

import asyncio

import pytest

from azurefield.parsed_heads import UNCOUNTED_BYTES
from azurefield_testkit.entry_support.caller_server import SMALL, loaded_server, request, status_of
from azurefield_testkit.waiting import wait_until

CHUNKED = b"POST /1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
GET = b"GET /1 HTTP/1.1\r\nHost: x\r\n\r\n"
EMPTY_LINES = b"\r\n" * 20
# Short lines, which take far more memory than their bytes.
PART_OF_A_HEAD = GET[:-2] + b"N: x\r\n" * 60


@pytest.mark.parametrize(
    ("sent", "answers"),
    [
        pytest.param((GET * 20,), ["0"] * 20, id="pipelined"),
        pytest.param((GET * 2 + request(SMALL) * 3,), ["0"] * 2 + ["4096"] * 3, id="with-bodies"),
        pytest.param((EMPTY_LINES + GET,), ["0"], id="behind-empty-lines"),
        pytest.param((b"\r", b"\n\r\n", GET), ["0"], id="behind-empty-lines-in-pieces"),
        pytest.param((GET + EMPTY_LINES, EMPTY_LINES + GET), ["0", "0"], id="empty-lines-between"),
        pytest.param((CHUNKED + GET[:10], GET[10:]), ["1", "0"], id="a-part-behind-chunks"),
        pytest.param(
            (CHUNKED + GET[:-2], GET[-2:]), ["1", "0"], id="all-but-its-end-behind-chunks"
        ),
        pytest.param((CHUNKED + GET[:-3], GET[-3:]), ["1", "0"], id="within-a-line's-end"),
        pytest.param((CHUNKED * 3 + GET,), ["1", "1", "1", "0"], id="whole-behind-chunks"),
        pytest.param((CHUNKED[:-1], CHUNKED[-1:] + GET), ["1", "0"], id="behind-the-last-byte"),
    ],
)
async def test_requests_are_answered_in_whatever_reads_they_arrive(
    sent: tuple[bytes, ...], answers: list[str]
) -> None:
    """Guards against requests that are lost or mixed up at the edges of reads."""
    async with loaded_server() as loaded:
        reader, writer = await loaded.connect()
        await wait_until(lambda: loaded.load.connections.open_count == 1, "it is connected")
        for data in sent:
            loaded.receive(data)
            await asyncio.sleep(0.05)
        for answer in answers:
            assert await status_of(reader) == 200
            assert await reader.readexactly(len(answer)) == answer.encode()
        writer.close()


@pytest.mark.parametrize(
    "before", [pytest.param(GET, id="no-body"), pytest.param(CHUNKED, id="chunks")]
)
async def test_a_part_of_the_next_head_is_counted(before: bytes) -> None:
    """Guards against parts of heads that the parser keeps uncounted."""
    async with loaded_server() as loaded:
        reader, writer = await loaded.connect()
        await wait_until(lambda: loaded.load.connections.open_count == 1, "it is connected")
        loaded.receive(before + PART_OF_A_HEAD)
        assert await status_of(reader) == 200
        await reader.readexactly(1)
        held = loaded.load.memory.held
        await wait_until(lambda: sum(held.values()) > UNCOUNTED_BYTES, "the part is counted")
        writer.write(b"\r\n")
        assert await status_of(reader) == 200
        writer.close()


async def test_a_request_that_would_change_the_protocol_costs_no_work_while_it_waits() -> None:
    """Guards against a busy loop for bytes that belong to no body."""
    async with loaded_server() as loaded:
        reader, writer = await loaded.connect()
        writer.write(b"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n" + bytes(20_000))
        await asyncio.sleep(0.1)
        assert not loaded.load.turns.waiting
        writer.close()
        await reader.read()
