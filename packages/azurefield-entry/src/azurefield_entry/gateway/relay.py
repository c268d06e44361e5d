"""The service ``relay`` and its counterpart: changes of the store, passed on between instances.

A waiting watch per instance would cost the store calls in proportion to the instances, at each
change and at each renewal. So a few instances of each availability zone watch the store, and the
others take the changes from one of these.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeVar

import msgspec
from logbook import Logger
from result import Err, Ok, Result

from azurefield_entry.gateway.messages import StoreFollowed, StoreLeft, Tick
from azurefield_entry.kernel import Stop, send_every

if TYPE_CHECKING:
    from azurefield_entry.kernel import Kernel, Mailbox

# A follower that hears nothing for the time-out watches the store itself.
BEAT_S = 0.5
BEAT_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.3
HELLO_TIMEOUT_S = 1.0
CLOSE_TIMEOUT_S = 0.2
# A follower that begins with an older revision reads the store first.
HISTORY_MAX = 64
FRAME_BYTES_MAX = 16 * 1024 * 1024
# A follower that takes up less than this is cut off.
UNSENT_BYTES_MAX = 4 * 1024 * 1024
LENGTH_BYTES = 4
log = Logger("relay")

T = TypeVar("T")


@dataclass(slots=True, kw_only=True, frozen=True)
class Follow:
    """First frame of a follower, which knows everything up to a revision."""

    after: int


@dataclass(slots=True, kw_only=True, frozen=True)
class RelayFrame:
    """The store's reply with the changes between two revisions; empty if these are equal.

    :param age_s: time since the store confirmed the later revision
    """

    after: int
    revision: int
    encoded: bytes = b""
    age_s: float = 0.0


@dataclass(slots=True, kw_only=True, frozen=True)
class RelayLost:
    """The other instance can't be reached, is silent or does not watch the store."""

    detail: str


@dataclass(slots=True, kw_only=True)
class RelayService:
    """Passes on what this instance reads from the store while it watches the store itself.

    :param address: ``host:port`` for the followers
    """

    address: str
    revision: int | None = None
    confirmed_at: float = 0.0
    history: deque[RelayFrame] = field(default_factory=lambda: deque(maxlen=HISTORY_MAX))
    followers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:  # noqa: ARG002
        """Serve followers until ``Stop``."""
        host, _, port = self.address.rpartition(":")
        server = None
        try:
            server = await asyncio.start_server(self.accept, host, int(port))
        except OSError as error:
            log.error("No instance can follow this one: {}.", error)
        ticking = asyncio.create_task(send_every(mailbox, Tick(), BEAT_S))
        while True:
            match await mailbox.receive():
                case StoreFollowed(after=after, revision=revision, encoded=encoded):
                    self.take(after, revision, encoded)
                case StoreLeft():
                    self.leave()
                case Tick() if self.revision is not None:
                    self.send_to_all(self.beat(self.revision))
                case Stop():
                    break
        ticking.cancel()
        self.leave()
        if server is not None:
            server.close()

    def take(self, after: int, revision: int, encoded: bytes) -> None:
        """Pass on a reply of the store."""
        self.confirmed_at = now()
        if self.revision != after:
            self.history.clear()
        self.revision = revision
        if encoded:
            frame = RelayFrame(after=after, revision=revision, encoded=encoded)
            self.history.append(frame)
            self.send_to_all(frame)

    def leave(self) -> None:
        """Let all followers look elsewhere."""
        if self.followers:
            log.info("{} followers are sent away.", len(self.followers))
        self.revision = None
        self.history.clear()
        for writer in self.followers:
            writer.close()
        self.followers.clear()

    def beat(self, revision: int) -> RelayFrame:
        """Build a frame without changes."""
        return RelayFrame(after=revision, revision=revision, age_s=now() - self.confirmed_at)

    def send_to_all(self, frame: RelayFrame) -> None:
        """Send a frame to all followers."""
        data = encode(frame)
        for writer in [*self.followers]:
            if writer.transport.get_write_buffer_size() > UNSENT_BYTES_MAX:
                log.warning("A follower is too slow and is cut off.")
                self.followers.discard(writer)
                writer.transport.abort()
            else:
                writer.write(data)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one follower until it leaves."""
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                hello = await read_frame(reader, Follow)
            if self.begin(hello.after, writer):
                await reader.read()
        except (OSError, EOFError, msgspec.DecodeError) as error:
            log.info("A follower is gone: {!r}.", error)
        finally:
            self.followers.discard(writer)
            writer.close()

    def begin(self, after: int, writer: asyncio.StreamWriter) -> bool:
        """Send a new follower what it lacks.

        :return: whether all of it was known
        """
        if self.revision is None:
            return False
        oldest = self.history[0].after if self.history else self.revision
        if after < oldest:
            return False
        for frame in self.history:
            if frame.revision > after:
                writer.write(encode(frame))
        writer.write(encode(self.beat(self.revision)))
        self.followers.add(writer)
        return True


@dataclass(slots=True, kw_only=True)
class RelayLink:
    """A connection to an instance that passes on the store's changes."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def receive(self) -> Result[RelayFrame, RelayLost]:
        """Wait for the next frame."""
        try:
            async with asyncio.timeout(BEAT_TIMEOUT_S):
                return Ok(await read_frame(self.reader, RelayFrame))
        except (OSError, EOFError, msgspec.DecodeError) as error:
            return Err(RelayLost(detail=repr(error)))

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


async def open_relay(address: str, after: int) -> Result[RelayLink, RelayLost]:
    """Connect to ``host:port`` and ask for the changes after a revision."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
    except (OSError, ValueError) as error:
        return Err(RelayLost(detail=repr(error)))
    writer.write(encode(Follow(after=after)))
    return Ok(RelayLink(reader=reader, writer=writer))


def encode(frame: Follow | RelayFrame) -> bytes:
    """Encode a frame with its length."""
    body = msgspec.msgpack.encode(frame)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


async def read_frame(reader: asyncio.StreamReader, kind: type[T]) -> T:
    """Read a frame.

    :raises EOFError: if the connection ends before the frame does
    :raises msgspec.DecodeError: if it is no such frame
    """
    length = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
    if length > FRAME_BYTES_MAX:
        raise msgspec.DecodeError(f"a frame of {length} bytes")
    return msgspec.msgpack.decode(await reader.readexactly(length), type=kind)


def now() -> float:
    """Return the time of the steady clock."""
    return asyncio.get_running_loop().time()
