"""Single requests inside the limits, at a real gateway whose limits for crowds are small."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import pytest

from crowds import MEMORY_MB
from gateway_process import serving

if TYPE_CHECKING:
    from pathlib import Path

pytestmark = [pytest.mark.process]

SETTINGS = f"memory_mb = {MEMORY_MB}\nmax_fds = 600\n"
HEADER_BYTES_MAX = 65_536
BODY_BYTES_MAX = 1_048_576
START = b"POST /s/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: calm\r\nDeadline-Ms: 30000\r\n"
SIZED = START + f"Content-Length: {BODY_BYTES_MAX}\r\n".encode()
CHUNKED = START + b"Transfer-Encoding: chunked\r\n"
TIMEOUT_MS = 30_000
# Leafs of the tests take no longer lines.
LINE_BYTES = 8000
# Four fifths of the idle timeout of the tests' configuration.
IDLE_S = 12.0
Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclass(slots=True, kw_only=True, frozen=True)
class Calm:
    """One request, written in pieces.

    :param pause_s: the pause behind each piece
    :param body_bytes: how much of a body the leaf has to receive
    """

    pieces: tuple[bytes, ...]
    body_bytes: int = 0
    pause_s: float = 0.0


def fill(head: bytes, size: int) -> bytes:
    """Complete a head with lines up to a size."""
    left = size - len(head) - len(b"\r\n")
    lines = b""
    while left > 0:
        line_bytes = left if left <= LINE_BYTES else min(LINE_BYTES, left - 16)
        lines += b"N: " + b"x" * (line_bytes - 5) + b"\r\n"
        left -= line_bytes
    return head + lines + b"\r\n"


def split(data: bytes, size: int) -> tuple[bytes, ...]:
    """Split bytes into pieces."""
    return tuple(data[start : start + size] for start in range(0, len(data), size))


LARGEST_HEAD = fill(START.replace(b"POST", b"GET"), HEADER_BYTES_MAX)
LARGEST_BODY = bytes(BODY_BYTES_MAX)
SMALL_CHUNKS = b"1\r\nx\r\n" * 50_000
CALM = {
    "the-largest-head": Calm(pieces=(LARGEST_HEAD,)),
    "the-largest-head-in-pieces": Calm(pieces=split(LARGEST_HEAD, 4096), pause_s=0.05),
    "the-largest-body": Calm(pieces=(SIZED + b"\r\n", LARGEST_BODY), body_bytes=BODY_BYTES_MAX),
    "the-largest-body-behind-the-largest-head": Calm(
        pieces=(fill(SIZED, HEADER_BYTES_MAX), LARGEST_BODY), body_bytes=BODY_BYTES_MAX
    ),
    "the-largest-body-in-pieces": Calm(
        pieces=(SIZED + b"\r\n", *split(LARGEST_BODY, 16_384)),
        body_bytes=BODY_BYTES_MAX,
        pause_s=0.05,
    ),
    "small-chunks": Calm(pieces=(CHUNKED + b"\r\n", SMALL_CHUNKS, b"0\r\n\r\n"), body_bytes=50_000),
    "a-chunk-behind-a-pause": Calm(
        pieces=(CHUNKED + b"\r\n", b"2\r\nxx\r\n2", b"\r\n", b"xx", b"\r\n0", b"\r\n\r\n"),
        body_bytes=4,
        pause_s=3.5,
    ),
    "trailers": Calm(
        pieces=(CHUNKED + b"\r\n1\r\nx\r\n0\r\n", b"T: " + b"x" * 4000 + b"\r\n\r\n"), body_bytes=1
    ),
    "one-byte-at-a-time": Calm(
        pieces=split(START + b"Content-Length: 20\r\n\r\n" + bytes(20), 1),
        body_bytes=20,
        pause_s=0.01,
    ),
    "an-idle-connection": Calm(pieces=(START.replace(b"POST", b"GET") + b"\r\n",), pause_s=0.0),
}


async def answer_to(calm: Calm, connection: Connection) -> int:
    """Send a request, and return the status of its answer."""
    reader, writer = connection
    for piece in calm.pieces:
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(calm.pause_s)
    head = await reader.readuntil(b"\r\n\r\n")
    length = next(
        int(line.split(b":")[1])
        for line in head.lower().split(b"\r\n")
        if line.startswith(b"content-length")
    )
    await reader.readexactly(length)
    return int(head.split()[1])


@pytest.mark.parametrize("kind", CALM)
async def test_a_request_inside_the_limits_is_served_in_calm(tmp_path: Path, kind: str) -> None:
    """Guards against limits for crowds that refuse a single caller, at first or later."""
    calm = CALM[kind]
    async with serving(
        tmp_path,
        limits=SETTINGS,
        body_bytes_max=BODY_BYTES_MAX,
        header_bytes_max=HEADER_BYTES_MAX,
        timeout_ms=TIMEOUT_MS,
    ) as site:
        host, _, port = site.callers.rpartition(":")
        connection = await asyncio.open_connection(host, int(port))
        assert await answer_to(calm, connection) == 200
        if kind == "an-idle-connection":
            await asyncio.sleep(IDLE_S)
        assert await answer_to(calm, connection) == 200
        connection[1].close()
        assert [len(body) for body in site.leafs["d1"].bodies] == [calm.body_bytes] * 2
