from __future__ import annotations

import asyncio
import subprocess
import sys
from dataclasses import dataclass

from azurefield_entry.kernel import Kernel, Mailbox, Stop
from azurefield_entry.lifetime import EXIT_CRASHED, stop_gracefully
from azurefield_entry.wiring import make_kernel


@dataclass(slots=True, kw_only=True)
class Recorder:
    events: list[tuple[str, str]]
    returns_at_once: bool = False

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:  # noqa: ARG002
        while not self.returns_at_once:
            message = await mailbox.receive()
            self.events.append((type(message).__name__, mailbox.name))
            if isinstance(message, Stop):
                return


async def test_a_planned_stop_notifies_all_services_first_and_stops_them_in_reverse_order() -> None:
    """Guards against stopping a service that another one still needs for its requests."""
    events: list[tuple[str, str]] = []
    kernel = make_kernel({name: Recorder(events=events) for name in ("admin", "query", "front")})
    kernel.start()
    stop_requested = asyncio.Event()
    stop_requested.set()
    await stop_gracefully(kernel, stop_requested, 0.0)
    assert {name for _, name in events[:3]} == {"admin", "query", "front"}
    assert all(type_ == "BeginDrain" for type_, _ in events[:3])
    assert events[3:] == [("Stop", "front"), ("Stop", "query"), ("Stop", "admin")]
    assert (await kernel.wait_for_crash()).is_ok()


async def test_a_service_that_returns_before_stop_counts_as_crashed() -> None:
    """Guards against a process that continues with only some of its services."""
    kernel = make_kernel({"query": Recorder(events=[], returns_at_once=True)})
    kernel.start()
    assert (await kernel.wait_for_crash()).unwrap_err().name == "query"


CRASH_BESIDE_A_LOGGING_SERVICE = """
import asyncio, sys
from logbook import Logger
from azurefield_entry.kernel import Kernel
from azurefield_entry.lifetime import run_process, serve

class Failing:
    async def run(self, kernel, mailbox):
        kernel.lookup("logging").send("begin")
        raise OSError("no address")

class Logging:
    async def run(self, kernel, mailbox):
        await mailbox.receive()
        for number in range(1000):
            Logger("logging").info("Line {}.", number)
            await asyncio.sleep(0)

async def start():
    kernel = Kernel()
    kernel.register("failing", Failing())
    kernel.register("logging", Logging())
    return await serve(kernel, drain_notice_s=0.0)

sys.exit(run_process(start(), log_level="info"))
"""


def test_the_last_line_of_a_process_names_the_service_that_crashed() -> None:
    """Guards against a log line of another service after the one that reports the crash."""
    ended = subprocess.run(
        [sys.executable, "-c", CRASH_BESIDE_A_LOGGING_SERVICE],
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    assert ended.returncode == EXIT_CRASHED, ended.stderr
    assert "Line 0" in ended.stdout
    assert "Service failing crashed" in ended.stdout.splitlines()[-1]
