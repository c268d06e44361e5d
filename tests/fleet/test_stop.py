"""Signals that reach a gateway process while it stops."""

from __future__ import annotations

import asyncio
import os
import signal
from contextlib import suppress
from typing import TYPE_CHECKING

import pytest

from gateway_process import serving

if TYPE_CHECKING:
    from pathlib import Path

pytestmark = pytest.mark.process

SIGNAL_INTERVAL_S = 0.002


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP, signal.SIGINT])
async def test_signals_until_the_end_of_a_planned_stop_do_not_change_its_exit_code(
    tmp_path: Path, number: signal.Signals
) -> None:
    """Guards against a planned stop that looks as if the process had been killed."""
    async with serving(tmp_path) as site:
        assert site.process is not None
        # ManagedProcess.send_signal can take the exit code away from the event loop.
        descriptor = os.pidfd_open(site.process.process.pid)
        signal.pidfd_send_signal(descriptor, signal.SIGTERM)
        while site.process.running:
            with suppress(ProcessLookupError):
                signal.pidfd_send_signal(descriptor, number)
            await asyncio.sleep(SIGNAL_INTERVAL_S)
        os.close(descriptor)
        assert site.process.exit_code == 0
