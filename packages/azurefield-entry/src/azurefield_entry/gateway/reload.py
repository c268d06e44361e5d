"""The service ``settings``: follows the settings file of a gateway process."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from dataclasses import dataclass

from logbook import Logger
from result import Err, Ok, Result

from azurefield_entry.gateway.messages import SettingsChanged, Tick
from azurefield_entry.gateway.settings import GatewaySettings
from azurefield_entry.kernel import Kernel, Mailbox, Stop, send_every
from azurefield_entry.notify import notify_all
from azurefield_entry.settings import SettingsFailure

# The file may also change without a signal.
CHECK_INTERVAL_S = 2.0
log = Logger("settings")


@dataclass(slots=True, kw_only=True)
class ReloadService:
    """Loads the settings on SIGHUP and at intervals; unusable ones leave the old ones in force.

    Addresses on which the process listens stay as they were at its start.
    """

    load: Callable[[], Result[GatewaySettings, SettingsFailure]]
    current: GatewaySettings
    refused: SettingsFailure | None = None

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Follow the file until ``Stop``."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, mailbox.send, Tick())
        checking = asyncio.create_task(send_every(mailbox, Tick(), CHECK_INTERVAL_S))
        while not isinstance(await mailbox.receive(), Stop):
            self.check(kernel)
        checking.cancel()

    def check(self, kernel: Kernel) -> None:
        """Load the settings and tell the services if they differ."""
        match self.load():
            case Err(failure):
                if failure != self.refused:
                    log.error("{}: {}; the old settings hold.", failure.path, failure.problem)
                self.refused = failure
            case Ok(settings):
                self.refused = None
                if settings != self.current:
                    log.info("The settings have changed.")
                    self.current = settings
                    notify_all(kernel, SettingsChanged(settings=settings))
