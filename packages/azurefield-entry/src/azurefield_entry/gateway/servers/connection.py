"""One HTTP/1.1 connection to a backend server; each call gets exactly its own answer."""

from __future__ import annotations

import asyncio
import re
import socket
from typing import TYPE_CHECKING

from aiohttp.base_protocol import BaseProtocol
from aiohttp.client_exceptions import ClientPayloadError
from aiohttp.http import HttpResponseParser
from aiohttp.http_exceptions import HttpProcessingError
from result import Err, Result

from azurefield.failures import LeafFailure, LeafFailureReason
from azurefield.held_memory import HeldMemory
from azurefield.http_status import is_final_status, is_interim_status
from azurefield.model import Outcome
from azurefield_entry.addresses import split_address
from azurefield_entry.gateway.servers.answer_confusion import describe_confusion
from azurefield_entry.gateway.servers.answer_end import split_behind_chunks
from azurefield_entry.gateway.servers.exchange import Exchange, has_unsent_bytes, is_open

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp.http import RawResponseMessage

    from azurefield_entry.gateway.ports import LeafCall, LeafDialect, OpaqueAnswer

# Connecting takes one round trip, at most to another zone. A server that takes longer counts as
# unreachable.
CONNECT_TIMEOUT_S = 0.2
ANSWER_BYTES_MAX = 8 * 1024 * 1024
# Bytes that are parsed before the limits are checked again.
PARSED_BYTES_MAX = 64 * 1024
# The operating system closes a connection whose sent bytes are not acknowledged for this time. By
# default it retransmits for minutes.
TCP_USER_TIMEOUT_MS = 2_000
# A connection is not reused in this last part of the server's keep-alive timeout, when the server
# may be closing it.
IDLE_MARGIN_S = 0.5
KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*([0-9]{1,9})", re.IGNORECASE)


class HttpLeafConnection(BaseProtocol):
    """A connection that is opened by its first call.

    It is not reused after a cancelled call, after an answer to another call, after one that does
    not name its call, or after bytes that no call waits for.

    :param memory: the memory of the answers that all connections are receiving
    :param on_open: called when the connection is open
    :param on_stray_bytes: called when bytes have arrived that belong to no call
    :param on_unnamed_answer: called when an answer does not name its call
    """

    __slots__ = (
        "address",
        "bytes_exchanged",
        "calls_sent",
        "closed",
        "current_exchange",
        "dialect",
        "idle_since",
        "idle_until",
        "memory",
        "on_open",
        "on_stray_bytes",
        "on_unnamed_answer",
        "parser",
    )

    def __init__(
        self,
        *,
        address: str,
        dialect: LeafDialect,
        memory: HeldMemory[HttpLeafConnection] | None = None,
        on_open: Callable[[], None] = lambda: None,
        on_stray_bytes: Callable[[], None] = lambda: None,
        on_unnamed_answer: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__(loop=asyncio.get_running_loop())
        self.address = address
        self.dialect = dialect
        self.memory = HeldMemory() if memory is None else memory
        self.on_open = on_open
        self.on_stray_bytes = on_stray_bytes
        self.on_unnamed_answer = on_unnamed_answer
        self.current_exchange: Exchange | None = None
        self.closed = False
        self.calls_sent = 0
        self.parser: HttpResponseParser | None = None
        self.bytes_exchanged = 0
        self.idle_since = 0.0
        self.idle_until = float("inf")

    @property
    def usable(self) -> bool:
        """Whether another call may be sent."""
        return not self.closed and self._loop.time() < self.idle_until

    async def exchange(self, call: LeafCall) -> Result[OpaqueAnswer, LeafFailure]:
        """Send a call, connecting first if needed, and wait for its whole answer."""
        if not await self.open() or self.transport is None:
            return Err(failure(LeafFailureReason.CONNECT_FAILED, Outcome.NOT_RUN))
        self.parser = self.new_parser(call)
        self.current_exchange = Exchange(
            call=call,
            reused=self.calls_sent > 0,
            result_future=self._loop.create_future(),
        )
        self.calls_sent += 1
        try:
            encoded = self.dialect.encode(call, self._loop.time())
            self.bytes_exchanged += sum(map(len, encoded))
            self.transport.writelines(encoded)
            return await self.current_exchange.result_future
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            self.current_exchange = None
            self.memory.release(self)

    async def open(self) -> bool:
        """Connect unless that was done before; return whether a call can be sent at once."""
        if self.transport is None and not await self.connect():
            return False
        return not self.closed and is_open(self.transport)

    def new_parser(self, call: LeafCall) -> HttpResponseParser:
        """Make a parser, without anything of earlier answers.

        A parser adds the last trailer of an answer to the headers of the next one.
        """
        return HttpResponseParser(
            self,
            self._loop,
            ANSWER_BYTES_MAX,
            payload_exception=ClientPayloadError,
            response_with_body=call.request.method != "HEAD",
            read_until_eof=True,
            auto_decompress=False,
        )

    async def connect(self) -> bool:
        """Open the connection.

        :return: whether it is open; if not, this object is not usable any more
        """
        try:
            host, port = split_address(self.address)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._loop.create_connection(lambda: self, host, port)
        except (OSError, ValueError, OverflowError):
            # The caller reports the failure. TimeoutError is an OSError.
            self.closed = True
            return False
        except asyncio.CancelledError:
            self.abort()
            raise
        return True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set ``TCP_USER_TIMEOUT``; abort if this object was closed during the connect."""
        super().connection_made(transport)
        if self.closed:
            self.abort()
            return
        self.on_open()
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)

    def pause_reading(self) -> None:
        """Do nothing: the size of all answers is bounded, so there is no flow control."""

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Do nothing.

        aiohttp's version feeds the parser again during a read. An extra answer behind the one that
        is being read would then replace it.
        """

    def data_received(self, data: bytes) -> None:
        """Parse bytes of an answer; bytes that no call waits for close the connection."""
        self.bytes_exchanged += len(data)
        exchange = self.current_exchange
        before = b"" if exchange is None else exchange.received.last
        for piece in split_behind_chunks(before, data, PARSED_BYTES_MAX):
            if self.closed:
                return
            if exchange is None or exchange.result_future.done() or self.parser is None:
                self.on_stray_bytes()
                self.abort()
                return
            self.parse(exchange, self.parser, piece)

    def parse(self, exchange: Exchange, parser: HttpResponseParser, data: bytes) -> None:
        """Parse bytes of an answer that a call waits for."""
        try:
            answers, _, tail = parser.feed_data(data)
        except HttpProcessingError as error:
            self.finish_exchange(
                Err(failure(LeafFailureReason.MALFORMED, detail=str(error))), reusable=False
            )
            return
        exchange.answers += answers
        exchange.received.add(data)
        self.process_answers(exchange, extra=bool(tail))
        if not exchange.result_future.done():
            self.limit_size(exchange)

    def limit_size(self, exchange: Exchange) -> None:
        """Fail a call that still has no whole answer after too many bytes.

        If all incomplete answers together hold too much memory, those that hold most fail.
        """
        received = exchange.received.total
        if received > ANSWER_BYTES_MAX or exchange.framing_bytes > exchange.framing_bytes_max:
            self.give_up(f"no whole answer in {received} bytes")
            return
        self.memory.hold(self, received)
        while (largest := self.memory.largest_above_limit()) is not None:
            largest.give_up("the incomplete answers hold too much memory")

    def give_up(self, detail: str) -> None:
        """Fail the waiting call, whose answer is not complete."""
        problem = failure(LeafFailureReason.MALFORMED, detail=detail)
        self.finish_exchange(Err(problem), reusable=False)

    def process_answers(self, exchange: Exchange, *, extra: bool) -> None:
        """Finish the call with the first whole answer that belongs to it.

        :param extra: whether bytes follow that are no part of an answer
        """
        unexpected = extra
        while exchange.answers:
            message, payload = exchange.answers[0]
            interim = is_interim_status(message.code)
            if not interim and not is_final_status(message.code):
                self.give_up(f"status {message.code} is not a valid final HTTP status")
                return
            problem = payload.exception()
            if problem is not None:
                self.finish_exchange(
                    Err(failure(LeafFailureReason.TRUNCATED, detail=str(problem))), reusable=False
                )
                return
            if received := payload.read_nowait():
                exchange.add_body(received)
            if not payload.is_eof():
                return
            del exchange.answers[0]
            body = exchange.take_body()
            confusion = describe_confusion(message, body, self.dialect.names_request)
            if confusion is not None:
                self.on_stray_bytes()
                self.give_up(confusion)
                return
            if interim:
                exchange.received.skip_interim_answer()
                continue
            headers = tuple(
                (name.decode(errors="replace"), value.decode(errors="replace"))
                for name, value in message.raw_headers
            )
            result = self.dialect.decode(
                exchange.call,
                message.code,
                headers,
                body,
                reused=exchange.reused,
            )
            if result is None:
                unexpected = True
                self.idle_until = float("-inf")
                if message.chunked:
                    self.renew_parser(exchange)
                    return
                continue
            self.apply_keep_alive(message)
            named = self.dialect.names_request(headers)
            reusable = not is_malformed(result) and self.is_reusable(
                exchange, message, body, named=named, unexpected=unexpected
            )
            self.finish_exchange(result, reusable=reusable)
            return
        if unexpected:
            # The call still waits for its own answer, and the connection is not reused after it.
            self.idle_until = float("-inf")

    def is_reusable(
        self,
        exchange: Exchange,
        message: RawResponseMessage,
        body: bytes,
        *,
        named: bool,
        unexpected: bool,
    ) -> bool:
        """Whether another call may be sent behind the answer to this one.

        :param named: whether the answer names its call
        :param unexpected: whether bytes have arrived that belong to no call
        """
        if not named:
            self.on_unnamed_answer()
        if unexpected or exchange.answers or not exchange.received.end_with(message, body):
            self.on_stray_bytes()
            return False
        return named and not (message.should_close or has_unsent_bytes(self.transport))

    def renew_parser(self, exchange: Exchange) -> None:
        """Use a new parser for what follows an extra answer in chunks, without its trailers.

        The call fails if a part of that was parsed together with the extra answer.
        """
        if exchange.answers or not exchange.received.ends_with_chunks:
            self.give_up("bytes follow an extra answer whose end is not known")
            return
        self.parser = self.new_parser(exchange.call)

    def apply_keep_alive(self, message: RawResponseMessage) -> None:
        """Limit the idle time to the server's ``Keep-Alive`` timeout."""
        granted = KEEP_ALIVE_TIMEOUT.search(message.headers.get("Keep-Alive", ""))
        if granted is not None:
            idle_s = max(0.0, int(granted[1]) - IDLE_MARGIN_S)
            self.idle_until = min(self.idle_until, float("inf"))
            if self.idle_until != float("-inf"):
                self.idle_until = self._loop.time() + idle_s

    def eof_received(self) -> None:
        """Complete an answer without a length, which ends with its connection."""
        exchange = self.current_exchange
        if exchange is None or exchange.result_future.done() or self.parser is None:
            return
        try:
            self.parser.feed_eof()
        except (HttpProcessingError, ClientPayloadError) as error:
            self.finish_exchange(
                Err(failure(LeafFailureReason.TRUNCATED, detail=str(error))), reusable=False
            )
        else:
            self.process_answers(exchange, extra=False)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the waiting call; its request may have run."""
        super().connection_lost(exc)
        self.closed = True
        # ETIMEDOUT is not from the server, which may have been silent before the call.
        silent = isinstance(exc, TimeoutError)
        reason = LeafFailureReason.TIMEOUT if silent else LeafFailureReason.CONNECTION_LOST
        self.finish_exchange(Err(failure(reason, detail=str(exc or "closed"))), reusable=False)

    def finish_exchange(self, result: Result[OpaqueAnswer, LeafFailure], *, reusable: bool) -> None:
        """Set the result of the waiting call, if there is one.

        :param reusable: whether the connection may be used again; otherwise it is closed
        """
        self.memory.release(self)
        if self.current_exchange is not None and not self.current_exchange.result_future.done():
            self.current_exchange.result_future.set_result(result)
        if not reusable:
            self.abort()

    def abort(self) -> None:
        """Close the connection without waiting for the peer.

        The parser and what it has read refer to this object; without them it is freed at once,
        and not only when the garbage collector runs.
        """
        self.closed = True
        self.parser = None
        if self.current_exchange is not None:
            self.current_exchange.answers.clear()
            self.current_exchange.body.clear()
        if self.transport is not None:
            self.transport.abort()

    async def close(self) -> None:
        """Close the connection at once."""
        self.abort()


def failure(
    reason: LeafFailureReason, outcome: Outcome = Outcome.MAY_HAVE_RUN, detail: str = ""
) -> LeafFailure:
    """Build the failure of a call without a usable answer."""
    return LeafFailure(reason=reason, outcome=outcome, detail=detail)


def is_malformed(result: Result[OpaqueAnswer, LeafFailure]) -> bool:
    """Whether a whole answer can't be understood, so that what follows it can't be trusted."""
    return isinstance(result, Err) and result.err_value.reason is LeafFailureReason.MALFORMED
