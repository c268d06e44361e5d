"""One HTTP/1.1 connection to a backend server, on which each call gets exactly its own answer."""

from __future__ import annotations

import asyncio
import re
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiohttp.base_protocol import BaseProtocol
from aiohttp.client_exceptions import ClientPayloadError
from aiohttp.http import HttpResponseParser, RawResponseMessage
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import StreamReader
from result import Err, Result

from azurefield.failures import LeafFailure, LeafFailureReason
from azurefield.model import Outcome
from azurefield_entry.gateway.ports import LeafCall, OpaqueAnswer

if TYPE_CHECKING:

    from azurefield_entry.gateway.ports import LeafDialect

# A connection takes one round trip between zones; a longer wait means that the server is gone.
CONNECT_TIMEOUT_S = 0.2
ANSWER_BYTES_MAX = 8 * 1024 * 1024
# The kernel gives up on unacknowledged bytes after this time; otherwise it retries for minutes.
USER_TIMEOUT_MS = 2_000
# A connection is not used in the last part of the idle time that the server granted.
IDLE_MARGIN_S = 0.5
KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*(\d+)", re.IGNORECASE)


@dataclass(slots=True, kw_only=True)
class Exchange:
    """The call that a connection waits for."""

    call: LeafCall
    ended: asyncio.Future[Result[OpaqueAnswer, LeafFailure]]
    answers: list[tuple[RawResponseMessage, StreamReader]]


class HttpLeafConnection(BaseProtocol):
    """A connection that opens with its first call.

    It is never used again after a call that was cancelled, after an answer to another call, or
    when bytes arrive that no call waits for.
    """

    __slots__ = (
        "address",
        "closed",
        "current",
        "dialect",
        "idle_since",
        "idle_until",
        "parser",
        "parses_bodies",
    )

    def __init__(self, *, address: str, dialect: LeafDialect) -> None:
        super().__init__(loop=asyncio.get_running_loop())
        self.address = address
        self.dialect = dialect
        self.current: Exchange | None = None
        self.closed = False
        self.parses_bodies = True
        self.parser = self.new_parser()
        self.idle_since = 0.0
        self.idle_until = float("inf")

    @property
    def usable(self) -> bool:
        """Whether another call may be sent."""
        return not self.closed and self._loop.time() < self.idle_until

    async def exchange(self, call: LeafCall) -> Result[OpaqueAnswer, LeafFailure]:
        """Send a call, connecting first if needed, and wait for its whole answer."""
        if self.transport is None and not await self.open():
            return Err(failure(LeafFailureReason.CONNECT_FAILED, Outcome.NOT_RUN))
        if self.closed or self.transport is None:
            return Err(failure(LeafFailureReason.CONNECT_FAILED, Outcome.NOT_RUN))
        parses_bodies = call.request.method != "HEAD"
        if parses_bodies is not self.parses_bodies:
            self.parses_bodies = parses_bodies
            self.parser = self.new_parser()
        self.current = Exchange(call=call, ended=self._loop.create_future(), answers=[])
        self.transport.write(self.dialect.encode(call, self._loop.time()))
        try:
            return await self.current.ended
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            self.current = None

    def new_parser(self) -> HttpResponseParser:
        """Make the parser, kept between calls since it may hold a part of an extra answer."""
        return HttpResponseParser(
            self,
            self._loop,
            ANSWER_BYTES_MAX,
            payload_exception=ClientPayloadError,
            response_with_body=self.parses_bodies,
            read_until_eof=True,
            auto_decompress=False,
        )

    async def open(self) -> bool:
        """Connect; a connection that failed is never used again."""
        host, _, port = self.address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._loop.create_connection(lambda: self, host, int(port))
        except (OSError, ValueError):
            # The caller reports the failure; a time-out is an OSError too.
            self.closed = True
            return False
        except asyncio.CancelledError:
            self.abort()
            raise
        return True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound the time for which the peer may stay silent."""
        super().connection_made(transport)
        if self.closed:
            self.abort()
            return
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def pause_reading(self) -> None:
        """Do nothing: the size of an answer is bounded, so there is no flow control."""

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Do nothing.

        aiohttp would feed the parser again from within a read, so that an extra answer behind the
        one that is being read would take its place.
        """

    def data_received(self, data: bytes) -> None:
        """Take bytes of the answer; bytes without a call end the connection."""
        exchange = self.current
        if exchange is None or exchange.ended.done():
            self.abort()
            return
        try:
            answers, _, tail = self.parser.feed_data(data)
        except HttpProcessingError as error:
            self.end(Err(failure(LeafFailureReason.MALFORMED, detail=str(error))), keep=False)
            return
        exchange.answers += answers
        self.take_answers(exchange, extra=bool(tail))

    def take_answers(self, exchange: Exchange, *, extra: bool) -> None:
        """End the call with the first whole answer that belongs to it."""
        stray = extra
        while exchange.answers:
            message, payload = exchange.answers[0]
            problem = payload.exception()
            if problem is not None:
                self.end(Err(failure(LeafFailureReason.TRUNCATED, detail=str(problem))), keep=False)
                return
            if not payload.is_eof():
                return
            del exchange.answers[0]
            if 100 <= message.code < 200:
                continue
            headers = tuple((name.decode(), value.decode()) for name, value in message.raw_headers)
            result = self.dialect.decode(
                exchange.call, message.code, headers, payload.read_nowait()
            )
            if result is None:
                stray = True
                continue
            self.note_keep_alive(message)
            unsent = self.transport is None or self.transport.get_write_buffer_size() > 0
            stray = stray or self.extra_bytes(exchange)
            keep = not (message.should_close or stray or unsent)
            self.end(result, keep=keep)
            return
        if stray:
            self.idle_until = float("-inf")

    def extra_bytes(self, exchange: Exchange) -> bool:
        """Whether the parser holds more than the answer that was taken."""
        try:
            more, _, tail = self.parser.feed_data(b"")
        except HttpProcessingError:
            return True
        return bool(exchange.answers or more or tail)

    def note_keep_alive(self, message: RawResponseMessage) -> None:
        """Note how long the server keeps the connection while it is idle."""
        granted = KEEP_ALIVE_TIMEOUT.search(message.headers.get("Keep-Alive", ""))
        if granted is not None:
            idle_s = max(0.0, int(granted[1]) - IDLE_MARGIN_S)
            self.idle_until = min(self.idle_until, float("inf"))
            if self.idle_until != float("-inf"):
                self.idle_until = self._loop.time() + idle_s

    def eof_received(self) -> None:
        """End an answer without a length that ends with its connection."""
        exchange = self.current
        if exchange is not None and not exchange.ended.done():
            try:
                self.parser.feed_eof()
            except (HttpProcessingError, ClientPayloadError) as error:
                self.end(Err(failure(LeafFailureReason.TRUNCATED, detail=str(error))), keep=False)
            else:
                self.take_answers(exchange, extra=False)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the call that waits; its request may have run."""
        super().connection_lost(exc)
        self.closed = True
        self.end(
            Err(failure(LeafFailureReason.CONNECTION_LOST, detail=str(exc or "closed"))), keep=False
        )

    def end(self, result: Result[OpaqueAnswer, LeafFailure], *, keep: bool) -> None:
        """End the call that waits, if there is one."""
        if self.current is not None and not self.current.ended.done():
            self.current.ended.set_result(result)
        if not keep:
            self.abort()

    def abort(self) -> None:
        """Close the connection without waiting for the peer."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()

    async def close(self) -> None:
        """Close the connection at once."""
        self.abort()


def failure(
    reason: LeafFailureReason, outcome: Outcome = Outcome.MAY_HAVE_RUN, detail: str = ""
) -> LeafFailure:
    """Describe a call without a usable answer."""
    return LeafFailure(reason=reason, outcome=outcome, detail=detail)
