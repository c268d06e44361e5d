"""Runs requests on the backend servers: executes the actions of their fan-outs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from logbook import Logger
from msgspec import Struct, field
from result import Err, Ok, Result

from azurefield.crash_evidence import Standing
from azurefield.directory import Directory
from azurefield.failures import FailureKind, LeafFailure, LeafFailureReason, RequestFailure
from azurefield.leaf_progress import CallStage
from azurefield.model import Outcome
from azurefield.query_actions import CancelLeafCall, Finished, SendLeafCall, WakeAt
from azurefield_entry.clock import now
from azurefield_entry.gateway import policies
from azurefield_entry.gateway.crashes.watch import CrashWatch
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.ports import GatewayRequest, LeafCall, LeafConnection, OpaqueAnswer
from azurefield_entry.gateway.quotas.server_quotas import ServerQuotas
from azurefield_entry.gateway.requests.outcomes import (
    crashing_request_failure,
    describe,
    not_sent,
    priority_label,
)
from azurefield_entry.gateway.requests.planning import RequestPlanner
from azurefield_entry.gateway.requests.room import RequestRoom
from azurefield_entry.gateway.requests.running import (
    ActiveCall,
    CompletedRun,
    RequestResult,
    RunningRequest,
    SentCall,
    record_reply,
)
from azurefield_entry.gateway.requests.server_reports import ServerReports
from azurefield_entry.gateway.servers.connections import ServerConnections
from azurefield_entry.gateway.zone_traffic import ZoneTraffic, kind_of_call
from azurefield_entry.logs import describe_error

if TYPE_CHECKING:
    from azurefield.directory import RegisteredServer
    from azurefield.query_actions import Action
    from azurefield.routes import Route

log = Logger("gateway")


class RequestRunner(Struct, kw_only=True):
    """Owns the running requests and their calls.

    :param room: the calls that running requests may need together
    :param reports: what servers say of themselves in their answers
    :param running: the running requests, by their digest
    :param store_age_s: returns the time since the store last answered, for the log
    :param traffic: counts the bytes exchanged with other zones; None not to count them
    """

    directory: Directory
    connections: ServerConnections
    planner: RequestPlanner
    crash_watch: CrashWatch
    metrics: GatewayMetrics
    store_age_s: Callable[[], float]
    quotas: ServerQuotas
    room: RequestRoom
    reports: ServerReports
    traffic: ZoneTraffic | None = None
    active_calls: dict[str, ActiveCall] = field(default_factory=dict)
    running: dict[str, list[RunningRequest]] = field(default_factory=dict)

    async def run(self, request: GatewayRequest, route: Route, version: int) -> RequestResult:
        """Run a request on the backend servers; cancelling this cancels the request's calls."""
        return (await self.run_counted(request, route, version)).result

    async def run_counted(
        self, request: GatewayRequest, route: Route, version: int
    ) -> CompletedRun:
        """Run a request and count its attempts, if there is room for its calls."""
        taken = self.room.take(request, route)
        if isinstance(taken, Err):
            return CompletedRun(result=taken)
        try:
            return await self.run_with_room(request, route, version)
        finally:
            self.room.limit.end(taken.ok_value)

    async def run_with_room(
        self, request: GatewayRequest, route: Route, version: int
    ) -> CompletedRun:
        """Run a request and count its attempts."""
        started_at = now()
        digest = request.content_digest
        standing = self.crash_watch.standing(digest)
        if standing is Standing.REFUSED:
            return CompletedRun(result=Err(self.refusal(request, digest)))
        running = RunningRequest(
            request=request,
            digest=digest,
            route=route,
            version=version,
            fan_out=self.planner.fan_out(
                started_at, request, route, version, suspect=standing is Standing.SUSPECT
            ),
            result_future=asyncio.get_running_loop().create_future(),
            standing=standing,
        )
        self.running.setdefault(digest, []).append(running)
        self.execute_actions(running, running.fan_out.start(started_at))
        try:
            result = await running.result_future
        except asyncio.CancelledError:
            self.execute_actions(running, running.fan_out.cancel(now()))
            self.record_run(running, "cancelled", cancelled=True)
            raise
        finally:
            running.clear_wake_up()
            self.remove(running)
        self.record_run(running, describe(result), cancelled=False)
        return CompletedRun(result=result, attempts=max(running.attempts.values(), default=0))

    def remove(self, running: RunningRequest) -> None:
        """Remove a request that no longer runs."""
        same = self.running[running.digest]
        same.remove(running)
        if not same:
            del self.running[running.digest]

    def refusal(self, request: GatewayRequest, digest: str) -> RequestFailure:
        """Log and build the failure of a request that ends servers."""
        log.warning(
            "Request id={} is refused: servers ended under its content (digest {}): {}.",
            request.request_id,
            digest,
            ", ".join(self.crash_watch.evidence.servers(digest)),
        )
        return crashing_request_failure()

    def refuse(self, digest: str) -> None:
        """End all runs of a request that is refused from now on."""
        for running in [*self.running.get(digest, ())]:
            if not running.result_future.done():
                failure = self.refusal(running.request, digest)
                self.execute_actions(running, running.fan_out.cancel(now()))
                running.result_future.set_result(Err(failure))

    def abandon_unreachable(self) -> None:
        """End the runs that no server has answered, at the begin of a partition.

        Requests that may not be repeated wait on if they may have run.
        """
        for running in [run for runs in self.running.values() for run in runs]:
            repeatable = running.route.idempotent or not running.may_have_run
            if repeatable and not running.answered_services and not running.result_future.done():
                failure = RequestFailure(
                    kind=FailureKind.LEAF_UNAVAILABLE,
                    outcome=Outcome.MAY_HAVE_RUN if running.may_have_run else Outcome.NOT_RUN,
                    detail="this instance reaches no server",
                )
                self.execute_actions(running, running.fan_out.cancel(now()))
                running.result_future.set_result(Err(failure))

    def record_run(self, running: RunningRequest, result: str, *, cancelled: bool) -> None:
        """Log how a request ended, and look for servers that ended under it."""
        lost = sorted({call.server for call in running.sent_calls.values() if call.lost})
        if lost:
            log.info(
                "Request id={} (digest {}) lost its calls to {}; these services answered: {}.",
                running.request.request_id,
                running.digest,
                ",".join(lost),
                ",".join(sorted(running.answered_services)) or "none",
            )
        self.crash_watch.on_run_ended(running, cancelled=cancelled)
        self.record_result(running, result)

    def execute_actions(self, running: RunningRequest, actions: list[Action[Any]]) -> None:
        """Execute the actions that a fan-out returned."""
        for action in actions:
            match action:
                case SendLeafCall():
                    task = asyncio.create_task(self.run_leaf_call(running, action))
                    self.active_calls[action.call_id] = ActiveCall(task=task)
                    running.fan_out.set_stage(action.call_id, CallStage.WAITING)
                case CancelLeafCall(call_id=call_id):
                    self.cancel_call(call_id)
                case WakeAt(at=at):
                    running.set_wake_up(at, self.on_wake_up)
                case Finished(result=result):
                    running.clear_wake_up()
                    if not running.result_future.done():
                        running.result_future.set_result(result)

    def on_wake_up(self, running: RunningRequest) -> None:
        """Run the steps of a fan-out that are due now."""
        running.wake_up = running.wake_at = None
        self.execute_actions(running, running.fan_out.on_tick(now()))

    def cancel_call(self, call_id: str) -> None:
        """Cancel a call whose answer is no longer needed.

        A call that has a connection gets ``SUPERSEDED_CALL_GRACE_S`` to finish, since cancelling it
        would close the connection.
        """
        call = self.active_calls.get(call_id)
        if call is None:
            return
        if call.connection is not None:
            asyncio.get_running_loop().call_later(
                policies.SUPERSEDED_CALL_GRACE_S, call.task.cancel
            )
        else:
            call.task.cancel()

    async def run_leaf_call(self, running: RunningRequest, action: SendLeafCall) -> None:
        """Make one call and pass its result to the fan-out."""
        began = now()
        try:
            result = await self.exchange(running, action)
        except Exception as error:
            # Without a result the request would wait for this call until its deadline.
            log.error("A call to server {} failed: {}.", action.server, describe_error(error))
            sent = self.active_calls[action.call_id].sent_at is not None
            result = Err(
                LeafFailure(
                    reason=LeafFailureReason.CONNECTION_LOST,
                    outcome=Outcome.MAY_HAVE_RUN if sent else Outcome.NOT_RUN,
                    detail="unexpected error",
                )
            )
        finally:
            call = self.active_calls.pop(action.call_id)
            call.stop_watching()
        ended_at = now()
        if call.sent_at is not None:
            self.reports.record_limit(action.server, result, call.sent_at)
            self.reports.record_load(ended_at, action.server, result)
            record_reply(running, action.call_id, result)
        match result:
            case Ok(answer):
                label = str(answer.status)
                self.connections.contacts.on_answered(ended_at, action.server)
                actions = running.fan_out.on_answer(ended_at, action.call_id, answer)
            case Err(failure):
                label = failure.reason
                self.record_call_failure(action.server, failure)
                actions = running.fan_out.on_failure(ended_at, action.call_id, failure)
        self.metrics.leaf_calls.labels(label).inc()
        running.record_call(action.server, label, ended_at - began)
        self.execute_actions(running, actions)

    async def exchange(
        self, running: RunningRequest, action: SendLeafCall
    ) -> Result[OpaqueAnswer, LeafFailure]:
        """Make one call over a connection from the server's pool."""
        kind = kind_of_call(running.fan_out.progress[action.leaf])
        found = await self.wait_for_token(running, action)
        if isinstance(found, Err):
            return found
        entry = found.ok_value
        pool = self.connections.pool(entry)
        if running.standing is Standing.SUSPECT:
            connection = pool.open_fresh()
        else:
            acquired = await pool.acquire(
                request_class=running.request_class,
                deadline=min(action.deadline, now() + self.connection_wait_s(running.route)),
                avoid=running.carried_by,
            )
            if isinstance(acquired, Err):
                return acquired
            connection = acquired.ok_value
        self.active_calls[action.call_id].connection = connection
        running.fan_out.set_stage(action.call_id, CallStage.CONNECTING)
        before = connection.bytes_exchanged
        try:
            if not await connection.open():
                return Err(not_sent(LeafFailureReason.CONNECT_FAILED))
            if isinstance(refused := self.check_before_sending(running, action), Err):
                return refused
            self.record_sent(running, action, connection)
            call = LeafCall(request=running.request, server=action.server, deadline=action.deadline)
            return await connection.exchange(call)
        finally:
            pool.release(connection, reusable=True)
            if self.traffic is not None:
                exchanged = connection.bytes_exchanged - before
                self.traffic.record(kind, entry.availability_zone, exchanged)

    async def wait_for_token(
        self, running: RunningRequest, action: SendLeafCall
    ) -> Result[RegisteredServer, LeafFailure]:
        """Wait until a call may be sent, and return the entry that its server has then."""
        found = self.find_entry(running, action.server)
        if isinstance(found, Err):
            return found
        if not await self.quotas.acquire(found.ok_value, running.route.priority, action.start_by):
            return Err(not_sent(LeafFailureReason.RATE_LIMITED))
        return self.find_entry(running, action.server)

    def check_before_sending(
        self, running: RunningRequest, action: SendLeafCall
    ) -> Result[None, LeafFailure]:
        """Check again, after the wait for a connection, that a call may be sent."""
        if running.fan_out.leaf_of_pending_call(action.call_id) is None:
            # The request has ended meanwhile, perhaps with the answer that it has not run.
            return Err(not_sent(LeafFailureReason.CANCELLED))
        if self.directory.is_evacuated(action.server):
            self.metrics.evacuated_calls.inc()
            return Err(not_sent(LeafFailureReason.EVACUATED))
        if running.route.allowed_regions is None:
            return Ok(None)
        return self.find_entry(running, action.server).map(lambda _: None)

    def find_entry(
        self, running: RunningRequest, server: str
    ) -> Result[RegisteredServer, LeafFailure]:
        """Return the entry of a server, which may have moved or ended since it was chosen."""
        entry = self.directory.servers.get(server)
        if entry is None:
            return Err(not_sent(LeafFailureReason.NO_SERVER))
        zone, allowed = entry.availability_zone, running.route.allowed_regions
        if self.planner.residency.allows(zone, allowed):
            return Ok(entry)
        self.metrics.region_refusals.labels("call").inc()
        log.info(
            "Request id={}: server {} is no longer in an allowed region.",
            running.request.request_id,
            server,
        )
        return Err(not_sent(LeafFailureReason.OUTSIDE_REGIONS))

    def record_sent(
        self, running: RunningRequest, action: SendLeafCall, connection: LeafConnection
    ) -> None:
        """Record that a call is sent now, over an open connection."""
        running.carried_by.append(connection)
        active = self.active_calls[action.call_id]
        active.sent_at = now()
        running.fan_out.set_stage(action.call_id, CallStage.SENT)
        sent = SentCall(server=action.server, service=action.leaf, sent_at=active.sent_at)
        running.sent_calls[action.call_id] = sent
        running.attempts[action.leaf] += 1
        self.crash_watch.on_call_sent(running, sent, active)

    def connection_wait_s(self, route: Route) -> float:
        """Return how long a call may wait for a connection."""
        if route.goal_s is None:
            return policies.CONNECTION_WAIT_S
        return policies.CONNECTION_WAIT_FRACTION * route.goal_s

    def record_call_failure(self, server: str, failure: LeafFailure) -> None:
        """Update what is known of a server after a failed call."""
        if failure.reason is LeafFailureReason.CONNECT_FAILED:
            self.connections.contacts.on_open_failed(server)
        if failure.reason is not LeafFailureReason.WRONG_SERVER:
            return
        if self.directory.on_misdirected(server):
            log.info(
                "Another server answers at the address of server {};"
                " it gets no calls until its entry changes.",
                server,
            )
            self.connections.retire(server)

    def record_result(self, running: RunningRequest, result: str) -> None:
        """Log the result of a request and count it in the metrics."""
        elapsed_s = now() - running.request.arrived_at
        self.metrics.requests.labels(result.partition(" ")[0]).inc()
        label = priority_label(running.route.priority)
        self.metrics.request_seconds.labels(label).observe(elapsed_s)
        log.info(
            "Request id={} route={} version={} workspace={} store_age_ms={:.0f} ms={:.0f} result={}"
            " calls={}",
            running.request.request_id,
            running.route.name,
            running.version,
            running.request.workspace_name,
            self.store_age_s() * 1000,
            elapsed_s * 1000,
            result,
            ",".join(running.logged_calls),
        )
