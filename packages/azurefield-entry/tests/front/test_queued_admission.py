from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from msgspec.structs import replace

from azurefield.failures import FailureKind
from azurefield.membership import InstanceState
from azurefield.model import Configuration, MemberShare, RequestKind, ServiceConfig
from azurefield_entry.front.admission import PendingRequest
from azurefield_entry.front.queued_admission import QueuedAdmission
from azurefield_entry.front.service import FrontService
from azurefield_entry.kernel import Kernel, Mailbox, Stop
from azurefield_entry.messages import MemberUse, PeerFrame, PeerInfo, QueryCost
from azurefield_entry.metrics import Metrics
from azurefield_entry.peers.frames import HeartbeatFields, fields_dict
from azurefield_testkit.entry_support.instance import make_service_config, running_instance
from azurefield_testkit.loop_ticks import LoopTicks

if TYPE_CHECKING:
    from azurefield_entry.front.service_queue import AdmissionResult

MEMBERS = tuple(MemberShare(member=name, weight=1.0) for name in ("m1", "m2"))
CONFIG = replace(make_service_config([]), members=MEMBERS)
RUNNING_MAX = 6  # Without backend servers the limit starts at 4 and may be exceeded by half.


def pending_request(number: int, *, member: str = "m1", deadline_s: float = 5.0) -> PendingRequest:
    now = asyncio.get_running_loop().time()
    return PendingRequest(
        request_id=f"r{number}",
        config=CONFIG,
        member=member,
        kind=RequestKind.LOOKUP,
        arrived_at=now,
        deadline=now + deadline_s,
    )


async def full_admission(
    waiting: int,
) -> tuple[QueuedAdmission, list[asyncio.Task[AdmissionResult]]]:
    """Create an admission at its limit of running requests, with more requests waiting."""
    admission = QueuedAdmission(metrics=Metrics())
    for number in range(RUNNING_MAX):
        assert (await admission.submit(pending_request(number))).is_ok()
    tasks = [
        asyncio.create_task(admission.submit(pending_request(RUNNING_MAX + number)))
        for number in range(waiting)
    ]
    await asyncio.sleep(0.01)
    assert not any(task.done() for task in tasks)
    return admission, tasks


@pytest.mark.parametrize(
    "services",
    [
        pytest.param([replace(CONFIG, queue_limit=1)], id="lower-queue-limit"),
        pytest.param([replace(CONFIG, members=MEMBERS[1:])], id="removed-member"),
        pytest.param([], id="removed-service"),
    ],
)
async def test_waiting_requests_are_kept_when_the_configuration_changes(
    services: list[ServiceConfig],
) -> None:
    """Guards against requests that wait forever in a queue that the configuration removed."""
    admission, tasks = await full_admission(waiting=2)
    changed = {config.name: config for config in services}
    admission.set_configuration(Configuration(version=2, services=changed))
    for number in range(RUNNING_MAX):
        admission.release(f"r{number}")
    async with asyncio.timeout(1):
        assert all(result.is_ok() for result in await asyncio.gather(*tasks))


async def test_a_withdrawn_request_leaves_neither_a_queue_entry_nor_a_decision_behind() -> None:
    """Guards against capacity that is held for callers that disconnected while they waited."""
    admission, (first, second) = await full_admission(waiting=2)
    first.cancel()
    await asyncio.sleep(0)
    for number in range(RUNNING_MAX):
        admission.release(f"r{number}")
    assert (await second).is_ok()
    queue = admission.queues[CONFIG.name]
    assert (set(queue.queue.running), queue.waiting) == ({f"r{RUNNING_MAX + 1}"}, {})


async def test_a_request_that_waits_is_refused_within_a_tenth_of_its_deadline() -> None:
    """Guards against refusals that leave the caller too little time to try another instance."""
    admission, _ = await full_admission(waiting=0)
    loop = asyncio.get_running_loop()
    started = loop.time()
    async with LoopTicks() as ticks:
        result = await admission.submit(pending_request(99, deadline_s=0.5))
    assert result.unwrap_err().kind is FailureKind.DEADLINE_UNREACHABLE
    assert loop.time() - started >= 0.03
    assert ticks.elapsed_s <= 0.05


async def test_the_limit_learns_the_leaf_calls_of_a_request_and_shares_slots_with_peers() -> None:
    """Guards against an instance that uses all slots although other instances share them."""
    admission = QueuedAdmission(metrics=Metrics())
    listing = replace(pending_request(1), kind=RequestKind.LISTING)
    for expected in (1.0, 7.0):
        await admission.submit(listing)
        queue = admission.queues[CONFIG.name]
        assert queue.queue.in_flight == expected
        admission.release("r1", QueryCost(leafs_total=7, leaf_latency_s=0.01))
    queue.config = replace(CONFIG, backend_servers=())
    peer = PeerInfo(
        instance="e2",
        incarnation="i",
        peer_address="",
        availability_zone="z1",
        linked=True,
        leaving=False,
    )
    admission.set_peers((peer, replace(peer, instance="e3", leaving=True)))
    assert admission.instances == 2


async def test_use_on_another_instance_lowers_the_weight_until_its_report_is_old() -> None:
    """Guards against members' weights that ignore use on other instances or never recover.

    Without the exchange a member would get its full share on each instance.
    """
    admission = QueuedAdmission(metrics=Metrics())
    for number, share in enumerate(MEMBERS):
        await admission.submit(pending_request(number, member=share.member))
    now = asyncio.get_running_loop().time()
    admission.on_peer_use(now, "e2", {CONFIG.name: {"m1": 9.0}})
    use = admission.exchange_shares(now)
    weights = admission.queues[CONFIG.name].queue.weights
    assert weights["m1"] < weights["m2"]
    assert set(use[CONFIG.name]) == {"m1", "m2"}
    admission.exchange_shares(now + 4.0)
    assert admission.queues[CONFIG.name].queue.weights == {"m1": 1.0, "m2": 1.0}


class RecordingMembership:
    """Test double of `membership` that records the last reported use."""

    def __init__(self) -> None:
        self.use: dict[str, dict[str, float]] = {}

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:  # noqa: ARG002
        while not isinstance(message := await mailbox.receive(), Stop):
            if isinstance(message, MemberUse):
                self.use = message.use


async def test_the_front_reads_the_use_on_peers_from_heartbeats_and_reports_its_own() -> None:
    """Guards against shares that are never exchanged because the services are not connected."""
    membership = RecordingMembership()
    async with running_instance(CONFIG, membership=membership) as instance:
        front = instance.kernel.services["front"]
        assert isinstance(front, FrontService)
        assert isinstance(front.admission, QueuedAdmission)
        queue = front.admission.queues[CONFIG.name]
        await queue.submit(pending_request(1, member="m1"))
        await queue.submit(pending_request(2, member="m2"))
        heartbeat = HeartbeatFields(
            incarnation="i",
            sequence=1,
            peer_address="127.0.0.1:1",
            availability_zone="z1",
            state=InstanceState.LIVE,
            version=1,
            digest="d",
            store_age_ms=None,
            known={},
            ceilings={},
            member_use={CONFIG.name: {"m1": 9.0}},
        )
        frame = PeerFrame(instance="e2", type="heartbeat", fields=fields_dict(heartbeat))
        instance.kernel.lookup("front").send(frame)
        await asyncio.sleep(1.2)
        assert queue.queue.weights["m1"] < queue.queue.weights["m2"]
        assert set(membership.use[CONFIG.name]) == {"m1", "m2"}
