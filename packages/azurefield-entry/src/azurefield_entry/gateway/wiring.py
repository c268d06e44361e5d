"""Builds the services of a gateway process."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from msgspec import Struct

from azurefield.residency import Residency
from azurefield.retry import WindowedBudget
from azurefield.routing import OwnObservationRouter
from azurefield.server_pace import AdaptivePace, FixedRamp
from azurefield_entry.background import FAILURE_LISTENERS
from azurefield_entry.callers.load import CallerLoad
from azurefield_entry.early_listener import backlog_for
from azurefield_entry.gateway.admin import GatewayAdmin
from azurefield_entry.gateway.callers.front import GatewayFront
from azurefield_entry.gateway.explain.explainer import RequestExplainer
from azurefield_entry.gateway.metadata.relay import RelayService
from azurefield_entry.gateway.metadata.service import MetadataService
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.peers.coordinator import CoordinatorService
from azurefield_entry.gateway.policies import FAILURE_COST_S, FURTHER_CALLS_RATIO_FRACTION
from azurefield_entry.gateway.ports import (
    CallerDialect,
    InstanceEntry,
    LeafDialect,
    MetadataStore,
)
from azurefield_entry.gateway.reload import ReloadService
from azurefield_entry.gateway.service import GatewayService
from azurefield_entry.kernel import Kernel, Service
from azurefield_entry.logs import DROPPED_LINES

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from azurefield_entry.gateway.settings import GatewaySettings
    from azurefield_entry.settings import SettingsFailure

# After a planned stop begins, the gateway serves new requests for this time. The platform stops
# sending connections 2 s after the readiness check fails.
DRAIN_NOTICE_S = 2.4
# Part of the stop grace that is reserved for closing connections and ending the process.
STOP_MARGIN_S = 0.6


class PlatformAdapters(Struct, kw_only=True):
    """The platform's implementations of the gateway's interfaces."""

    callers: CallerDialect
    leafs: LeafDialect
    store: MetadataStore


def make_gateway(
    settings: GatewaySettings,
    adapters: PlatformAdapters,
    load: Callable[[], Result[GatewaySettings, SettingsFailure]],
) -> Kernel:
    """Build a kernel with the services of a gateway process.

    :param load: loads the settings again
    """
    random = Random()
    metrics = GatewayMetrics()
    DROPPED_LINES.listeners.append(metrics.log_lines_dropped.inc)
    FAILURE_LISTENERS.append(metrics.task_failures.inc)
    gateway = GatewayService(
        instance=settings.instance,
        availability_zone=settings.availability_zone,
        leaf_dialect=adapters.leafs,
        router=OwnObservationRouter(
            random=random,
            failure_cost_s=FAILURE_COST_S,
            pace=FixedRamp() if settings.warmup_bound is None else AdaptivePace(),
        ),
        budget=WindowedBudget(
            ratio=FURTHER_CALLS_RATIO_FRACTION * settings.further_calls_ratio,
            window_s=settings.further_calls_window_s,
        ),
        further_calls_allowance=settings.further_calls_allowance,
        warmup_bound=settings.warmup_bound,
        residency=Residency(regions=settings.regions),
        metrics=metrics,
    )
    gateway.connections.answer_memory.limit_bytes = settings.answer_memory_bytes
    gateway.connections.connections_max = settings.server_connections_max
    gateway.room.limit.calls_max = settings.memory_shares.calls_max
    caller_load = CallerLoad(metrics=metrics.callers)
    caller_load.set_limits(
        memory_bytes=settings.memory_shares.bodies_bytes,
        memory_max_bytes=settings.memory_shares.bodies_max_bytes,
        connections_max=settings.caller_connections_max,
        large_buffers_max=settings.memory_shares.large_buffers_max,
    )
    gateway.workspace_quotas.set_bounds(settings.quota_bounds)
    finish_timeout_s = max(0.0, settings.stop_grace_s - DRAIN_NOTICE_S - STOP_MARGIN_S)
    coordinator = make_coordinator(settings, gateway, caller_load, finish_timeout_s)
    front = GatewayFront(
        address=settings.callers_address,
        readiness_address=settings.readiness_address,
        dialect=adapters.callers,
        gateway=gateway,
        finish_timeout_s=finish_timeout_s,
        load=caller_load,
        backlog=backlog_for(settings.descriptors_max),
    )
    services: dict[str, Service] = {
        "settings": ReloadService(load=load, current=settings),
        "gateway": gateway,
        "edge": gateway.access.edge,
        "workspace-quotas": gateway.workspace_quotas,
        "metadata": make_metadata(settings, adapters.store, random, metrics, coordinator),
    }
    if coordinator is not None:
        # Services stop in reverse order, so this one stops after "front". While it uses its
        # address, a successor issues no quota.
        services["coordinator"] = coordinator
    services["front"] = front
    if settings.relay_address is not None:
        services["relay"] = RelayService(address=settings.relay_address)
    if settings.admin_address is not None:
        explainer = RequestExplainer(gateway=gateway, front=front, coordinator=coordinator)
        services["admin"] = GatewayAdmin(
            address=settings.admin_address, metrics=metrics, explain=explainer.explain
        )
    kernel = Kernel()
    for name, service in services.items():
        kernel.register(name, service)
    return kernel


def make_coordinator(
    settings: GatewaySettings,
    gateway: GatewayService,
    caller_load: CallerLoad,
    finish_timeout_s: float,
) -> CoordinatorService | None:
    """Build the service that runs forwarded requests; None if the settings name no address."""
    if settings.coordinator_address is None:
        return None
    return CoordinatorService(
        address=settings.coordinator_address,
        version=lambda: None if gateway.table is None else gateway.table.version,
        admit=lambda request: gateway.access.readmit(request, gateway.table),
        run_request=gateway.run_forwarded,
        quota_issuer=gateway.quotas.issuer,
        answer_share=gateway.workspace_quotas.answer,
        on_crash_report=gateway.on_crash_report_frame,
        partitioned=lambda: gateway.partition_watch.partitioned,
        finish_timeout_s=finish_timeout_s,
        drain_notice_s=DRAIN_NOTICE_S,
        load=caller_load,
        on_share_refused=gateway.metrics.share_refusals.inc,
    )


def make_metadata(
    settings: GatewaySettings,
    store: MetadataStore,
    random: Random,
    metrics: GatewayMetrics,
    coordinator: CoordinatorService | None,
) -> MetadataService:
    """Build the service that follows the store."""
    metadata = MetadataService(
        entry=InstanceEntry(
            instance=settings.instance,
            availability_zone=settings.availability_zone,
            relay_address=settings.relay_address,
            coordinator_address=settings.coordinator_address,
            capacity=settings.capacity,
        ),
        store=store,
        random=random,
        metrics=metrics,
        can_issue=lambda: coordinator is not None and coordinator.listening,
    )
    metadata.issuer_slots.slot_lease.window_s = settings.quota_bounds.window_s
    return metadata
