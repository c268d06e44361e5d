"""The service ``gateway``: runs each request as a fan-out over registered backend servers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from logbook import Logger
from result import Err, Ok

from azurefield.coordinators import CoordinatorView
from azurefield.crash_evidence import CrashEvidence, CrashReport
from azurefield.directory import Directory, RegisteredServer
from azurefield.instances import RunningInstances
from azurefield.peer_selection import PeerSelection
from azurefield.residency import Residency
from azurefield.retry import WindowedBudget
from azurefield.routes import RouteTable
from azurefield.routing import OwnObservationRouter
from azurefield.server_limits import ServerLimits
from azurefield.warmup_limits import WarmupBound, WarmupLimits
from azurefield_entry.clock import now
from azurefield_entry.gateway import policies
from azurefield_entry.gateway.applied_settings import apply_settings
from azurefield_entry.gateway.crashes.broadcast import CrashBroadcast
from azurefield_entry.gateway.crashes.watch import CrashWatch
from azurefield_entry.gateway.messages import (
    MetadataChanged,
    MetadataListed,
    RouteTableChanged,
    SettingsChanged,
    Tick,
    WriteCrashReport,
)
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.peers.forwarding import Forwarding
from azurefield_entry.gateway.ports import (
    CrashReportEntry,
    EvacuatedZone,
    EvacuationKey,
    GatewayRequest,
    InstanceEntry,
    InstanceKey,
    Item,
    LeafDialect,
    Removed,
    ServerKey,
)
from azurefield_entry.gateway.quotas.server_quotas import ServerQuotas
from azurefield_entry.gateway.quotas.workspace_quotas import WorkspaceQuotas
from azurefield_entry.gateway.requests.access import AdmittedRequest, RequestAccess
from azurefield_entry.gateway.requests.dispatch import RequestDispatcher
from azurefield_entry.gateway.requests.planning import RequestPlanner
from azurefield_entry.gateway.requests.room import RequestRoom
from azurefield_entry.gateway.requests.runner import RequestRunner
from azurefield_entry.gateway.requests.server_reports import ServerReports
from azurefield_entry.gateway.requests.start_wait import wait_for_start
from azurefield_entry.gateway.requests.table_problems import log_problems
from azurefield_entry.gateway.servers.checker import ServerChecker
from azurefield_entry.gateway.servers.connections import ServerConnections
from azurefield_entry.gateway.servers.partition_watch import PartitionWatch
from azurefield_entry.gateway.servers.registry import ServerRegistry
from azurefield_entry.gateway.zone_traffic import ZoneTraffic
from azurefield_entry.kernel import Kernel, Stop, send_every
from azurefield_entry.notify import notify, notify_all

if TYPE_CHECKING:
    from azurefield_entry.gateway.crashes.frames import CrashReportFrame
    from azurefield_entry.gateway.requests.running import RequestResult
    from azurefield_entry.kernel import Mailbox

log = Logger("gateway")


@dataclass(slots=True, kw_only=True)
class GatewayService:
    """Owns the current route table, the server directory, the connections and running requests.

    The front calls ``handle`` directly. Sending a message to this service for each call to a
    backend server would cost more CPU time than the call itself.

    :param instance: the name of this instance
    :param further_calls_allowance: further calls (retries and hedges) that all instances together
        may send beyond the ratio
    :param warmup_bound: bound for servers that warm up; None for none
    :param residency: knows the region of each availability zone
    :param ready_event: set once a route table and a listing of the store are known
    :param store_contact_at: when the store last answered, directly or through a relay
    """

    instance: str
    availability_zone: str
    leaf_dialect: LeafDialect
    router: OwnObservationRouter
    budget: WindowedBudget
    metrics: GatewayMetrics
    further_calls_allowance: float = 0.0
    warmup_bound: WarmupBound | None = None
    residency: Residency = field(default_factory=Residency)
    table: RouteTable | None = None
    directory: Directory = field(default_factory=Directory)
    listing_received: bool = False
    ready_event: asyncio.Event = field(default_factory=asyncio.Event)
    instances: RunningInstances = field(init=False)
    crash_watch: CrashWatch = field(init=False)
    crash_broadcast: CrashBroadcast = field(init=False)
    partition_watch: PartitionWatch = field(init=False)
    connections: ServerConnections = field(init=False)
    forwarding: Forwarding = field(init=False)
    quotas: ServerQuotas = field(init=False)
    workspace_quotas: WorkspaceQuotas = field(init=False)
    access: RequestAccess = field(init=False)
    registry: ServerRegistry = field(init=False)
    planner: RequestPlanner = field(init=False)
    room: RequestRoom = field(init=False)
    runner: RequestRunner = field(init=False)
    dispatcher: RequestDispatcher = field(init=False)
    kernel: Kernel | None = None
    store_contact_at: float = float("-inf")

    def __post_init__(self) -> None:
        self.instances = RunningInstances(own=self.instance, grace_s=policies.INSTANCE_GRACE_S)
        self.connections = ServerConnections(
            dialect=self.leaf_dialect, directory=self.directory, metrics=self.metrics
        )
        self.forwarding = Forwarding(
            view=CoordinatorView(own=self.instance),
            router=OwnObservationRouter(
                random=self.router.random, failure_cost_s=self.router.failure_cost_s
            ),
            residency=self.residency,
            traffic=ZoneTraffic.of(self.availability_zone, self.metrics),
        )
        self.quotas = ServerQuotas(
            own=self.instance,
            limits=ServerLimits(),
            warmups=WarmupLimits(bound=self.warmup_bound),
            peers=self.forwarding.peers,
            instances=lambda: self.instances.names,
            metrics=self.metrics,
            listing_known=lambda: self.listing_received,
        )
        self.workspace_quotas = WorkspaceQuotas(
            own=self.instance, peers=self.forwarding.peers, metrics=self.metrics
        )
        self.crash_broadcast = CrashBroadcast(
            own=self.instance, peers=self.forwarding.peers, instances=lambda: self.instances.names
        )
        checker = ServerChecker(
            directory=self.directory,
            contacts=self.connections.contacts,
            random=self.router.random,
        )
        self.partition_watch = PartitionWatch(
            checker=checker,
            metrics=self.metrics,
            on_begin=lambda: self.runner.abandon_unreachable(),
        )
        self.connections.contacts.observer = self.partition_watch
        self.crash_watch = CrashWatch(
            evidence=CrashEvidence(),
            checker=checker,
            metrics=self.metrics,
            publish=self.publish_crash_report,
            refuse_running=lambda request: self.runner.refuse(request),
        )
        self.access = RequestAccess(metrics=self.metrics, store_age_s=self.store_age_s)
        self.registry = ServerRegistry(
            own_zone=self.availability_zone,
            directory=self.directory,
            router=self.router,
            connections=self.connections,
            checker=checker,
            quotas=self.quotas,
            metrics=self.metrics,
        )
        self.planner = RequestPlanner(
            directory=self.directory,
            residency=self.residency,
            router=self.router,
            budget=self.budget,
            limits=self.quotas.limits,
        )
        self.room = RequestRoom(metrics=self.metrics)
        self.runner = RequestRunner(
            directory=self.directory,
            connections=self.connections,
            planner=self.planner,
            crash_watch=self.crash_watch,
            metrics=self.metrics,
            store_age_s=self.store_age_s,
            quotas=self.quotas,
            room=self.room,
            reports=ServerReports(
                directory=self.directory,
                quotas=self.quotas,
                router=self.router,
                metrics=self.metrics,
            ),
            traffic=self.forwarding.traffic,
        )
        self.dispatcher = RequestDispatcher(
            runner=self.runner,
            forwarding=self.forwarding,
            peers=PeerSelection(
                own=self.instance,
                own_zone=self.availability_zone,
                router=self.forwarding.router,
                other_zone_penalty_s=policies.OTHER_ZONE_PENALTY_S,
            ),
            partition_watch=self.partition_watch,
            contacts=self.connections.contacts,
            metrics=self.metrics,
            random=self.router.random,
        )

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Apply changes of the store and of the settings until ``Stop``."""
        self.kernel = kernel
        ticking = asyncio.create_task(send_every(mailbox, Tick(), policies.TICK_INTERVAL_S))
        while True:
            message = await mailbox.receive()
            received_at = now()
            match message:
                case MetadataListed(listing=listing, after_outage=after_outage):
                    self.record_store_contact(received_at, 0.0, after_outage=after_outage)
                    self.apply_listing(received_at, listing.items)
                case MetadataChanged(changes=changes, after_outage=after_outage, age_s=age_s):
                    self.record_store_contact(received_at, age_s, after_outage=after_outage)
                    for item in changes.items:
                        self.apply_change(received_at, item)
                case SettingsChanged(settings=settings):
                    apply_settings(self, settings)
                case Tick():
                    self.tick(received_at)
                case Stop():
                    break
        ticking.cancel()
        self.quotas.close()
        self.crash_watch.close()
        self.partition_watch.close()
        self.crash_broadcast.close()
        self.forwarding.peers.close()
        self.connections.retire_all()

    @property
    def ready(self) -> bool:
        """Whether a route table and a listing of the store are known."""
        return self.table is not None and self.listing_received

    @property
    def serving(self) -> bool:
        """Whether requests can be served, here or through other instances."""
        return self.ready and self.dispatcher.serving

    def record_store_contact(self, now: float, age_s: float, *, after_outage: bool) -> None:
        """Record that the store answered ``age_s`` ago; 0 unless a relay forwarded the answer."""
        self.store_contact_at = now - age_s
        if after_outage:
            self.directory.on_outage_end(now)

    def apply_listing(self, now: float, items: tuple[Item, ...]) -> None:
        """Replace the known servers, instances and crash reports by a complete listing."""
        servers = {item.server: item for item in items if isinstance(item, RegisteredServer)}
        self.registry.list_evacuations(now, items)
        self.registry.apply_changes(now, self.directory.on_listing(now, servers))
        self.instances.on_listing(
            now, {item.instance for item in items if isinstance(item, InstanceEntry)}
        )
        for item in items:
            match item:
                case InstanceEntry():
                    self.forwarding.view.on_profile(item.profile)
                case CrashReportEntry(report=report):
                    self.crash_watch.on_report(report)
                case RouteTable():
                    self.apply_route_table(item)
        self.listing_received = True
        if self.ready:
            self.ready_event.set()
        self.divide_limits()

    def apply_change(self, now: float, item: Item | Removed) -> None:
        """Apply one change of the store."""
        match item:
            case RouteTable():
                self.apply_route_table(item)
            case RegisteredServer():
                self.registry.apply_changes(now, self.directory.on_entry(item))
            case InstanceEntry(instance=instance):
                self.instances.on_listed(instance)
                self.forwarding.view.on_profile(item.profile)
                self.divide_limits()
            case CrashReportEntry(report=report):
                self.crash_watch.on_report(report)
            case EvacuatedZone(zone=zone):
                self.registry.apply_evacuations(now, self.directory.on_evacuation(zone))
            case Removed(key=EvacuationKey(zone=zone)):
                ended = self.directory.on_evacuation_removed(zone)
                self.registry.apply_evacuations(now, ended)
            case Removed(key=ServerKey(server=server)):
                self.registry.apply_changes(now, self.directory.on_removed(now, server))
            case Removed(key=InstanceKey(instance=instance)):
                self.instances.on_removed(now, instance)

    def apply_route_table(self, table: RouteTable) -> None:
        """Switch to a route table with a higher version; others are ignored."""
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        if self.ready:
            self.ready_event.set()
        self.planner.retain_only(table)
        self.quotas.warmups.services = table.services
        self.divide_limits()
        self.metrics.version_in_force.set(table.version)
        log.info(
            "Configuration version {} is in force with {} routes.", table.version, len(table.routes)
        )
        log_problems(table, self.residency)
        if self.kernel is not None:
            notify_all(self.kernel, RouteTableChanged(table=table))

    def tick(self, now: float) -> None:
        """Expire old entries and adjust the hedge delays; runs every ``TICK_INTERVAL_S``."""
        self.registry.expire(now)
        self.crash_watch.evidence.expire(now)
        if self.instances.expire(now):
            self.forwarding.retain_only(self.instances.names)
            self.dispatcher.peers.retain_only(self.instances.names)
            self.divide_limits()
        if self.table is not None:
            self.planner.tick(now, self.table)
            self.update_coordinators(self.table)

    def update_coordinators(self, table: RouteTable) -> None:
        """Decide again which requests are forwarded, and divide the connections accordingly."""
        if self.forwarding.update(table, self.directory, len(self.instances)):
            self.divide_limits()

    def divide_limits(self) -> None:
        """Set this instance's share of the connection limits and of the further calls."""
        self.metrics.instances.set(len(self.instances))
        allowance = 0.0
        if self.instances.known:
            allowance = policies.FURTHER_CALLS_ALLOWANCE_FRACTION * self.further_calls_allowance
        self.budget.allowance = allowance / len(self.instances)
        self.budget.leaf_allowances = (
            {} if self.table is None else self.forwarding.allowances(self.table, allowance)
        )
        limits = {} if self.table is None else self.table.services
        self.connections.set_limits(
            limits,
            len(self.instances) if self.instances.known else None,
            {} if self.table is None else self.forwarding.connection_shares(self.table),
        )

    async def handle(self, request: GatewayRequest) -> RequestResult:
        """Run one request, here or on another instance, and return its result.

        Cancelling this cancels the request's calls.
        """
        if not self.ready:
            await wait_for_start(self.ready_event, request)
        match self.access.admit(request, self.table if self.listing_received else None):
            case Err(failure):
                return Err(failure)
            case Ok(admitted):
                result = await self.run_admitted(admitted)
        self.access.results.record(admitted.request.workspace, result)
        return result

    async def run_admitted(self, admitted: AdmittedRequest) -> RequestResult:
        """Run an admitted request, here or on another instance, if its quota is not used up."""
        request, route, version = admitted.request, admitted.route, admitted.version
        refused = await self.workspace_quotas.admit(request, version, route.goal_s)
        if refused is not None:
            return Err(refused)
        return await self.dispatcher.dispatch(request, route, version)

    async def run_forwarded(self, admitted: AdmittedRequest) -> RequestResult:
        """Run a request that another instance has forwarded."""
        return await self.runner.run(admitted.request, admitted.route, admitted.version)

    def publish_crash_report(self, report: CrashReport) -> None:
        """Send a crash report to all instances, directly and through the store."""
        self.crash_broadcast.send(report)
        if self.kernel is not None:
            notify(self.kernel, "metadata", WriteCrashReport(report=report))

    def on_crash_report_frame(self, frame: CrashReportFrame) -> None:
        """Apply a crash report that another instance has sent, and forward it if asked to."""
        self.crash_watch.on_report(frame.report)
        self.crash_broadcast.forward(frame)

    def store_age_s(self) -> float:
        """Return the time since the store last answered."""
        return now() - self.store_contact_at
