"""Several gateway processes in front of a leaf that names a limit of requests per second."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING

import pytest

from gateway_process import Site, serving_fleet

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

pytestmark = pytest.mark.process

LIMIT_PER_S = 2.0
WINDOW_S = 4.0
# What the platform tolerates in any window, from some seconds after the limit was first named.
TOLERATED = 1.5 * LIMIT_PER_S * WINDOW_S + 5
SETTLING_S = 1.0
LOAD_S = SETTLING_S + 2 * WINDOW_S
PAUSE_S = 0.04


async def send_load(site: Site, numbers: Iterator[int], until: float) -> list[tuple[int, float]]:
    """Send requests one after the other; return the status and the duration of each."""
    clock = asyncio.get_running_loop().time
    results = []
    while clock() < until:
        sent_at = clock()
        status, _, _ = await site.call("/s/x", f"q{next(numbers)}", deadline_ms=400)
        results.append((status, clock() - sent_at))
        await asyncio.sleep(PAUSE_S)
    return results


def most_in_window(times: list[float]) -> int:
    """Return the largest number of times in any window."""
    return max(sum(start <= at < start + WINDOW_S for at in times) for start in times)


async def play(directory: Path, loaded: tuple[str, ...]) -> tuple[list[float], set[int]]:
    """Load some of three instances; return when calls reached the leaf, and the statuses."""
    async with serving_fleet(directory, {"n1": 1.0, "n2": 1.0, "n3": 1.0}) as sites:
        leaf = sites["n1"].leafs["d1"]
        leaf.limit_per_s = LIMIT_PER_S
        clock = asyncio.get_running_loop().time
        began, numbers = clock(), count()
        loads = [send_load(sites[name], numbers, began + LOAD_S) for name in loaded]
        results = [entry for load in await asyncio.gather(*loads) for entry in load]
        settled = [at for at in leaf.arrived_at if at >= began + SETTLING_S]
        return settled, {status for status, _ in results}


LOADED = pytest.mark.parametrize("loaded", [("n1", "n2", "n3"), ("n2",)], ids=["all", "one"])


@LOADED
async def test_a_leaf_gets_no_more_than_the_limit_that_it_names(
    tmp_path: Path, loaded: tuple[str, ...]
) -> None:
    """Guards against instances that together, or one alone, overrun a leaf in need."""
    settled, _ = await play(tmp_path, loaded)
    assert most_in_window(settled) <= TOLERATED
    assert len(settled) >= LIMIT_PER_S * WINDOW_S, "most of the limit is used"


@LOADED
async def test_a_request_that_gets_no_quota_is_rejected_as_not_run(
    tmp_path: Path, loaded: tuple[str, ...]
) -> None:
    """Guards against a request that waits for quota until its deadline and counts as run."""
    _, statuses = await play(tmp_path, loaded)
    assert statuses <= {200, 503}
