"""What all callers' connections hold together, with a server on a loopback address."""

from __future__ import annotations

import asyncio
import socket

import pytest

from azurefield.parsing_turns import SHORT_LINES
from azurefield.routes import CallerLimits
from azurefield_entry.early_listener import LARGE_BUFFER_BYTES, RECEIVE_BUFFER_BYTES
from azurefield_testkit.entry_support.caller_server import (
    LIMITS,
    SMALL,
    LoadedServer,
    loaded_server,
    request,
    status_of,
)
from azurefield_testkit.waiting import wait_until

LARGE = b"x" * 50_000


async def test_the_largest_body_is_refused_and_small_ones_are_served() -> None:
    """Guards against one caller whose large body takes the memory of ordinary requests."""
    async with loaded_server(memory_bytes=90_000) as loaded:
        memory = loaded.load.memory
        _, stalled_writer = await loaded.connect()
        stalled_writer.write(request(LARGE, missing=20_000))
        await wait_until(lambda: memory.total_bytes == 30_000, "the first body is held")
        larger, larger_writer = await loaded.connect()
        larger_writer.write(request(2 * LARGE, missing=50_000))
        await wait_until(lambda: memory.total_bytes == 80_000, "both bodies are held")
        larger_writer.write(bytes(20_000))
        assert await status_of(larger) == 503
        small, small_writer = await loaded.connect()
        small_writer.write(request(SMALL))
        assert await status_of(small) == 200
        assert memory.total_bytes == 30_000
        stalled_writer.close()
        await wait_until(lambda: memory.total_bytes == 0, "nothing is held")


async def test_large_bodies_are_served_on_a_kept_connection_that_is_read_at_once() -> None:
    """Guards against a legal body that counts as bytes behind a head that can't be parsed."""
    async with loaded_server() as loaded:
        loaded.limits = CallerLimits(body_bytes_max=1_048_576)
        reader, writer = await loaded.connect()
        await wait_until(lambda: loaded.load.connections.open_count == 1, "it is connected")
        whole = request(bytes(1_048_576))
        for _ in range(3):
            loaded.receive(*(whole[at : at + 256_000] for at in range(0, len(whole), 256_000)))
            assert await status_of(reader) == 200
            assert await reader.readexactly(7) == b"1048576"
        writer.close()


@pytest.mark.parametrize("body_bytes", [5_000, 20_000, 60_000])
@pytest.mark.parametrize("pieces", [1, 2])
async def test_a_whole_body_near_the_limit_is_refused_and_its_connection_closed(
    body_bytes: int, pieces: int
) -> None:
    """Guards against a refused body whose caller gets no answer, or a connection that hangs."""
    async with loaded_server() as loaded:
        loaded.load.memory.limit_bytes = body_bytes - 500
        reader, _ = await loaded.connect()
        await wait_until(lambda: loaded.load.connections.open_count == 1, "it is connected")
        whole = request(bytes(body_bytes))
        size = -(-len(whole) // pieces)
        loaded.receive(*(whole[at : at + size] for at in range(0, len(whole), size)))
        assert await status_of(reader) == 503
        async with asyncio.timeout(5.0):
            await reader.read()
        assert loaded.running == 0
        assert loaded.load.memory.total_bytes == 0


async def test_a_running_request_is_answered_when_there_is_no_room_for_the_next() -> None:
    """Guards against a request that is cancelled for the bytes that follow it."""
    async with loaded_server() as loaded:
        reader, writer = await loaded.connect_running()
        loaded.load.memory.limit_bytes = 10_000
        writer.write(request(LARGE))
        refused = loaded.load.metrics.limited.labels("memory")
        await wait_until(lambda: refused._value.get() == 1, "the rest is dropped")
        loaded.may_answer.set()
        assert await status_of(reader) == 200
        async with asyncio.timeout(5.0):
            await reader.read()
        assert loaded.running == 1


async def test_a_body_that_there_is_no_room_for_is_refused_behind_an_answer() -> None:
    """Guards against a refused request whose connection closes with the answer to another one."""
    async with loaded_server() as loaded:
        reader, writer = await loaded.connect_running()
        writer.write(request(LARGE))
        memory = loaded.load.memory
        await wait_until(lambda: memory.total_bytes > len(LARGE), "the second request waits")
        memory.limit_bytes = 20_000
        loaded.may_answer.set()
        assert [await status_of(reader), await reader.readexactly(4)] == [200, b"4096"]
        assert await status_of(reader) == 503
        async with asyncio.timeout(5.0):
            await reader.read()


async def test_no_more_than_one_read_is_held_behind_a_running_request() -> None:
    """Guards against reads behind a running request that add up before reading pauses."""
    async with loaded_server() as loaded:
        reader, _ = await loaded.connect_running()
        assert loaded.server is not None
        (connection,) = loaded.server.connections
        loaded.receive(request(SMALL)[:100])
        assert connection.transport is not None
        assert not connection.transport.is_reading()
        loaded.receive(request(SMALL)[100:])
        loaded.may_answer.set()
        assert [await status_of(reader), await reader.readexactly(4)] == [200, b"4096"]
        assert [await status_of(reader), await reader.readexactly(4)] == [200, b"4096"]


async def test_a_complete_body_is_held_until_its_request_has_ended() -> None:
    """Guards against bodies of running requests that nothing counts."""
    async with loaded_server(memory_bytes=150_000) as loaded:
        loaded.may_answer.clear()
        first, first_writer = await loaded.connect()
        first_writer.write(request(LARGE))
        await wait_until(lambda: loaded.running == 1, "the first request runs")
        second, second_writer = await loaded.connect()
        second_writer.write(request(LARGE))
        assert await status_of(second) == 503
        loaded.may_answer.set()
        assert await status_of(first) == 200
        await wait_until(lambda: loaded.load.memory.total_bytes == 0, "nothing is held")
        second_writer.write(request(LARGE))
        assert await status_of(second) == 200


async def test_a_single_body_has_room_whatever_the_settings_are() -> None:
    """Guards against a legal request that is refused in calm."""
    async with loaded_server(memory_bytes=1) as loaded:
        loaded.load.set_limits(body_bytes_max=LIMITS.body_bytes_max)
        reader, writer = await loaded.connect()
        writer.write(request(b"x" * LIMITS.body_bytes_max))
        assert await status_of(reader) == 200


@pytest.mark.parametrize("chunk_bytes", [1, 7, 5000])
@pytest.mark.parametrize("count", [1, 3])
async def test_bodies_in_small_chunks_are_served_whole(chunk_bytes: int, count: int) -> None:
    """Guards against a limit on the number of chunks, and bytes that are lost between turns."""
    chunk = f"{chunk_bytes:x}\r\n".encode() + b"x" * chunk_bytes + b"\r\n"
    chunks = LIMITS.body_bytes_max // chunk_bytes
    assert chunks * chunk.count(b"\n") > SHORT_LINES or chunk_bytes == 5000
    head = b"POST /1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    async with loaded_server() as loaded:
        reader, writer = await loaded.connect()
        writer.write((head + chunk * chunks + b"0\r\n\r\n") * count)
        for _ in range(count):
            assert await status_of(reader) == 200
            expected = str(chunks * chunk_bytes).encode()
            assert await reader.readexactly(len(expected)) == expected


async def test_the_connection_that_waited_longest_closes_if_there_are_too_many() -> None:
    """Guards against idle or stalled connections that keep ordinary callers out."""
    async with loaded_server(connections_max=2) as loaded:
        loaded.may_answer.clear()
        served, served_writer = await loaded.connect()
        served_writer.write(request(SMALL))
        await wait_until(lambda: loaded.running == 1, "a request runs")
        stalled, stalled_writer = await loaded.connect()
        stalled_writer.write(request(SMALL, missing=1))
        await wait_until(lambda: loaded.load.connections.open_count == 2, "two are open")
        new, new_writer = await loaded.connect()
        new_writer.write(request(SMALL))
        assert await status_of(stalled) == 0
        await wait_until(lambda: loaded.running == 2, "the new request runs")
        refused, _ = await loaded.connect()
        assert await status_of(refused) == 0
        loaded.may_answer.set()
        assert [await status_of(served), await status_of(new)] == [200, 200]
        stalled_writer.close()


async def test_callers_that_do_not_read_their_answers_make_room_for_others() -> None:
    """Guards against connections that count as served for as long as their callers like."""
    async with loaded_server(memory_bytes=1_000_000_000, connections_max=2) as loaded:
        unread = [await loaded.connect() for _ in range(2)]
        for _, unread_writer in unread:
            unread_writer.write(request(b"", path="/large"))
        await wait_until(lambda: len(loaded.load.memory.held) == len(unread), "answers wait")
        reader, writer = await loaded.connect()
        writer.write(request(SMALL))
        assert await status_of(reader) == 200


async def test_answers_that_callers_do_not_read_close_their_connections() -> None:
    """Guards against the memory of answers that wait for their callers."""
    async with loaded_server(memory_bytes=30_000_000) as loaded:
        callers = [await loaded.connect() for _ in range(4)]
        for _, writer in callers:
            # The second request is not begun while the answer to the first is not read.
            writer.write(request(b"", path="/large") * 2)
        await wait_until(lambda: loaded.load.connections.open_count <= 1, "the others are closed")
        assert loaded.running == len(callers)
        assert loaded.load.memory.total_bytes <= 30_000_000
        reader, writer = await loaded.connect()
        writer.write(request(SMALL))
        assert await status_of(reader) == 200


def receive_buffers(loaded: LoadedServer) -> list[int]:
    """Return the sizes of the connections' receive buffers that were asked for, in ascending order.

    The operating system reports twice the size.
    """
    assert loaded.server is not None
    sockets = [
        connection.transport.get_extra_info("socket")
        for connection in loaded.server.connections
        if connection.transport is not None
    ]
    return sorted(one.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF) // 2 for one in sockets)


async def test_few_connections_have_a_large_receive_buffer() -> None:
    """Guards against unread bytes of a crowd, and against slow large bodies in calm."""
    async with loaded_server(large_buffers_max=1, small_buffers=True) as loaded:
        _, small = await loaded.connect()
        small.write(request(SMALL, missing=1))
        reader, first = await loaded.connect()
        first.write(request(LARGE, missing=1))
        await wait_until(lambda: LARGE_BUFFER_BYTES in receive_buffers(loaded), "one is large")
        _, second = await loaded.connect()
        second.write(request(LARGE, missing=1))
        await wait_until(lambda: len(loaded.load.memory.held) == 2, "both bodies are counted")
        small_bytes = RECEIVE_BUFFER_BYTES
        assert receive_buffers(loaded) == [small_bytes, small_bytes, LARGE_BUFFER_BYTES]
        first.write(b"x")
        assert await status_of(reader) == 200
        first.close()
        await wait_until(lambda: not loaded.load.large_buffers.holders, "it is released")
        for writer in (small, second):
            writer.close()


LARGE_HEAD = b"GET /1 HTTP/1.1\r\nHost: x\r\n" + b"N: " + b"x" * 10_000 + b"\r\n"


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        pytest.param(LARGE_HEAD, 0, id="without-its-end"),
        pytest.param(
            LARGE_HEAD.replace(b"GET", b"POST") + b"Content-Length: 4\r\n\r\n", 503, id="whole"
        ),
        pytest.param(LARGE_HEAD + b"\r\n", 503, id="of-a-request-without-a-body"),
    ],
)
async def test_a_large_head_that_there_is_no_room_for_is_refused(sent: bytes, status: int) -> None:
    """Guards against heads that take memory which nothing counts."""
    async with loaded_server(memory_bytes=20_000) as loaded:
        reader, writer = await loaded.connect()
        writer.write(sent)
        assert await status_of(reader) == status
        assert loaded.running == 0
        await wait_until(lambda: loaded.load.memory.total_bytes == 0, "nothing is held")
        small, small_writer = await loaded.connect()
        small_writer.write(request(SMALL))
        assert await status_of(small) == 200


async def test_a_large_head_is_held_until_the_next_one_begins() -> None:
    """Guards against heads that nothing counts, while their requests run and behind the answers."""
    async with loaded_server() as loaded:
        loaded.may_answer.clear()
        reader, writer = await loaded.connect()
        writer.write(LARGE_HEAD + b"\r\n")
        await wait_until(lambda: loaded.running == 1, "the request runs")
        assert loaded.load.memory.used_bytes > 2 * len(LARGE_HEAD)
        loaded.may_answer.set()
        assert await status_of(reader) == 200
        await reader.readexactly(1)
        assert loaded.load.memory.total_bytes > len(LARGE_HEAD)
        writer.write(request(SMALL))
        assert await status_of(reader) == 200
        assert loaded.load.memory.total_bytes == 0


CHUNKED = b"POST /1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
MANY_LINES = b"N: x\r\n" * 200


@pytest.mark.parametrize(
    "pieces",
    [
        pytest.param((CHUNKED, b"zz\r\n"), id="size-of-the-first-chunk"),
        pytest.param((CHUNKED + b"1\r\nx\r\n", b"zz\r\n"), id="size-of-a-later-chunk"),
        pytest.param((CHUNKED, b"1\r\nxx" + bytes(40_000)), id="end-of-a-chunk"),
        pytest.param((CHUNKED + b"0\r\n", b"no line\r\n\r\n"), id="trailer"),
        pytest.param((CHUNKED + b"0\r\n", MANY_LINES), id="too-many-trailers"),
    ],
)
async def test_a_malformed_body_ends_its_connection(pieces: tuple[bytes, ...]) -> None:
    """Guards against a request that waits for ever, and errors that add up."""
    async with loaded_server() as loaded:
        reader, writer = await loaded.connect()
        await wait_until(lambda: loaded.load.connections.open_count == 1, "it is connected")
        for piece in pieces:
            loaded.receive(piece)
            await asyncio.sleep(0.01)
        assert await status_of(reader) == 400
        async with asyncio.timeout(5.0):
            await reader.read()
        assert loaded.running == 0
        assert loaded.load.memory.total_bytes == 0
        writer.close()


LAST_CHUNK = b"1\r\nx\r\n0\r\n"
TRAILER = b"N: " + b"x" * 8000 + b"\r\n"


@pytest.mark.parametrize(
    ("pieces", "status"),
    [
        pytest.param((LAST_CHUNK, TRAILER, b"\r\n"), 200, id="within-the-limit"),
        pytest.param((LAST_CHUNK + TRAILER, b"\r\n"), 200, id="with-the-last-chunk"),
        pytest.param((LAST_CHUNK, TRAILER, TRAILER, TRAILER), 413, id="too-large"),
        pytest.param((LAST_CHUNK + TRAILER, TRAILER, TRAILER), 413, id="with-the-last-chunk-too"),
        pytest.param((b"1;n=", *[b"x" * 8000] * 3), 413, id="an-extension"),
        pytest.param((b"1;n=" + b"x" * 8000 + b"\r\nx\r\n",) * 4 + (b"0\r\n\r\n",), 200, id="each"),
    ],
)
async def test_trailers_and_framing_are_bounded_as_heads_are(
    pieces: tuple[bytes, ...], status: int
) -> None:
    """Guards against trailers and chunk extensions without an end."""
    async with loaded_server() as loaded:
        reader, writer = await loaded.connect()
        await wait_until(lambda: loaded.load.connections.open_count == 1, "it is connected")
        for piece in (CHUNKED, *pieces):
            loaded.receive(piece)
            await asyncio.sleep(0.01)
        assert await status_of(reader) == status
        writer.close()
        await wait_until(lambda: loaded.load.memory.total_bytes == 0, "nothing is held")


async def test_a_small_body_that_looks_like_a_last_chunk_is_served_without_room() -> None:
    """Guards against a small request that is refused for what others hold."""
    async with loaded_server(memory_bytes=1) as loaded:
        reader, writer = await loaded.connect()
        writer.write(CHUNKED + b"7d0\r\n" + b"\n0" * 1000 + b"\r\n0\r\n\r\n")
        assert await status_of(reader) == 200
        writer.close()


@pytest.mark.parametrize("small_buffers", [False, True])
@pytest.mark.parametrize(
    ("body_bytes", "memory_bytes", "status"),
    [
        pytest.param(LIMITS.body_bytes_max + 1, 10_000_000, 413, id="too-large"),
        pytest.param(LIMITS.body_bytes_max, 20_000, 503, id="no-room"),
    ],
)
async def test_a_caller_that_sends_its_whole_body_first_gets_the_refusal(
    body_bytes: int, memory_bytes: int, status: int, *, small_buffers: bool
) -> None:
    """Guards against an answer that is lost because the connection closes with unread bytes."""
    async with loaded_server(memory_bytes=memory_bytes, small_buffers=small_buffers) as loaded:
        reader, writer = await loaded.connect()
        whole = request(bytes(body_bytes))
        for at in range(0, len(whole), 10_000):
            writer.write(whole[at : at + 10_000])
            await asyncio.sleep(0.01)
        assert await status_of(reader) == status
        async with asyncio.timeout(5.0):
            await reader.read()
