"""The internal service ``front``: HTTP server for callers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from aiohttp import web
from logbook import Logger
from msgspec import Struct
from result import Ok

from azurefield.failures import FailureKind, RequestFailure
from azurefield.model import Outcome
from azurefield.routes import CallerLimits
from azurefield_entry.callers.load import CallerLoad
from azurefield_entry.callers.server import CallerServer
from azurefield_entry.early_listener import BACKLOG
from azurefield_entry.front.activity import Activity
from azurefield_entry.front.admission import Admission
from azurefield_entry.front.api import KIND_OF_PATH, CallersApi
from azurefield_entry.front.arrival import Arrival, ArrivalRegistry
from azurefield_entry.front.bodies import BODY_BYTES_MAX
from azurefield_entry.front.problems import plain_http_problem, problem_response
from azurefield_entry.front.run import REPLY_GRACE_S, FrontContext
from azurefield_entry.front.state import FrontState
from azurefield_entry.kernel import BeginDrain, Stop, send_every
from azurefield_entry.listener import listen_for_callers
from azurefield_entry.logs import describe_error
from azurefield_entry.messages import (
    ConfigurationChanged,
    MemberUse,
    PeerFrame,
    PeersChanged,
    ReadinessChanged,
)
from azurefield_entry.metrics import Metrics
from azurefield_entry.notify import notify
from azurefield_entry.peers.frames import HeartbeatFields, parse_fields

if TYPE_CHECKING:
    from azurefield_entry.kernel import Kernel, Mailbox

CLOSE_TIMEOUT_S = 2.0
SHARE_EXCHANGE_INTERVAL_S = 1.0  # The interval of the heartbeats, which carry the members' use.
CALLER_LIMITS = CallerLimits(
    header_bytes_max=16 * 1024,
    body_bytes_max=BODY_BYTES_MAX,
    header_timeout_s=10.0,
    # A balancer closes idle connections before.
    idle_timeout_s=3600.0,
)
log = Logger("front")


def make_router() -> web.UrlDispatcher:
    """Make the paths of the callers' API."""
    router = web.UrlDispatcher()
    for path in KIND_OF_PATH:
        router.add_post(f"/v1/services/{{service}}/{{path:{path}}}", unused_handler)
    return router


async def unused_handler(request: web.Request) -> web.StreamResponse:
    """Stand for the handler that a route needs; requests are answered by what their path names."""
    raise NotImplementedError(request.path)


class ExchangeShares(Struct, kw_only=True, frozen=True):
    """To ``front`` itself: adjust the members' weights."""


@dataclass(slots=True, kw_only=True)
class FrontService:
    """Serves callers' requests on ``address``, a ``host:port``."""

    address: str
    incarnation: str
    metrics: Metrics
    admission: Admission
    state: FrontState = field(default_factory=FrontState)
    activity: Activity = field(default_factory=Activity)
    load: CallerLoad = field(default_factory=CallerLoad)
    backlog: int = BACKLOG
    router: web.UrlDispatcher = field(default_factory=make_router)
    api: CallersApi = field(init=False)
    arrivals: ArrivalRegistry = field(init=False)

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Serve until ``Stop``, then wait for the running requests."""
        self.arrivals = ArrivalRegistry(incarnation=self.incarnation)
        context = FrontContext(
            kernel=kernel,
            metrics=self.metrics,
            admission=self.admission,
            activity=self.activity,
        )
        self.api = CallersApi(state=self.state, context=context)
        server = CallerServer(
            handle=self.answer,
            limits=lambda: CALLER_LIMITS,
            load=self.load,
            request_type=web.Request,
        )
        runner = web.ServerRunner(server, shutdown_timeout=CLOSE_TIMEOUT_S)
        site = await listen_for_callers(runner, self.address, mailbox, backlog=self.backlog)
        if site is not None:
            log.info("Listening on {}.", self.address)
        ready = ReadinessChanged(part="front", ready=True, reason="")
        notify(kernel, "admin", ready)
        exchange = send_every(mailbox, ExchangeShares(), SHARE_EXCHANGE_INTERVAL_S)
        exchange_task = asyncio.create_task(exchange)
        await self.handle_messages(kernel, mailbox)
        exchange_task.cancel()
        if site is not None:
            await site.stop()
        await self.wait_for_requests()
        await runner.cleanup()

    async def handle_messages(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Handle messages until ``Stop``."""
        while True:
            match await mailbox.receive():
                case ConfigurationChanged(configuration=configuration):
                    self.state.configuration = configuration
                    self.admission.set_configuration(configuration)
                case PeersChanged(peers=peers):
                    self.admission.set_peers(peers)
                case PeerFrame(type="heartbeat") as frame:
                    self.receive_heartbeat(frame)
                case ExchangeShares():
                    self.exchange_shares(kernel)
                case ReadinessChanged(part=part, ready=ready, reason=reason):
                    self.state.set_readiness(part, ready=ready, reason=reason)
                case BeginDrain():
                    self.state.draining = True
                case Stop():
                    return

    def receive_heartbeat(self, frame: PeerFrame) -> None:
        """Record the members' use on another instance; ``membership`` logs invalid heartbeats."""
        match parse_fields(HeartbeatFields, frame.fields):
            case Ok(fields):
                now = asyncio.get_running_loop().time()
                self.admission.on_peer_use(now, frame.instance, fields.member_use)

    def exchange_shares(self, kernel: Kernel) -> None:
        """Adjust the members' weights and report their use for the next heartbeat."""
        use = self.admission.exchange_shares(asyncio.get_running_loop().time())
        notify(kernel, "membership", MemberUse(use=use))

    async def wait_for_requests(self) -> None:
        """Wait for running requests and bookings, at most for the longest deadline."""
        timeout_s = self.state.longest_deadline_s() + REPLY_GRACE_S
        left = await self.activity.finish(timeout_s=timeout_s)
        if left:
            log.error(
                "{} requests and bookings are still running after the longest deadline; "
                "stopping without waiting for them.",
                left,
            )

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Assign an identity to each request and answer every error with a problem document."""
        arrival = self.arrivals.register(request)
        response: web.StreamResponse
        try:
            response = await self.route(request, arrival)
        except web.HTTPException as error:
            response = plain_http_problem(error, request_id=arrival.caller_id)
        except Exception as error:
            log.error(
                "Request {} failed with an unexpected error: {}; answering with status 500.",
                arrival.request_id,
                describe_error(error),
            )
            response = problem_response(_internal(), request_id=arrival.caller_id)
        if self.state.draining or not request.content.is_eof():
            response.force_close()
        return response

    async def route(self, request: web.BaseRequest, arrival: Arrival) -> web.StreamResponse:
        """Answer one request of the API and record its metrics.

        :raises web.HTTPException: if there is no such path or method
        """
        assert isinstance(request, web.Request)
        match = await self.router.resolve(request)
        if match.http_exception is not None:
            raise match.http_exception
        service, path = match["service"], match["path"]
        response = await self.api.answer(request, arrival, service=service, path=path)
        self.record_metrics(service, path, arrival, response.status)
        return response

    def record_metrics(self, service: str, path: str, arrival: Arrival, status: int) -> None:
        """Count a request and its duration.

        Only services of the configuration are used as a label, so that callers can't create time
        series with invented names.
        """
        self.metrics.requests.labels(path, str(status)).inc()
        configuration = self.state.configuration
        if configuration is not None and service in configuration.services:
            elapsed_s = asyncio.get_running_loop().time() - arrival.at
            self.metrics.request_seconds.labels(service, path).observe(elapsed_s)


def _internal() -> RequestFailure:
    return RequestFailure(
        kind=FailureKind.INTERNAL,
        outcome=Outcome.MAY_HAVE_RUN,
        detail="the instance failed to handle the request",
    )
