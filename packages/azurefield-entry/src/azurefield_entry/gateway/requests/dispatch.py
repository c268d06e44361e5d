"""Decides where a request runs: here, on a coordinator, or on an instance that reaches servers."""

from __future__ import annotations

from itertools import chain
from random import Random
from typing import TYPE_CHECKING

from logbook import Logger
from msgspec import Struct
from msgspec.structs import replace
from result import Err, Ok

from azurefield.crash_evidence import Standing
from azurefield.failures import FailureKind, RequestFailure
from azurefield.model import Outcome
from azurefield.peer_selection import PeerSelection
from azurefield.reachability import ServerContacts
from azurefield_entry.clock import now
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.peers.forwarding import (
    Forwarding,
    ForwardProblem,
    ForwardTarget,
    lost_failure,
)
from azurefield_entry.gateway.requests.outcomes import (
    describe,
    no_allowed_server_failure,
    no_server_reachable_failure,
    refusal,
)
from azurefield_entry.gateway.requests.runner import RequestRunner
from azurefield_entry.gateway.servers.partition_watch import PartitionWatch

if TYPE_CHECKING:
    from collections.abc import Iterator

    from azurefield.routes import Route
    from azurefield_entry.gateway.ports import GatewayRequest
    from azurefield_entry.gateway.requests.running import RequestResult

# Coordinators, or other instances, that are asked to run one request.
TARGETS_MAX = 3
# In a partition, open connections are worth using if a server has answered within this time.
OPEN_CONNECTION_S = 1.0
# A request with less time left than this is not passed on.
TIME_LEFT_MIN_S = 0.02
log = Logger("gateway")


class RequestDispatcher(Struct, kw_only=True):
    """Dispatches the requests of callers; requests of other instances always run here.

    :param found_no_instance: whether no instance accepted the last request that was passed on
    """

    runner: RequestRunner
    forwarding: Forwarding
    peers: PeerSelection
    partition_watch: PartitionWatch
    contacts: ServerContacts
    metrics: GatewayMetrics
    random: Random
    found_no_instance: bool = False

    async def dispatch(self, request: GatewayRequest, route: Route, version: int) -> RequestResult:
        """Run a request and return its result; cancelling this cancels its calls."""
        if self.is_refused(request):
            return await self.runner.run(request, route, version)
        if self.lacks_allowed_servers(route):
            return Err(self.refuse_outside_regions(request, route))
        if may_outlast_stop(request, route):
            if not route.idempotent:
                return Err(shutting_down_failure())
            request = replace(request, deadline=request.stops_at)
        tried: list[str] = []
        coordinators = self.coordinators(route, tried)
        result = await self.run_on(coordinators, request, route, version, tried)
        if result is None and self.passes_on():
            result = await self.pass_on(request, route, version)
        if result is not None:
            return result
        if self.reaches_no_server:
            return Err(no_server_reachable_failure())
        return await self.run_here(request, route, version)

    @property
    def serving(self) -> bool:
        """Whether this instance can serve requests, itself or through others."""
        return not (self.partition_watch.partitioned and self.found_no_instance)

    def is_refused(self, request: GatewayRequest) -> bool:
        """Whether a request is refused because servers ended under it."""
        crash_watch = self.runner.crash_watch
        if not crash_watch.evidence.requests:
            return False
        return crash_watch.standing(request.content_digest) is Standing.REFUSED

    def lacks_allowed_servers(self, route: Route) -> bool:
        """Whether requests may run only in some regions and too few servers there are usable."""
        residency, directory = self.runner.planner.residency, self.runner.directory
        return route.allowed_regions is not None and not residency.has_servers(directory, route)

    def refuse_outside_regions(self, request: GatewayRequest, route: Route) -> RequestFailure:
        """Count and log a request that no server in an allowed region can run."""
        self.metrics.region_refusals.labels("request").inc()
        log.info(
            "Request id={} route={} workspace={} is refused: no usable server in the regions {}.",
            request.request_id,
            route.name,
            request.workspace_name,
            sorted(route.allowed_regions or ()),
        )
        return no_allowed_server_failure()

    def passes_on(self) -> bool:
        """Whether another instance should run the next request.

        After a partition, this instance takes its requests back gradually.
        """
        fraction = self.own_fraction()
        return fraction < 1.0 and self.random.random() >= fraction

    def own_fraction(self) -> float:
        """Return the fraction of its requests that this instance does not pass on."""
        return self.partition_watch.detector.own_fraction(now())

    @property
    def reaches_no_server(self) -> bool:
        """Whether this instance can run no request itself."""
        return self.partition_watch.partitioned and not self.open_connections_work()

    def open_connections_work(self) -> bool:
        """Whether servers still answer over connections that were opened before a partition."""
        return max(self.contacts.up_at.values(), default=0.0) > now() - OPEN_CONNECTION_S

    def coordinators(self, route: Route, tried: list[str]) -> Iterator[ForwardTarget]:
        """Choose coordinators one after the other; none if this instance runs the route itself.

        :param tried: those that are not asked again
        """
        for _ in range(TARGETS_MAX):
            coordinator = self.forwarding.choose(route, tried)
            if coordinator is None:
                return
            yield ForwardTarget(instance=coordinator)

    def other_instances(
        self, request: GatewayRequest, route: Route, tried: list[str]
    ) -> Iterator[ForwardTarget]:
        """Choose other instances one after the other, coordinators of the route if it has any.

        One that refuses because it is late may be asked again when no other is left.

        :param tried: those that are not asked again
        """
        deadline = request.deadline_on(route.timeout_s)
        for targets_left in reversed(range(TARGETS_MAX)):
            choice = self.peers.choose(now(), self.forwarding.profiles_for(route), tried)
            if choice is None or now() + TIME_LEFT_MIN_S >= deadline:
                return
            last = choice.only or targets_left == 0
            yield ForwardTarget(
                instance=choice.instance, accepts_until_deadline=True, last_choice=last
            )
            if last:
                tried.append(choice.instance)

    async def pass_on(
        self, request: GatewayRequest, route: Route, version: int
    ) -> RequestResult | None:
        """Let another instance run a request; None if none has accepted it."""
        tried: list[str] = []
        targets = self.other_instances(request, route, tried)
        first = next(targets, None)
        if first is None:
            # All are avoided for a while, or the time is over, which says nothing new of them.
            return None
        result = await self.run_on(chain([first], targets), request, route, version, tried)
        self.found_no_instance = result is None
        return result

    async def run_here(self, request: GatewayRequest, route: Route, version: int) -> RequestResult:
        """Run a request here; pass it on if a partition is detected meanwhile."""
        run = await self.runner.run_counted(request, route, version)
        if isinstance(run.result, Ok) or not self.may_run_again(
            request, route, run.attempts, run.result.err_value.outcome
        ):
            return run.result
        if not await self.partition_watch.confirmed():
            return run.result
        passed = await self.pass_on(replace(request, attempts_used=run.attempts), route, version)
        return run.result if passed is None else passed

    def may_run_again(
        self, request: GatewayRequest, route: Route, attempts: int, outcome: Outcome
    ) -> bool:
        """Whether a request that failed here after some attempts may still run elsewhere."""
        repeatable = route.idempotent or outcome is Outcome.NOT_RUN
        attempts_left = route.attempts_max is None or attempts < route.attempts_max
        in_time = now() + TIME_LEFT_MIN_S < request.deadline_on(route.timeout_s)
        return repeatable and attempts_left and in_time

    async def run_on(
        self,
        targets: Iterator[ForwardTarget],
        request: GatewayRequest,
        route: Route,
        version: int,
        tried: list[str],
    ) -> RequestResult | None:
        """Let the first of some instances that accepts a request run it.

        :param tried: gets those that have no memory for the request
        :return: the result; None if none has accepted it
        """
        for target in targets:
            result = await self.forward(target, request, route, version, tried)
            if result is not None:
                return result
        return None

    async def forward(
        self,
        target: ForwardTarget,
        request: GatewayRequest,
        route: Route,
        version: int,
        tried: list[str],
    ) -> RequestResult | None:
        """Let one instance run a request.

        :param tried: gets the instance if it has no memory for the request
        :return: the result; None if it was refused, so that it has not run
        """
        sent = await self.forwarding.forward(target, request, route, version)
        if isinstance(sent, Ok):
            label, result = "answered", sent.ok_value
        else:
            label, result = sent.err_value.problem, Err(lost_failure(sent.err_value))
        refused = False
        if isinstance(sent, Err):
            problem = sent.err_value
            refused = problem.problem is ForwardProblem.REFUSED
            if problem.no_room:
                tried.append(target.instance)
            elif refused or problem.link_lost:
                self.peers.on_refused(now(), target.instance, problem.retry_after_s)
        self.metrics.forwarded.labels(label).inc()
        if self.forwarding.view.is_distant(target.instance):
            self.metrics.forwarded_other_zone.inc()
        log.info(
            "Request id={} route={} version={} workspace={} ms={:.0f} forwarded_to={} refused={}"
            " result={}",
            request.request_id,
            route.name,
            version,
            request.workspace_name,
            (now() - request.arrived_at) * 1000,
            target.instance,
            refused,
            describe(result),
        )
        return None if refused else result


def may_outlast_stop(request: GatewayRequest, route: Route) -> bool:
    """Whether a request might still run when this instance stops."""
    stops_at = request.stops_at
    return stops_at is not None and request.deadline_on(route.timeout_s) > stops_at


def shutting_down_failure() -> RequestFailure:
    """Build the failure of a request that may run only once and might not end before the stop."""
    return refusal(FailureKind.SHUTTING_DOWN, "it might not end before the stop")
