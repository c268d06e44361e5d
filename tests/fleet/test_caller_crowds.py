"""Many callers inside the limits of one request, and the memory of a real gateway beside them."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp
import pytest

from gateway_process import Site, serving

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

pytestmark = [pytest.mark.process, pytest.mark.crowd]

MEMORY_MB = 120
DESCRIPTORS_MAX = 600
# Descriptors that the platform reserves for files; sockets and pipes share the others.
RESERVED_DESCRIPTORS = 200
SETTINGS = f"memory_mb = {MEMORY_MB}\nmax_fds = {DESCRIPTORS_MAX}\n"
BODY_BYTES_MAX = 1_048_576
CALLERS = 300
# The crowd sends for at most this time before the ordinary request.
SENDING_S = 15.0
ORDINARY_ANSWER_S = 60.0
SAMPLE_INTERVAL_S = 0.02

HEAD = b"POST /s/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: crowd\r\nDeadline-Ms: 60000\r\n"
SIZED_HEAD = HEAD + f"Content-Length: {BODY_BYTES_MAX}\r\n\r\n".encode()
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LARGE_CHUNK = b"4000\r\n" + bytes(16_384) + b"\r\n"


@dataclass(slots=True, kw_only=True, frozen=True)
class Sending:
    """What each caller of a crowd sends before it stops and stays open.

    :param piece: written ``pieces`` times, behind the head
    :param last: written behind the pieces
    """

    head: bytes
    piece: bytes
    pieces: int
    last: bytes = b""


CROWDS = {
    "body-with-a-length": Sending(head=SIZED_HEAD, piece=bytes(BODY_BYTES_MAX - 1), pieces=1),
    "body-in-pieces-of-4-kib": Sending(
        head=SIZED_HEAD, piece=bytes(4096), pieces=255, last=bytes(4095)
    ),
    "chunks-of-16-kib": Sending(
        head=CHUNKED_HEAD, piece=LARGE_CHUNK, pieces=63, last=LARGE_CHUNK[:-3]
    ),
    "chunks-of-one-byte": Sending(head=CHUNKED_HEAD, piece=b"1\r\nx\r\n" * 1000, pieces=100),
}


@dataclass(slots=True, kw_only=True)
class Peaks:
    """The largest resident memory and number of sockets and pipes of a process."""

    memory_mb: float = 0.0
    descriptors: int = 0

    def sample(self, site: Site) -> None:
        """Read both from the operating system; a process that has ended fails the test."""
        assert site.process is not None
        assert site.process.running, site.process.tail()
        directory = Path(f"/proc/{site.process.process.pid}")
        lines = (directory / "status").read_text().splitlines()
        kilobytes = next(line.split()[1] for line in lines if line.startswith("VmRSS:"))
        self.memory_mb = max(self.memory_mb, int(kilobytes) / 1000)
        self.descriptors = max(self.descriptors, len([*(directory / "fd").iterdir()]))

    async def sample_until_cancelled(self, site: Site) -> None:
        """Sample at a fixed interval."""
        while True:
            self.sample(site)
            await asyncio.sleep(SAMPLE_INTERVAL_S)


@asynccontextmanager
async def sampled(site: Site) -> AsyncIterator[Peaks]:
    """Sample the gateway process meanwhile."""
    peaks = Peaks()
    sampling = asyncio.create_task(peaks.sample_until_cancelled(site))
    try:
        yield peaks
        peaks.sample(site)
    finally:
        sampling.cancel()
    with suppress(asyncio.CancelledError):
        await sampling


async def send(address: str, sending: Sending, left: asyncio.Event, sent: asyncio.Event) -> None:
    """Send as one caller of a crowd, on one connection, and keep it open until the crowd leaves."""
    host, _, port = address.rpartition(":")
    try:
        _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        sent.set()
        return
    try:
        with suppress(ConnectionError):
            writer.write(sending.head)
            for _ in range(sending.pieces):
                writer.write(sending.piece)
                await writer.drain()
            writer.write(sending.last)
            await writer.drain()
        sent.set()
        await left.wait()
    finally:
        writer.transport.abort()


@asynccontextmanager
async def crowd_of(address: str, sending: Sending) -> AsyncIterator[None]:
    """Let a crowd send, at most for ``SENDING_S``, and keep its connections open meanwhile."""
    left = asyncio.Event()
    sent = [asyncio.Event() for _ in range(CALLERS)]
    callers = [asyncio.create_task(send(address, sending, left, event)) for event in sent]
    try:
        with suppress(TimeoutError):
            async with asyncio.timeout(SENDING_S):
                await asyncio.gather(*(event.wait() for event in sent))
        yield
    finally:
        left.set()
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)


async def ordinary_request_is_answered(site: Site, name: str) -> bool:
    """Whether an ordinary request, sent again after each failure, is answered in the end."""
    ends = asyncio.get_running_loop().time() + ORDINARY_ANSWER_S
    number = 0
    while asyncio.get_running_loop().time() < ends:
        number += 1
        with suppress(aiohttp.ClientError, TimeoutError):
            async with asyncio.timeout_at(ends):
                status, _, _ = await site.call("/s/x", f"{name}-{number}", deadline_ms=5000)
            if status == 200:
                return True
        await asyncio.sleep(0.1)
    return False


@pytest.mark.parametrize("kind", CROWDS)
async def test_bodies_that_stop_before_their_end_leave_a_gateway_within_its_limits(
    tmp_path: Path, kind: str
) -> None:
    """Guards against a crowd of unfinished bodies that ends or stalls the gateway process."""
    async with (
        serving(tmp_path, limits=SETTINGS, body_bytes_max=BODY_BYTES_MAX) as site,
        sampled(site) as peaks,
    ):
        async with crowd_of(site.callers, CROWDS[kind]):
            beside = await ordinary_request_is_answered(site, "beside")
        after = await ordinary_request_is_answered(site, "after")
    seen = f"{peaks.memory_mb:.0f} MB, {peaks.descriptors} descriptors, {beside=}, {after=}"
    print(seen)
    assert peaks.memory_mb < MEMORY_MB, seen
    assert peaks.descriptors <= DESCRIPTORS_MAX - RESERVED_DESCRIPTORS, seen
    assert beside, seen
    assert after, seen
