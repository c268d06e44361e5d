"""Sends crash reports to all other instances, so that they hold while the store is away."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from msgspec import Struct, field
from result import Ok

from azurefield.dissemination import broadcast_groups
from azurefield_entry.background import BackgroundTasks
from azurefield_entry.gateway.crashes.frames import CrashReportFrame, encode_report
from azurefield_entry.gateway.peers.links import PeerLinks

if TYPE_CHECKING:
    from azurefield.crash_evidence import CrashReport

# An instance that is slow to accept a link gets the report later; one that is gone, not at all.
ATTEMPTS = 4
RETRY_DELAY_S = 0.5
# Broadcasts that run at the same time; further reports reach the others through the store only.
BROADCASTS_MAX = 100


class CrashBroadcast(Struct, kw_only=True):
    """Sends reports over the links to other instances.

    :param instances: returns the names of the running instances
    """

    own: str
    peers: PeerLinks
    instances: Callable[[], frozenset[str]]
    tasks: BackgroundTasks = field(default_factory=BackgroundTasks)

    def send(self, report: CrashReport) -> None:
        """Send a report to all other instances in the background."""
        for group in broadcast_groups(self.own, self.instances()):
            self.start(report, group)

    def forward(self, frame: CrashReportFrame) -> None:
        """Forward a report to the instances that its sender has named."""
        for name in frame.forward_to:
            self.start(frame.report, (name,))

    def start(self, report: CrashReport, group: tuple[str, ...]) -> None:
        """Start the sending to one group."""
        if len(self.tasks) >= BROADCASTS_MAX:
            return
        self.tasks.start("send-crash-report", self.send_to(report, group))

    async def send_to(self, report: CrashReport, group: tuple[str, ...]) -> None:
        """Send a report to the first member of a group that can be reached."""
        for _ in range(ATTEMPTS):
            for name in group:
                match await self.peers.link(name):
                    case Ok(link):
                        others = tuple(other for other in group if other != name)
                        link.send(encode_report(report, others))
                        return
            await asyncio.sleep(RETRY_DELAY_S)

    def close(self) -> None:
        """Stop sending."""
        self.tasks.cancel()
