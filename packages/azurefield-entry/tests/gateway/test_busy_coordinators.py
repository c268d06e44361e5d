"""Coordinators that have no room for a forwarded request."""

from __future__ import annotations

import asyncio

import pytest
from msgspec.structs import replace
from result import Err, Ok

from azurefield.sharing import RequestClass, SharedAdmission
from azurefield.workspaces import Workspace
from azurefield_entry.gateway.peers.forwarding import (
    ForwardProblem,
)
from azurefield_testkit.entry_support.forwarding_pair import (
    ANSWER,
    Runner,
    pair,
    request,
)
from azurefield_testkit.waiting import wait_until


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
        coordinator.admission = FixedAdmission(parts={greedy: 1.0}, credits={greedy: 0.0})
        refused = await instances.forward(request(1, Workspace(name="greedy")))
        assert isinstance(refused, Err)
        assert refused.err_value.problem is ForwardProblem.REFUSED
        assert not runner.started
        assert await instances.forward(request(2, Workspace(name="small"))) == Ok(ANSWER)
        assert coordinator.admission.asked == {greedy: 1, small: 1}
