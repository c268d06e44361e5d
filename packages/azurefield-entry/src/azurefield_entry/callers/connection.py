"""One connection of a caller, with limits on its idle time, its heads and what it holds."""

from __future__ import annotations

import asyncio
import logging
import socket
from contextlib import suppress
from typing import TYPE_CHECKING

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from azurefield_entry.callers.incoming_body import IncomingBody
from azurefield_entry.callers.incoming_head import IncomingHead
from azurefield_entry.callers.pending_bytes import PendingBytes
from azurefield_entry.callers.refusals import (
    BodyRefusedError,
    malformed_body,
    too_much_memory,
    trailers_too_large,
)
from azurefield_entry.early_listener import LARGE_BUFFER_BYTES

if TYPE_CHECKING:
    from aiohttp.http_parser import RawRequestMessage
    from aiohttp.streams import StreamReader

    from azurefield.failures import RequestFailure
    from azurefield.routes import CallerLimits
    from azurefield_entry.callers.load import CallerLoad

# The gateway closes an idle connection this long after the idle timeout, so that a request that a
# caller sends just before the timeout is not lost.
IDLE_MARGIN_S = 1.0
# A caller may send this much behind a head whose request has not begun.
UNPARSED_BYTES_MAX = 256 * 1024
# A body that is longer than this is received faster with a large buffer.
SMALL_BODY_BYTES = 4096
# A caller whose body is not read may send the rest for this time behind the answer.
DROP_REST_S = 1.0
# What the transport may hold of an answer before it counts as one that the caller does not read.
UNREAD_ANSWER_BYTES = 16 * 1024
# Stops aiohttp from logging a line per request.
NO_ACCESS_LOG = logging.getLogger("azurefield.no-access-log")
NO_ACCESS_LOG.disabled = True


class CallerConnection(RequestHandler):
    """A connection that is closed if its caller sends nothing, or does not complete a head.

    aiohttp limits the idle time only after the first request, and copies all bytes of a read into
    the error about a head that it can't parse. So no more than one head is parsed before its
    request has begun, and nothing behind a request before it is answered, unless its body comes in
    chunks, whose end only the parser finds. Of a body, only short reads are parsed at once.

    :param answer_bytes: the size of the answer that is being written
    :param head: the head that arrives, and what is kept of the last ones
    :param head_in_use: whether what is kept is counted with the body of the running request
    :param rest_dropped: set once the rest of a body that is not read has arrived
    :param rejected: whether what the caller sends is dropped, for what it has sent before
    :param unparsed: bytes that were read and wait to be parsed
    :param body: the body of the running request
    """

    __slots__ = (
        "answer_bytes",
        "body",
        "head",
        "head_in_use",
        "head_timer",
        "header_timeout_s",
        "idle_timeout_s",
        "load",
        "rejected",
        "rest_dropped",
        "unparsed",
    )

    def __init__(self, *, server: web.Server, limits: CallerLimits, load: CallerLoad) -> None:
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=limits.idle_timeout_s + IDLE_MARGIN_S,
            max_line_size=limits.header_bytes_max,
            max_field_size=limits.header_bytes_max,
            access_log=NO_ACCESS_LOG,
            auto_decompress=False,
            lingering_time=0.0,
        )
        self.header_timeout_s = limits.header_timeout_s
        self.idle_timeout_s = limits.idle_timeout_s
        self.load = load
        self.head_timer: asyncio.TimerHandle | None = None
        self.rejected = False
        self.rest_dropped: asyncio.Event | None = None
        self.head = IncomingHead(bytes_max=limits.header_bytes_max)
        self.head_in_use = False
        self.unparsed = PendingBytes()
        self.body = IncomingBody()
        self.answer_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first bytes as long as for those of a later request."""
        super().connection_made(transport)
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=UNREAD_ANSWER_BYTES)
        self.start_timer(self.idle_timeout_s + IDLE_MARGIN_S)
        self.load.on_open(self)

    def data_received(self, data: bytes) -> None:
        """Parse what may be parsed now, and keep the rest."""
        if not data:
            # aiohttp lets its parser go on with what it has kept.
            super().data_received(data)
            self.check_body()
            return
        if self.rejected:
            self.drop(data)
            return
        self.load.on_progress(self)
        if self.body.reader is None and not self._messages:
            self.receive_head(data)
        elif self.body.arrives and self.load.parses_at_once(self, data):
            self.parse(data)
        else:
            self.postpone(data)

    def drop(self, data: bytes) -> None:
        """Drop bytes behind an answer, until those of its request's body are over."""
        ended = self.body.drop(len(data))
        if ended and self.rest_dropped is not None:
            self.rest_dropped.set()

    def receive_head(self, data: bytes) -> None:
        """Start the time allowed for a head with its first bytes."""
        head_ends_at = asyncio.get_running_loop().time() + self.header_timeout_s
        if self.head_timer is None or self.head_timer.when() > head_ends_at:
            self.start_timer(self.header_timeout_s)
        waits = bool(self.unparsed)
        self.unparsed.add(data)
        if not waits:
            self.parse_head()
        elif self.unparsed.size > UNPARSED_BYTES_MAX:
            self.close_rejected()
        self.count_held()

    def parse_head(self) -> None:
        """Parse up to the end of a head; what follows waits until its request has begun."""
        while not self._messages and (data := self.head.take(self.unparsed)):
            super().data_received(data)
        if self.unparsed and not self._messages:
            asyncio.get_running_loop().call_soon(self.require_head)

    def parse(self, data: bytes) -> None:
        """Parse bytes of a body, without what follows it if its length is known."""
        data, behind = self.body.split(data)
        if behind:
            self.unparsed.put_back(behind)
            self._pause_transport_reading()
        received = self.body.received_bytes
        super().data_received(data)
        self.check_body()
        if self.body.bytes_left is None:
            self.count_chunks(data, has_body=self.body.received_bytes > received)
        self.count_held()
        if self.body.arrives and self.body.held_bytes > SMALL_BODY_BYTES:
            self.enlarge_buffer()

    def check_body(self) -> None:
        """Refuse a request whose body can't be parsed.

        aiohttp queues an error in place of the next request, and the body's reader goes on waiting.
        """
        if self.body.arrives and self._messages:
            self._messages.clear()
            self.refuse(malformed_body())

    def count_chunks(self, data: bytes, *, has_body: bool) -> None:
        """Count what the parser keeps of the framing of a body in chunks; too much is refused.

        :param has_body: whether there were bytes of the body in what was parsed
        """
        if not self.body.arrives:
            self.head.on_chunks_end(data, pipelined=bool(self._messages))
        elif self._reading_paused and not has_body:
            # The parser is paused, and keeps bytes of the body for later.
            return
        elif self.head.on_chunks(data, has_body=has_body):
            self.refuse(trailers_too_large(self.head.bytes_max))

    def enlarge_buffer(self) -> None:
        """Let the operating system receive more of a large body at a time, if that is granted."""
        if self.transport is not None and self.load.large_buffers.grant(self):
            connected = self.transport.get_extra_info("socket")
            connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, LARGE_BUFFER_BYTES)

    def postpone(self, data: bytes) -> None:
        """Keep bytes until their turn, or until the running request has been answered.

        Reading pauses, so that no more than one read is kept.
        """
        self.unparsed.add(data)
        self._pause_transport_reading()
        self.count_held()

    def parse_pending(self) -> None:
        """Parse the beginning of a body that arrived with its head; more than a little waits."""
        if not self.unparsed:
            return
        data = self.unparsed.take(self.unparsed.size)
        if not self.unparsed and self.load.parses_at_once(self, data):
            self.parse(data)
            self._resume_transport_reading()
        else:
            self.unparsed.put_back(data)
            self.load.wait(self)

    def parse_piece(self) -> None:
        """Parse the next piece of a body that had to wait."""
        if not self.body.arrives or not self.unparsed:
            return
        piece = self.unparsed.take_piece()
        self.load.turns.on_parsed(lines=piece.count(b"\n"), size=len(piece))
        self.parse(piece)
        if not self.unparsed:
            self._resume_transport_reading()
        elif self.body.arrives:
            self.load.wait(self)

    def _resume_transport_reading(self) -> None:
        """Resume reading only when there is nothing left to parse."""
        if not self.unparsed:
            super()._resume_transport_reading()

    def require_head(self) -> None:
        """Close the connection if what may be a head, at its longest, is none."""
        if self.unparsed and self.body.reader is None and not self._messages:
            self.close_rejected()

    def close_rejected(self) -> None:
        """Close the connection because of what the caller has sent."""
        self.reject()
        self.force_close()

    def reject(self) -> None:
        """Drop whatever arrives from now on, for example after a head that can't be parsed."""
        self.rejected = True
        self.unparsed.clear()

    def give_up(self) -> None:
        """Free what is held, and close the connection after the answer to its request."""
        self.refuse(too_much_memory())

    def refuse(self, failure: RequestFailure) -> None:
        """Drop what arrives, and close the connection after the answer to its request.

        A request whose handler has not taken the body is refused; one that runs goes on. Without a
        request, or while its answer is not read, the connection is closed at once.

        :param failure: why a body is not read
        """
        self.reject()
        reader = self.body.reader
        if reader is None and self._messages:
            reader = self._messages[0][1]
        if reader is None or self.writing_paused:
            self.abort()
            return
        if not self.body.taken:
            reader.set_exception(BodyRefusedError(failure))
        self._resume_transport_reading()

    def abort(self) -> None:
        """Close the connection without waiting for the caller to read."""
        transport = self.transport
        self.force_close()
        if transport is not None:
            transport.abort()

    def on_body_read(self, read_bytes: int) -> None:
        """Record how much of the running request's body its handler has taken."""
        self.body.on_read(read_bytes)
        self.count_held()

    def on_body_taken(self) -> None:
        """Record that the handler has the whole body, which is counted as in use with the head."""
        self.body.taken = self.head_in_use = True
        self.on_body_read(0)

    def count_held(self) -> None:
        """Count what this connection holds while it is open."""
        if self.transport is None:
            return
        head_bytes = 0 if self.head_in_use else self.head.kept.memory_bytes
        answer_bytes = self.answer_bytes if self.writing_paused else 0
        held_bytes = self.body.held_bytes + self.unparsed.size + head_bytes + answer_bytes
        self.load.hold(self, held_bytes)

    def pause_writing(self) -> None:
        """Count an answer that the caller does not read."""
        super().pause_writing()
        self.count_held()

    def resume_writing(self) -> None:
        """Count the answer no longer."""
        super().resume_writing()
        self.count_held()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timer, and drop what was not parsed."""
        self.stop_timer()
        self.unparsed.clear()
        self.load.on_close(self)
        super().connection_lost(exc)

    def start_timer(self, delay_s: float) -> None:
        """Close the connection after a time unless a whole head arrives before."""
        self.stop_timer()
        self.head_timer = asyncio.get_running_loop().call_later(delay_s, self.force_close)

    def stop_timer(self) -> None:
        """Stop the timer."""
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None

    def on_request_begin(self, message: RawRequestMessage, reader: StreamReader) -> None:
        """Record that a whole head has arrived, and go on with its body."""
        self.stop_timer()
        self.body.begin(message, reader)
        self.head.expect()
        if self.body.arrives:
            self.parse_pending()
        elif self.unparsed:
            self._pause_transport_reading()

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Write an answer, and wait until the caller has read most of it."""
        self.head_in_use = False
        self.load.on_answer(self)
        if self.rejected:
            resp.force_close()
        body = resp.body if isinstance(resp, web.Response) else None
        self.answer_bytes = len(body) if isinstance(body, bytes) else 0
        if self.answer_bytes > UNREAD_ANSWER_BYTES:
            # aiohttp copies a body behind its headers unless they were sent before.
            await resp.prepare(request)
            request.writer.send_headers()
        finished = await super().finish_response(request, resp, start_time)
        if isinstance(resp, web.Response):
            # aiohttp refers to the answer until the next request has been handled.
            resp.body = None
        await request.writer.drain()
        if self.body.arrives:
            await self.drop_rest()
        self.on_request_end()
        return finished

    async def drop_rest(self) -> None:
        """Receive the rest of a body that is not read, for a while.

        Closing with unread bytes would reset the connection, and the caller could lose the answer.
        """
        self.reject()
        self.rest_dropped = asyncio.Event()
        self._resume_transport_reading()
        with suppress(TimeoutError):
            async with asyncio.timeout(DROP_REST_S):
                await self.rest_dropped.wait()

    def on_request_end(self) -> None:
        """Go on with what has arrived behind the request."""
        self.body.end()
        self.answer_bytes = 0
        if self.transport is None:
            return
        if self.rejected:
            self.close()
            return
        self.load.on_progress(self)
        # A request whose head has been parsed already begins by itself.
        if not self._messages:
            self.begin_next_head()
        self.count_held()

    def begin_next_head(self) -> None:
        """Parse the next head, as far as it has arrived."""
        if self.head.begin_behind_chunks():
            self.start_timer(self.header_timeout_s)
        if self.unparsed:
            self.start_timer(self.header_timeout_s)
            self.parse_head()
            self._resume_transport_reading()
