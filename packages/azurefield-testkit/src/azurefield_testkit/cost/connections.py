"""Memory of open connections to one backend server, measured in this process."""

from __future__ import annotations

import asyncio
import gc
import tracemalloc
from typing import TYPE_CHECKING

from azurefield_entry.backends.connection import Connection
from azurefield_testkit.cost.rig import running_rig
from azurefield_testkit.cost.series import Series

if TYPE_CHECKING:
    from collections.abc import Sequence

KIBIBYTE = 1 << 10


async def measure_connections(counts: Sequence[int], repetitions: int) -> list[Series]:
    """Open connections as the entry process does, and measure the memory allocated for them.

    Allocations by Python and the event loop are counted; socket buffers of the kernel are not.
    """
    series = Series(
        name="memory of open connections to a backend server", unit="KiB", per="connection"
    )
    async with running_rig({"one": ("leaf",)}) as rig:
        address = rig.servers["one"][0].address
        await close_all(await open_all(address, min(counts)))
        for _ in range(repetitions):
            for count in counts:
                gc.collect()
                tracemalloc.start()
                opened = await open_all(address, count)
                gc.collect()
                size, _ = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                await close_all(opened)
                series.add(count, size / KIBIBYTE)
    return [series]


async def open_all(address: str, count: int) -> list[Connection]:
    """Open connections one after another; each completes one status request and stays idle."""
    opened = [Connection(address=address) for _ in range(count)]
    for connection in opened:
        async with connection.session.get(f"http://{address}/status") as answer:
            await answer.read()
    return opened


async def close_all(opened: list[Connection]) -> None:
    """Close all connections."""
    await asyncio.gather(*(connection.close() for connection in opened))
