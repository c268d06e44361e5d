"""Detects that this instance is partitioned from all backend servers, and when that ends."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from logbook import Logger
from msgspec import Struct, field

from azurefield.partition import (
    PROBE_INTERVAL_S,
    VERIFICATION_SERVERS,
    PartitionDetector,
    choose_probes,
)
from azurefield_entry.background import BackgroundTasks
from azurefield_entry.clock import now
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.servers.checker import ServerChecker

log = Logger("partition")


class PartitionWatch(Struct, kw_only=True):
    """Verifies suspicions and probes servers during a partition.

    :param on_begin: called when a partition was detected
    :param work: the running verification, and the probes of the partition that it finds
    :param verification: done when the running verification has a result
    """

    checker: ServerChecker
    metrics: GatewayMetrics
    on_begin: Callable[[], None]
    detector: PartitionDetector = field(default_factory=PartitionDetector)
    work: asyncio.Task[None] | None = None
    tasks: BackgroundTasks = field(default_factory=BackgroundTasks)
    verification: asyncio.Future[None] | None = None

    @property
    def partitioned(self) -> bool:
        """Whether this instance is partitioned from all servers."""
        return self.detector.partitioned

    def on_opened(self) -> None:
        """Record that a server has accepted a connection."""
        self.detector.on_opened()

    def on_open_failed(self, server: str) -> None:
        """Record that a server has not accepted a connection; verify a suspicion."""
        self.detector.on_open_failed(now(), server)
        busy = self.work is not None and not self.work.done()
        servers = len(self.checker.directory.servers)
        if not busy and self.detector.suspected(now(), servers):
            self.work = self.tasks.start("verify-partition", self.verify())

    async def confirmed(self) -> bool:
        """Whether this instance is partitioned; waits for the result of a running verification."""
        if self.verification is not None:
            await asyncio.shield(self.verification)
        return self.partitioned

    async def verify(self) -> None:
        """Verify a suspicion and, in a partition, probe until it ends."""
        failing = len(self.detector.failing)
        self.verification = asyncio.get_running_loop().create_future()
        try:
            reached = await self.reach_any(VERIFICATION_SERVERS)
            begun = self.detector.on_verified(now(), reached=reached)
        finally:
            # Requests wait for it.
            self.verification.set_result(None)
            self.verification = None
        if not begun:
            return
        log.warning(
            "No server can be reached: {} accepted no connection, nor did any of {} others.",
            failing,
            VERIFICATION_SERVERS,
        )
        self.metrics.partitioned.set(1)
        self.on_begin()
        began_at = now()
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            if self.detector.on_probed(now(), reached=await self.reach_any(1)):
                break
        self.metrics.partitioned.set(0)
        log.warning("Servers can be reached again after {:.1f} s.", now() - began_at)

    async def reach_any(self, count: int) -> bool:
        """Try to connect to one server and, if that fails, to the others at the same time.

        :return: whether one accepted
        """
        first, *others = choose_probes(self.checker.random, self.checker.directory, count) or [""]
        if await self.checker.reach(first):
            return True
        return any(await asyncio.gather(*map(self.checker.reach, others)))

    def close(self) -> None:
        """Stop probing."""
        self.tasks.cancel()
