"""Requests that one instance forwards and another, the coordinator, runs."""

from __future__ import annotations

import asyncio
import time
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from functools import partial
from random import Random
from typing import TYPE_CHECKING

import pytest
from result import Err, Ok

from azurefield.coordinators import CoordinatorView, InstanceProfile
from azurefield.failures import FailureKind, RequestFailure
from azurefield.merge import MergedParts
from azurefield.model import Outcome
from azurefield.routes import Route, ShardSet
from azurefield.routing import OwnObservationRouter
from azurefield.server_view import BACKOFF_BASE_S
from azurefield.sharing import RequestClass, SharedAdmission
from azurefield.workspaces import Workspace
from azurefield_entry.gateway.peers.coordinator import CoordinatorService
from azurefield_entry.gateway.peers.forward_frames import RequestServed, decode_result
from azurefield_entry.gateway.peers.forwarding import (
    Forwarding,
    ForwardProblem,
    ForwardTarget,
    NotForwarded,
    is_silent,
)
from azurefield_entry.gateway.peers.frames import Heartbeat
from azurefield_entry.gateway.peers.framing import encode
from azurefield_entry.gateway.peers.links import SILENCE_TIMEOUT_S
from azurefield_entry.gateway.ports import GatewayRequest
from azurefield_entry.gateway.quotas.frames import ShareNotIssued
from azurefield_entry.gateway.quotas.issuer import QuotaIssuer
from azurefield_entry.gateway.requests.running import RequestResult
from azurefield_entry.kernel import BeginDrain, Kernel, Mailbox, Stop
from azurefield_testkit.entry_support.instance import free_address
from azurefield_testkit.waiting import accepts, wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


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
FAILURE = Err(
    RequestFailure(
        kind=FailureKind.LEAF_UNAVAILABLE,
        outcome=Outcome.NOT_RUN,
        detail="0 of 2",
        retry_after_s=0.5,
    )
)


@dataclass(slots=True, kw_only=True)
class Runner:
    """Stands for the gateway of the coordinator.

    :param release: set when the requests may end
    """

    result: RequestResult = field(default_factory=lambda: ANSWER)
    release: asyncio.Event = field(default_factory=asyncio.Event)
    started: list[GatewayRequest] = field(default_factory=list)
    cancelled: int = 0
    version: int | None = VERSION

    async def run(self, request: GatewayRequest) -> RequestResult:
        self.started.append(request)
        try:
            await self.release.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return self.result


@dataclass(slots=True, kw_only=True)
class Pair:
    """A forwarding instance and a running coordinator."""

    forwarding: Forwarding
    coordinator: CoordinatorService
    mailbox: Mailbox
    serving: asyncio.Task[None]

    async def forward(self, request: GatewayRequest) -> object:
        return await self.forwarding.forward(ForwardTarget(instance="c1"), request, ROUTE, VERSION)

    async def linked(self) -> bool:
        return isinstance(await self.forwarding.peers.link("c1"), Ok)


@asynccontextmanager
async def pair(runner: Runner) -> AsyncIterator[Pair]:
    address = free_address()
    coordinator = CoordinatorService(
        address=address,
        version=lambda: runner.version,
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


@pytest.mark.parametrize("status", [-1, 0, 7, 99, 101, 199, 600, 999])
def test_an_answer_with_an_odd_status_is_none_and_may_have_run(status: int) -> None:
    """Guards against a caller that gets what an instance of another version forwards."""
    frame = RequestServed(number=1, status=status, headers=(), body=b"", proof="p")
    result = decode_result(frame)
    assert isinstance(result, Err), result.ok_value
    assert result.err_value.outcome is Outcome.MAY_HAVE_RUN


@pytest.mark.parametrize("result", [ANSWER, FAILURE], ids=["answered", "failed"])
async def test_the_result_of_a_forwarded_request_comes_back_unchanged(
    result: RequestResult,
) -> None:
    """Guards against a result whose proofs, outcome or time to come back are lost on the way."""
    runner = Runner(result=result)
    runner.release.set()
    async with pair(runner) as instances:
        sent = request()
        assert await instances.forward(sent) == Ok(result)
    (ran,) = runner.started
    assert (ran.request_id, ran.target, ran.headers) == ("q1", "/1", sent.headers)
    assert ran.deadline == pytest.approx(sent.deadline, abs=0.2)


async def test_many_requests_share_one_link_and_each_gets_its_own_result() -> None:
    """Guards against results that reach another request."""
    runner = Runner()

    async def run(forwarded: GatewayRequest) -> RequestResult:
        number = int(forwarded.request_id[1:])
        await asyncio.sleep(0.01 * (20 - number))
        return Ok(MergedParts(proofs=(forwarded.request_id,), missing=number, body=b""))

    async with pair(runner) as instances:
        instances.coordinator.run_request = run
        results = await asyncio.gather(*(instances.forward(request(n)) for n in range(20)))
        assert len(instances.coordinator.links) == 1
    assert results == [
        Ok(Ok(MergedParts(proofs=(f"q{n}",), missing=n, body=b""))) for n in range(20)
    ]


@pytest.mark.parametrize(
    ("version", "draining"), [(VERSION + 1, False), (None, False), (VERSION, True)]
)
async def test_a_coordinator_refuses_what_it_would_run_differently(
    version: int | None, draining: bool
) -> None:
    """Guards against a request that runs under another version, or on an instance that stops."""
    runner = Runner(version=version)
    async with pair(runner) as instances:
        if draining:
            instances.mailbox.send(BeginDrain())
            await wait_until(lambda: instances.coordinator.draining, what="the drain")
        refused = await instances.forward(request())
        assert isinstance(refused, Err)
        assert refused.err_value.problem is ForwardProblem.REFUSED
    assert runner.started == []


async def test_a_coordinator_refuses_bodies_for_which_it_has_no_room() -> None:
    """Guards against forwarded bodies that take a coordinator over its memory."""
    runner = Runner()
    async with pair(runner) as instances:
        load = instances.coordinator.load
        load.set_limits(memory_bytes=250_000)
        large = replace(request(1), body=bytes(100_000))
        running = asyncio.create_task(instances.forward(large))
        await wait_until(lambda: len(runner.started) == 1, what="the first request runs")
        refused = await instances.forward(replace(large, request_id="q2"))
        assert isinstance(refused, Err)
        assert refused.err_value.problem is ForwardProblem.REFUSED
        runner.release.set()
        assert await running == Ok(ANSWER)
        assert await instances.forward(replace(large, request_id="q3")) == Ok(ANSWER)
        await wait_until(lambda: load.memory.total_bytes == 0, what="nothing is held")
    assert [ran.request_id for ran in runner.started] == ["q1", "q3"]


@pytest.mark.parametrize("lag_s", [0.4, 10.0])
async def test_an_overloaded_coordinator_leaves_requests_to_the_instance_that_has_them(
    lag_s: float,
) -> None:
    """Guards against a few slow coordinators that make all queries of the fleet late."""
    runner = Runner()
    async with pair(runner) as instances:
        instances.coordinator.lag.lag_s = lag_s
        refused = await instances.forward(request())
        assert isinstance(refused, Err)
        assert refused.err_value.problem is ForwardProblem.REFUSED
    assert runner.started == []


async def test_a_caller_that_disconnects_cancels_its_request_on_the_coordinator() -> None:
    """Guards against calls to servers for a caller that has left."""
    runner = Runner()
    async with pair(runner) as instances:
        waiting = asyncio.create_task(instances.forward(request()))
        await wait_until(lambda: len(runner.started) == 1, what="the request to run")
        waiting.cancel()
        await wait_until(lambda: runner.cancelled == 1, what="the cancellation")
        await wait_until(lambda: not instances.coordinator.activity.running, what="the end")


async def test_a_lost_coordinator_fails_its_requests_as_possibly_run() -> None:
    """Guards against a second run, or a false "not run", after a coordinator is lost."""
    runner = Runner()
    async with pair(runner) as instances:
        waiting = asyncio.create_task(instances.forward(request()))
        await wait_until(lambda: len(runner.started) == 1, what="the request to run")
        for link in [*instances.coordinator.links]:
            link.writer.transport.abort()
        lost = await waiting
        assert isinstance(lost, Err)
        assert lost.err_value.problem is ForwardProblem.LOST
        await wait_until(lambda: runner.cancelled == 1, what="the end of the request there")


async def test_a_coordinator_that_falls_silent_loses_its_requests_in_bounded_time() -> None:
    """Guards against callers that wait until their deadline for a suspended coordinator."""
    runner = Runner()
    async with pair(runner) as instances:
        waiting = asyncio.create_task(instances.forward(request()))
        await wait_until(lambda: len(runner.started) == 1, "the request to run")
        instances.coordinator.links.clear()  # No heartbeats are sent any more.
        async with asyncio.timeout(1.4):
            lost = await waiting
        assert isinstance(lost, Err)
        assert lost.err_value.problem is ForwardProblem.LOST


async def test_a_pause_of_this_process_is_not_taken_for_silence_of_the_coordinator() -> None:
    """Guards against running work that is given up because this process was suspended."""
    runner = Runner()
    async with pair(runner) as instances:
        waiting = asyncio.create_task(instances.forward(request()))
        await wait_until(lambda: len(runner.started) == 1, "the request to run")
        # The coordinator runs in this loop too, so neither of the two sends or reads meanwhile.
        time.sleep(2 * SILENCE_TIMEOUT_S)  # noqa: ASYNC251 - suspends the whole process
        await asyncio.sleep(0.15)
        runner.release.set()
        assert await waiting == Ok(ANSWER)


async def test_an_unreachable_coordinator_is_certain_not_to_have_run_the_request() -> None:
    """Guards against a request that fails although this instance can run it."""
    async with pair(Runner()) as instances:
        instances.forwarding.view.on_profile(
            InstanceProfile(
                instance="c1",
                availability_zone="z",
                capacity=2.0,
                coordinator_address=free_address(),
            )
        )
        refused = await instances.forward(request())
        assert isinstance(refused, Err)
        assert refused.err_value.problem is ForwardProblem.REFUSED


async def test_a_suspended_coordinator_does_not_count_as_having_refused() -> None:
    """Guards against a second run of requests that it runs when it continues."""
    silent = await asyncio.start_server(lambda _reader, _writer: None, "127.0.0.1", 0)
    async with pair(Runner()) as instances:
        port = silent.sockets[0].getsockname()[1]
        instances.forwarding.view.on_profile(
            InstanceProfile(
                instance="c1",
                availability_zone="z",
                capacity=2.0,
                coordinator_address=f"127.0.0.1:{port}",
            )
        )
        results = [await instances.forward(request(n)) for n in range(4)]
        problems = [result.err_value for result in results if isinstance(result, Err)]
        assert [problem.problem for problem in problems] == [ForwardProblem.UNANSWERED] * 4
    silent.close()


async def test_a_planned_stop_keeps_the_links_with_running_requests() -> None:
    """Guards against 502 for requests that a stopping instance still finishes."""
    runner = Runner()
    async with pair(runner) as instances:
        await wait_until(instances.linked, what="the link")
        target = ForwardTarget(instance="c1", accepts_until_deadline=True)
        forwarded = instances.forwarding.forward(target, request(), ROUTE, VERSION)
        waiting = asyncio.create_task(forwarded)
        await wait_until(lambda: len(runner.started) == 1, what="the request to run")
        instances.mailbox.send(Stop())
        await asyncio.sleep(SILENCE_TIMEOUT_S + 0.3)
        runner.release.set()
        assert await waiting == Ok(ANSWER)


@pytest.mark.parametrize("message", [BeginDrain(), Stop()], ids=["drain", "stop"])
async def test_a_stopping_coordinator_no_longer_counts_as_reachable(
    message: BeginDrain | Stop,
) -> None:
    """Guards against claims of issuer slots by an instance that is about to end."""
    async with pair(Runner()) as instances:
        target = ForwardTarget(instance="c1", accepts_until_deadline=True)
        forwarded = instances.forwarding.forward(target, request(), ROUTE, VERSION)
        waiting = asyncio.create_task(forwarded)
        await wait_until(lambda: bool(instances.coordinator.links), what="the link")
        assert instances.coordinator.listening
        instances.mailbox.send(message)
        await wait_until(lambda: not instances.coordinator.listening, what="the end of claims")
        waiting.cancel()


async def test_a_request_that_was_accepted_under_an_earlier_version_is_not_run() -> None:
    """Guards against a run with the workspace or the quota of another version."""
    runner = Runner()
    runner.release.set()
    async with pair(runner) as instances:
        versions = iter([VERSION])
        instances.coordinator.version = lambda: next(versions, VERSION + 1)
        result = await instances.forward(request())
        assert isinstance(result, Ok)
        assert result.ok_value.err_value.outcome is Outcome.NOT_RUN
        assert not runner.started


class FixedAdmission(SharedAdmission):
    """Keeps the parts that a test has set."""

    def on_interval(self, now: float, late_s: float) -> None:
        pass


async def test_a_busy_coordinator_refuses_what_exceeds_a_workspace_s_part() -> None:
    """Guards against one workspace that takes the whole coordinator, or all that are refused."""
    runner = Runner()
    runner.release.set()
    greedy, small = (RequestClass.of(0, Workspace(name=name)) for name in ("greedy", "small"))
    async with pair(runner) as instances:
        coordinator = instances.coordinator
        coordinator.classify = lambda asked: RequestClass.of(0, asked.workspace)
        coordinator.admission = FixedAdmission(parts={greedy: 1.0}, credits={greedy: 0.0})
        refused = await instances.forward(request(1, Workspace(name="greedy")))
        assert isinstance(refused, Err)
        assert refused.err_value.problem is ForwardProblem.REFUSED
        assert not runner.started
        assert await instances.forward(request(2, Workspace(name="small"))) == Ok(ANSWER)
        assert coordinator.admission.asked == {greedy: 1, small: 1}


async def test_a_planned_stop_finishes_the_requests_of_other_instances() -> None:
    """Guards against a planned stop that cuts requests which the coordinator has accepted."""
    runner = Runner()
    async with pair(runner) as instances:
        waiting = asyncio.create_task(instances.forward(request()))
        await wait_until(lambda: len(runner.started) == 1, what="the request to run")
        instances.mailbox.send(BeginDrain())
        instances.mailbox.send(Stop())
        await asyncio.sleep(0.1)
        runner.release.set()
        assert await waiting == Ok(ANSWER)
        await instances.serving


@pytest.mark.parametrize(
    "sent", [b"\xff" * 64, (1 << 30).to_bytes(4, "big"), b"\x00\x00\x00\x01\x90"]
)
async def test_a_malformed_frame_ends_only_its_link(sent: bytes) -> None:
    """Guards against one malformed message that takes the process down."""
    runner = Runner()
    runner.release.set()
    async with pair(runner) as instances:
        host, _, port = instances.coordinator.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(sent)
        assert await reader.read() == b""
        writer.close()
        assert await instances.forward(request()) == Ok(ANSWER)
        assert not instances.serving.done()


async def test_a_silent_coordinator_is_avoided_until_it_is_heard() -> None:
    """Guards against requests that are lost one by one to a suspended coordinator."""
    woken = asyncio.Event()

    async def stay_silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await woken.wait()
        writer.write(encode(Heartbeat()))
        await reader.read()
        writer.close()

    listener = await asyncio.start_server(stay_silent, "127.0.0.1", 0)
    address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
    view = CoordinatorView(own="i1")
    for name, zone, capacity in (("i1", "z", 0.1), ("c1", "z", 9.0), ("c2", "z", 9.0)):
        view.on_profile(
            InstanceProfile(
                instance=name,
                availability_zone=zone,
                capacity=capacity,
                coordinator_address=address,
            )
        )
    forwarding = Forwarding(view=view, router=OwnObservationRouter(random=Random(1)))
    forwarding.zones = {ROUTE.name: frozenset({"z"})}
    first = forwarding.choose(ROUTE)
    assert first is not None
    lost = await forwarding.forward(ForwardTarget(instance=first), request(), ROUTE, VERSION)
    assert isinstance(lost, Err)
    assert lost.err_value.problem is ForwardProblem.UNANSWERED
    await asyncio.sleep(2 * BACKOFF_BASE_S)
    assert {forwarding.choose(ROUTE) for _ in range(50)} == {"c1", "c2"} - {first}
    woken.set()
    await wait_until(lambda: not forwarding.choice.silent, "the coordinator is heard")
    assert {forwarding.choose(ROUTE) for _ in range(50)} == {"c1", "c2"}
    forwarding.peers.close()
    listener.close()


@pytest.mark.parametrize(
    ("problem", "link_lost", "silent"),
    [
        (ForwardProblem.REFUSED, False, False),
        (ForwardProblem.UNANSWERED, False, True),
        (ForwardProblem.LOST, False, False),
        (ForwardProblem.LOST, True, True),
    ],
    ids=["refused", "not-accepted", "late-result", "link-lost"],
)
def test_only_a_coordinator_that_sends_nothing_is_silent(
    problem: ForwardProblem, link_lost: bool, silent: bool
) -> None:
    """Guards against a coordinator that works and is avoided for a slow or refused request."""
    not_forwarded = NotForwarded(problem=problem, detail="", link_lost=link_lost)
    assert is_silent(Err(not_forwarded)) == silent
    assert not is_silent(Ok(ANSWER))
