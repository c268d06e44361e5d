"""Three gateway processes, of which the two strongest run the queries over shards."""

from __future__ import annotations

import signal
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest

from azurefield_testkit.waiting import wait_until
from gateway_process import Site, serving_fleet

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

pytestmark = pytest.mark.process

# Fewer than the slots of a leaf for each of three instances, so that the fleet needs coordinators.
CONNECTIONS_MAX = 8


@asynccontextmanager
async def fleet(directory: Path) -> AsyncIterator[dict[str, Site]]:
    """Run two strong gateways and a weak one with the same store and leafs."""
    cores = {"n1": 4.0, "n2": 4.0, "n3": 1.0}
    async with serving_fleet(directory, cores, connections_max=CONNECTIONS_MAX) as sites:
        await wait_until(lambda: is_forwarded(sites["n3"]), "n3 knows the coordinators")
        yield sites


async def is_forwarded(site: Site) -> bool:
    """Whether a request to this instance is forwarded."""
    assert site.process is not None
    await site.call("/l/x", "probe")
    return any("forwarded_to=n" in line for line in site.process.output)


async def answered_by(sites: dict[str, Site], request_id: str) -> str:
    """Return the name of the instance that ran a request."""
    ran = "calls="
    await wait_until(
        lambda: any(ran in site.line_of(request_id) for site in sites.values()),
        f"{request_id} is logged",
    )
    return next(name for name, site in sites.items() if ran in site.line_of(request_id))


async def test_a_weak_instance_forwards_and_the_answer_is_whole(tmp_path: Path) -> None:
    """Guards against programs that do not agree on who runs what, or answers lost on the way."""
    async with fleet(tmp_path) as sites:
        for number in range(4):
            status, headers, body = await sites["n3"].call("/l/x", f"q{number}")
            assert (status, headers["Missing-Shards"]) == (200, "0")
            assert len(headers["Partial-Stamps"].split(",")) == 2
            assert body in (b"b1" * 8, b"b2" * 8)
        status, _, body = await sites["n3"].call("/s/x", "single")
        assert (status, body) == (200, b"d1" * 8)
        assert "forwarded_to=n" in await sites["n3"].wait_for_line_of("q0")
        assert "forwarded_to" not in sites["n3"].line_of("single")
        assert await answered_by({"n1": sites["n1"], "n2": sites["n2"]}, "q1")


async def test_a_planned_stop_and_a_kill_of_coordinators_lose_no_later_request(
    tmp_path: Path,
) -> None:
    """Guards against a fleet that stops serving when its coordinators do."""
    async with fleet(tmp_path) as sites:
        stopped = sites["n1"].process
        assert stopped is not None
        stopped.send_signal(signal.SIGTERM)
        for number in range(20):
            assert (await sites["n3"].call("/l/x", f"stop{number}"))[0] == 200
        assert await stopped.wait() == 0
        await sites["n2"].kill()
        for number in range(20):
            assert (await sites["n3"].call("/l/x", f"kill{number}"))[0] == 200


async def test_a_suspended_coordinator_costs_its_callers_bounded_time(tmp_path: Path) -> None:
    """Guards against callers that wait until their deadline for a suspended process."""
    async with fleet(tmp_path) as sites:
        assert (await sites["n3"].call("/l/x", "before"))[0] == 200
        for name in ("n1", "n2"):
            process = sites[name].process
            assert process is not None
            process.send_signal(signal.SIGSTOP)
        statuses = [(await sites["n3"].call("/l/x", f"q{number}"))[0] for number in range(4)]
        assert set(statuses) <= {200, 502}, "possibly run is answered at once, not at the deadline"
        for name in ("n1", "n2"):
            process = sites[name].process
            assert process is not None
            process.send_signal(signal.SIGCONT)

        async def served() -> bool:
            return (await sites["n3"].call("/l/x", "after"))[0] == 200

        await wait_until(served, "requests are served again")
