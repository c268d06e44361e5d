"""Time in which an event loop could run, for bounds that a busy machine must not break."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import TracebackType

TICK_S = 0.001


@dataclass(slots=True)
class LoopTicks:
    """Counts ticks while it is entered; time without processor counts as one tick at most.

    A process that waits for a core, or is stopped, misses its ticks, while a process that waits for
    a timer or an answer counts them all. On an idle machine ``elapsed_s`` is the elapsed time.
    """

    ticks: int = 0
    task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> LoopTicks:
        """Begin to count."""
        self.task = asyncio.create_task(self.count())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End the count."""
        if self.task is not None:
            self.task.cancel()

    @property
    def elapsed_s(self) -> float:
        """Seconds in which the loop could run."""
        return self.ticks * TICK_S

    async def count(self) -> None:
        """Count one tick after the other."""
        while True:
            await asyncio.sleep(TICK_S)
            self.ticks += 1
