"""Runs the state machine of an acceptance against the key-value service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from azurefield.configuration import (
    AcceptanceEnded,
    ReadHead,
    RetryAt,
    StoreAction,
    StoreEvent,
)

if TYPE_CHECKING:
    from result import Result

    from azurefield.configuration import AcceptanceAction, AcceptChange, Accepted
    from azurefield.failures import ChangeFailure
    from azurefield_platform.configuration_store import ConfigurationStore

# The store is shared with other users and handles only a few hundred writes a second.
CONCURRENT_ACTIONS_MAX = 8


async def run_acceptance(
    machine: AcceptChange, store: ConfigurationStore
) -> Result[Accepted, ChangeFailure]:
    """Carry out the actions of the state machine until the acceptance has ended."""
    clock = asyncio.get_running_loop().time
    concurrency_limit = asyncio.Semaphore(CONCURRENT_ACTIONS_MAX)
    running: set[asyncio.Task[StoreEvent]] = set()

    async def carry_out(action: StoreAction, at: float) -> StoreEvent:
        await asyncio.sleep(max(0.0, at - clock()))
        async with concurrency_limit:
            return await store.perform(action)

    def start_actions(actions: list[AcceptanceAction]) -> Result[Accepted, ChangeFailure] | None:
        for action in actions:
            match action:
                case AcceptanceEnded(result=result):
                    return result
                case RetryAt(at=at, action=repeated):
                    running.add(asyncio.create_task(carry_out(repeated, at)))
                case ReadHead(at=at):
                    running.add(asyncio.create_task(carry_out(action, at)))
                case _:
                    running.add(asyncio.create_task(carry_out(action, clock())))
        return None

    ended = start_actions(machine.start(clock()))
    while ended is None:
        done, running = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            ended = ended or start_actions(machine.on_event(clock(), task.result()))
    for task in running:
        task.cancel()
    return ended
