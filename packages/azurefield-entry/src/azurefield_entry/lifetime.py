"""Start, graceful stop and crash of a process."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from typing import TYPE_CHECKING, Any, NoReturn

import uvloop
from logbook import Logger
from result import Err, Ok, Result

from azurefield_entry.kernel import BeginDrain
from azurefield_entry.logs import describe_error, make_handler
from azurefield_entry.notify import notify_all

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from azurefield_entry.kernel import Kernel, ServiceCrashed

EXIT_OK = 0
EXIT_CRASHED = 70
EXIT_BAD_SETTINGS = 78
log = Logger("kernel")


def run_process(
    serving: Coroutine[Any, Any, Result[None, ServiceCrashed]], *, log_level: str
) -> NoReturn:
    """Run a process until ``serving`` ends; a crash ends it at once."""
    handler = make_handler(log_level)
    with handler.applicationbound(), asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        match runner.run(serving):
            case Err(crashed):
                # The loop has stopped, so no other service can log after this line.
                log.critical("Service {} crashed: {}.", crashed.name, describe_error(crashed.error))
                exit_at_once(EXIT_CRASHED)
            case Ok(_):
                exit_at_once(EXIT_OK)


def exit_at_once(exit_code: int) -> NoReturn:
    """End the process without closing its event loop.

    Tasks of a service may hang after a crash of another one. And closing the loop removes the
    handlers of signals, so that one more signal during a planned stop would end the process first.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(exit_code)


async def serve(kernel: Kernel, *, drain_notice_s: float) -> Result[None, ServiceCrashed]:
    """Run all services until SIGTERM or SIGINT, or until one crashes."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    kernel.start()
    crash = asyncio.create_task(kernel.wait_for_crash())
    stop = asyncio.create_task(stop_gracefully(kernel, stop_requested, drain_notice_s))
    await asyncio.wait({crash, stop}, return_when=asyncio.FIRST_COMPLETED)
    if not stop.done() or stop.exception() is not None:
        ended = await crash
        if isinstance(ended, Err):
            return ended
    await stop
    log.info("All services have stopped; exiting.")
    return Ok(None)


async def stop_gracefully(
    kernel: Kernel, stop_requested: asyncio.Event, drain_notice_s: float
) -> None:
    """Wait for the stop request, announce the drain, then stop all services in reverse order."""
    await stop_requested.wait()
    log.info("A planned stop has begun; requests are accepted for {} s more.", drain_notice_s)
    notify_all(kernel, BeginDrain())
    await asyncio.sleep(drain_notice_s)
    for name in reversed(kernel.services):
        await kernel.stop(name)
