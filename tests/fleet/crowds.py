"""Crowds of callers, and the memory and descriptors of a real gateway beside them."""

from __future__ import annotations

import asyncio
import resource
import socket
from contextlib import (
    AsyncExitStack,
    asynccontextmanager,
    contextmanager,
    nullcontext,
    suppress,
)
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Protocol

import aiohttp

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

    from azurefield_testkit.processes import ManagedProcess

MEMORY_MB = 120
DESCRIPTORS_MAX = 600
# The usual number of descriptors, with which the memory bounds the connections.
MANY_DESCRIPTORS = 4100
# Descriptors that the platform reserves for files; sockets and pipes share the others.
RESERVED_DESCRIPTORS = 200
CALLERS = 300
# The crowd sends for at most this time before the ordinary request.
SENDING_S = 15.0
ORDINARY_ANSWER_S = 60.0
SAMPLE_INTERVAL_S = 0.05
# Fields and the state of a listening socket in the operating system's list of sockets.
LOCAL_ADDRESS, STATE, QUEUES = 1, 3, 4
LISTENING = "0A"


class Crowded(Protocol):
    """A process that a crowd of callers meets.

    :param callers: its ``host:port`` for callers
    """

    callers: str
    process: ManagedProcess | None

    async def serves(self, request_id: str) -> bool:
        """Whether an ordinary request is answered."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Sending:
    """What each caller of a crowd sends before it stops and stays open.

    :param piece: written ``pieces`` times, behind the head
    :param last: written behind the pieces
    :param receive_bytes: what the operating system may hold of answers; None for its usual size
    :param callers: how many callers send it
    :param in_turn: whether each caller waits until the one before has got an answer
    :param leaves: whether each caller resets its connection behind its last byte
    """

    head: bytes
    piece: bytes = b""
    pieces: int = 0
    last: bytes = b""
    receive_bytes: int | None = None
    callers: int = CALLERS
    in_turn: bool = False
    leaves: bool = False


@contextmanager
def raised_descriptor_limit() -> Iterator[None]:
    """Let this process open a connection for each caller of a crowd."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = MANY_DESCRIPTORS if hard == resource.RLIM_INFINITY else min(hard, MANY_DESCRIPTORS)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, wanted), hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@dataclass(slots=True, kw_only=True)
class Peaks:
    """The largest memory and number of descriptors of a process.

    :param memory_mb: its resident memory, with the bytes that the operating system has received for
        its callers' connections and it has not read
    """

    memory_mb: float = 0.0
    unread_mb: float = 0.0
    descriptors: int = 0

    def sample(self, site: Crowded) -> None:
        """Read both from the operating system; a process that has ended fails the test."""
        assert site.process is not None
        assert site.process.running, site.process.tail()
        directory = Path(f"/proc/{site.process.process.pid}")
        lines = (directory / "status").read_text().splitlines()
        kilobytes = next(line.split()[1] for line in lines if line.startswith("VmRSS:"))
        unread_mb = unread_bytes(site.callers) / 1_000_000
        self.unread_mb = max(self.unread_mb, unread_mb)
        self.memory_mb = max(self.memory_mb, int(kilobytes) / 1000 + unread_mb)
        self.descriptors = max(self.descriptors, len([*(directory / "fd").iterdir()]))

    async def sample_until_cancelled(self, site: Crowded) -> None:
        """Sample at a fixed interval."""
        while True:
            self.sample(site)
            await asyncio.sleep(SAMPLE_INTERVAL_S)


@asynccontextmanager
async def sampled(site: Crowded) -> AsyncIterator[Peaks]:
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


def unread_bytes(address: str) -> int:
    """Return the received and unread bytes of the connections at a local ``host:port``."""
    port = f"{int(address.rpartition(':')[2]):04X}"
    sockets = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return sum(
        int(fields[QUEUES].rpartition(":")[2], 16)
        for fields in sockets
        if fields[LOCAL_ADDRESS].endswith(f":{port}") and fields[STATE] != LISTENING
    )


async def send(
    address: str,
    sending: Sending,
    *,
    turn: asyncio.Lock,
    left: asyncio.Event,
    sent: asyncio.Event,
) -> None:
    """Send as one caller of a crowd, on one connection, and keep it open until the crowd leaves.

    :param turn: held until there is an answer if the callers send in turn
    """
    writer = None
    try:
        async with turn if sending.in_turn else nullcontext():
            reader, writer = await connect(address, sending)
            await write_all(writer, sending)
            if sending.in_turn:
                await reader.read(1)
        sent.set()
        if not sending.leaves:
            await left.wait()
    except OSError:
        sent.set()
        await left.wait()
    finally:
        if writer is not None:
            writer.transport.abort()


async def connect(
    address: str, sending: Sending
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect as one caller.

    :raises OSError: if the connection is refused
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setblocking(False)
    if sending.receive_bytes is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, sending.receive_bytes)
    try:
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        # Reading pauses after the first read of an answer.
        return await asyncio.open_connection(sock=sock, limit=1)
    except OSError:
        sock.close()
        raise


async def write_all(writer: asyncio.StreamWriter, sending: Sending) -> None:
    """Write what one caller sends.

    :raises ConnectionError: if the connection is closed meanwhile
    """
    writer.write(sending.head)
    for _ in range(sending.pieces):
        writer.write(sending.piece)
        await writer.drain()
    writer.write(sending.last)
    await writer.drain()


@asynccontextmanager
async def crowd_of(address: str, *sendings: Sending) -> AsyncIterator[None]:
    """Let a crowd send, at most for ``SENDING_S``, and keep its connections open meanwhile."""
    left = asyncio.Event()
    sent: list[asyncio.Event] = []
    callers = []
    turn = asyncio.Lock()
    for sending in (each for each in sendings for _ in range(each.callers)):
        event = asyncio.Event()
        sent.append(event)
        one = send(address, sending, turn=turn, left=left, sent=event)
        callers.append(asyncio.create_task(one))
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


async def ordinary_request_is_answered(site: Crowded, name: str) -> bool:
    """Whether an ordinary request, sent again after each failure, is answered in the end."""
    ends = asyncio.get_running_loop().time() + ORDINARY_ANSWER_S
    number = 0
    while asyncio.get_running_loop().time() < ends:
        number += 1
        with suppress(aiohttp.ClientError, TimeoutError):
            async with asyncio.timeout_at(ends):
                if await site.serves(f"{name}-{number}"):
                    return True
        await asyncio.sleep(0.1)
    return False


async def check_limits(
    site: Crowded,
    *sendings: Sending,
    stay_s: float = 0.0,
    others: tuple[Crowded, ...] = (),
    descriptors_max: int = DESCRIPTORS_MAX,
) -> None:
    """Check a gateway's limits, and an ordinary request beside a crowd and after it.

    :param stay_s: how long the crowd stays before the ordinary request
    :param others: further gateways whose limits are checked
    """
    async with AsyncExitStack() as stack:
        sampling = [await stack.enter_async_context(sampled(one)) for one in (site, *others)]
        async with crowd_of(site.callers, *sendings):
            await asyncio.sleep(stay_s)
            beside = await ordinary_request_is_answered(site, "beside")
        after = await ordinary_request_is_answered(site, "after")
    for peaks in sampling:
        check_peaks(peaks, beside=beside, after=after, descriptors_max=descriptors_max)


def check_peaks(
    peaks: Peaks, *, beside: bool, after: bool, descriptors_max: int = DESCRIPTORS_MAX
) -> None:
    """Check what was seen of a gateway.

    :param beside: whether an ordinary request was answered beside the crowd
    :param after: whether one was answered when the crowd had left
    """
    seen = (
        f"{peaks.memory_mb:.0f} MB, {peaks.unread_mb:.0f} MB unread at most, "
        f"{peaks.descriptors} descriptors, {beside=}, {after=}"
    )
    print(seen)
    assert peaks.memory_mb < MEMORY_MB, seen
    assert peaks.descriptors <= descriptors_max - RESERVED_DESCRIPTORS, seen
    assert beside, seen
    assert after, seen
