"""The service ``coordinator``: runs queries that other instances forward to this one."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from math import inf
from typing import TYPE_CHECKING

import msgspec
from logbook import Logger
from msgspec import Struct, field
from result import Err, Ok, Result

from azurefield.failures import RequestFailure
from azurefield.overload import LoopLag
from azurefield.quota import QuotaDenied, QuotaGranted
from azurefield.sharing import RequestClass, SharedAdmission
from azurefield_entry.callers.load import CallerLoad
from azurefield_entry.clock import now
from azurefield_entry.front.activity import Activity
from azurefield_entry.gateway.crashes.frames import (
    CrashReportFrame,
    RequestAnsweredFrame,
    ServerEndedFrame,
)
from azurefield_entry.gateway.messages import Tick
from azurefield_entry.gateway.peers.counted_frames import CountedFrames, SkippedRequest
from azurefield_entry.gateway.peers.forward_frames import (
    CancelRequest,
    ForwardedRequest,
    RequestAccepted,
    RequestRefused,
    decode_request,
    encode_result,
)
from azurefield_entry.gateway.peers.frames import FromPeer, Heartbeat, ToPeer
from azurefield_entry.gateway.peers.framing import encode, listen_for_instances
from azurefield_entry.gateway.ports import GatewayRequest
from azurefield_entry.gateway.quotas.frames import (
    LimitEnded,
    QuotaAsked,
    QuotaGiven,
    QuotaRefused,
    QuotaWithdrawn,
    ShareAsked,
)
from azurefield_entry.gateway.quotas.issuer import QuotaIssuer
from azurefield_entry.gateway.requests.access import AdmittedRequest
from azurefield_entry.gateway.requests.running import RequestResult
from azurefield_entry.kernel import BeginDrain, Stop, send_every
from azurefield_entry.log_limit import LineLimit

if TYPE_CHECKING:
    from azurefield.quota import QuotaDecision
    from azurefield_entry.kernel import Kernel, Mailbox

# Between two results, an instance that forwarded a request hears from its coordinator this often.
HEARTBEAT_INTERVAL_S = 0.1
SHARE_USED_UP = "the workspace's part is used up"
log = Logger("coordinator")


class AcceptedLink(Struct, kw_only=True, eq=False):
    """The connection of another instance, with its running requests and those for quota."""

    writer: asyncio.StreamWriter
    running: dict[int, asyncio.Task[None]] = field(default_factory=dict)
    quota_requests: set[int] = field(default_factory=set)

    def send(self, frame: FromPeer) -> None:
        """Send a frame; the size of the results and the number of requests bound what is queued."""
        if not self.writer.is_closing():
            self.writer.write(encode(frame))


class CoordinatorService(Struct, kw_only=True):
    """Accepts the requests of other instances, runs them and returns their results.

    A request is refused, which guarantees that it does not run, while another version of the route
    table is in force here, if the version does not admit it, while this process is overloaded or
    reaches no server itself, and after a planned stop has begun. While it is busy, workspaces that
    ask for more than their part are refused what exceeds it. Some requests that no other instance
    is asked for are run in spite of an overload if they may still end in time. A request is never
    passed on again.

    :param address: ``host:port`` where other instances connect
    :param version: returns the version of the route table in force; None if there is none
    :param admit: finds the route and the workspace of a request in the version in force
    :param run_request: runs an admitted request, also if another version comes into force
        meanwhile; cancelling it cancels its calls
    :param quota_issuer: issues the quota of limited servers
    :param answer_share: decides on the request for a token of a workspace's quota
    :param on_crash_report: called with each crash report of another instance
    :param partitioned: whether this instance reaches no server
    :param finish_timeout_s: how long a planned stop waits for running requests after its notice
    :param drain_notice_s: time between the begin of a planned stop and its end of the notice
    :param finish_by: when a planned stop gives up running requests; other services finish theirs in
        the same time
    :param load: what callers may hold together; the bodies of accepted requests count
    :param listening: whether the address is in use by this process, and so by no earlier one; not
        while a planned stop runs
    :param on_share_refused: called for each request that exceeds its workspace's part
    """

    address: str
    version: Callable[[], int | None]
    admit: Callable[[GatewayRequest], Result[AdmittedRequest, RequestFailure]]
    run_request: Callable[[AdmittedRequest], Awaitable[RequestResult]]
    quota_issuer: QuotaIssuer
    answer_share: Callable[[ShareAsked], FromPeer]
    on_crash_report: Callable[[CrashReportFrame], None]
    partitioned: Callable[[], bool]
    finish_timeout_s: float
    drain_notice_s: float = 0.0
    finish_by: float = inf
    load: CallerLoad = field(default_factory=CallerLoad)
    draining: bool = False
    listening: bool = False
    request_count: int = 0
    activity: Activity = field(default_factory=Activity)
    links: set[AcceptedLink] = field(default_factory=set)
    on_share_refused: Callable[[], None] = lambda: None
    admission: SharedAdmission = field(default_factory=SharedAdmission)
    busy_lines: LineLimit = field(default_factory=lambda: LineLimit(lines_per_s=1.0))
    lag: LoopLag = field(default_factory=lambda: LoopLag(interval_s=HEARTBEAT_INTERVAL_S))

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:  # noqa: ARG002
        """Serve until ``Stop``, then finish the running requests."""
        opening = asyncio.create_task(self.listen(mailbox))
        ticking = asyncio.create_task(send_every(mailbox, Tick(), HEARTBEAT_INTERVAL_S))
        while True:
            match await mailbox.receive():
                case Tick():
                    self.on_tick(now())
                    self.send_heartbeats()
                case BeginDrain():
                    self.draining = True
                    self.finish_by = now() + self.drain_notice_s + self.finish_timeout_s
                    self.listening = False
                case Stop():
                    break
        self.listening = False
        left = await self.finish_running()
        if left:
            log.error("{} forwarded requests did not end in time.", left)
        ticking.cancel()
        server = await opening
        if server is not None:
            server.close()
        for link in [*self.links]:
            link.writer.close()

    async def listen(self, mailbox: Mailbox) -> asyncio.Server | None:
        """Accept connections of other instances; None if the address can't be used."""
        server = await listen_for_instances(self.serve_link, self.address, mailbox)
        self.listening = server is not None and not self.draining
        return server

    def on_tick(self, ticked_at: float) -> None:
        """Record how late the event loop is, and divide the room for requests anew."""
        limited = self.admission.limiting
        self.lag.on_tick(ticked_at)
        self.admission.on_interval(ticked_at, self.lag.tick_late_s)
        if self.admission.limiting and not limited and self.busy_lines.allow(ticked_at):
            log.info(
                "Busy: {:.0f} forwarded requests/s are accepted, shared by workspaces.",
                self.admission.capacity_per_s,
            )

    async def finish_running(self) -> int:
        """Wait for the running requests, at most until ``finish_by``.

        :return: how many are left
        """
        timeout_s = min(self.finish_timeout_s, max(0.0, self.finish_by - now()))
        finishing = asyncio.create_task(self.activity.finish(timeout_s=timeout_s))
        while not finishing.done():
            self.send_heartbeats()
            await asyncio.wait([finishing], timeout=HEARTBEAT_INTERVAL_S)
        return finishing.result()

    def send_heartbeats(self) -> None:
        """Confirm to each instance that its requests are still running."""
        for link in self.links:
            if link.running or link.quota_requests:
                link.send(Heartbeat())

    async def serve_link(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one instance until it disconnects; this cancels its requests."""
        link = AcceptedLink(writer=writer)
        self.links.add(link)
        frames = CountedFrames(reader=reader, load=self.load)
        try:
            while True:
                self.on_frame(link, await frames.read())
        except (OSError, EOFError, msgspec.DecodeError) as error:
            log.debug("The connection of a forwarding instance has ended: {!r}.", error)
        finally:
            self.links.discard(link)
            for task in link.running.values():
                task.cancel()
            for number in [*link.quota_requests]:
                self.withdraw_quota(link, number)
            writer.close()

    def on_frame(self, link: AcceptedLink, frame: ToPeer | SkippedRequest) -> None:
        """Apply a frame of another instance."""
        match frame:
            case ForwardedRequest():
                self.accept(link, frame)
            case SkippedRequest(number=number):
                link.send(no_memory(number))
            case CancelRequest(number=number) if number in link.running:
                link.running[number].cancel()
            case QuotaAsked():
                self.ask_quota(link, frame)
            case ShareAsked():
                link.send(self.answer_share(frame))
            case QuotaWithdrawn(number=number):
                self.withdraw_quota(link, number)
            case LimitEnded(server=server):
                self.quota_issuer.on_limit_ended(server)
            case ServerEndedFrame() | RequestAnsweredFrame():
                self.on_crash_report(frame)

    def ask_quota(self, link: AcceptedLink, frame: QuotaAsked) -> None:
        """Take a request for quota; the reply follows now or when a token is due."""

        def reply(decision: QuotaDecision) -> None:
            link.quota_requests.discard(frame.number)
            match decision:
                case QuotaGranted(limit_ended=limit_ended):
                    link.send(QuotaGiven(number=frame.number, limit_ended=limit_ended))
                case QuotaDenied(wait_s=wait_s):
                    link.send(QuotaRefused(number=frame.number, wait_s=wait_s))

        link.quota_requests.add(frame.number)
        self.quota_issuer.ask((id(link), frame.number), frame, reply)

    def withdraw_quota(self, link: AcceptedLink, number: int) -> None:
        """Drop a request for quota that is no longer needed."""
        link.quota_requests.discard(number)
        self.quota_issuer.withdraw((id(link), number))

    def accept(self, link: AcceptedLink, frame: ForwardedRequest) -> None:
        """Start a request, or refuse it."""
        match self.admit_frame(link, frame):
            case Err(refused):
                link.send(refused)
                return
            case Ok(admitted):
                pass
        self.request_count += 1
        activity_id = str(self.request_count)
        self.activity.begin(activity_id)
        link.send(RequestAccepted(number=frame.number))
        task = asyncio.create_task(self.run_accepted(link, frame.number, admitted))
        link.running[frame.number] = task
        task.add_done_callback(lambda _: self.end(link, frame.number, activity_id))

    def admit_frame(
        self, link: AcceptedLink, frame: ForwardedRequest
    ) -> Result[AdmittedRequest, RequestRefused]:
        """Admit a request and keep its body, or build its refusal."""
        refused = self.refuse(frame)
        if refused is not None:
            return Err(refused)
        match self.admit(decode_request(frame, now())):
            case Err(failure):
                return Err(RequestRefused(number=frame.number, detail=failure.detail))
            case Ok(admitted):
                pass
        refused = self.take_memory(link, frame)
        if refused is None:
            # Only a request that could run is charged to its workspace.
            refused = self.refuse_excess(frame, admitted)
            if refused is not None:
                self.load.memory.end_use((id(link), frame.number))
        return Ok(admitted) if refused is None else Err(refused)

    def refuse(self, frame: ForwardedRequest) -> RequestRefused | None:
        """Build the refusal of a request that can't be run here; None if it can."""
        detail = self.reason_to_refuse(frame.version)
        return None if detail is None else RequestRefused(number=frame.number, detail=detail)

    def reason_to_refuse(self, version: int) -> str | None:
        """Return why no request of a version can be run here; None if requests can."""
        if self.draining:
            return "a planned stop has begun"
        if self.partitioned():
            return "no server can be reached"
        if self.version() != version:
            return f"version {self.version()} of the configuration is in force"
        return None

    def refuse_excess(
        self, frame: ForwardedRequest, admitted: AdmittedRequest
    ) -> RequestRefused | None:
        """Build the refusal of a request that there is no room for; None if there is."""
        late = self.lag.overloaded(now())
        within_share = self.accepts_share(admitted, late=late)
        if (within_share and not late) or self.must_run(frame):
            return None
        if late:
            detail = self.describe_lag()
            retry_after_s = self.lag.recovery_s(now())
        else:
            self.on_share_refused()
            detail, retry_after_s = SHARE_USED_UP, HEARTBEAT_INTERVAL_S
        return RequestRefused(number=frame.number, detail=detail, retry_after_s=retry_after_s)

    def preview(self, admitted: AdmittedRequest) -> str | None:
        """Return why a forwarded request without a body would be refused; None if it would run.

        Changes nothing.
        """
        request_class = class_of(admitted)
        reason = self.reason_to_refuse(admitted.version)
        if reason is not None:
            return reason
        if self.lag.overloaded(now()):
            return self.describe_lag()
        if request_class is not None and not self.admission.has_credit(request_class):
            return SHARE_USED_UP
        return None

    def describe_lag(self) -> str:
        """Describe how late this process is, for a refusal."""
        return f"the event loop is {self.lag.late_s(now()) * 1000:.0f} ms late"

    def take_memory(self, link: AcceptedLink, frame: ForwardedRequest) -> RequestRefused | None:
        """Keep the body of a request; return the refusal if there is no room."""
        if self.load.use((id(link), frame.number), len(frame.body)):
            return None
        return no_memory(frame.number)

    def accepts_share(self, admitted: AdmittedRequest, *, late: bool) -> bool:
        """Whether a request is within its workspace's part of what a busy process accepts."""
        request_class = class_of(admitted)
        return request_class is None or self.admission.accepts(request_class, late=late)

    def must_run(self, frame: ForwardedRequest) -> bool:
        """Whether a request runs here in spite of an overload, as no other instance is asked."""
        left_s = frame.must_end_in_s
        running = len(self.activity.running)
        return left_s is not None and self.lag.accepts_necessary(now(), left_s, running)

    async def run_accepted(
        self, link: AcceptedLink, number: int, admitted: AdmittedRequest
    ) -> None:
        """Run a request under the version that has admitted it, and send its result."""
        link.send(encode_result(number, await self.run_request(admitted)))

    def end(self, link: AcceptedLink, number: int, activity_id: str) -> None:
        """Forget a request that has ended."""
        task = link.running.pop(number)
        self.load.memory.end_use((id(link), number))
        self.activity.end(activity_id)
        if not task.cancelled() and task.exception() is not None:
            log.error(
                "A forwarded request failed with an unexpected error: {!r}.", task.exception()
            )
            link.writer.close()


def class_of(admitted: AdmittedRequest) -> RequestClass | None:
    """Return the class in which a busy process counts a request; None without a workspace."""
    workspace = admitted.request.workspace
    return None if workspace is None else RequestClass.of(admitted.route.priority, workspace)


def no_memory(number: int) -> RequestRefused:
    """Build the refusal of a request whose body there is no memory for."""
    return RequestRefused(number=number, detail="callers hold too much memory", no_room=True)
