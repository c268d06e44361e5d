"""Many callers inside the limits of one request, and the memory of a real gateway beside them."""

from __future__ import annotations

import asyncio
import socket
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp
import pytest

from azurefield_testkit.waiting import wait_until
from gateway_process import Site, serving, serving_fleet

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
    :param receive_bytes: what the operating system may hold of answers; None for its usual size
    """

    head: bytes
    piece: bytes = b""
    pieces: int = 0
    last: bytes = b""
    receive_bytes: int | None = None


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
    sock = socket.socket()
    sock.setblocking(False)
    if sending.receive_bytes is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, sending.receive_bytes)
    try:
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        # Reading pauses after the first read of an answer.
        _, writer = await asyncio.open_connection(sock=sock, limit=1)
    except OSError:
        sock.close()
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


async def check_limits(
    site: Site, sending: Sending, *, stay_s: float = 0.0, others: tuple[Site, ...] = ()
) -> None:
    """Check a gateway's limits, and an ordinary request beside a crowd and after it.

    :param stay_s: how long the crowd stays before the ordinary request
    :param others: further gateways whose limits are checked
    """
    async with AsyncExitStack() as stack:
        sampling = [await stack.enter_async_context(sampled(one)) for one in (site, *others)]
        async with crowd_of(site.callers, sending):
            await asyncio.sleep(stay_s)
            beside = await ordinary_request_is_answered(site, "beside")
        after = await ordinary_request_is_answered(site, "after")
    for peaks in sampling:
        check_peaks(peaks, beside=beside, after=after)


def check_peaks(peaks: Peaks, *, beside: bool, after: bool) -> None:
    """Check what was seen of a gateway.

    :param beside: whether an ordinary request was answered beside the crowd
    :param after: whether one was answered when the crowd had left
    """
    seen = f"{peaks.memory_mb:.0f} MB, {peaks.descriptors} descriptors, {beside=}, {after=}"
    print(seen)
    assert peaks.memory_mb < MEMORY_MB, seen
    assert peaks.descriptors <= DESCRIPTORS_MAX - RESERVED_DESCRIPTORS, seen
    assert beside, seen
    assert after, seen


@pytest.mark.parametrize("kind", CROWDS)
async def test_bodies_that_stop_before_their_end_leave_a_gateway_within_its_limits(
    tmp_path: Path, kind: str
) -> None:
    """Guards against a crowd of unfinished bodies that ends or stalls the gateway process."""
    async with serving(tmp_path, limits=SETTINGS, body_bytes_max=BODY_BYTES_MAX) as site:
        await check_limits(site, CROWDS[kind])


# As long as the configuration allows, without the end.
HEAD_WITHOUT_END = HEAD + b"".join(b"N%03d: %s\r\n" % (n, b"x" * 150) for n in range(95))


async def test_heads_that_stop_before_their_end_leave_a_gateway_within_its_limits(
    tmp_path: Path,
) -> None:
    """Guards against a crowd of unfinished heads that ends or stalls the gateway process."""
    async with serving(tmp_path, limits=SETTINGS) as site:
        await check_limits(site, Sending(head=HEAD_WITHOUT_END))


ANSWER_BYTES = 1_048_576
# How long a crowd of whole requests stays until the ordinary one.
STAY_S = 3.0


async def test_answers_that_are_not_read_leave_a_gateway_within_its_limits(tmp_path: Path) -> None:
    """Guards against a crowd that requests large answers and does not read them."""
    request = HEAD.replace(b"POST", b"GET") + b"\r\n"
    async with serving(tmp_path, limits=SETTINGS) as site:
        site.leafs["d1"].body = bytes(ANSWER_BYTES)
        await check_limits(site, Sending(head=request * 5, receive_bytes=4096), stay_s=STAY_S)


FORWARDED_BODY_BYTES = 524_288
# Fewer than the slots of a leaf for each of three instances, so that the fleet needs coordinators.
FLEET_CONNECTIONS_MAX = 8
FLEET_CORES = {"n1": 4.0, "n2": 4.0, "n3": 1.0}


async def test_large_bodies_that_are_forwarded_leave_all_gateways_within_their_limits(
    tmp_path: Path,
) -> None:
    """Guards against a crowd whose whole bodies end the instances that run its requests."""
    head = (
        HEAD.replace(b"/s/x", b"/l/x") + f"Content-Length: {FORWARDED_BODY_BYTES}\r\n\r\n".encode()
    )
    async with serving_fleet(
        tmp_path,
        FLEET_CORES,
        connections_max=FLEET_CONNECTIONS_MAX,
        limits=SETTINGS,
        body_bytes_max=BODY_BYTES_MAX,
    ) as sites:
        first, second, weak = sites["n1"], sites["n2"], sites["n3"]
        await wait_until(lambda: is_forwarded(weak), "n3 knows the coordinators")
        for name in ("a1", "a2", "b1", "b2"):
            weak.leafs[name].behaviour = "hang"
        sending = Sending(head=head, piece=bytes(FORWARDED_BODY_BYTES), pieces=1)
        await check_limits(weak, sending, stay_s=STAY_S, others=(first, second))


async def is_forwarded(site: Site) -> bool:
    """Whether a request to a gateway is forwarded."""
    assert site.process is not None
    await site.call("/l/x", "probe")
    return any("forwarded_to=n" in line for line in site.process.output)
