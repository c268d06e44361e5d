"""Test double of the service `configuration`."""

from __future__ import annotations

from dataclasses import dataclass

from azurefield.model import Configuration
from azurefield_entry.kernel import Kernel, Mailbox, Stop
from azurefield_entry.messages import ConfigurationChanged
from azurefield_entry.notify import notify_all


@dataclass(slots=True, kw_only=True)
class StaticConfiguration:
    """Publishes one fixed configuration at its start."""

    configuration: Configuration

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Publish the configuration and wait for ``Stop``."""
        notify_all(kernel, ConfigurationChanged(configuration=self.configuration, digest="d1"))
        while not isinstance(await mailbox.receive(), Stop):
            pass
