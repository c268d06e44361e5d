from __future__ import annotations

from random import Random
from typing import TypeVar

import pytest
from msgspec.structs import replace
from result import Err, Result

from azurefield.limits import JOIN_WAIT_S
from azurefield.membership import ISOLATION_TIMEOUT_S, InstanceState, KnownInstance
from azurefield.model import BackendServer, Configuration, ServiceConfig
from azurefield.snapshot import ServerState, StatusReport
from azurefield_entry.kernel import BeginDrain, Kernel
from azurefield_entry.membership.instance_list import InstanceListRead, split_by_role
from azurefield_entry.membership.service import MembershipService, Tick
from azurefield_entry.messages import (
    CeilingsChanged,
    ConfigurationChanged,
    ConnectionsOpen,
    LeavingServersChanged,
    LinkChanged,
    PeerAddressesChanged,
    PeerFrame,
    PeersChanged,
    ReadinessChanged,
    SendToPeer,
    ServerLeaving,
    StatusReceived,
    StoreContacted,
)
from azurefield_entry.peers.frames import HeartbeatFields, LeavingServerFields, fields_dict
from azurefield_entry.peers.identity import Identity
from azurefield_platform.failures import ListFailure, PlatformUnavailable
from azurefield_platform.instances import InstanceRole, ListedInstance
from azurefield_platform.instances import InstanceState as PlatformState

Message = TypeVar("Message")
SERVER = BackendServer(
    name="s", address="s:1", availability_zone="z", connection_limit=30, slots=3, connect_cost_ms=1
)
CONFIGURATION = ConfigurationChanged(
    configuration=Configuration(
        version=4,
        services={
            "x": ServiceConfig(name="x", backend_servers=(SERVER,), members=(), kinds=()),
            "y": ServiceConfig(
                name="y",
                backend_servers=(replace(SERVER, connection_limit=12),),
                members=(),
                kinds=(),
            ),
        },
    ),
    digest="d4",
)
LEAVING_SERVER = LeavingServerFields(
    backend_server="s", incarnation="1", state="leaving", source="refusal", at_age_ms=0
)


class UnreadableList:
    """Instance list that can't be read; the tests send the lists to the service themselves."""

    async def instances(self) -> Result[tuple[ListedInstance, ...], ListFailure]:
        return Err(PlatformUnavailable(detail="no platform"))


class ServiceDriver:
    """The service with time and messages that the test controls."""

    def __init__(self) -> None:
        identity = Identity(
            instance="a", incarnation="a1", availability_zone="z", peer_address="a:1"
        )
        self.service = MembershipService(
            identity=identity, instance_list=UnreadableList(), rng=Random(1)
        )
        self.kernel = Kernel()
        for name in ("peers", "query", "backends", "front", "configuration"):
            self.kernel.register(name, self.service)
        self.service.start_timers(0.0)
        self.handle(0.0, CONFIGURATION)

    def handle(self, now: float, *messages: object) -> None:
        for message in messages:
            self.service.handle(self.kernel, now, message)

    def received(self, name: str, kind: type[Message]) -> list[Message]:
        """Empty the mailbox of a service and return its messages of one type."""
        queue = self.kernel.lookup(name).queue
        messages = [queue.get_nowait() for _ in range(queue.qsize())]
        return [message for message in messages if isinstance(message, kind)]


def heartbeat_frame(
    sequence: int, acknowledged: int, claim: int, incarnation: str = "b1"
) -> PeerFrame:
    known = KnownInstance(
        incarnation="a1",
        sequence=acknowledged,
        peer_address="a:1",
        availability_zone="z",
        state=InstanceState.LIVE,
    )
    fields = HeartbeatFields(
        incarnation=incarnation,
        sequence=sequence,
        peer_address="b:1",
        availability_zone="z",
        state=InstanceState.LIVE,
        version=4,
        digest="d4",
        store_age_ms=None,
        known={"a": known},
        ceilings={"s": claim},
        member_use={},
    )
    return PeerFrame(instance="b", type="heartbeat", fields=fields_dict(fields))


def listed(
    *names: str, state: PlatformState = PlatformState.LIVE, role: str = "entry"
) -> InstanceListRead:
    return split_by_role(
        tuple(
            ListedInstance(
                name=name,
                role=InstanceRole(role),
                address=f"{name}:0",
                availability_zone="z",
                state=state,
                peer_address=f"{name}:1" if role == "entry" else None,
            )
            for name in names
        )
    )


def status(incarnation: str, state: ServerState) -> StatusReceived:
    report = StatusReport(
        server="s", incarnation=incarnation, state=state, load=0.0, holdings=frozenset(), maps=()
    )
    return StatusReceived(service="x", report=report)


@pytest.mark.parametrize(
    ("message", "sent_to_peers"),
    [
        (ServerLeaving(server="s", incarnation="1", source="refusal"), True),
        (status("1", ServerState.LEAVING), True),
        (listed("s", state=PlatformState.LEAVING, role="backend"), True),
        (PeerFrame(instance="b", type="news", fields=fields_dict(LEAVING_SERVER)), False),
    ],
    ids=["refusal", "status", "instance-list", "peer"],
)
def test_a_leaving_server_is_published_and_reported_to_the_peers_once(
    message: object, sent_to_peers: bool
) -> None:
    """Guards against new calls to a leaving server, here and on the other instances.

    The peers get one report, and none if this instance learned it from a peer. A status under a
    new incarnation clears the mark.
    """
    driver = ServiceDriver()
    driver.handle(1.0, status("1", ServerState.LIVE), message, message)
    changes = driver.received("query", LeavingServersChanged)
    assert [change.servers for change in changes] == [{"s"}]
    reports = [entry for entry in driver.received("peers", SendToPeer) if entry.type == "news"]
    assert [entry.fields["backend_server"] for entry in reports] == (["s"] if sent_to_peers else [])
    driver.handle(2.0, status("2", ServerState.LIVE))
    assert [change.servers for change in driver.received("query", LeavingServersChanged)] == [set()]


def test_a_new_link_gets_a_heartbeat_and_the_leaving_reports_sent_before() -> None:
    """Guards against calls to a leaving server by an instance linked after the report was sent."""
    driver = ServiceDriver()
    driver.handle(1.0, ServerLeaving(server="s", incarnation="1", source="refusal"))
    driver.received("peers", SendToPeer)
    driver.handle(3.0, LinkChanged(instance="b", incarnation="b1", linked=True))
    sent = driver.received("peers", SendToPeer)
    assert [(entry.type, entry.instance) for entry in sent] == [("heartbeat", None), ("news", "b")]
    assert sent[0].fields["version"] == 4
    assert sent[1].fields["at_age_ms"] == 2000


def test_ceilings_follow_limits_acknowledgements_and_the_other_claims() -> None:
    """Guards against connections above a server's limit while instances disagree on their shares.

    A ceiling may be used only after the peer acknowledged it, and an acknowledgement from an old
    incarnation doesn't count.
    """
    driver = ServiceDriver()
    driver.handle(0.0, listed("a", "b"), LinkChanged(instance="b", incarnation="b1", linked=True))
    driver.handle(0.1, Tick(), heartbeat_frame(1, 0, 9))
    driver.handle(JOIN_WAIT_S, Tick(), Tick())
    assert [change.ceilings for change in driver.received("backends", CeilingsChanged)] == [
        {"s": 0}
    ]
    assert driver.received("front", ReadinessChanged)[0].ready is False
    heartbeats = driver.received("peers", SendToPeer)
    assert heartbeats[-1].fields["ceilings"] == {"s": 4}
    sequence = heartbeats[-1].fields["sequence"]
    driver.handle(JOIN_WAIT_S + 0.5, heartbeat_frame(2, sequence, 9, incarnation="old"), Tick())
    assert driver.received("backends", CeilingsChanged) == []
    driver.handle(JOIN_WAIT_S + 0.5, heartbeat_frame(2, sequence, 9), Tick())
    (grant,) = driver.received("backends", CeilingsChanged)
    assert grant.ceilings == {"s": 3}
    assert driver.received("front", ReadinessChanged)[-1].ready is True
    driver.handle(4.0, ConnectionsOpen(revision=grant.revision, connections={"s": 2}), Tick())
    assert driver.received("backends", CeilingsChanged) == []


def test_instances_and_links_are_published_when_they_change() -> None:
    """Guards against bookings forwarded to an ended incarnation, and links that are not opened.

    The end of an older link must not hide that the link of the newer incarnation is up.
    """
    driver = ServiceDriver()
    driver.handle(0.0, listed("a", "b"), Tick(), Tick())
    assert driver.received("peers", PeerAddressesChanged) == [
        PeerAddressesChanged(addresses={"b": "b:1"})
    ]
    linked = LinkChanged(instance="b", incarnation="b2", linked=True)
    driver.handle(1.0, linked, heartbeat_frame(1, 0, 0, incarnation="b2"), Tick(), Tick())
    driver.handle(2.0, replace(linked, incarnation="b1", linked=False))
    driver.handle(3.0, replace(linked, linked=False))
    changes = [entry.peers[0] for entry in driver.received("configuration", PeersChanged)]
    assert [(entry.incarnation, entry.linked) for entry in changes] == [
        ("", False),
        ("b2", True),
        ("b2", False),
    ]


@pytest.mark.parametrize(
    ("contact", "ready"),
    [(None, False), (StoreContacted(), True), (heartbeat_frame(1, 0, 0), True)],
    ids=["no-contact", "store", "peer"],
)
def test_an_isolated_instance_is_not_ready(contact: object, ready: bool) -> None:
    """Guards against answers under an outdated configuration.

    An instance that reaches neither the store nor a peer can't learn of a newer version.
    """
    driver = ServiceDriver()
    driver.handle(0.0, listed("a", "b"), LinkChanged(instance="b", incarnation="b1", linked=True))
    driver.handle(0.0, Tick())
    if contact is not None:
        driver.handle(1.0, contact)
    driver.handle(ISOLATION_TIMEOUT_S, Tick())
    changes = driver.received("front", ReadinessChanged)
    assert [entry.ready for entry in changes if entry.part == "isolation"][-1] is ready


def test_a_planned_stop_is_sent_to_the_peers_at_once() -> None:
    """Guards against peers that treat a leaving instance as live until its next heartbeat."""
    driver = ServiceDriver()
    driver.received("peers", SendToPeer)
    driver.handle(0.0, BeginDrain())
    (sent,) = driver.received("peers", SendToPeer)
    assert sent.fields["state"] == "leaving"
