"""Settings of a gateway process, independent of the format of the settings file."""

from __future__ import annotations

from dataclasses import dataclass

from azurefield.answer_memory import LIMIT_BYTES
from azurefield.warmup_limits import WarmupBound

# The rest is left to the program itself, to complete answers and to callers' requests.
ANSWER_MEMORY_FRACTION = 1 / 6
BYTES_PER_MB = 1_000_000


@dataclass(slots=True, kw_only=True, frozen=True)
class GatewaySettings:
    """The settings of a gateway process.

    Further calls are the calls to a service after the first one: retries and hedges.

    :param callers_address: ``host:port`` for callers' requests
    :param readiness_address: ``host:port`` of the readiness check
    :param admin_address: ``host:port`` for metrics; None for no metrics
    :param store_address: ``host:port`` of the platform's store
    :param further_calls_ratio: allowed further calls to a service per first call, over all
        instances together
    :param further_calls_allowance: allowed further calls to a service beyond the ratio, per window
    :param further_calls_window_s: length of the window in which the ratio must hold
    :param stop_grace_s: time from the request to stop until the process is killed
    :param relay_address: ``host:port`` for instances that follow this one; None for no relay
    :param coordinator_address: ``host:port`` for requests that other instances forward to this one;
        None to accept none
    :param capacity: the processor capacity of this instance in cores
    :param warmup_bound: bound for servers that warm up; with it, the load of servers that start or
        recover follows their answers; None for the fixed ramp and no bound
    :param memory_mb: megabytes beyond which the process is killed; None or 0 without such a limit
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
    capacity: float = 0.0
    memory_mb: float | None = None
    warmup_bound: WarmupBound | None = None

    @property
    def answer_memory_bytes(self) -> int:
        """How much memory all answers that are being received may hold together."""
        if not self.memory_mb:
            return LIMIT_BYTES
        return int(ANSWER_MEMORY_FRACTION * self.memory_mb * BYTES_PER_MB)
