"""Gateway processes before leafs that end when they begin to run a certain request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from azurefield_testkit.waiting import wait_until
from crashing_leafs import (
    CONTACT_S,
    LATE_SENDS_TOLERATED,
    SEND_INTERVAL_S,
    SERVERS_ENDED,
    CrashPlay,
    crash_play,
)

if TYPE_CHECKING:
    from pathlib import Path

pytestmark = pytest.mark.process

ALL = ("a", "b", "desk")
HARMLESS = tuple(f"/{kind}/harmless{number}" for kind in "slo" for number in range(4))
STORE_AWAY_S = 5.0
# Twice the tolerated number of sends follows the time from which they count.
LATE_S = 2 * LATE_SENDS_TOLERATED * SEND_INTERVAL_S
# Fewer than the slots of a leaf for each of three instances, so that the fleet needs coordinators.
COORDINATED_CONNECTIONS = 8
# A request that is not refused ends three leafs well within this time.
THIRD_END_S = 3.0


async def take_store_away(play: CrashPlay, away_s: float) -> None:
    """Let the store reject all calls for a while from the first end of a leaf on."""
    await wait_until(lambda: bool(play.ended_at), "a leaf ends", limit_s=60.0)
    store = next(iter(play.sites.values())).store
    store.down = True
    await asyncio.sleep(away_s)
    store.down = False


async def restart_gateways(play: CrashPlay) -> None:
    """Kill and start each gateway after the third leaf has ended."""
    await wait_until(lambda: len(play.ended_at) >= SERVERS_ENDED, "three end", limit_s=60.0)
    for site in play.sites.values():
        await asyncio.sleep(0.5)
        await site.kill()
        await site.start()
        await wait_until(site.ready, f"{site.name} is ready")


@pytest.mark.parametrize(
    ("target", "dark", "others", "away_s", "restarts", "services"),
    [
        pytest.param("/s/crash", False, False, 0.0, False, ALL, id="single-alone"),
        pytest.param("/s/crash", False, True, STORE_AWAY_S, False, ALL, id="single-store-away"),
        pytest.param("/s/crash", False, True, 0.0, True, ALL, id="single-restarts"),
        pytest.param("/s/crash", True, False, STORE_AWAY_S, False, ALL, id="single-dark-alone"),
        pytest.param("/s/crash", True, True, 0.0, False, ALL, id="single-dark"),
        pytest.param("/o/crash", False, False, 0.0, False, ALL, id="not-idempotent"),
        pytest.param("/l/crash", False, True, STORE_AWAY_S, False, ALL, id="listing-store-away"),
        pytest.param("/l/crash", True, True, 0.0, False, ALL, id="listing-dark"),
        pytest.param("/l/crash", False, True, 0.0, False, ("b",), id="one-shard-ends"),
    ],
)
async def test_a_request_that_ends_servers_is_refused_by_the_whole_fleet(
    tmp_path: Path,
    target: str,
    *,
    dark: bool,
    others: bool,
    away_s: float,
    restarts: bool,
    services: tuple[str, ...],
) -> None:
    """Guards against a request that goes on ending servers, and against refusing others for it."""
    async with crash_play(tmp_path, dark=dark, crashing_services=services) as play:
        until = asyncio.get_running_loop().time() + THIRD_END_S + CONTACT_S + LATE_S
        async with asyncio.TaskGroup() as group:
            group.create_task(play.send_crashing(target, until))
            group.create_task(play.send_harmless(HARMLESS if others else (), until))
            if away_s:
                group.create_task(take_store_away(play, away_s))
            if restarts:
                group.create_task(restart_gateways(play))
        assert play.ended_at, "the request reached a leaf"
        assert len(play.late_sends()) <= LATE_SENDS_TOLERATED
        assert not any(send.refused for send in play.harmless)


async def test_a_query_that_ends_servers_is_refused_where_coordinators_run_it(
    tmp_path: Path,
) -> None:
    """Guards against a query that each instance forwards, so that none counts what it did."""
    async with crash_play(tmp_path, connections_max=COORDINATED_CONNECTIONS) as play:
        until = asyncio.get_running_loop().time() + THIRD_END_S + CONTACT_S + LATE_S
        async with asyncio.TaskGroup() as group:
            group.create_task(play.send_crashing("/l/crash", until))
            group.create_task(play.send_harmless(HARMLESS, until))
        forwarded = [
            line
            for site in play.sites.values()
            if site.process is not None
            for line in site.process.output
            if "forwarded_to=" in line
        ]
        assert forwarded, "coordinators run queries in this fleet"
        assert play.ended_at
        assert len(play.late_sends()) <= LATE_SENDS_TOLERATED
        assert not any(send.refused for send in play.harmless)
