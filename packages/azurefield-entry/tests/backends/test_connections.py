from __future__ import annotations

import asyncio

import pytest
from result import Err, Ok

from azurefield.model import Outcome
from azurefield.sharing import RequestClass
from azurefield_entry.backends.calls import call_leaf
from azurefield_entry.backends.pool import ConnectionPool
from azurefield_testkit.entry_support.wire_server import (
    WireRequest,
    WireServer,
    make_call,
    pool_to,
    settle,
)

SLOW_S = 0.1


class IdleConnection:
    """A connection that is never sent anything."""

    idle_since = 0.0
    usable = True

    async def close(self) -> None:
        """Close nothing."""


async def answer_slowly(request: WireRequest) -> None:
    await asyncio.sleep(SLOW_S)
    request.answer()


async def test_a_late_answer_to_a_cancelled_call_never_reaches_another_call() -> None:
    """Guards against reuse of a connection on which a cancelled call's answer may arrive."""
    server = WireServer(script=answer_slowly)
    async with pool_to(server, ceiling=1) as pool:
        for number in range(10):
            cancelled = asyncio.create_task(call_leaf(pool, make_call(f"cancelled-{number}")))
            await asyncio.sleep(SLOW_S * (0.3 + 0.07 * number))
            assert cancelled.cancel()
            ended = await call_leaf(pool, make_call(f"kept-{number}"))
            assert ended.result.unwrap().call_id == f"kept-{number}"
        assert server.accepted == 11, "each cancelled call must have closed its connection"


async def test_a_timed_out_call_closes_its_connection_and_an_answered_one_keeps_it() -> None:
    """Guards against reuse after a timeout, and against a new connection for each call."""
    server = WireServer(script=answer_slowly)
    async with pool_to(server, ceiling=1) as pool:
        results = [await call_leaf(pool, make_call(f"c{n}")) for n in range(3)]
        assert all(isinstance(ended.result, Ok) for ended in results)
        assert server.accepted == 1
        timed_out = await call_leaf(pool, make_call("late", deadline_s=SLOW_S / 2))
        assert isinstance(timed_out.result, Err)
        await call_leaf(pool, make_call("next"))
        assert server.accepted == 2


async def test_the_ceiling_holds_and_waiting_calls_are_ordered_by_priority_then_arrival() -> None:
    """Guards against connections above the ceiling and urgent calls that wait behind others."""
    server = WireServer(script=answer_slowly)
    async with pool_to(server, ceiling=2) as pool:
        priorities = {"a": 0, "b": 0, "c": 2, "d": 1, "e": 2, "f": 0}
        tasks = []
        for call_id, priority in priorities.items():
            tasks.append(
                asyncio.create_task(call_leaf(pool, make_call(call_id, priority=priority)))
            )
            await asyncio.sleep(0.005)
        await asyncio.gather(*tasks)
        order = [request.headers["x-request-id"] for request in server.requests]
        assert order == ["a", "b", "f", "d", "c", "e"]
        assert server.open_max == 2


async def test_calls_that_wait_for_a_connection_take_turns_by_workspace() -> None:
    """Guards against a workspace that waits behind all calls that another one has queued."""
    pool = ConnectionPool(connect=IdleConnection, ceiling=1)
    order: list[str] = []

    async def use(workspace: str) -> None:
        request_class = RequestClass(priority=1, workspace=workspace)
        deadline = asyncio.get_running_loop().time() + 10.0
        connection = await pool.acquire(request_class=request_class, deadline=deadline)
        order.append(workspace)
        await asyncio.sleep(0)
        pool.release(connection.unwrap(), reusable=True)

    async with asyncio.TaskGroup() as group:
        for workspace in ["greedy"] * 10 + ["small"] * 2:
            group.create_task(use(workspace))
    assert "small" in order[1:3]
    assert order.index("small", order.index("small") + 1) <= 4
    assert len(pool.waiting) == 0


async def test_a_lower_ceiling_closes_idle_connections_now_and_busy_ones_when_they_end() -> None:
    """Guards against open connections above the ceiling that was published to other instances."""
    server = WireServer(script=answer_slowly)
    async with pool_to(server, ceiling=4) as pool:
        await asyncio.gather(*(call_leaf(pool, make_call(f"first-{n}")) for n in range(4)))
        busy = [asyncio.create_task(call_leaf(pool, make_call(f"busy-{n}"))) for n in range(2)]
        await asyncio.sleep(SLOW_S / 2)
        pool.set_ceiling(1)
        await settle(pool)
        assert (pool.open_count, server.open) == (2, 2)
        await asyncio.gather(*busy)
        await settle(pool)
        assert pool.open_count == 1


async def test_calls_cancelled_while_they_wait_leave_no_connection_behind() -> None:
    """Guards against a leaked connection: a call is cancelled just as it gets a connection."""
    server = WireServer(script=answer_slowly)
    async with pool_to(server, ceiling=1) as pool:
        first = asyncio.create_task(call_leaf(pool, make_call("first")))
        waiting = [asyncio.create_task(call_leaf(pool, make_call(f"w{n}"))) for n in range(5)]
        await asyncio.sleep(0.01)
        waiting[0].cancel()
        await first
        for task in waiting[1:4]:
            task.cancel()
        ended = await waiting[4]
        assert ended.result.is_ok()
        await settle(pool)
        assert (pool.open_count, len(pool.idle), len(pool.waiting)) == (1, 1, 0)


async def test_a_connection_that_the_server_closed_while_idle_is_replaced() -> None:
    """Guards against a call that fails because it is sent on a closed idle connection."""
    server = WireServer()
    async with pool_to(server, ceiling=1) as pool:
        await call_leaf(pool, make_call("c1"))
        server.requests[0].writer.close()
        await asyncio.sleep(0.02)
        ended = await call_leaf(pool, make_call("c2"))
        assert ended.result.is_ok()
        assert server.accepted == 2


@pytest.mark.parametrize(("named", "connections"), [(True, 1), (False, 2)], ids=["named", "not"])
async def test_a_connection_is_not_used_behind_a_refusal_that_does_not_name_its_call(
    named: bool, connections: int
) -> None:
    """Guards against a late copy of a refusal that refuses the next call, which runs."""

    async def refuse(request: WireRequest) -> None:
        identity = {"request_id": request.headers["x-request-id"]} if named else {}
        body = {"reason": "shedding", "outcome": "not_run"} | identity
        request.send(503, body)

    server = WireServer(script=refuse)
    async with pool_to(server, ceiling=1) as pool:
        for number in range(2):
            ended = await call_leaf(pool, make_call(f"c{number}"))
            assert ended.result.unwrap_err().outcome is Outcome.NOT_RUN
        assert server.accepted == connections


@pytest.mark.parametrize("delay_s", [0.0, 0.05], ids=["at-once", "while-idle"])
async def test_a_second_answer_to_one_call_is_not_used_for_the_next_call(
    delay_s: float,
) -> None:
    """Guards against a call that was run but is reported as refused.

    The server answers the previous call twice. Its second refusal carries no request identity, so
    it would pass as the answer to the next call on the connection.
    """
    refusal = {"outcome": "not_run", "reason": "shedding"}

    async def refuse_twice_then_run(request: WireRequest) -> None:
        if request.headers["x-request-id"] != "c1":
            request.answer()
            return
        request.send(503, refusal)
        await asyncio.sleep(delay_s)
        request.send(503, refusal)

    server = WireServer(script=refuse_twice_then_run)
    async with pool_to(server, ceiling=1) as pool:
        first = await call_leaf(pool, make_call("c1"))
        assert first.result.unwrap_err().outcome is Outcome.NOT_RUN
        await asyncio.sleep(2 * delay_s)
        second = await call_leaf(pool, make_call("c2"))
        assert second.result.is_ok() or second.result.unwrap_err().outcome is Outcome.MAY_HAVE_RUN
