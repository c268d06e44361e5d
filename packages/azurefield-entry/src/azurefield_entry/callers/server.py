"""HTTP server of the callers' side, whose connections share what callers may use."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web
from aiohttp.web_protocol import ERROR, RequestHandler

from azurefield_entry.callers.connection import CallerConnection
from azurefield_entry.callers.load import CallerLoad

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp.abc import AbstractStreamWriter
    from aiohttp.http_parser import RawRequestMessage
    from aiohttp.streams import StreamReader

    from azurefield.routes import CallerLimits

WRITE_CHECK_INTERVAL_S = 0.01


class CallerServer(web.Server):
    """A server whose new connections use the current limits.

    :param load: what all connections together may hold
    :param request_type: the class of the requests that are handled
    """

    def __init__(
        self,
        *,
        handle: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        limits: Callable[[], CallerLimits],
        load: CallerLoad | None = None,
        request_type: type[web.BaseRequest] = web.BaseRequest,
    ) -> None:
        super().__init__(handle, request_factory=self.begin_request, handler_cancellation=True)
        self.limits = limits
        self.request_type = request_type
        self.load = CallerLoad() if load is None else load

    def __call__(self) -> RequestHandler:
        """Make the handler of a new connection."""
        return CallerConnection(server=self, limits=self.limits(), load=self.load)

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
                protocol.on_request_begin(message, payload)
        loop = asyncio.get_running_loop()
        return self.request_type(message, payload, protocol, writer, task, loop)

    async def finish_writing(self, deadline: float) -> None:
        """Wait until the operating system has taken all answers, at most until a deadline."""
        loop = asyncio.get_running_loop()
        while loop.time() < deadline:
            # An answer is written shortly after its request has ended.
            await asyncio.sleep(WRITE_CHECK_INTERVAL_S)
            transports = [connection.transport for connection in self.connections]
            if not any(t is not None and t.get_write_buffer_size() for t in transports):
                return
