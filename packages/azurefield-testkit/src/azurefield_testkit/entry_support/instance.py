"""Runs an entry instance inside the event loop of a test, on free ports."""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from aiohttp import ClientSession
from result import Ok

from azurefield.model import (
    BackendServer,
    Configuration,
    KindPolicy,
    MemberShare,
    RequestKind,
    ServiceConfig,
)
from azurefield_entry.kernel import Kernel, Mailbox, Service, Stop
from azurefield_entry.messages import (
    CorrectRefusalOutcome,
    DispatchBooking,
    IssueTicket,
    RunBooking,
)
from azurefield_entry.peers.identity import new_identity
from azurefield_entry.settings import Settings
from azurefield_entry.wiring import make_kernel, make_serving
from azurefield_testkit.entry_support.static_configuration import StaticConfiguration

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from azurefield_testkit.entry_support.wire_server import WireServer


@dataclass(slots=True, kw_only=True)
class DirectBookings:
    """Test double of the service `bookings`: dispatches each booking without a ledger."""

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Issue always the same ticket, leave refusals unchanged and dispatch each booking."""
        while not isinstance(message := await mailbox.receive(), Stop):
            if isinstance(message, IssueTicket):
                message.reply.set_result(Ok("ticket-1"))
            elif isinstance(message, CorrectRefusalOutcome):
                message.reply.set_result(message.failure)
            elif isinstance(message, RunBooking):
                dispatch = DispatchBooking(request=message.request, reply=message.reply)
                kernel.lookup("query").send(dispatch)


def make_service_config(
    servers: list[WireServer], *, queue_limit: int = 256, deadline_max_ms: int = 2000
) -> ServiceConfig:
    """Build the configuration of the service `dispatch` with these backend servers."""
    return ServiceConfig(
        name="dispatch",
        backend_servers=tuple(
            BackendServer(
                name=server.name,
                address=server.address,
                availability_zone="z1",
                connection_limit=30,
                slots=3,
                connect_cost_ms=1.0,
            )
            for server in servers
        ),
        members=(MemberShare(member="m1", weight=1.0),),
        kinds=tuple(
            KindPolicy(
                kind=kind, deadline_ms=500, max_deadline_ms=deadline_max_ms, priority=priority
            )
            for priority, kind in enumerate(RequestKind)
        ),
        queue_limit=queue_limit,
    )


@dataclass(slots=True, kw_only=True)
class Instance:
    """A running instance with an HTTP session for its callers."""

    settings: Settings
    kernel: Kernel
    session: ClientSession

    def url(self, path: str) -> str:
        """Return the URL of a path of the callers' API."""
        return f"http://{self.settings.listen}/v1/services/{path}"

    def admin_url(self, path: str) -> str:
        """Return the URL of a path of the admin listener."""
        return f"http://{self.settings.admin_listen}{path}"


def free_address() -> str:
    """Choose a loopback address that is not in use."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def make_settings() -> Settings:
    """Create settings with free addresses."""
    return Settings(
        instance="e1",
        availability_zone="z1",
        listen=free_address(),
        admin_listen=free_address(),
        peer_listen=free_address(),
        platform_url="http://127.0.0.1:1",
        drain_notice_s=0.0,
        random_seed=1,
    )


@asynccontextmanager
async def running_instance(
    config: ServiceConfig | None, **replaced: Service
) -> AsyncIterator[Instance]:
    """Run an instance until the context ends.

    :param config: the configuration of its only service, None for no configuration
    :param replaced: test doubles, by the names of the services that they replace
    """
    settings = make_settings()
    # The first ``replaced`` puts the doubles before the other services. The second one keeps
    # ``make_serving`` from overriding them.
    services = (
        {"bookings": DirectBookings()}
        | replaced
        | make_serving(settings, new_identity(settings), Random(1))
        | replaced
    )
    if config is not None:
        configuration = Configuration(version=3, services={config.name: config})
        services = {"configuration": StaticConfiguration(configuration=configuration)} | services
    kernel = make_kernel(services)
    async with ClientSession() as session:
        instance = Instance(settings=settings, kernel=kernel, session=session)
        kernel.start()
        await until_listening(settings)
        try:
            yield instance
        finally:
            for name in reversed(kernel.services):
                await kernel.stop(name)


async def until_listening(settings: Settings) -> None:
    """Wait until the callers' and the admin listener accept connections."""
    for address in (settings.listen, settings.admin_listen):
        host, _, port = address.partition(":")
        async with asyncio.timeout(5):
            while True:
                try:
                    _, writer = await asyncio.open_connection(host, int(port))
                except OSError:
                    await asyncio.sleep(0.01)
                else:
                    writer.close()
                    break
