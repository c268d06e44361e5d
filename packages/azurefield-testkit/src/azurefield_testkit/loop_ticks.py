"""Measures the time in which an event loop could run, for time bounds in tests.

A bound on this time also holds on a busy machine, where the process waits for a core.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import TracebackType

TICK_S = 0.001


@dataclass(slots=True)
class LoopTicks:
    """Counts ticks of the event loop while the context is entered.

    While the process waits for a core or is suspended, at most one tick is counted. While it waits
    for a timer or an answer, all ticks are counted. On an idle machine ``elapsed_s`` is therefore
    the elapsed time.
    """

    ticks: int = 0
    task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> LoopTicks:
        """Start to count."""
        self.task = asyncio.create_task(self.count())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop counting."""
        if self.task is not None:
            self.task.cancel()

    @property
    def elapsed_s(self) -> float:
        """Time in seconds in which the event loop could run."""
        return self.ticks * TICK_S

    async def count(self) -> None:
        """Count ticks until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self.ticks += 1
