"""Loads the settings file of a gateway process; the service ``settings`` loads it again."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Callable

from logbook import Logger
from msgspec import Struct
from result import Err, Ok, Result

from azurefield_entry.gateway.messages import SettingsChanged, Tick
from azurefield_entry.gateway.settings import GatewaySettings
from azurefield_entry.kernel import Kernel, Mailbox, Stop, send_every
from azurefield_entry.notify import notify_all
from azurefield_entry.settings import SettingsFailure

# The file is also read at this interval, since it may change without a signal.
SETTINGS_CHECK_INTERVAL_S = 2.0
# How long a process waits at its start for a file that can be used: it may be being written.
START_WAIT_S = 2.0
START_RETRY_INTERVAL_S = 0.1
log = Logger("settings")


def load_at_start(
    load: Callable[[], Result[GatewaySettings, SettingsFailure]],
) -> Result[GatewaySettings, SettingsFailure]:
    """Load the settings; while they can't be used, try again for ``START_WAIT_S``.

    This blocks, so it must be called before the event loop runs.
    """
    ends = time.monotonic() + START_WAIT_S
    while True:
        loaded = load()
        if isinstance(loaded, Ok) or time.monotonic() >= ends:
            return loaded
        time.sleep(START_RETRY_INTERVAL_S)


class ReloadService(Struct, kw_only=True):
    """Loads the settings on SIGHUP and at intervals; settings that can't be used change nothing.

    The addresses on which the process listens are read only at its start.

    :param last_failure: the failure of the last load, so that it is logged once; None after success
    """

    load: Callable[[], Result[GatewaySettings, SettingsFailure]]
    current: GatewaySettings
    last_failure: SettingsFailure | None = None

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Reload the file until ``Stop``."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, mailbox.send, Tick())
        checking = asyncio.create_task(send_every(mailbox, Tick(), SETTINGS_CHECK_INTERVAL_S))
        while not isinstance(await mailbox.receive(), Stop):
            self.reload(kernel)
        checking.cancel()

    def reload(self, kernel: Kernel) -> None:
        """Load the settings and notify all services if they differ."""
        match self.load():
            case Err(failure):
                if failure != self.last_failure:
                    log.error(
                        "Settings file {} was not loaded: {}; keeping the previous settings.",
                        failure.path,
                        failure.problem,
                    )
                self.last_failure = failure
            case Ok(settings):
                self.last_failure = None
                if settings != self.current:
                    log.info("The settings have changed.")
                    self.current = settings
                    notify_all(kernel, SettingsChanged(settings=settings))
