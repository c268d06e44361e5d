"""Service ``membership``: instances, leaving backend servers, connection ceilings, isolation."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

import logbook
from msgspec import Struct
from msgspec import field as struct_field
from result import Err, Ok

from azurefield.limits import ConnectionShares
from azurefield.membership import (
    InstanceState,
    InstanceView,
    IsolationMonitor,
    LeavingReportSource,
    LeavingServerTracker,
)
from azurefield_entry.kernel import BeginDrain, Stop, send_every
from azurefield_entry.membership.heartbeats import OwnReport, to_heartbeat
from azurefield_entry.membership.instance_list import (
    InstanceList,
    InstanceListRead,
    poll_instance_list,
)
from azurefield_entry.messages import (
    CeilingsChanged,
    ConfigurationChanged,
    ConnectionsOpen,
    LeavingServersChanged,
    LinkChanged,
    MemberUse,
    PeerAddressesChanged,
    PeerFrame,
    PeerInfo,
    PeersChanged,
    ReadinessChanged,
    SendToPeer,
    ServerLeaving,
    StatusReceived,
    StoreContacted,
)
from azurefield_entry.peers.frames import (
    HeartbeatFields,
    LeavingServerFields,
    fields_dict,
    parse_fields,
)
from azurefield_entry.peers.identity import Identity

if TYPE_CHECKING:
    from azurefield_entry.kernel import Kernel, Mailbox

log = logbook.Logger("membership")

TICK_INTERVAL_S = 0.25
HEARTBEAT_INTERVAL_S = 1.0


class Tick(Struct, kw_only=True, frozen=True):
    """To this service: a periodic timer event."""


class Published(Struct, kw_only=True):
    """What was last published to the other services; only changes are published."""

    addresses: dict[str, str] = struct_field(default_factory=dict)
    peers: tuple[PeerInfo, ...] | None = None
    leaving: frozenset[str] = frozenset()
    revision: int = 0
    readiness: dict[str, bool] = struct_field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class MembershipService:
    """Passes the instance list, heartbeats and leaving reports to the library.

    It publishes the decisions of the library to the other services. It also sends the heartbeats,
    because the ceilings in a heartbeat belong to its sequence number.

    ``leaving_since`` holds when each leaving backend server was marked. ``links`` holds the
    incarnation of each instance whose link is up.
    """

    identity: Identity
    instance_list: InstanceList
    rng: Random
    view: InstanceView = field(init=False)
    shares: ConnectionShares = field(init=False)
    own_report: OwnReport = field(init=False)
    isolation: IsolationMonitor = field(init=False)
    leaving_tracker: LeavingServerTracker = field(default_factory=LeavingServerTracker)
    leaving_since: dict[str, float] = field(default_factory=dict)
    links: dict[str, str] = field(default_factory=dict)
    published: Published = field(default_factory=Published)
    next_heartbeat_at: float = 0.0

    def __post_init__(self) -> None:
        self.view = InstanceView(instance=self.identity.instance)
        self.own_report = OwnReport(identity=self.identity)

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Handle messages until ``Stop``."""
        loop = asyncio.get_running_loop()
        self.start_timers(loop.time())
        async with asyncio.TaskGroup() as group:
            background_tasks = (
                group.create_task(poll_instance_list(self.instance_list, mailbox, self.rng)),
                group.create_task(send_every(mailbox, Tick(), TICK_INTERVAL_S)),
            )
            try:
                while not isinstance(message := await mailbox.receive(), Stop):
                    self.handle(kernel, loop.time(), message)
            finally:
                for task in background_tasks:
                    task.cancel()

    def start_timers(self, now: float) -> None:
        """Create the isolation monitor and connection shares, whose timers begin at the start."""
        self.isolation = IsolationMonitor(last_contact=now)
        self.shares = ConnectionShares(
            instance=self.identity.instance,
            incarnation=self.identity.incarnation,
            started_at=now,
        )

    def handle(self, kernel: Kernel, now: float, message: object) -> None:
        """Handle one message and publish what it changed."""
        match message:
            case Tick():
                self.on_tick(kernel, now)
            case InstanceListRead():
                self.view.on_list(now, message.entries)
                for server in self.leaving_tracker.on_list(
                    live=message.live_servers, leaving=message.leaving_servers
                ):
                    self.send_leaving_report(
                        kernel, now, server, None, LeavingReportSource.INSTANCE_LIST
                    )
            case PeerFrame(type="heartbeat"):
                self.on_heartbeat(now, message)
            case LinkChanged():
                self.on_link(kernel, now, message)
            case ConnectionsOpen():
                self.shares.on_open_connections(message.revision, message.connections)
            case MemberUse(use=use):
                self.own_report.member_use = use
            case StoreContacted():
                self.own_report.store_contact_at = now
                self.isolation.on_contact(now)
            case ConfigurationChanged():
                self.on_configuration(message)
            case BeginDrain():
                self.own_report.state = InstanceState.LEAVING
                self.send_heartbeat(kernel, now)
            case _:
                self.on_server_message(kernel, now, message)
        self.publish_leaving(kernel, now)

    def on_server_message(self, kernel: Kernel, now: float, message: object) -> None:
        """Handle a message about the state of a backend server."""
        match message:
            case StatusReceived(report=report):
                if self.leaving_tracker.on_status(report):
                    source = LeavingReportSource.STATUS
                    self.send_leaving_report(kernel, now, report.server, report.incarnation, source)
            case ServerLeaving(server=server, incarnation=incarnation):
                if self.leaving_tracker.report(server, incarnation, LeavingReportSource.REFUSAL):
                    self.send_leaving_report(
                        kernel, now, server, incarnation, LeavingReportSource.REFUSAL
                    )
            case PeerFrame(type="news"):
                match parse_fields(LeavingServerFields, message.fields):
                    case Ok(fields) if fields.backend_server in self.shares.limits:
                        self.leaving_tracker.report(
                            fields.backend_server, fields.incarnation, LeavingReportSource.PEER
                        )

    def on_tick(self, kernel: Kernel, now: float) -> None:
        """Publish what has changed with time, and send a heartbeat if one is due."""
        self.shares.set_others(now, frozenset(self.view.others(now)))
        self.publish_ceilings(kernel, now)
        if now >= self.next_heartbeat_at:
            self.send_heartbeat(kernel, now)
        self.publish_peers(kernel, now)
        isolated = self.isolation.isolated(now, others_listed_live=self.view.others_listed_live())
        self.publish_readiness(
            kernel, "isolation", not isolated, "no contact with the store or a peer for 5 s"
        )

    def on_heartbeat(self, now: float, message: PeerFrame) -> None:
        """Process a heartbeat; one from another incarnation than the linked one is ignored."""
        match parse_fields(HeartbeatFields, message.fields):
            case Err(error):
                log.warning(
                    "ignored a malformed heartbeat of {}: {}", message.instance, error.detail
                )
            case Ok(fields) if self.links.get(message.instance) == fields.incarnation:
                heartbeat = to_heartbeat(message.instance, fields)
                self.view.on_heartbeat(now, heartbeat)
                self.shares.on_heartbeat(now, heartbeat)
                self.isolation.on_contact(now)

    def on_link(self, kernel: Kernel, now: float, change: LinkChanged) -> None:
        """Record a change of a link; a new one gets a heartbeat and all leaving servers."""
        if not change.linked:
            if self.links.get(change.instance) == change.incarnation:
                del self.links[change.instance]
            self.publish_peers(kernel, now)
            return
        self.links[change.instance] = change.incarnation
        self.send_heartbeat(kernel, now)
        for server, mark in self.leaving_tracker.leaving.items():
            for incarnation in sorted(mark.incarnations):
                self.send_leaving_report(
                    kernel,
                    now,
                    server,
                    incarnation,
                    LeavingReportSource.PEER,
                    recipient=change.instance,
                )

    def on_configuration(self, changed: ConfigurationChanged) -> None:
        """Apply the connection limits of the configuration in force.

        A backend server that several services name gets the lowest of its limits.
        """
        limits: dict[str, int] = {}
        for service in changed.configuration.services.values():
            for server in service.backend_servers:
                limit = limits.get(server.name, server.connection_limit)
                limits[server.name] = min(limit, server.connection_limit)
        self.own_report.on_configuration(changed)
        self.shares.set_limits(limits)
        self.leaving_tracker.retain_only(frozenset(limits))

    def send_heartbeat(self, kernel: Kernel, now: float) -> None:
        """Send one heartbeat to all linked instances."""
        sequence, ceilings = self.shares.publish()
        fields = self.own_report.heartbeat_fields(now, sequence, ceilings, self.view.known(now))
        kernel.lookup("peers").send(SendToPeer(instance=None, type="heartbeat", fields=fields))
        self.next_heartbeat_at = now + HEARTBEAT_INTERVAL_S

    def send_leaving_report(
        self,
        kernel: Kernel,
        now: float,
        server: str,
        incarnation: str | None,
        source: LeavingReportSource,
        *,
        recipient: str | None = None,
    ) -> None:
        """Report a leaving backend server to ``recipient``, or to all peers if it is None."""
        fields = LeavingServerFields(
            backend_server=server,
            incarnation=incarnation,
            state="leaving",
            source=source.value,
            at_age_ms=max(0, int((now - self.leaving_since.get(server, now)) * 1000)),
        )
        kernel.lookup("peers").send(
            SendToPeer(instance=recipient, type="news", fields=fields_dict(fields))
        )

    def publish_leaving(self, kernel: Kernel, now: float) -> None:
        """Publish to ``query`` which backend servers get no new work."""
        servers = self.leaving_tracker.servers()
        if servers == self.published.leaving:
            return
        for server in servers - self.published.leaving:
            self.leaving_since[server] = now
            log.info("backend server {} is leaving and gets no new calls", server)
        for server in self.published.leaving - servers:
            self.leaving_since.pop(server, None)
            log.info("backend server {} is no longer marked as leaving", server)
        self.published.leaving = servers
        kernel.send_to(("query",), LeavingServersChanged(servers=servers))

    def publish_ceilings(self, kernel: Kernel, now: float) -> None:
        """Publish to ``backends`` how many connections to each backend server may be open."""
        grant = self.shares.update(now)
        if grant.revision == self.published.revision:
            return
        self.published.revision = grant.revision
        changed = CeilingsChanged(revision=grant.revision, ceilings=grant.ceilings)
        kernel.send_to(("backends",), changed)
        usable = any(grant.ceilings.values())
        self.publish_readiness(
            kernel, "connections", usable, "no share of the connections to backend servers yet"
        )

    def publish_peers(self, kernel: Kernel, now: float) -> None:
        """Publish which instances are known and which links are up."""
        others = self.view.others(now)
        peers = tuple(
            PeerInfo(
                instance=name,
                incarnation=self.links.get(name, entry.incarnation),
                peer_address=entry.peer_address,
                availability_zone=entry.availability_zone,
                linked=name in self.links,
                leaving=entry.state is InstanceState.LEAVING,
            )
            for name, entry in sorted(others.items())
        )
        addresses = {entry.instance: entry.peer_address for entry in peers if entry.peer_address}
        if addresses != self.published.addresses:
            self.published.addresses = addresses
            kernel.send_to(("peers",), PeerAddressesChanged(addresses=addresses))
        if peers != self.published.peers:
            self.published.peers = peers
            names = ("backends", "bookings", "configuration", "front", "admin")
            kernel.send_to(names, PeersChanged(peers=peers))

    def publish_readiness(self, kernel: Kernel, part: str, ready: bool, reason: str) -> None:
        """Publish whether a part of the instance is ready for requests."""
        if self.published.readiness.get(part) is ready:
            return
        self.published.readiness[part] = ready
        message = ReadinessChanged(part=part, ready=ready, reason="" if ready else reason)
        kernel.send_to(("admin", "front"), message)
