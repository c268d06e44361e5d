"""Applies changed settings to the service of the gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

from azurefield_entry.gateway import policies

if TYPE_CHECKING:
    from azurefield_entry.gateway.service import GatewayService
    from azurefield_entry.gateway.settings import GatewaySettings


def apply_settings(gateway: GatewayService, settings: GatewaySettings) -> None:
    """Change what follows from the settings; a restart changes the rest."""
    gateway.budget.ratio = policies.FURTHER_CALLS_RATIO_FRACTION * settings.further_calls_ratio
    gateway.budget.window_s = settings.further_calls_window_s
    gateway.further_calls_allowance = settings.further_calls_allowance
    gateway.connections.answer_memory.limit_bytes = settings.answer_memory_bytes
    gateway.connections.connections_max = settings.server_connections_max
    gateway.room.limit.calls_max = settings.memory_shares.calls_max
    gateway.quotas.warmups.bound = settings.warmup_bound
    gateway.residency.regions = settings.regions
    gateway.divide_limits()
