"""Checks of backend servers by new connections."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from random import Random

import pytest

from azurefield.directory import Directory, RegisteredServer, RegisteredState
from azurefield.reachability import ServerContacts
from azurefield.server_check import ServerState
from azurefield_entry.clock import now
from azurefield_entry.gateway.servers.checker import ServerChecker
from azurefield_testkit.entry_support.instance import free_address
from azurefield_testkit.entry_support.scripted_server import ScriptedServer, listening


def checker(addresses: dict[str, str]) -> ServerChecker:
    directory = Directory()
    for name, address in addresses.items():
        directory.on_entry(
            RegisteredServer(
                server=name,
                service=name[0],
                address=address,
                availability_zone="one",
                state=RegisteredState.LIVE,
            )
        )
    return ServerChecker(directory=directory, contacts=ServerContacts(), random=Random(1))


@pytest.mark.parametrize(
    ("up", "state"),
    [
        pytest.param(("a1", "b1"), ServerState.UP, id="up"),
        pytest.param(("a1",), ServerState.UP, id="up-and-others-down"),
        pytest.param(("b1",), ServerState.DOWN, id="down"),
        pytest.param((), ServerState.UNKNOWN, id="no-server-can-be-reached"),
    ],
)
async def test_a_server_is_compared_with_others(up: tuple[str, ...], state: ServerState) -> None:
    """Guards against an own partition that counts as servers that are down."""
    async with AsyncExitStack() as stack:
        addresses = {
            name: (
                await stack.enter_async_context(listening(ScriptedServer(script=[])))
                if name in up
                else free_address()
            )
            for name in ("a1", "b1")
        }
        check = checker(addresses).check("a1", now(), avoid=(), services=("a",))
        assert await check is state


async def test_checks_of_one_server_at_the_same_time_share_their_connections() -> None:
    """Guards against a connection to a server for each request that it left unanswered."""
    server = ScriptedServer(script=[])
    async with listening(server) as address:
        checks = checker({"a1": address})
        since = now()
        states = await asyncio.gather(
            *(checks.check("a1", since, avoid=(), services=()) for _ in range(20))
        )
    assert set(states) == {ServerState.UP}
    assert server.accepted == 1


async def test_a_server_that_was_up_is_checked_again_after_another_loss() -> None:
    """Guards against an end that is missed because the server was checked before it."""
    async with listening(ScriptedServer(script=[])) as other:
        async with listening(ScriptedServer(script=[])) as address:
            checks = checker({"a1": address, "b1": other})
            assert await checks.check("a1", now(), avoid=(), services=()) is ServerState.UP
        assert await checks.check("a1", now(), avoid=(), services=()) is ServerState.DOWN
