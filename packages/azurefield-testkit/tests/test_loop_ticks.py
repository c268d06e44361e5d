from __future__ import annotations

import asyncio
import time

from azurefield_testkit.loop_ticks import TICK_S, LoopTicks


async def test_waiting_counts_and_a_blocked_loop_does_not() -> None:
    """Guards against a time bound that holds only because no tick is counted."""
    async with LoopTicks() as ticks:
        await asyncio.sleep(0.2)
        waited_s = ticks.elapsed_s
        time.sleep(0.2)  # noqa: ASYNC251
        await asyncio.sleep(TICK_S)
        assert 0.0 < waited_s <= 0.2
        assert ticks.elapsed_s <= waited_s + 3 * TICK_S
