from __future__ import annotations

import pytest

from azurefield_testkit.fleet import Fleet, ServicePlan
from azurefield_testkit.history import History
from azurefield_testkit.load import read_journals
from azurefield_testkit.processes import (
    FIRST_PORT,
    PORT_RANGE_COUNT,
    PORTS_PER_PROCESS,
    ProcessError,
    Processes,
)
from azurefield_testkit.waiting import wait_until

pytestmark = pytest.mark.process
PLAN = ServicePlan(name="desk", leafs=("a",), replicas=1, record_count=20)
HEADERS = {
    "X-Request-Id": "c1",
    "X-Index-Version": "1",
    "X-Map-Version": "1",
    "X-Deadline-Ms": "5000",
}


async def test_a_crashed_server_keeps_its_journal_and_restarts_under_another_incarnation() -> None:
    """Guards against a lost journal entry, which would hide a booking run just before a crash."""
    async with Processes() as processes:
        fleet = Fleet(processes=processes, plans=(PLAN,))
        await fleet.start()
        server = fleet.servers["desk"][0]
        before = await processes.get_json(server.address, "/status")
        url = f"http://{server.address}/leafs/a/book"
        body = {"key": "desk-1", "payload": {"booking": "b1"}}
        async with processes.session.post(url, json=body, headers=HEADERS) as answer:
            assert answer.status == 200
        await processes.kill(server.name)
        assert await fleet.restart(server.name) == server.address
        after = await processes.get_json(server.address, "/status")
        assert before is not None
        assert after is not None
        assert before["incarnation"] != after["incarnation"]
        history = History(services={})
        read_journals(processes.directory, history)
        assert [run.payload for run in history.bookings] == [{"booking": "b1"}]


async def test_leaving_the_context_stops_all_processes_also_frozen_ones_and_after_a_failure() -> (
    None
):
    """Guards against processes that still run after their test, for example suspended ones."""
    processes = Processes()

    async def failing_run() -> None:
        async with processes:
            await processes.start_platform()
            await processes.start_stand_in("balancer", "balancer")
            processes.freeze("balancer")
            await processes.spawn("platform", "azurefield_testkit.platform")

    with pytest.raises(ProcessError, match="already running"):
        await failing_run()
    assert [entry.running for entry in processes.processes.values()] == [False, False]
    assert not processes.directory.exists()


async def test_a_stopped_stand_in_ends_with_exit_code_0() -> None:
    """Guards against stand-ins that do not handle SIGTERM."""
    async with Processes() as processes:
        address = await processes.start_platform()
        assert await processes.get_json(address, "/v1/instances") == {"instances": []}
        assert await processes.stop("platform") == 0
        await wait_until(
            lambda: not processes.processes["platform"].running, "the platform has ended"
        )


def test_the_second_port_of_a_pair_is_not_chosen_again() -> None:
    """Guards against two processes of a test that listen on the same port."""
    ports = Processes()
    pairs = [ports.free_port_pair() for _ in range(20)]
    chosen = [*pairs, *(port + 1 for port in pairs), *(ports.free_port() for _ in range(60))]
    assert len(set(chosen)) == len(chosen)


def test_a_range_without_free_ports_is_an_error() -> None:
    """Guards against a test that searches for a port for ever."""
    ports = Processes()
    ports.used_ports.update(range(FIRST_PORT, FIRST_PORT + PORT_RANGE_COUNT * PORTS_PER_PROCESS))
    with pytest.raises(ProcessError, match="no free port"):
        ports.free_port()


def test_a_pair_of_ports_stays_within_the_range() -> None:
    """Guards against a port that a test process that runs in parallel has chosen, too."""
    for _ in range(100):
        ports = Processes()
        pairs = [ports.free_port_pair() for _ in range(20)]
        ranges = {
            (port - FIRST_PORT) // PORTS_PER_PROCESS
            for first in pairs
            for port in (first, first + 1)
        }
        assert len(ranges) == 1
