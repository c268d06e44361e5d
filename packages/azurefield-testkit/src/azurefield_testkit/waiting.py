"""Polling for conditions with a generous time limit, so that no test depends on timing."""

from __future__ import annotations

import asyncio
import inspect
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

DEFAULT_LIMIT_S = 30.0
DEFAULT_POLL_S = 0.02


class ConditionNotMetError(Exception):
    """A condition did not become true within its time limit."""


async def wait_until(
    condition: Callable[[], bool | Awaitable[bool]],
    what: str,
    *,
    limit_s: float = DEFAULT_LIMIT_S,
    step_s: float = DEFAULT_POLL_S,
) -> None:
    """Poll a condition until it is true.

    :param what: what is waited for, for the error message
    :param step_s: time between two polls
    :raises ConditionNotMetError: if it does not become true within ``limit_s``
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + limit_s
    while True:
        holds = condition()
        if await holds if inspect.isawaitable(holds) else holds:
            return
        if loop.time() >= end:
            raise ConditionNotMetError(f"condition not met within {limit_s:g} s: {what}")
        await asyncio.sleep(step_s)


async def accepts(address: str) -> bool:
    """Whether ``host:port`` accepts connections."""
    host, _, port = address.rpartition(":")
    try:
        _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    writer.close()
    return True
