"""Holds requests that arrive before the first configuration."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from azurefield_entry.clock import now
from azurefield_entry.gateway import policies

if TYPE_CHECKING:
    from azurefield_entry.gateway.ports import GatewayRequest


async def wait_for_start(ready: asyncio.Event, request: GatewayRequest) -> None:
    """Wait a bounded time for the first configuration, which a new process has yet to read."""
    wait_s = policies.START_WAIT_S
    if request.deadline is not None:
        wait_s = min(wait_s, policies.START_WAIT_FRACTION * (request.deadline - now()))
    with suppress(TimeoutError):
        async with asyncio.timeout(wait_s):
            await ready.wait()
