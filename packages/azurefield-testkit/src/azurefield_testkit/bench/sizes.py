"""Sizes and workloads of the measured services.

The sizes are those of section 1.6 of the design page; the workloads are assumptions stated here.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from math import exp

from azurefield.model import RequestKind

INSTANCES = 6
REPLICAS = 3
CLIENT_ONE_WAY_DELAY_S = 0.003
# The service time of a leaf call is log-normal with these means and this sigma (p99 is 3.2 times
# the mean). One call in a hundred takes three times as long (garbage collection, page faults).
SERVICE_TIME_MEAN_S = {
    RequestKind.LISTING: 0.015,
    RequestKind.URGENT: 0.010,
    RequestKind.LOOKUP: 0.006,
    RequestKind.BOOKING: 0.015,
}
SERVICE_TIME_SIGMA = 0.6
SLOW_CALL_PROBABILITY = 0.01
SLOW_CALL_FACTOR = 3.0
# Service times are divided by the mean of their random factors, so that they keep their means.
MEAN_RANDOM_FACTOR = exp(SERVICE_TIME_SIGMA**2 / 2) * (
    1 + SLOW_CALL_PROBABILITY * (SLOW_CALL_FACTOR - 1)
)
DEADLINE_S = {
    RequestKind.LISTING: 0.4,
    RequestKind.URGENT: 0.2,
    RequestKind.LOOKUP: 0.2,
    RequestKind.BOOKING: 1.0,
}
PRIORITY = {
    RequestKind.URGENT: 0,
    RequestKind.BOOKING: 1,
    RequestKind.LOOKUP: 2,
    RequestKind.LISTING: 3,
}
KIND_WEIGHT = {
    RequestKind.URGENT: 4.0,
    RequestKind.BOOKING: 4.0,
    RequestKind.LOOKUP: 1.0,
    RequestKind.LISTING: 1.0,
}
MEMBERS = ("m0", "m1", "m2", "m3", "m4")


class WorkloadMix(StrEnum):
    """Which requests dominate a service: searches of all leafs or calls to a single leaf."""

    BROAD = "broad"
    SINGLE = "single"


# Fraction of the requests by kind. At five times the capacity, urgent look-ups and bookings
# together need half (broad) or three quarters (single) of the capacity, so all of them can be
# served.
SHARES = {
    WorkloadMix.BROAD: {
        RequestKind.LISTING: 0.6,
        RequestKind.URGENT: 0.06,
        RequestKind.LOOKUP: 0.24,
        RequestKind.BOOKING: 0.1,
    },
    WorkloadMix.SINGLE: {
        RequestKind.LISTING: 0.3,
        RequestKind.URGENT: 0.04,
        RequestKind.LOOKUP: 0.56,
        RequestKind.BOOKING: 0.1,
    },
}


@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceSize:
    """One service; ``slots`` and ``connections`` are limits of one backend server."""

    name: str
    leafs: int
    slots: int
    connections: int
    connect_s: float
    zone_one_way_delay_s: float
    mix: WorkloadMix
    shares: dict[RequestKind, float] = field(init=False, hash=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "shares", SHARES[self.mix])

    @property
    def leaf_names(self) -> tuple[str, ...]:
        """Names of the leafs."""
        return tuple(f"leaf-{index}" for index in range(self.leafs))

    @property
    def servers(self) -> int:
        """Number of backend servers."""
        return self.leafs * REPLICAS

    @property
    def ceiling(self) -> int:
        """Number of connections that one instance may open to one backend server."""
        return max(1, self.connections // (INSTANCES + 1))

    def cost(self, kind: RequestKind) -> int:
        """Return the number of leaf calls of one request, without hedges and retries."""
        return self.leafs if kind.partial else 1

    def backend_time_s(self, kind: RequestKind) -> float:
        """Return the mean backend time of one request, summed over its leaf calls."""
        return self.cost(kind) * SERVICE_TIME_MEAN_S[kind]

    @property
    def capacity(self) -> float:
        """Requests of this mix per second that keep all slots busy, without hedges or retries."""
        mean_work_s = sum(share * self.backend_time_s(kind) for kind, share in self.shares.items())
        return self.servers * self.slots / mean_work_s


def _service(
    name: str,
    leafs: int,
    slots: int,
    connections: int,
    connect_ms: int,
    zone_ms: float,
    mix: WorkloadMix,
) -> ServiceSize:
    return ServiceSize(
        name=name,
        leafs=leafs,
        slots=slots,
        connections=connections,
        connect_s=connect_ms / 1000,
        zone_one_way_delay_s=zone_ms / 1000,
        mix=mix,
    )


SERVICES = (
    _service("gulf-dispatch", 3, 3, 30, 6, 1.5, WorkloadMix.BROAD),
    _service("gulf-billing", 3, 3, 30, 6, 1.5, WorkloadMix.SINGLE),
    _service("gulf-port-agent-desk", 8, 4, 100, 1, 1.5, WorkloadMix.BROAD),
    _service("gulf-tide-notice", 4, 4, 100, 1, 1.5, WorkloadMix.BROAD),
    _service("cerafiamma-shop-counter", 3, 2, 25, 6, 0.5, WorkloadMix.SINGLE),
    _service("cerafiamma-sacristan", 3, 2, 25, 6, 0.5, WorkloadMix.BROAD),
    _service("cerafiamma-wholesale-portal", 8, 2, 35, 1, 0.5, WorkloadMix.BROAD),
    _service("cerafiamma-florist-reorder", 4, 2, 35, 1, 0.5, WorkloadMix.SINGLE),
)
