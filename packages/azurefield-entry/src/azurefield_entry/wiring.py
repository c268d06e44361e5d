"""Builds the services of an entry instance."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from azurefield_entry.admin.service import AdminService
from azurefield_entry.admin.status import InstanceStatus
from azurefield_entry.backends.service import BackendsService
from azurefield_entry.bookings.service import BookingsService, new_ledger
from azurefield_entry.callers.load import CallerLoad
from azurefield_entry.callers.memory_shares import (
    MemoryShares,
    caller_connections_max,
    usable_memory_bytes,
)
from azurefield_entry.configuration.service import ConfigurationService
from azurefield_entry.early_listener import backlog_for
from azurefield_entry.front.bodies import BODY_BYTES_MAX
from azurefield_entry.front.queued_admission import QueuedAdmission
from azurefield_entry.front.service import FrontService
from azurefield_entry.kernel import Kernel, Service
from azurefield_entry.membership.service import MembershipService
from azurefield_entry.metrics import Metrics
from azurefield_entry.peers.dialing import DialScheduler
from azurefield_entry.peers.identity import new_identity
from azurefield_entry.peers.service import PeersService
from azurefield_entry.query.service import QueryService
from azurefield_platform.configuration_store import ConfigurationStore
from azurefield_platform.instances import InstanceListClient
from azurefield_platform.keyvalue import KeyValueClient

if TYPE_CHECKING:
    from aiohttp import ClientSession

    from azurefield_entry.peers.identity import Identity
    from azurefield_entry.settings import Settings

# Services start in this order and stop in reverse. A planned stop therefore finishes the callers'
# requests first and then the bookings, while the services they need still run. The health checks
# are served until the end.
START_ORDER = (
    "admin",
    "peers",
    "membership",
    "configuration",
    "backends",
    "query",
    "bookings",
    "front",
)


def make_services(settings: Settings, session: ClientSession) -> dict[str, Service]:
    """Make all services of an entry instance, in start order.

    :param session: HTTP session for the calls to the platform; the caller closes it
    """
    identity = new_identity(settings)
    random = Random(settings.random_seed)
    services = make_serving(settings, identity, random)
    services |= make_coordination(settings, identity, random, session)
    return {name: services[name] for name in START_ORDER}


def make_serving(settings: Settings, identity: Identity, random: Random) -> dict[str, Service]:
    """Make the services that serve callers."""
    metrics = Metrics()
    status = InstanceStatus(
        instance=identity.instance,
        incarnation=identity.incarnation,
        availability_zone=identity.availability_zone,
    )
    return {
        "admin": AdminService(address=settings.admin_listen, metrics=metrics, status=status),
        "backends": BackendsService(metrics=metrics, random=random),
        "query": QueryService(metrics=metrics, random=random),
        "front": FrontService(
            address=settings.listen,
            incarnation=identity.incarnation,
            metrics=metrics,
            admission=QueuedAdmission(metrics=metrics),
            load=make_caller_load(settings, metrics),
            backlog=backlog_for(settings.descriptors_max),
        ),
    }


def make_caller_load(settings: Settings, metrics: Metrics) -> CallerLoad:
    """Make the limits for all callers together, from the memory and the descriptors."""
    shares = MemoryShares(memory_bytes=usable_memory_bytes(settings.memory_mb))
    load = CallerLoad(metrics=metrics.callers)
    load.set_limits(
        memory_bytes=shares.bodies_bytes,
        memory_max_bytes=shares.bodies_max_bytes,
        connections_max=caller_connections_max(shares, settings.descriptors_max),
        large_buffers_max=shares.large_buffers_max,
        body_bytes_max=BODY_BYTES_MAX,
    )
    return load


def make_coordination(
    settings: Settings, identity: Identity, random: Random, session: ClientSession
) -> dict[str, Service]:
    """Make the services that talk to the other instances and to the platform."""
    store = ConfigurationStore(client=KeyValueClient.connect(settings.platform_url, session))
    instance_list = InstanceListClient.connect(settings.platform_url, session)
    return {
        "peers": PeersService(
            identity=identity,
            listen=settings.peer_listen,
            dial_scheduler=DialScheduler(rng=random),
            seeds=settings.seed_peers,
        ),
        "membership": MembershipService(identity=identity, instance_list=instance_list, rng=random),
        "configuration": ConfigurationService(store=store, rng=random),
        "bookings": BookingsService(
            identity=identity, ledger=new_ledger(identity, settings.ticket_lifetime_s)
        ),
    }


def make_kernel(services: dict[str, Service]) -> Kernel:
    """Register the services of a process, in order."""
    kernel = Kernel()
    for name, service in services.items():
        kernel.register(name, service)
    return kernel
