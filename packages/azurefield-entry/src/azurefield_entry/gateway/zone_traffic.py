"""Bytes that this instance exchanges with other availability zones, by kind of traffic."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Any

from msgspec import Struct
from prometheus_client import Counter

from azurefield_entry.gateway.crashes.frames import RequestAnsweredFrame, ServerEndedFrame
from azurefield_entry.gateway.peers.forward_frames import FromCoordinator, ToCoordinator
from azurefield_entry.gateway.peers.frames import Heartbeat

if TYPE_CHECKING:
    from azurefield.leaf_progress import LeafProgress
    from azurefield_entry.gateway.metrics import GatewayMetrics
    from azurefield_entry.gateway.peers.frames import FromPeer, ToPeer


class TrafficKind(StrEnum):
    """What the bytes are for; calls are those to servers."""

    FIRST_CALL = "first_call"
    HEDGE = "hedge"
    RETRY = "retry"
    FORWARDED = "forwarded"
    QUOTA = "quota"
    CRASH_REPORT = "crash_report"
    HEARTBEAT = "heartbeat"
    RELAY = "relay"


class ZoneTraffic(Struct, kw_only=True):
    """Counts the bytes sent and received in exchanges that this instance begins.

    :param counter: counts bytes, with the kind as its label
    """

    own_zone: str
    counter: Counter

    @classmethod
    def of(cls, own_zone: str, metrics: GatewayMetrics) -> ZoneTraffic:
        """Count in the metrics of an instance."""
        return cls(own_zone=own_zone, counter=metrics.other_zone_bytes)

    def record(self, kind: TrafficKind, zone: str | None, count: int) -> None:
        """Count bytes exchanged with a zone, unless it is the own one or not known (None)."""
        if zone is not None and zone != self.own_zone:
            self.counter.labels(kind).inc(count)


def kind_of_call(progress: LeafProgress[Any]) -> TrafficKind:
    """Return the kind of a call that was just added to the pending ones of its leaf."""
    if len(progress.pending) > 1:
        return TrafficKind.HEDGE
    return TrafficKind.FIRST_CALL if progress.failure is None else TrafficKind.RETRY


def kind_of_frame(frame: ToPeer | FromPeer) -> TrafficKind:
    """Return the kind of a frame on a link to another instance."""
    if isinstance(frame, ToCoordinator | FromCoordinator):
        return TrafficKind.FORWARDED
    if isinstance(frame, ServerEndedFrame | RequestAnsweredFrame):
        return TrafficKind.CRASH_REPORT
    return TrafficKind.HEARTBEAT if isinstance(frame, Heartbeat) else TrafficKind.QUOTA
