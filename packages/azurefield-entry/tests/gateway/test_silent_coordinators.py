"""Coordinators that send nothing for a while, and pauses of this process."""

from __future__ import annotations

import asyncio
import time
from random import Random

import pytest
from result import Err, Ok

from azurefield.coordinators import CoordinatorView, InstanceProfile
from azurefield.routing import OwnObservationRouter
from azurefield.server_view import BACKOFF_BASE_S
from azurefield_entry.gateway.peers.forward_frames import RequestAccepted
from azurefield_entry.gateway.peers.forwarding import (
    ForwardedCall,
    Forwarding,
    ForwardProblem,
    ForwardTarget,
    NotForwarded,
    is_silent,
    wait_for_acceptance,
)
from azurefield_entry.gateway.peers.frames import Heartbeat
from azurefield_entry.gateway.peers.framing import encode
from azurefield_entry.gateway.peers.links import SILENCE_TIMEOUT_S
from azurefield_testkit.entry_support.forwarding_pair import (
    ANSWER,
    ROUTE,
    VERSION,
    Runner,
    pair,
    request,
)
from azurefield_testkit.waiting import wait_until


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


@pytest.mark.parametrize(
    ("pause_s", "accepted"), [(0.3, True), (0.0, False)], ids=["pause", "none"]
)
async def test_a_pause_of_this_process_hides_no_acceptance(pause_s: float, accepted: bool) -> None:
    """Guards against a request that fails although its acceptance arrived during a pause."""
    loop = asyncio.get_running_loop()
    call = ForwardedCall(accepted=loop.create_future(), result=loop.create_future())
    waiting = asyncio.create_task(wait_for_acceptance(call, 0.05))
    await asyncio.sleep(0)
    time.sleep(pause_s)  # noqa: ASYNC251 - suspends the whole process
    if not accepted:
        await waiting
    await asyncio.sleep(0.02)
    call.on_frame(RequestAccepted(number=1))
    assert isinstance(await waiting, Ok) is accepted


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
