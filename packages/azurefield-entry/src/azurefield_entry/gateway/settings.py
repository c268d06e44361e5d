"""Settings of a gateway process; the caller reads them in whatever format they come."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class GatewaySettings:
    """What a gateway process is told at its start and when its settings change.

    :param callers_address: ``host:port`` for callers' requests
    :param readiness_address: ``host:port`` where readiness is asked for
    :param admin_address: ``host:port`` for metrics; None for no metrics
    :param store_address: ``host:port`` of the platform's store
    :param further_calls_ratio: further calls to a service per first call, all instances together
    :param further_calls_allowance: further calls to a service beyond the ratio in such a window
    :param further_calls_window_s: the window in which that ratio must hold
    :param stop_grace_s: time between a planned stop and the end of the process by force
    :param relay_address: ``host:port`` for instances that follow this one; None for no such
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
