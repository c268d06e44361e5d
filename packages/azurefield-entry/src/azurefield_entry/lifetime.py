"""Start, graceful stop and crash of a process."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from logbook import Logger
from result import Err

from azurefield_entry.kernel import BeginDrain
from azurefield_entry.logs import describe_error
from azurefield_entry.notify import notify_all

if TYPE_CHECKING:
    from azurefield_entry.kernel import Kernel

EXIT_OK = 0
EXIT_CRASHED = 70
EXIT_BAD_SETTINGS = 78
log = Logger("kernel")


async def serve(kernel: Kernel, *, drain_notice_s: float) -> int:
    """Run all services until SIGTERM or SIGINT, or until one crashes.

    :return: the exit code of the process
    """
    stop_asked = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_asked.set)
    kernel.start()
    crash = asyncio.create_task(kernel.wait_for_crash())
    stop = asyncio.create_task(stop_gracefully(kernel, stop_asked, drain_notice_s))
    await asyncio.wait({crash, stop}, return_when=asyncio.FIRST_COMPLETED)
    if not stop.done() or stop.exception() is not None:
        match await crash:
            case Err(crashed):
                place = describe_error(crashed.error)
                log.critical("Service {} crashed: {}.", crashed.name, place)
                return EXIT_CRASHED
    await stop
    log.info("Stopped.")
    return EXIT_OK


async def stop_gracefully(kernel: Kernel, asked: asyncio.Event, drain_notice_s: float) -> None:
    """Wait for the request to stop, then drain and stop all services in reverse order."""
    await asked.wait()
    log.info("A planned stop begins; requests are taken for {} s more.", drain_notice_s)
    notify_all(kernel, BeginDrain())
    await asyncio.sleep(drain_notice_s)
    for name in reversed(kernel.services):
        await kernel.stop(name)
