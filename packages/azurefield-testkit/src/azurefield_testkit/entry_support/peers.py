"""Instances of a test that serve each other's frames within one process."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

from azurefield.coordinators import CoordinatorView, InstanceProfile
from azurefield_entry.gateway.peers.coordinator import CoordinatorService
from azurefield_entry.kernel import Kernel, Mailbox, Stop
from azurefield_testkit.entry_support.forwarding_pair import admit
from azurefield_testkit.entry_support.instance import free_address
from azurefield_testkit.waiting import accepts, wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterable

    from azurefield_entry.gateway.peers.frames import FromPeer
    from azurefield_entry.gateway.peers.links import PeerLinks
    from azurefield_entry.gateway.quotas.frames import ShareAsked
    from azurefield_entry.gateway.quotas.issuer import QuotaIssuer


class Peer(Protocol):
    """One instance; ``stop`` ends it."""

    async def stop(self) -> None:
        """End the instance."""


PeerT = TypeVar("PeerT", bound=Peer)


def view_of(own: str, addresses: dict[str, str]) -> CoordinatorView:
    """Build an instance's view of the addresses of all."""
    view = CoordinatorView(own=own)
    for name, address in addresses.items():
        profile = InstanceProfile(
            instance=name, availability_zone="z", capacity=1.0, coordinator_address=address
        )
        view.on_profile(profile)
    return view


async def refuse_request(request: object) -> object:
    """Fail, since no request is forwarded in the test."""
    raise AssertionError(request)


@dataclass(slots=True, kw_only=True)
class RunningService:
    """A coordinator service that runs until it is stopped."""

    service: CoordinatorService
    mailbox: Mailbox = field(default_factory=lambda: Mailbox(name="coordinator"))
    serving: asyncio.Task[None] = field(init=False)

    def __post_init__(self) -> None:
        self.serving = asyncio.create_task(self.service.run(Kernel(), self.mailbox))

    async def stop(self) -> None:
        """Stop the service."""
        self.mailbox.send(Stop())
        await self.serving


class AsksPeers(Protocol):
    """What an instance asks others with."""

    peers: PeerLinks


QuotasT = TypeVar("QuotasT", bound=AsksPeers)


@dataclass(slots=True, kw_only=True)
class QuotaInstance(Generic[QuotasT]):
    """One instance that gets quota, with its service for the others; ``stop`` ends it."""

    quotas: QuotasT
    running: RunningService

    @property
    def service(self) -> CoordinatorService:
        """The service for the other instances."""
        return self.running.service

    async def stop(self) -> None:
        """Close the links to the others and stop the service."""
        self.quotas.peers.close()
        await self.running.stop()


def serve_quotas(
    address: str, quota_issuer: QuotaIssuer, answer_share: Callable[[ShareAsked], FromPeer]
) -> RunningService:
    """Run the service of an instance that others ask only for quota."""
    service = CoordinatorService(
        address=address,
        version=lambda: 1,
        admit=admit,
        run_request=refuse_request,  # type: ignore[arg-type]
        quota_issuer=quota_issuer,
        answer_share=answer_share,
        on_crash_report=lambda _: None,
        partitioned=lambda: False,
        finish_timeout_s=0.1,
    )
    return RunningService(service=service)


@asynccontextmanager
async def running_peers(
    names: Iterable[str], build: Callable[[str, dict[str, str]], PeerT]
) -> AsyncIterator[dict[str, PeerT]]:
    """Run an instance of each name.

    :param build: builds an instance from its name and the addresses of all
    """
    addresses = {name: free_address() for name in names}
    instances = {name: build(name, addresses) for name in addresses}
    async with AsyncExitStack() as stack:
        for instance in instances.values():
            stack.push_async_callback(instance.stop)
        for address in addresses.values():
            await wait_until(partial(accepts, address), f"{address} accepts links")
        yield instances
