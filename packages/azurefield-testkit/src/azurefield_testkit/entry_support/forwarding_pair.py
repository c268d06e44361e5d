"""A forwarding instance and a coordinator within one process."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import TYPE_CHECKING

from result import Ok, Result

from azurefield.coordinators import CoordinatorView, InstanceProfile
from azurefield.merge import MergedParts
from azurefield.routes import Route, ShardSet
from azurefield.routing import OwnObservationRouter
from azurefield_entry.gateway.peers.coordinator import CoordinatorService
from azurefield_entry.gateway.peers.forwarding import (
    Forwarding,
    ForwardTarget,
)
from azurefield_entry.gateway.ports import GatewayRequest
from azurefield_entry.gateway.quotas.frames import ShareNotIssued
from azurefield_entry.gateway.quotas.issuer import QuotaIssuer
from azurefield_entry.gateway.requests.access import AdmittedRequest
from azurefield_entry.gateway.requests.running import RequestResult
from azurefield_entry.kernel import Kernel, Mailbox, Stop
from azurefield_testkit.entry_support.instance import free_address
from azurefield_testkit.waiting import accepts, wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from azurefield.failures import RequestFailure
    from azurefield.workspaces import Workspace


VERSION = 7
ROUTE = Route(
    name="r",
    host="x",
    prefix="/",
    target=ShardSet(shards=("a", "b"), top=2, coverage_min=0.5),
    idempotent=True,
    timeout_s=2.0,
    goal_s=0.2,
    attempts_max=2,
)
ANSWER = Ok(MergedParts(proofs=("p1", "p2"), missing=0, body=b"record"))


@dataclass(slots=True, kw_only=True)
class Runner:
    """Stands for the gateway of the coordinator.

    :param release: set when the requests may end
    """

    result: RequestResult = field(default_factory=lambda: ANSWER)
    release: asyncio.Event = field(default_factory=asyncio.Event)
    admitted: list[AdmittedRequest] = field(default_factory=list)
    cancelled: int = 0
    version: int | None = VERSION

    @property
    def started(self) -> list[GatewayRequest]:
        """The requests that were started, in order."""
        return [admitted.request for admitted in self.admitted]

    async def run(self, admitted: AdmittedRequest) -> RequestResult:
        """Keep a request until the release, then return the result."""
        self.admitted.append(admitted)
        try:
            await self.release.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return self.result


def admit(request: GatewayRequest) -> Result[AdmittedRequest, RequestFailure]:
    """Admit every request."""
    return Ok(AdmittedRequest(request=request, route=ROUTE, version=VERSION))


@dataclass(slots=True, kw_only=True)
class Pair:
    """A forwarding instance and a running coordinator."""

    forwarding: Forwarding
    coordinator: CoordinatorService
    mailbox: Mailbox
    serving: asyncio.Task[None]

    async def forward(self, request: GatewayRequest) -> object:
        """Forward a request to the coordinator."""
        return await self.forwarding.forward(ForwardTarget(instance="c1"), request, ROUTE, VERSION)

    async def linked(self) -> bool:
        """Whether there is a link to the coordinator."""
        return isinstance(await self.forwarding.peers.link("c1"), Ok)


@asynccontextmanager
async def pair(runner: Runner) -> AsyncIterator[Pair]:
    """Run a coordinator and build an instance that forwards requests to it."""
    address = free_address()
    coordinator = CoordinatorService(
        address=address,
        version=lambda: runner.version,
        admit=admit,
        run_request=runner.run,
        quota_issuer=QuotaIssuer(fraction=lambda _: 1.0),
        answer_share=lambda frame: ShareNotIssued(number=frame.number),
        on_crash_report=lambda _: None,
        partitioned=lambda: False,
        finish_timeout_s=2.0,
    )
    mailbox = Mailbox(name="coordinator")
    serving = asyncio.create_task(coordinator.run(Kernel(), mailbox))
    view = CoordinatorView(own="i1")
    view.on_profile(
        InstanceProfile(
            instance="c1", availability_zone="z", capacity=2.0, coordinator_address=address
        )
    )
    forwarding = Forwarding(
        view=view,
        router=OwnObservationRouter(random=Random(1)),
    )
    await wait_until(partial(accepts, address), "the coordinator accepts links")
    try:
        yield Pair(forwarding=forwarding, coordinator=coordinator, mailbox=mailbox, serving=serving)
    finally:
        forwarding.peers.close()
        mailbox.send(Stop())
        await serving


def request(number: int = 1, workspace: Workspace | None = None) -> GatewayRequest:
    """Build a request whose caller waits for 1.5 s."""
    now = asyncio.get_running_loop().time()
    return GatewayRequest(
        request_id=f"q{number}",
        method="GET",
        host="x",
        target="/1",
        headers=(("accept", "*/*"),),
        body=b"",
        arrived_at=now,
        deadline=now + 1.5,
        workspace=workspace,
    )
