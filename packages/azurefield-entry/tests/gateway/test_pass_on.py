"""Requests that an instance without servers passes on, and the instances that refuse them."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any, cast

import pytest
from msgspec.structs import replace
from result import Err, Ok

from azurefield.coordinators import CoordinatorView, InstanceProfile
from azurefield.overload import RUNNING_MAX
from azurefield.peer_selection import AVOID_S, PeerSelection
from azurefield.routes import Route, SingleService
from azurefield.routing import OwnObservationRouter
from azurefield_entry.clock import now
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.peers.coordinator import CoordinatorService
from azurefield_entry.gateway.peers.forwarding import (
    Forwarding,
    ForwardProblem,
    ForwardTarget,
    NotForwarded,
)
from azurefield_entry.gateway.peers.links import SILENCE_TIMEOUT_S, PeerLinks
from azurefield_entry.gateway.ports import OpaqueAnswer
from azurefield_entry.gateway.quotas.frames import ShareNotIssued
from azurefield_entry.gateway.quotas.issuer import QuotaIssuer
from azurefield_entry.gateway.requests.dispatch import TARGETS_MAX, RequestDispatcher
from azurefield_entry.kernel import Kernel, Mailbox, Stop
from azurefield_testkit.entry_support.forwarding_pair import admit
from azurefield_testkit.entry_support.gateway_parts import make_request
from azurefield_testkit.entry_support.instance import free_address
from azurefield_testkit.waiting import accepts, wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from azurefield_entry.gateway.requests.access import AdmittedRequest
    from azurefield_entry.gateway.requests.running import RequestResult

VERSION = 7
# How late an instance reads a request; longer than the wait for a coordinator.
LATE_S = 0.2
ROUTE = Route(
    name="r",
    host="x",
    prefix="/",
    target=SingleService(service="desk"),
    timeout_s=1.0,
    idempotent=True,
)
ANSWER = OpaqueAnswer(status=200, headers=(), body=b"ok", proof="p")


@dataclass(slots=True, kw_only=True)
class Neighbours:
    """An instance that passes requests on, and the only other one."""

    dispatcher: RequestDispatcher
    other: CoordinatorService

    async def served(self, time_s: float | None = 1.0) -> bool:
        """Pass one request on; return whether it was run."""
        return isinstance(await self.pass_on(time_s), Ok)

    async def pass_on(self, time_s: float | None = 1.0) -> RequestResult | None:
        """Pass one request on and return its result."""
        request = make_request(deadline=None if time_s is None else now() + time_s)
        return await self.dispatcher.pass_on(request, ROUTE, VERSION)


def profile(address: str) -> InstanceProfile:
    return InstanceProfile(
        instance="i2", availability_zone="z", capacity=2.0, coordinator_address=address
    )


@asynccontextmanager
async def neighbours() -> AsyncIterator[Neighbours]:
    """Run the other instance; the first one needs no servers."""

    async def run(_: AdmittedRequest) -> RequestResult:
        return Ok(ANSWER)

    other = CoordinatorService(
        address=free_address(),
        version=lambda: VERSION,
        admit=admit,
        run_request=run,
        quota_issuer=QuotaIssuer(fraction=lambda _: 1.0),
        answer_share=lambda frame: ShareNotIssued(number=frame.number),
        on_crash_report=lambda _: None,
        partitioned=lambda: False,
        finish_timeout_s=2.0,
    )
    mailbox = Mailbox(name="coordinator")
    serving = asyncio.create_task(other.run(Kernel(), mailbox))
    await wait_until(partial(accepts, other.address), "the other instance accepts links")
    router = OwnObservationRouter(random=Random(1))
    forwarding = Forwarding(view=CoordinatorView(own="i1"), router=router)
    forwarding.view.on_profile(profile(other.address))
    unused = cast("Any", None)
    dispatcher = RequestDispatcher(
        runner=unused,
        forwarding=forwarding,
        peers=PeerSelection(own="i1", own_zone="z", router=router, other_zone_penalty_s=0.0),
        partition_watch=unused,
        contacts=unused,
        metrics=GatewayMetrics(),
        random=Random(1),
    )
    try:
        yield Neighbours(dispatcher=dispatcher, other=other)
    finally:
        forwarding.peers.close()
        mailbox.send(Stop())
        await serving


@pytest.mark.parametrize("lag_s", [0.15, 0.3])
async def test_the_only_other_instance_runs_requests_while_it_is_late(lag_s: float) -> None:
    """Guards against requests that are rejected although the late instance could serve them."""
    async with neighbours() as pair:
        for _ in range(3):
            pair.other.lag.lag_s = lag_s
            assert await pair.served()


@pytest.mark.parametrize("lag_s", [0.6, 1.2])
async def test_an_instance_that_is_too_late_for_a_request_is_asked_for_the_next(
    lag_s: float,
) -> None:
    """Guards against a time without service because the only other instance was late once."""
    async with neighbours() as pair:
        pair.other.lag.lag_s = lag_s
        assert not await pair.served(time_s=0.25)
        pair.other.lag.lag_s = 0.0
        assert await pair.served(time_s=0.25)


async def test_a_request_waits_for_an_instance_that_reads_it_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against 502 for requests that the other instance would run in time."""
    accept = CoordinatorService.accept

    def accept_late(*args: Any) -> None:
        asyncio.get_running_loop().call_later(LATE_S, accept, *args)

    monkeypatch.setattr(CoordinatorService, "accept", accept_late)
    async with neighbours() as pair:
        assert await pair.pass_on() == Ok(ANSWER)


async def test_an_instance_whose_overload_lasts_runs_few_requests_of_others() -> None:
    """Guards against callers of the only instance with servers that wait behind those of others."""
    release = asyncio.Event()

    async def run(_: AdmittedRequest) -> RequestResult:
        await release.wait()
        return Ok(ANSWER)

    async with neighbours() as pair:
        pair.other.run_request = run
        pair.other.lag.lag_s, pair.other.lag.lasting = 0.4, True
        passing = [asyncio.create_task(pair.served()) for _ in range(2 * RUNNING_MAX)]
        await wait_until(lambda: pair.other.request_count >= RUNNING_MAX, "some requests run")
        release.set()
        assert sum(await asyncio.gather(*passing)) == RUNNING_MAX


@pytest.mark.parametrize("others", [1, 2, 3, 4, 5])
async def test_the_last_of_several_instances_that_are_late_runs_a_request(
    monkeypatch: pytest.MonkeyPatch, others: int
) -> None:
    """Guards against requests that are rejected because all instances are late for a moment."""
    asked: list[ForwardTarget] = []

    async def forward(_: Forwarding, target: ForwardTarget, *__: Any) -> Any:
        asked.append(target)
        if target.last_choice:
            return Ok(Ok(ANSWER))
        refused = ForwardProblem.REFUSED
        return Err(NotForwarded(problem=refused, detail="late", retry_after_s=0.2))

    async with neighbours() as pair:
        monkeypatch.setattr(Forwarding, "forward", forward)
        for number in range(1, others):
            pair.dispatcher.forwarding.view.on_profile(
                replace(profile(pair.other.address), instance=f"other{number}")
            )
        for _ in range(3):
            asked.clear()
            assert await pair.served()
            assert len(asked) <= TARGETS_MAX
            assert [target.last_choice for target in asked].count(True) == 1


async def test_an_instance_without_memory_for_a_request_is_asked_once_and_not_avoided(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an instance that gets no requests because of one large body."""
    asked: list[str] = []

    async def forward(_: Forwarding, target: ForwardTarget, *__: Any) -> Any:
        asked.append(target.instance)
        if len(asked) > 1:
            return Ok(Ok(ANSWER))
        refused = ForwardProblem.REFUSED
        return Err(NotForwarded(problem=refused, detail="no memory", no_room=True))

    async with neighbours() as pair:
        monkeypatch.setattr(Forwarding, "forward", forward)
        pair.dispatcher.forwarding.view.on_profile(
            replace(profile(pair.other.address), instance="other")
        )
        assert await pair.served()
        assert sorted(asked) == ["i2", "other"]
        assert not pair.dispatcher.peers.avoided_until


async def test_a_request_without_a_deadline_has_the_time_of_its_route() -> None:
    """Guards against an instance that is late without limit and accepts all the same."""
    async with neighbours() as pair:
        pair.other.lag.lag_s = 5.0
        assert not await pair.served(time_s=None)


async def test_a_request_whose_time_is_over_is_not_passed_on() -> None:
    """Guards against calls for a caller that has left, and an instance that is then not ready."""
    async with neighbours() as pair:
        assert await pair.pass_on(time_s=0.0) is None
        assert pair.other.request_count == 0
        assert not pair.dispatcher.found_no_instance


@asynccontextmanager
async def replaced_by(
    pair: Neighbours, serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
) -> AsyncIterator[None]:
    """Let another listener take the place of the other instance."""
    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
    pair.dispatcher.forwarding.view.on_profile(profile(address))
    yield
    listener.close()


async def test_a_link_that_is_closed_at_once_refuses_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests that wait for a reply on a link that ended before they used it."""
    connect = PeerLinks.connect

    async def connect_and_lose(links: PeerLinks, instance: str) -> Any:
        opened = await connect(links, instance)
        opened.unwrap().close("reset")
        return opened

    monkeypatch.setattr(PeerLinks, "connect", connect_and_lose)
    async with neighbours() as pair:
        began = now()
        assert await pair.pass_on() is None
        assert now() - began < SILENCE_TIMEOUT_S


async def test_a_silent_instance_gets_no_further_requests_for_a_while() -> None:
    """Guards against requests that all wait for an instance which is suspended."""

    async def be_silent(reader: asyncio.StreamReader, _: asyncio.StreamWriter) -> None:
        while await reader.read(65_536):
            pass

    async with neighbours() as pair, replaced_by(pair, be_silent):
        assert isinstance(await pair.pass_on(), Err)
        began = now()
        assert await pair.pass_on() is None
        assert now() - began < SILENCE_TIMEOUT_S / 2
        assert not pair.dispatcher.found_no_instance
        pair.dispatcher.forwarding.view.on_profile(profile(pair.other.address))
        await asyncio.sleep(AVOID_S)
        assert await pair.served()


async def test_an_instance_that_stops_is_not_asked_again_soon() -> None:
    """Guards against requests that each ask an instance which refuses them all."""
    async with neighbours() as pair:
        pair.other.draining = True
        assert not await pair.served()
        pair.other.draining = False
        await asyncio.sleep(0.3)
        assert not await pair.served()
