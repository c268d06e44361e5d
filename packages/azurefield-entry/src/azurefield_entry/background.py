"""Tasks in the background of a service; none of them ends without notice."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from functools import partial
from typing import Any

from logbook import Logger
from msgspec import Struct, field

from azurefield_entry.logs import describe_error

# Pause before work that has failed starts again, so that a lasting error costs little.
RESTART_DELAY_S = 1.0
# Called for each task that fails; the metrics of the process count them.
FAILURE_LISTENERS: list[Callable[[], None]] = []
log = Logger("background")
Work = Callable[[], Coroutine[Any, Any, object]]


class BackgroundTasks(Struct, kw_only=True):
    """The running tasks of one owner; an unexpected error of one is logged and counted."""

    running: set[asyncio.Task[Any]] = field(default_factory=set)

    def __len__(self) -> int:
        return len(self.running)

    def __iter__(self) -> Iterator[asyncio.Task[Any]]:
        return iter([*self.running])

    def start(self, name: str, work: Coroutine[Any, Any, object]) -> asyncio.Task[Any]:
        """Run work that ends by itself."""
        task = asyncio.create_task(work)
        self.running.add(task)
        task.add_done_callback(partial(self.on_end, name))
        return task

    def keep_running(self, name: str, work: Work) -> None:
        """Run work that does not end by itself; if it does, start it again after a pause."""
        self.start(f"{name} (restarts)", self.run_again(name, work))

    async def run_again(self, name: str, work: Work) -> None:
        """Run work again and again."""
        while True:
            await asyncio.wait([self.start(name, work())])
            log.warning("Task {} has ended and starts again in {} s.", name, RESTART_DELAY_S)
            await asyncio.sleep(RESTART_DELAY_S)

    def on_end(self, name: str, task: asyncio.Task[Any]) -> None:
        """Log and count the end of a task that has failed."""
        self.running.discard(task)
        error: BaseException | None
        if task.cancelled():
            # One that nobody cancelled has waited for something that was cancelled.
            error = None if task.cancelling() else asyncio.CancelledError()
        else:
            error = task.exception()
        if error is not None:
            log.error("Task {} failed with an unexpected error: {}.", name, describe_error(error))
            for listener in FAILURE_LISTENERS:
                listener()

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self:
            task.cancel()

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = [*self]
        self.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
