"""Settings of a gateway process, independent of the format of the settings file."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct, field

from azurefield.held_memory import LIMIT_BYTES
from azurefield.quota_shares import QuotaBounds
from azurefield.warmup_limits import WarmupBound
from azurefield_entry.callers.memory_shares import (
    MemoryShares,
    caller_connections_max,
    server_connections_max,
    usable_memory_bytes,
)


class GatewaySettings(Struct, kw_only=True, frozen=True):
    """The settings of a gateway process.

    Further calls are the calls to a service after the first one: retries and hedges.

    :param callers_address: ``host:port`` for callers' requests
    :param readiness_address: ``host:port`` of the readiness check
    :param admin_address: ``host:port`` for metrics and explanations; None for neither
    :param store_address: ``host:port`` of the platform's store
    :param further_calls_ratio: allowed further calls to a service per first call, over all
        instances together
    :param further_calls_allowance: allowed further calls to a service beyond the ratio, per window
    :param further_calls_window_s: length of the window in which the ratio must hold
    :param stop_grace_s: time from the request to stop until the process is killed
    :param relay_address: ``host:port`` for instances that follow this one; None for no relay
    :param coordinator_address: ``host:port`` for requests that other instances forward to this one;
        None to accept none
    :param regions: the region of each availability zone
    :param capacity: the processor capacity of this instance in cores
    :param warmup_bound: bound for servers that warm up; with it, the load of servers that start or
        recover follows their answers; None for the fixed ramp and no bound
    :param memory_mb: megabytes beyond which the process is killed; None or 0 without such a limit
    :param descriptors_max: how many descriptors the process may have open; None or 0 without a
        limit other than the operating system's
    :param quota_bounds: what is tolerated beyond the quotas of workspaces
    """

    instance: str
    availability_zone: str
    callers_address: str
    readiness_address: str
    admin_address: str | None
    store_address: str
    further_calls_ratio: float
    further_calls_allowance: float
    further_calls_window_s: float
    stop_grace_s: float
    relay_address: str | None = None
    coordinator_address: str | None = None
    regions: Mapping[str, str] = field(default_factory=dict)
    capacity: float = 0.0
    memory_mb: float | None = None
    descriptors_max: float | None = None
    quota_bounds: QuotaBounds = field(default_factory=QuotaBounds)
    warmup_bound: WarmupBound | None = None

    @property
    def answer_memory_bytes(self) -> int:
        """How much memory all answers that are being received may hold together."""
        if not self.memory_mb:
            return LIMIT_BYTES
        return self.memory_shares.answers_bytes

    @property
    def memory_bytes(self) -> float:
        """How much memory the process may use, at most that of the machine."""
        return usable_memory_bytes(self.memory_mb)

    @property
    def memory_shares(self) -> MemoryShares:
        """What the process may hold for callers and servers."""
        return MemoryShares(memory_bytes=self.memory_bytes)

    @property
    def caller_connections_max(self) -> int:
        """How many connections callers may have open together."""
        return caller_connections_max(self.memory_shares, self.descriptors_max)

    @property
    def server_connections_max(self) -> int:
        """How many connections to servers may be open together."""
        return server_connections_max(self.descriptors_max)
