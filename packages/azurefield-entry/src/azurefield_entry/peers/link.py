"""One link to another entry instance: owns its socket and its send queue."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from msgspec import Struct, field
from result import Err, Ok, Result

from azurefield_entry.peers.frames import (
    PROTOCOL_VERSION,
    Frame,
    FrameBuffer,
    FrameError,
    FrameProblem,
    Hello,
    encode_frame,
    fields_dict,
)
from azurefield_entry.peers.identity import Identity

HELLO_TIMEOUT_S = 5.0
# Five heartbeat intervals. The link to a peer that sends nothing for longer is closed and reopened.
IDLE_TIMEOUT_S = 5.0
WRITE_TIMEOUT_S = 5.0
FLUSH_TIMEOUT_S = 0.5
READ_CHUNK_BYTES = 65_536
SEND_QUEUE_FRAMES_MAX = 1_024
SEND_QUEUE_BYTES_MAX = 16 << 20


class LinkEnded(Struct, kw_only=True, frozen=True):
    """The connection was closed, or the peer did not send or read in time."""

    detail: str


class Link(Struct, kw_only=True, eq=False):
    """A connection to another instance; ``run`` exchanges the hellos and then the frames.

    :param dialed_address: the address that this side dialed, None if the peer dialed
    :param on_hello: called once with this link when its ``hello`` is set
    :param on_frame: called for each further frame
    """

    identity: Identity
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    dialed_address: str | None
    on_hello: Callable[[Link], None]
    on_frame: Callable[[Link, Frame], None]
    buffer: FrameBuffer = field(default_factory=FrameBuffer)
    queue: deque[bytes] = field(default_factory=deque)
    queued_bytes: int = 0
    writer_wakeup: asyncio.Event = field(default_factory=asyncio.Event)
    closing: bool = False

    @property
    def hello(self) -> Hello | None:
        """The peer's hello, None until it was received."""
        return self.buffer.hello

    def send(self, data: bytes) -> None:
        """Queue an encoded frame.

        A queue that exceeds its limits aborts the connection, because the peer doesn't read.
        """
        if self.closing:
            return
        self.queue.append(data)
        self.queued_bytes += len(data)
        if len(self.queue) > SEND_QUEUE_FRAMES_MAX or self.queued_bytes > SEND_QUEUE_BYTES_MAX:
            self.closing = True
            self.writer.transport.abort()
        self.writer_wakeup.set()

    def close(self) -> None:
        """Close the link once the queued frames are sent."""
        self.closing = True
        self.writer_wakeup.set()

    async def run(self) -> LinkEnded | FrameError:
        """Run the link until it ends; unexpected errors are raised."""
        own_hello = Hello(
            instance=self.identity.instance,
            incarnation=self.identity.incarnation,
            availability_zone=self.identity.availability_zone,
            peer_address=self.identity.peer_address,
            protocol=PROTOCOL_VERSION,
        )
        self.send(encode_frame("hello", fields_dict(own_hello)).unwrap())
        writing = asyncio.create_task(self.run_writer())
        reading = asyncio.create_task(self.read_frames())
        try:
            done, _ = await asyncio.wait((reading, writing), return_when=asyncio.FIRST_COMPLETED)
            return done.pop().result()
        finally:
            self.closing = True
            for task in (reading, writing):
                task.cancel()
            await asyncio.gather(reading, writing, return_exceptions=True)
            self.writer.transport.abort()

    async def read_frames(self) -> LinkEnded | FrameError:
        """Receive frames and pass them to the callbacks until the connection ends."""
        hello_deadline = asyncio.get_running_loop().time() + HELLO_TIMEOUT_S
        while True:
            hello_timeout_s = hello_deadline - asyncio.get_running_loop().time()
            try:
                async with asyncio.timeout(
                    hello_timeout_s if self.hello is None else IDLE_TIMEOUT_S
                ):
                    data = await self.reader.read(READ_CHUNK_BYTES)
            except TimeoutError:
                return LinkEnded(
                    detail="no hello in time" if self.hello is None else "no data in time"
                )
            except OSError as error:
                return LinkEnded(detail=str(error))
            if not data:
                return LinkEnded(detail="closed by the peer")
            processed = self.process_data(data)
            if processed.is_err():
                return processed.unwrap_err()

    def process_data(self, data: bytes) -> Result[None, FrameError]:
        """Decode received bytes and call the callbacks."""
        had_hello = self.hello is not None
        match self.buffer.feed(data):
            case Err(error):
                return Err(error)
            case Ok(frames):
                pass
        if self.hello is not None and not had_hello:
            if self.hello.instance == self.identity.instance:
                return Err(
                    FrameError(
                        problem=FrameProblem.UNEXPECTED,
                        detail="the peer has the name of this instance",
                    )
                )
            self.on_hello(self)
        for frame in frames:
            if not self.closing:
                self.on_frame(self, frame)
        return Ok(None)

    async def run_writer(self) -> LinkEnded:
        """Send queued frames until the link is closed, then flush the queue."""
        try:
            while not self.closing:
                await self.writer_wakeup.wait()
                self.writer_wakeup.clear()
                if self.closing:
                    break
                async with asyncio.timeout(WRITE_TIMEOUT_S):
                    await self.flush_queue()
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                await self.flush_queue()
                self.writer.close()
                await self.writer.wait_closed()
        except (OSError, TimeoutError) as error:
            return LinkEnded(detail=str(error) or "the peer does not read")
        return LinkEnded(detail="closed by this instance")

    async def flush_queue(self) -> None:
        """Write all queued frames; wait while the send buffer of the connection is full."""
        while self.queue:
            data = self.queue.popleft()
            self.queued_bytes -= len(data)
            if self.writer.is_closing():
                raise ConnectionResetError("the connection is lost")
            self.writer.write(data)
            await self.writer.drain()
