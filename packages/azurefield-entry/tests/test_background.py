from __future__ import annotations

import asyncio

import pytest

from azurefield_entry import background
from azurefield_entry.background import BackgroundTasks
from azurefield_testkit.waiting import wait_until


@pytest.fixture(name="failures")
def counted_failures(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    failures: list[str] = []
    monkeypatch.setattr(background, "FAILURE_LISTENERS", [lambda: failures.append("failed")])
    monkeypatch.setattr(background, "RESTART_DELAY_S", 0.0)
    return failures


async def fail() -> None:
    raise KeyError("x")


async def wait_for_cancelled() -> None:
    future = asyncio.get_running_loop().create_future()
    future.cancel()
    await future


@pytest.mark.parametrize("work", [fail, wait_for_cancelled])
async def test_work_that_fails_is_counted_and_started_again(
    failures: list[str], work: background.Work
) -> None:
    """Guards against a task that ends without a trace."""
    tasks = BackgroundTasks()
    tasks.keep_running("work", work)
    await wait_until(lambda: len(failures) >= 3, "the work has failed three times")
    await tasks.stop()
    assert not len(tasks)


async def test_a_planned_stop_is_no_failure(failures: list[str]) -> None:
    """Guards against errors in the log of each planned stop."""
    tasks = BackgroundTasks()
    tasks.keep_running("long", asyncio.Event().wait)
    tasks.start("short", asyncio.sleep(0))
    await asyncio.sleep(0)
    await tasks.stop()
    assert not failures
    assert not len(tasks)
