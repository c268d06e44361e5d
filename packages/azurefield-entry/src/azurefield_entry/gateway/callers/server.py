"""HTTP server of the callers' side, with time limits on idle connections and request heads."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from aiohttp import web
from aiohttp.web_protocol import ERROR, RequestHandler

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp.abc import AbstractStreamWriter
    from aiohttp.http_parser import RawRequestMessage
    from aiohttp.streams import StreamReader

    from azurefield.routes import CallerLimits

# The gateway closes an idle connection this long after the idle timeout, so that a request that a
# caller sends just before the timeout is not lost.
IDLE_MARGIN_S = 1.0
WRITE_CHECK_INTERVAL_S = 0.01
HEAD_END = b"\r\n\r\n"
# A caller may send this much behind a head whose request has not begun, while it does not read the
# answer to an earlier one.
UNPARSED_BYTES_MAX = 256 * 1024
# Stops aiohttp from logging a line per request.
NO_ACCESS_LOG = logging.getLogger("azurefield.no-access-log")
NO_ACCESS_LOG.disabled = True


class CallerConnection(RequestHandler):
    """A connection that is closed if its caller sends nothing, or does not complete a head.

    aiohttp limits the idle time only after the first request, and copies all bytes of a read into
    the error about a head that it can't parse. So no more than a head may be long is parsed before
    a request has begun.

    :param head_bytes_left: how many bytes of a head may follow
    :param rejected: whether the connection is closed for what it has sent
    :param unparsed: what was read behind these
    """

    __slots__ = (
        "head_bytes_left",
        "head_bytes_max",
        "head_timer",
        "header_timeout_s",
        "idle_timeout_s",
        "rejected",
        "request_runs",
        "unparsed",
    )

    def __init__(self, *, server: web.Server, limits: CallerLimits) -> None:
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
        self.head_timer: asyncio.TimerHandle | None = None
        self.request_runs = self.rejected = False
        self.head_bytes_max = self.head_bytes_left = limits.header_bytes_max
        self.unparsed = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first bytes as long as for those of a later request."""
        super().connection_made(transport)
        self.start_timer(self.idle_timeout_s + IDLE_MARGIN_S)

    def data_received(self, data: bytes) -> None:
        """Start the time allowed for a head with its first bytes."""
        if self.request_runs:
            super().data_received(data)
            return
        if self.rejected:
            return
        if self.head_timer is None or self.head_timer.when() > self.head_limit():
            self.start_timer(self.header_timeout_s)
        if self.unparsed:
            self.unparsed += data
            if len(self.unparsed) > UNPARSED_BYTES_MAX:
                self.close_rejected()
            return
        head = data[: self.head_bytes_left]
        self.head_bytes_left -= len(head)
        self.unparsed += data[len(head) :]
        super().data_received(head)
        if self.unparsed and HEAD_END not in head:
            asyncio.get_running_loop().call_soon(self.require_head)

    def require_head(self) -> None:
        """Close the connection if what may be a head, at its longest, is none."""
        if self.unparsed and not self.request_runs:
            self.close_rejected()

    def close_rejected(self) -> None:
        """Close the connection because of what the caller has sent."""
        self.reject()
        self.force_close()

    def reject(self) -> None:
        """Ignore what follows a head that can't be parsed."""
        self.rejected = True
        self.unparsed.clear()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timer, and drop what was not parsed."""
        self.stop_timer()
        self.unparsed.clear()
        super().connection_lost(exc)

    def head_limit(self) -> float:
        """Return when a head that begins now must be complete."""
        return asyncio.get_running_loop().time() + self.header_timeout_s

    def start_timer(self, delay_s: float) -> None:
        """Close the connection after a time unless a whole head arrives before."""
        self.stop_timer()
        self.head_timer = asyncio.get_running_loop().call_later(delay_s, self.force_close)

    def stop_timer(self) -> None:
        """Stop the timer."""
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None

    def on_request_begin(self) -> None:
        """Record that a whole head has arrived."""
        self.stop_timer()
        self.request_runs = True
        self.head_bytes_left = self.head_bytes_max
        if self.unparsed:
            unparsed, self.unparsed = bytes(self.unparsed), bytearray()
            super().data_received(unparsed)

    def on_request_end(self) -> None:
        """Record that the request has been handled."""
        self.request_runs = False


class CallerServer(web.Server):
    """A server whose new connections use the current limits."""

    def __init__(
        self,
        *,
        handle: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        limits: Callable[[], CallerLimits],
    ) -> None:
        super().__init__(
            self.handle_request, request_factory=self.begin_request, handler_cancellation=True
        )
        self.handle = handle
        self.limits = limits

    def __call__(self) -> RequestHandler:
        """Make the handler of a new connection."""
        return CallerConnection(server=self, limits=self.limits())

    def begin_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: RequestHandler,
        writer: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        """Build a request whose head has arrived."""
        if isinstance(protocol, CallerConnection):
            if message is ERROR:
                protocol.reject()
            else:
                protocol.on_request_begin()
        loop = asyncio.get_running_loop()
        return web.BaseRequest(message, payload, protocol, writer, task, loop)

    async def handle_request(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle a request and record its end."""
        try:
            return await self.handle(request)
        finally:
            if isinstance(request.protocol, CallerConnection):
                request.protocol.on_request_end()

    async def finish_writing(self, deadline: float) -> None:
        """Wait until the operating system has taken all answers, at most until a deadline."""
        loop = asyncio.get_running_loop()
        while loop.time() < deadline:
            # An answer is written shortly after its request has ended.
            await asyncio.sleep(WRITE_CHECK_INTERVAL_S)
            transports = [connection.transport for connection in self.connections]
            if not any(t is not None and t.get_write_buffer_size() for t in transports):
                return
