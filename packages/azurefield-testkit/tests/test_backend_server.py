from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import pytest
from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from azurefield.model import even_shard_map
from azurefield_testkit.backend_server import BackendServer, Limits, build
from azurefield_testkit.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

LEAFS = ("a", "b")
MAP = even_shard_map(version=1, leafs=LEAFS)
KEY = next(f"desk-{number}" for number in range(2, 50) if MAP.leaf_of(f"desk-{number}") == "a")


@asynccontextmanager
async def running(
    **limits: Any,
) -> AsyncIterator[tuple[BackendServer, ClientSession]]:
    server = build(name="s1", service="desk", shard_map=MAP, leafs=("a",), limits=Limits(**limits))
    address = await server.start()
    connector = TCPConnector(limit=0)
    session = ClientSession(f"http://{address}", connector=connector)
    try:
        yield server, session
    finally:
        await session.close()
        await server.stop()


def headers(call_id: str = "c1", **changes: str) -> dict[str, str]:
    base = {"X-Request-Id": call_id, "X-Index-Version": "1", "X-Map-Version": "1"}
    return {**base, "X-Deadline-Ms": "5000", **changes}


async def call(
    session: ClientSession,
    path: str = "/leafs/a/search",
    *,
    body: dict[str, Any] | None = None,
    head: dict[str, str] | None = None,
) -> tuple[int, dict[str, Any]]:
    async with session.post(
        path, json=body or {}, headers=head or headers(), timeout=ClientTimeout(total=20)
    ) as answer:
        return answer.status, await answer.json()


async def control(session: ClientSession, **fields: Any) -> None:
    async with session.post("/control", json=fields) as answer:
        assert answer.status == 200, await answer.text()


async def test_a_search_returns_all_matching_records_of_the_leaf_and_echoes_the_identities() -> (
    None
):
    """Guards against a stand-in with wrong records, which would make the coverage check useless."""
    async with running() as (server, session):
        status, answer = await call(session, body={"query": {"group": "north"}})
        expected = [
            record.key
            for record in server.dataset.records(1)
            if MAP.leaf_of(record.key) == "a" and record.fields["group"] == "north"
        ]
        assert status == 200
        assert [record["key"] for record in answer["records"]] == expected
        assert (answer["request_id"], answer["leaf"], answer["record_count"]) == (
            "c1",
            "a",
            len(expected),
        )


@pytest.mark.parametrize(
    ("fault", "path", "head", "reason"),
    [
        ({"state": "leaving"}, "/leafs/a/search", headers(), "draining"),
        ({"shed": True}, "/leafs/a/search", headers(), "shedding"),
        ({}, "/leafs/b/search", headers(), "wrong_leaf"),
        ({"drop_leaf": "a"}, "/leafs/a/search", headers(), "wrong_leaf"),
        ({}, "/leafs/a/search", headers(**{"X-Index-Version": "2"}), "version_missing"),
        ({"drop_map": 1}, "/leafs/a/search", headers(), "version_missing"),
        ({}, "/leafs/a/book", headers(**{"X-Deadline-Ms": "0"}), "deadline"),
    ],
    ids=["leaving", "shedding", "wrong-leaf", "dropped-leaf", "index", "map", "deadline"],
)
async def test_a_refusal_says_not_run_and_runs_nothing(
    fault: dict[str, Any], path: str, head: dict[str, str], reason: str
) -> None:
    """Guards against a stand-in that runs a booking which it refuses as not run."""
    async with running() as (server, session):
        await control(session, **fault)
        status, answer = await call(session, path, head=head, body={"key": KEY, "payload": {}})
        assert (status, answer["outcome"], answer["reason"]) == (503, "not_run", reason)
        assert answer["incarnation"] == server.incarnation
        assert server.journal.bookings == []


@pytest.mark.parametrize(
    ("fault", "ran"),
    [
        ("close_before_reading", 0),
        ("close_after_reading", 0),
        ("close_mid_answer", 1),
        ("crash_on", 0),
    ],
)
async def test_a_broken_connection_fails_the_call_and_the_journal_tells_whether_it_ran(
    fault: str, ran: int
) -> None:
    """Guards against a journal that is wrong about a call whose connection broke."""
    async with running() as (server, session):
        await control(session, **{fault: KEY if fault == "crash_on" else 1})
        with pytest.raises(ClientError):
            await call(session, "/leafs/a/book", body={"key": KEY, "payload": {"n": 1}})
        assert len(server.journal.bookings) == ran


async def test_one_shot_faults_truncate_an_answer_and_change_its_identity_once() -> None:
    """Guards against one-shot faults that have no effect or affect later calls too."""
    async with running() as (_, session):
        await call(session, head=headers("c0"))
        await control(session, truncate=1, other_identity=1)
        _, faulty = await call(session)
        _, regular = await call(session)
        assert len(faulty["records"]) < faulty["record_count"] == len(regular["records"])
        assert (faulty["request_id"], regular["request_id"]) == ("c0", "c1")


async def test_calls_beyond_the_slots_wait_and_a_drain_lets_accepted_calls_finish() -> None:
    """Guards against a drain that breaks off accepted calls or runs new ones."""
    async with running(slots=1, service_ms=50) as (server, session):
        calls = [asyncio.create_task(call(session, head=headers(f"c{n}"))) for n in range(3)]
        await wait_until(lambda: server.counters.waiting >= 2, "two calls wait for a slot")
        assert server.counters.running == 1
        await control(session, state="leaving")
        refused, _ = await call(session, head=headers("late"))
        assert [status for status, _ in await asyncio.gather(*calls)] == [200, 200, 200]
        assert refused == 503
        assert [entry.call_id for entry in server.journal.calls_while_leaving] == ["late"]


async def test_connections_above_the_limit_are_closed_and_counted() -> None:
    """Guards against a stand-in that hides connections above the limit."""
    async with running(slots=9, connection_limit=2, service_ms=200) as (server, session):
        calls = [call(session, head=headers(f"c{n}")) for n in range(4)]
        results = await asyncio.gather(*calls, return_exceptions=True)
        assert sum(isinstance(result, ClientError) for result in results) == 2
        assert (server.listener.counts.most, server.listener.counts.refused) == (2, 2)


async def test_closing_the_connection_cancels_a_waiting_call_before_it_runs() -> None:
    """Guards against a booking that runs after its caller has closed the connection."""
    async with running(slots=1, service_ms=200) as (server, session):
        first = asyncio.create_task(call(session))
        await wait_until(lambda: server.counters.running >= 1, "the first call runs")
        second = asyncio.create_task(call(session, "/leafs/a/book", body={"key": KEY}))
        await wait_until(lambda: server.counters.waiting >= 1, "the second call waits")
        second.cancel()
        await first
        await wait_until(lambda: server.counters.calls_cancelled >= 1, "a call is cancelled")
        assert server.journal.bookings == []


async def test_a_repartition_and_a_new_index_version_move_and_change_the_records() -> None:
    """Guards against a stand-in that answers a new snapshot with the records of an old one."""
    new_map = {
        "version": 2,
        "ranges": [{"leaf": "a", "first_slot": 0, "last_slot": 65_535}],
    }
    async with running() as (_, session):
        await control(session, add_index_version=2, add_map={"shard_map": new_map, "leafs": ["a"]})
        _, before = await call(session)
        head = headers(**{"X-Index-Version": "2", "X-Map-Version": "2"})
        _, after = await call(session, head=head)
        assert before["record_count"] < after["record_count"]
        assert {record["fields"]["index_version"] for record in after["records"]} == {2}
        async with session.get("/status") as answer:
            status = await answer.json()
        assert len(status["holdings"]) == 4
        assert [entry["version"] for entry in status["maps"]] == [1, 2]


async def test_an_unknown_control_field_is_rejected() -> None:
    """Guards against fault tests that pass because a misspelt fault has no effect."""
    async with running() as (_, session), session.post("/control", json={"dely_s": 1}) as answer:
        assert answer.status == 400
