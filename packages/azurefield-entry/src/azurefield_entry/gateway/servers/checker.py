"""Checks by new connections whether a backend server is down."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from msgspec import Struct, field

from azurefield.directory import Directory
from azurefield.reachability import ServerContacts
from azurefield.server_check import (
    ROUND_INTERVAL_S,
    CheckRound,
    ServerState,
    choose_controls,
    judge,
)
from azurefield_entry.addresses import split_address
from azurefield_entry.clock import now
from azurefield_entry.gateway.servers.connection import CONNECT_TIMEOUT_S

if TYPE_CHECKING:
    from collections.abc import Collection


# A server that was found down is not checked again for this time.
DOWN_VALID_S = 0.5


class Check(Struct, kw_only=True):
    """A check of one server."""

    began_at: float
    task: asyncio.Task[ServerState]


class ServerChecker(Struct, kw_only=True):
    """Opens connections to a server in question, and to others for comparison."""

    directory: Directory
    contacts: ServerContacts
    random: Random
    checks: dict[str, Check] = field(default_factory=dict)

    async def check(
        self, server: str, since: float, *, avoid: Collection[str], services: Collection[str]
    ) -> ServerState:
        """Check a server, unless a check since a time is under way or has found it down.

        :param avoid: other servers that may be down
        :param services: services whose servers are compared with only if there are no others
        """
        known = self.checks.get(server)
        if known is None or not self.holds(known, since):
            work = self.run_rounds(server, frozenset(avoid) | {server}, services)
            known = self.checks[server] = Check(began_at=now(), task=asyncio.create_task(work))
        return await asyncio.shield(known.task)

    def holds(self, check: Check, since: float) -> bool:
        """Whether the result of an earlier check can be used."""
        if not check.task.done():
            return check.began_at >= since
        if check.task.cancelled() or check.task.exception() is not None:
            return False
        recent = now() - check.began_at < DOWN_VALID_S
        return recent and check.task.result() is ServerState.DOWN

    async def run_rounds(
        self, server: str, avoid: frozenset[str], services: Collection[str]
    ) -> ServerState:
        """Run rounds until the state is known."""
        rounds: list[CheckRound] = []
        while (state := judge(rounds)) is None:
            if rounds:
                await asyncio.sleep(ROUND_INTERVAL_S)
            rounds.append(await self.run_round(server, avoid, services))
        return state

    async def run_round(
        self, server: str, avoid: frozenset[str], services: Collection[str]
    ) -> CheckRound:
        """Open a connection to the server and, if that fails, to others."""
        began_at = now()
        if await self.reach(server):
            return CheckRound(reached=True, control_reached=False)
        control_reached = self.contacts.opened_since(began_at, without=avoid)
        if not control_reached:
            controls = choose_controls(self.random, self.directory, avoid=avoid, services=services)
            control_reached = any(await asyncio.gather(*map(self.reach, controls)))
        return CheckRound(reached=False, control_reached=control_reached)

    async def reach(self, server: str) -> bool:
        """Whether a server accepts a connection, which is closed at once."""
        entry = self.directory.servers.get(server)
        if entry is None:
            return False
        try:
            host, port = split_address(entry.address)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                transport, _ = await asyncio.get_running_loop().create_connection(
                    asyncio.Protocol, host, port
                )
        except (OSError, ValueError, OverflowError):
            self.contacts.on_open_failed(server)
            return False
        transport.abort()
        self.contacts.on_opened(now(), server)
        return True

    def forget(self, server: str) -> None:
        """Drop the result of a server that is gone or was started again."""
        self.checks.pop(server, None)

    def close(self) -> None:
        """Stop all checks."""
        for check in self.checks.values():
            check.task.cancel()
