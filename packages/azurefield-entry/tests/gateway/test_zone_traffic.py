"""Which bytes between availability zones the metrics count, and as what."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from msgspec.structs import replace

from azurefield.failures import LeafFailureReason
from azurefield.leaf_progress import LeafProgress, PendingCall
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.peers.forward_frames import CancelRequest, RequestAccepted
from azurefield_entry.gateway.peers.frames import Heartbeat
from azurefield_entry.gateway.quotas.frames import LimitEnded
from azurefield_entry.gateway.zone_traffic import (
    TrafficKind,
    ZoneTraffic,
    kind_of_call,
    kind_of_frame,
)
from azurefield_testkit.entry_support.forwarding_pair import Runner, pair, request

if TYPE_CHECKING:
    from azurefield_entry.gateway.peers.frames import FromPeer, ToPeer


def counted(metrics: GatewayMetrics, kind: TrafficKind) -> float:
    value = metrics.registry.get_sample_value(
        "azurefield_gateway_other_zone_bytes_total", {"kind": kind}
    )
    return value or 0.0


@pytest.mark.parametrize(("zone", "expected"), [("a", 0.0), ("b", 7.0), (None, 0.0)])
def test_only_other_known_zones_count(zone: str | None, expected: float) -> None:
    """Guards against a bill for traffic that stays in its zone."""
    metrics = GatewayMetrics()
    ZoneTraffic.of("a", metrics).record(TrafficKind.RELAY, zone, 7)
    assert counted(metrics, TrafficKind.RELAY) == expected


@pytest.mark.parametrize(
    ("pending", "failure", "expected"),
    [
        (1, None, TrafficKind.FIRST_CALL),
        (2, None, TrafficKind.HEDGE),
        (1, LeafFailureReason.SHEDDING, TrafficKind.RETRY),
        (2, LeafFailureReason.SHEDDING, TrafficKind.HEDGE),
    ],
)
def test_calls_count_by_why_they_are_sent(
    pending: int, failure: LeafFailureReason | None, expected: TrafficKind
) -> None:
    """Guards against figures that blame first calls for the cost of hedges."""
    progress: LeafProgress[object] = LeafProgress(position=0, failure=failure)
    for number in range(pending):
        progress.pending[str(number)] = PendingCall(server="s", sent_at=0.0)
    assert kind_of_call(progress) is expected


@pytest.mark.parametrize(
    ("frame", "expected"),
    [
        (CancelRequest(number=1), TrafficKind.FORWARDED),
        (RequestAccepted(number=1), TrafficKind.FORWARDED),
        (LimitEnded(server="s"), TrafficKind.QUOTA),
        (Heartbeat(), TrafficKind.HEARTBEAT),
    ],
)
def test_frames_count_by_their_service(frame: ToPeer | FromPeer, expected: TrafficKind) -> None:
    """Guards against frames that count as another kind."""
    assert kind_of_frame(frame) is expected


@pytest.mark.parametrize(("own_zone", "counts"), [("z", False), ("y", True)])
async def test_forwarded_requests_and_results_count_between_zones(
    own_zone: str, *, counts: bool
) -> None:
    """Guards against links to other zones whose bytes nobody sees."""
    runner = Runner()
    runner.release.set()
    metrics = GatewayMetrics()
    async with pair(runner) as instances:
        forwarding = instances.forwarding
        own = replace(forwarding.view.profiles["c1"], instance="i1", availability_zone=own_zone)
        forwarding.view.on_profile(own)
        forwarding.peers.traffic = ZoneTraffic.of(own_zone, metrics)
        await instances.forward(request())
    assert bool(counted(metrics, TrafficKind.FORWARDED)) is counts
