"""The service ``front`` of the gateway: callers' HTTP requests and the readiness check."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web
from logbook import Logger
from msgspec import Struct, field
from msgspec.structs import replace
from result import Err, Ok, Result

from azurefield.failures import FailureKind, RequestFailure
from azurefield.model import Outcome
from azurefield.routes import CallerLimits
from azurefield_entry.callers.bodies import read_body
from azurefield_entry.callers.load import CallerLoad
from azurefield_entry.callers.server import CallerServer
from azurefield_entry.early_listener import BACKLOG
from azurefield_entry.front.activity import Activity
from azurefield_entry.gateway.messages import RouteTableChanged, SettingsChanged
from azurefield_entry.gateway.ports import CallerDialect
from azurefield_entry.gateway.service import GatewayService
from azurefield_entry.kernel import BeginDrain, Stop
from azurefield_entry.listener import listen, listen_for_callers
from azurefield_entry.logs import describe_error

if TYPE_CHECKING:
    from azurefield.merge import MergedParts
    from azurefield_entry.gateway.ports import OpaqueAnswer
    from azurefield_entry.kernel import Kernel, Mailbox

CLOSE_TIMEOUT_S = 0.2
# A planned stop closes the kept connections once no request has arrived for this time.
QUIET_TIME_S = 0.05
# Longest time for the answers to the requests that a planned stop ends.
LAST_ANSWERS_S = 0.1
log = Logger("front")


class GatewayFront(Struct, kw_only=True):
    """Receives callers' requests and answers the platform's readiness check.

    :param address: ``host:port`` for callers
    :param readiness_address: ``host:port`` of the readiness check
    :param finish_timeout_s: how long a planned stop waits for running requests
    :param limits: what callers may send; new connections use the current limits
    :param load: what all callers together may hold
    :param backlog: how many connections may wait until they are accepted
    :param stops_at: when the running requests are ended; None before a planned stop has closed the
        listener
    :param expired: whether that time has come
    :param handlers: the tasks of the running requests
    """

    address: str
    readiness_address: str
    dialect: CallerDialect
    gateway: GatewayService
    finish_timeout_s: float
    limits: CallerLimits = field(default_factory=CallerLimits)
    load: CallerLoad = field(default_factory=CallerLoad)
    backlog: int = BACKLOG
    draining: bool = False
    stops_at: float | None = None
    expired: bool = False
    handlers: set[asyncio.Task[object]] = field(default_factory=set)
    request_count: int = 0
    activity: Activity = field(default_factory=Activity)

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:  # noqa: ARG002
        """Serve until ``Stop``, then finish the running requests."""
        server = CallerServer(handle=self.handle, limits=lambda: self.limits, load=self.load)
        callers = web.ServerRunner(server, shutdown_timeout=CLOSE_TIMEOUT_S)
        readiness = web.ServerRunner(
            web.Server(self.get_readiness, access_log=None), shutdown_timeout=CLOSE_TIMEOUT_S
        )
        site = await listen_for_callers(callers, self.address, mailbox, backlog=self.backlog)
        if site is not None:
            log.info("Listening on {}.", self.address)
        # Readiness is reported only once callers can connect.
        await listen(readiness, self.readiness_address, mailbox)
        while True:
            match await mailbox.receive():
                case RouteTableChanged(table=table):
                    self.limits = table.limits
                    self.load.set_limits(body_bytes_max=table.limits.body_bytes_max)
                case SettingsChanged(settings=settings):
                    self.load.set_limits(
                        memory_bytes=settings.memory_shares.bodies_bytes,
                        memory_max_bytes=settings.memory_shares.bodies_max_bytes,
                        connections_max=settings.caller_connections_max,
                        large_buffers_max=settings.memory_shares.large_buffers_max,
                    )
                case BeginDrain():
                    self.draining = True
                    log.info("Draining, {} requests are running.", len(self.activity.running))
                case Stop():
                    break
        self.stops_at = asyncio.get_running_loop().time() + self.finish_timeout_s
        if site is not None:
            await site.stop()
        left = await self.finish_requests(server, self.stops_at)
        if left:
            log.error("{} requests did not end in time; answering them as possibly run.", left)
            await self.end_requests()
        await callers.cleanup()
        await readiness.cleanup()

    async def end_requests(self) -> None:
        """Answer the requests that are still running, which ends them."""
        self.expired = True
        for handler in self.handlers:
            handler.cancel()
        await self.activity.finish(timeout_s=LAST_ANSWERS_S)

    async def finish_requests(self, server: CallerServer, deadline: float) -> int:
        """Finish the requests that have arrived, close the idle connections and send all answers.

        :return: how many requests are still running when the time is over
        """
        loop = asyncio.get_running_loop()
        counted = -1
        while counted != self.request_count and loop.time() < deadline:
            counted = self.request_count
            await self.activity.finish(timeout_s=deadline - loop.time())
            await asyncio.sleep(QUIET_TIME_S)
        server.pre_shutdown()
        left = await self.activity.finish(timeout_s=max(0.0, deadline - loop.time()))
        await server.finish_writing(deadline)
        return left

    async def get_readiness(self, request: web.BaseRequest) -> web.StreamResponse:  # noqa: ARG002
        """Answer 200 if this instance takes new connections, else 503."""
        ready = self.gateway.serving and not self.draining
        return web.Response(status=200 if ready else 503)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        self.request_count += 1
        activity_id = str(self.request_count)
        self.activity.begin(activity_id)
        handler = asyncio.current_task()
        assert handler is not None
        self.handlers.add(handler)
        try:
            response = self.dialect.build_response(await self.answer(request))
        except asyncio.CancelledError:
            if not self.expired:
                raise
            handler.uncancel()
            response = self.dialect.build_response(Err(stopped()))
        except Exception as error:
            log.error("A request failed with an unexpected error: {}.", describe_error(error))
            response = self.dialect.build_response(Err(internal_error()))
        finally:
            self.handlers.discard(handler)
            self.activity.end(activity_id)
        if self.draining or not request.content.is_eof():
            response.force_close()
        return response

    async def answer(
        self, request: web.BaseRequest
    ) -> Result[OpaqueAnswer | MergedParts, RequestFailure]:
        """Read a request and pass it to the gateway."""
        now = asyncio.get_running_loop().time()
        read = await read_body(request, self.limits)
        if isinstance(read, Err):
            self.log_refused_body(request, read.err_value, now)
            return read
        match self.dialect.parse_request(request, read.ok_value, now):
            case Err(failure):
                return Err(failure)
            case Ok(gateway_request):
                if self.stops_at is not None:
                    gateway_request = replace(gateway_request, stops_at=self.stops_at)
                return await self.gateway.handle(gateway_request)

    def log_refused_body(
        self, request: web.BaseRequest, failure: RequestFailure, now: float
    ) -> None:
        """Log a body that was refused for what all callers hold."""
        parsed = self.dialect.parse_request(request, b"", now)
        if failure.kind is FailureKind.QUEUE_FULL and isinstance(parsed, Ok):
            self.load.log_refused(parsed.ok_value.request_id)


def stopped() -> RequestFailure:
    """Build the failure of a request that is still running when this instance stops."""
    return RequestFailure(
        kind=FailureKind.DEADLINE_EXCEEDED,
        outcome=Outcome.MAY_HAVE_RUN,
        detail="the instance stops before the request has ended",
    )


def internal_error() -> RequestFailure:
    """Build the failure of a request that ended with an unexpected error."""
    return RequestFailure(
        kind=FailureKind.INTERNAL,
        outcome=Outcome.MAY_HAVE_RUN,
        detail="the instance failed to handle the request",
    )
