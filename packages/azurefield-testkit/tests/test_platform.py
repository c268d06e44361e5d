from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import pytest
from aiohttp import ClientError, ClientSession

from azurefield_testkit.platform import Platform
from azurefield_testkit.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

PATH = "/v1/keys/azurefield/config/head"


@asynccontextmanager
async def running() -> AsyncIterator[tuple[Platform, ClientSession]]:
    platform = Platform()
    address = await platform.start()
    session = ClientSession(f"http://{address}")
    try:
        yield platform, session
    finally:
        await session.close()
        await platform.stop()


async def put(
    session: ClientSession, value: str, revision: int | None = None
) -> tuple[int, dict[str, Any]]:
    headers = {"If-None-Match": "*"} if revision is None else {"If-Match": f'"{revision}"'}
    async with session.put(PATH, json={"value": value}, headers=headers) as answer:
        return answer.status, await answer.json()


async def get(session: ClientSession, query: str = "") -> tuple[int, dict[str, Any]]:
    async with session.get(PATH + query) as answer:
        return answer.status, {} if answer.status == 304 else await answer.json()


async def control(session: ClientSession, **fields: Any) -> None:
    async with session.post("/control", json=fields) as answer:
        assert answer.status == 200, await answer.text()


async def test_a_write_needs_the_current_revision_and_a_conflict_returns_it() -> None:
    """Guards against a stand-in that accepts both of two concurrent changes of one revision."""
    async with running() as (platform, session):
        assert await put(session, "a") == (200, {"revision": 1})
        assert await put(session, "b") == (412, {"revision": 1})
        assert await put(session, "b", 1) == (200, {"revision": 2})
        assert await put(session, "c", 1) == (412, {"revision": 2})
        assert await get(session) == (200, {"value": "b", "revision": 2})
        assert (platform.counts.writes, platform.counts.conflicts, platform.counts.reads) == (
            4,
            2,
            1,
        )


@pytest.mark.parametrize(
    ("size", "status"), [(1_000_000, 200), (1_000_001, 413)], ids=["at-limit", "above-limit"]
)
async def test_values_above_the_size_limit_are_rejected(size: int, status: int) -> None:
    """Guards against a stand-in that accepts values which the real service rejects."""
    async with running() as (_, session):
        assert (await put(session, "x" * size))[0] == status


async def test_a_watch_waits_for_a_change_and_ends_with_304_without_one() -> None:
    """Guards against a watch that misses a change or returns without one."""
    async with running() as (_, session):
        await put(session, "a")
        assert (await get(session, "?after=1&wait_ms=20"))[0] == 304
        watch = asyncio.create_task(get(session, "?after=1&wait_ms=10000"))
        await put(session, "b", 1)
        assert await watch == (200, {"value": "b", "revision": 2})


async def test_a_lost_reply_leaves_the_write_applied() -> None:
    """Guards against a fault `lose_replies` that drops the write as well."""
    async with running() as (_, session):
        await control(session, lose_replies=1)
        # aiohttp repeats a PUT whose connection breaks. The first attempt was applied, so the
        # second one conflicts with it.
        assert await put(session, "a") == (412, {"revision": 1})
        assert await get(session) == (200, {"value": "a", "revision": 1})


async def test_an_outage_ends_waiting_watches_and_a_restore_brings_back_old_revisions() -> None:
    """Guards against a simulated outage or restore that watchers do not notice."""
    async with running() as (_, session):
        await put(session, "old")
        await control(session, save="backup")
        await put(session, "new", 1)
        watch = asyncio.create_task(get(session, "?after=2&wait_ms=10000"))
        await control(session, down=True)
        with pytest.raises(ClientError):
            await watch
        with pytest.raises(ClientError):
            await get(session)
        await control(session, down=False, restore="backup")
        assert await get(session) == (200, {"value": "old", "revision": 1})


async def test_the_instance_list_shows_changes_after_its_lag_only() -> None:
    """Guards against a simulated lag that has no effect or outlasts its reset."""
    async with running() as (_, session):

        async def names() -> list[str]:
            async with session.get("/v1/instances") as answer:
                return [entry["name"] for entry in (await answer.json())["instances"]]

        await control(session, instance_lag_s=0.2)
        await session.put("/control/instances/e1", json={"role": "entry", "state": "live"})
        assert await names() == []

        async def is_listed() -> bool:
            return await names() == ["e1"]

        await wait_until(is_listed, "the instance is listed")
        await control(session, instance_lag_s=0)
        await session.delete("/control/instances/e1")
        assert await names() == []
