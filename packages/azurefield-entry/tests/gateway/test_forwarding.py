"""Requests that one instance forwards and another, the coordinator, runs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import pytest
from msgspec.structs import replace
from result import Err, Ok

from azurefield.coordinators import InstanceProfile
from azurefield.failures import FailureKind, RequestFailure
from azurefield.merge import MergedParts
from azurefield.model import Outcome
from azurefield.workspaces import Workspace
from azurefield_entry.gateway.peers.counted_frames import HEAD_BYTES, request_number
from azurefield_entry.gateway.peers.forward_frames import encode_request
from azurefield_entry.gateway.peers.forwarding import (
    ForwardProblem,
    ForwardTarget,
)
from azurefield_entry.gateway.peers.frames import Heartbeat
from azurefield_entry.gateway.peers.framing import LENGTH_PREFIX_BYTES, encode
from azurefield_entry.gateway.peers.links import SILENCE_TIMEOUT_S
from azurefield_entry.gateway.requests.access import AdmittedRequest
from azurefield_entry.kernel import BeginDrain, Stop
from azurefield_testkit.entry_support.forwarding_pair import (
    ANSWER,
    ROUTE,
    VERSION,
    Runner,
    pair,
    request,
)
from azurefield_testkit.entry_support.instance import free_address
from azurefield_testkit.waiting import wait_until

if TYPE_CHECKING:
    from azurefield_entry.gateway.requests.running import RequestResult

FAILURE = Err(
    RequestFailure(
        kind=FailureKind.LEAF_UNAVAILABLE,
        outcome=Outcome.NOT_RUN,
        detail="0 of 2",
        retry_after_s=0.5,
    )
)


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

    async def run(admitted: AdmittedRequest) -> RequestResult:
        request_id = admitted.request.request_id
        number = int(request_id[1:])
        await asyncio.sleep(0.01 * (20 - number))
        return Ok(MergedParts(proofs=(request_id,), missing=number, body=b""))

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


async def test_a_planned_stop_gives_up_in_the_time_that_it_was_announced_with() -> None:
    """Guards against a stop that outlasts its grace, as each service waits after the other."""
    async with pair(Runner()) as instances:
        instances.coordinator.finish_timeout_s = 1.0
        waiting = asyncio.create_task(instances.forward(request()))
        await wait_until(lambda: bool(instances.coordinator.activity.running), what="the request")
        instances.mailbox.send(BeginDrain())
        # Another service finishes its own requests before this one is stopped.
        await asyncio.sleep(1.0)
        instances.mailbox.send(Stop())
        async with asyncio.timeout(0.7):
            await asyncio.shield(instances.serving)
        assert isinstance(await waiting, Err)


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


async def test_an_accepted_request_runs_under_the_version_that_has_admitted_it() -> None:
    """Guards against 503 for a request, or another version's workspace, as a version changes."""
    runner = Runner()
    runner.release.set()
    async with pair(runner) as instances:
        versions = iter([VERSION])
        tables = iter([replace(ROUTE, name="accepted"), ROUTE])
        instances.coordinator.version = lambda: next(versions, VERSION + 1)
        instances.coordinator.admit = lambda asked: Ok(
            AdmittedRequest(request=asked, route=next(tables), version=VERSION)
        )
        assert await instances.forward(request()) == Ok(ANSWER)
        assert [admitted.route.name for admitted in runner.admitted] == ["accepted"]


async def test_a_request_that_the_coordinator_does_not_admit_is_refused_before_it_runs() -> None:
    """Guards against 503 for a request that can run where it arrived."""
    runner = Runner()
    async with pair(runner) as instances:
        instances.coordinator.admit = lambda _: FAILURE
        refused = await instances.forward(request())
        assert isinstance(refused, Err)
        assert refused.err_value.problem is ForwardProblem.REFUSED
    assert runner.started == []


async def test_a_coordinator_without_memory_for_a_body_still_gets_other_requests() -> None:
    """Guards against a coordinator that is avoided, or a workspace charged, for one large body."""
    runner = Runner()
    runner.release.set()
    async with pair(runner) as instances:
        coordinator = instances.coordinator
        coordinator.load.memory.limit_bytes = 8192
        large = replace(request(1, Workspace(name="w")), body=bytes(8192))
        refused = await instances.forward(large)
        assert isinstance(refused, Err)
        assert refused.err_value.problem is ForwardProblem.REFUSED
        assert not runner.started
        assert not coordinator.admission.asked
        view = instances.forwarding.router.view("c1")
        assert (view.consecutive_failures, view.backoff_until) == (0, float("-inf"))
        assert await instances.forward(request(2)) == Ok(ANSWER)


async def test_a_large_frame_counts_before_it_has_arrived_and_is_refused_alone() -> None:
    """Guards against unfinished frames that nothing counts, and a link that ends for one."""
    runner = Runner()
    async with pair(runner) as instances:
        memory = instances.coordinator.load.memory
        memory.limit_bytes = 1_000_000
        running = asyncio.create_task(instances.forward(request(1)))
        await wait_until(lambda: len(runner.started) == 1, what="the first request to run")
        host, _, port = instances.coordinator.address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write((400_000).to_bytes(4, "big") + bytes(100))
        await wait_until(lambda: memory.used_bytes == 800_000, what="the frame to count")
        large = replace(request(2), body=bytes(200_000))
        refused = await instances.forward(large)
        assert isinstance(refused, Err)
        assert refused.err_value.no_room
        runner.release.set()
        assert await running == Ok(ANSWER)
        writer.close()
        await wait_until(lambda: memory.used_bytes == 0, what="the frame to be dropped")
        assert await instances.forward(large) == Ok(ANSWER)


@pytest.mark.parametrize("number", [0, 127, 128, 255, 256, 65_536, 1 << 40])
async def test_the_number_of_a_request_is_read_from_the_first_bytes_of_its_frame(
    number: int,
) -> None:
    """Guards against the refusal of another request than the one without memory."""
    frame = encode(encode_request(number, VERSION, request(), now=0.0))
    assert request_number(frame[LENGTH_PREFIX_BYTES:][:HEAD_BYTES]) == number
    other = encode(Heartbeat())
    with pytest.raises(msgspec.DecodeError):
        request_number(other[LENGTH_PREFIX_BYTES:])


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
