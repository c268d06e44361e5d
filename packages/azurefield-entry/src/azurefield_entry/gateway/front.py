"""The service ``front`` of the gateway: callers' HTTP requests and readiness."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from logbook import Logger
from result import Err, Ok, Result

from azurefield.failures import FailureKind, RequestFailure
from azurefield.model import Outcome
from azurefield.routes import CallerLimits
from azurefield_entry.front.activity import Activity
from azurefield_entry.gateway.messages import RoutesInForce
from azurefield_entry.gateway.ports import CallerDialect
from azurefield_entry.gateway.service import GatewayService
from azurefield_entry.kernel import BeginDrain, Stop
from azurefield_entry.listener import listen
from azurefield_entry.logs import describe_error

if TYPE_CHECKING:
    from azurefield.merge import MergedParts
    from azurefield_entry.gateway.ports import OpaqueAnswer
    from azurefield_entry.kernel import Kernel, Mailbox

CLOSE_TIMEOUT_S = 0.2
# A caller may use a connection until the limit has passed; the margin keeps the close after it.
IDLE_MARGIN_S = 1.0
# aiohttp writes a line per request otherwise.
NO_ACCESS_LOG = logging.getLogger("azurefield.no-access-log")
NO_ACCESS_LOG.disabled = True
log = Logger("front")


@dataclass(slots=True, kw_only=True)
class GatewayFront:
    """Takes callers' requests and tells the platform whether more may come.

    :param address: ``host:port`` for callers
    :param readiness_address: ``host:port`` where readiness is asked for
    :param finish_s: how long a planned stop waits for running requests
    """

    address: str
    readiness_address: str
    dialect: CallerDialect
    gateway: GatewayService
    finish_s: float
    limits: CallerLimits = field(default_factory=CallerLimits)
    draining: bool = False
    requests: int = 0
    activity: Activity = field(default_factory=Activity)

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:  # noqa: ARG002
        """Serve until ``Stop``, then finish the running requests."""
        callers = web.ServerRunner(CallerServer(front=self), shutdown_timeout=CLOSE_TIMEOUT_S)
        readiness = web.ServerRunner(
            web.Server(self.tell_readiness, access_log=None), shutdown_timeout=CLOSE_TIMEOUT_S
        )
        await listen(readiness, self.readiness_address)
        site = await listen(callers, self.address)
        log.info("Listening on {}.", self.address)
        while True:
            match await mailbox.receive():
                case RoutesInForce(table=table):
                    self.limits = table.limits
                case BeginDrain():
                    self.draining = True
                    log.info("Draining, {} requests are running.", len(self.activity.running))
                case Stop():
                    break
        await site.stop()
        left = await self.activity.finish(timeout_s=self.finish_s)
        if left:
            log.error("{} requests did not end in time.", left)
        await callers.cleanup()
        await readiness.cleanup()

    async def tell_readiness(self, request: web.BaseRequest) -> web.StreamResponse:  # noqa: ARG002
        """Answer whether this instance takes new connections."""
        ready = self.gateway.ready and not self.draining
        return web.Response(status=200 if ready else 503)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        self.requests += 1
        identity = str(self.requests)
        self.activity.begin(identity)
        try:
            response = self.dialect.write(await self.answer(request))
        except Exception as error:
            log.error("A request failed: {}.", describe_error(error))
            response = self.dialect.write(Err(internal()))
        finally:
            self.activity.end(identity)
        if self.draining:
            response.force_close()
        return response

    async def answer(
        self, request: web.BaseRequest
    ) -> Result[OpaqueAnswer | MergedParts, RequestFailure]:
        """Read a request and let the gateway answer it."""
        now = asyncio.get_running_loop().time()
        body = await self.read_body(request)
        if body is None:
            return Err(too_large(self.limits.body_bytes_max))
        match self.dialect.read(request, body, now):
            case Err(failure):
                return Err(failure)
            case Ok(gateway_request):
                return await self.gateway.handle(gateway_request)

    async def read_body(self, request: web.BaseRequest) -> bytes | None:
        """Read the whole body; None if it is larger than allowed."""
        if not request.can_read_body:
            return b""
        limit = self.limits.body_bytes_max
        if (request.content_length or 0) > limit:
            return None
        chunks = bytearray()
        async for chunk in request.content.iter_any():
            chunks += chunk
            if len(chunks) > limit:
                return None
        return bytes(chunks)


class CallerServer(web.Server):
    """A server whose connections follow the limits that are in force when they are opened."""

    def __init__(self, *, front: GatewayFront) -> None:
        super().__init__(front.handle, handler_cancellation=True)
        self.front = front

    def __call__(self) -> RequestHandler:
        """Make the handler of a new connection."""
        limits = self.front.limits
        return RequestHandler(
            self,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=limits.idle_timeout_s + IDLE_MARGIN_S,
            max_line_size=limits.header_bytes_max,
            max_field_size=limits.header_bytes_max,
            access_log=NO_ACCESS_LOG,
            auto_decompress=False,
            lingering_time=0.0,
        )


def too_large(limit: int) -> RequestFailure:
    """Describe a body that is larger than allowed."""
    return RequestFailure(
        kind=FailureKind.BODY_TOO_LARGE,
        outcome=Outcome.NOT_RUN,
        detail="the body is too large",
        field="body",
        allowed=f"at most {limit} bytes",
    )


def internal() -> RequestFailure:
    """Describe a request that this instance failed to handle."""
    return RequestFailure(
        kind=FailureKind.INTERNAL,
        outcome=Outcome.MAY_HAVE_RUN,
        detail="the instance failed to handle the request",
    )
