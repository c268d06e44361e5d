"""Tracks running requests and bookings, for which a planned stop waits."""

from __future__ import annotations

import asyncio

from msgspec import Struct, field


class Activity(Struct, kw_only=True):
    """Set of running requests and bookings by identity.

    A booking has an identity of its own, since it continues after its caller has disconnected.
    """

    running: set[str] = field(default_factory=set)
    idle: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.idle.set()

    def begin(self, identity: str) -> None:
        """Record that a request or booking has started; a planned stop waits for it."""
        self.running.add(identity)
        self.idle.clear()

    def end(self, identity: str) -> None:
        """Record that a request or booking has ended."""
        self.running.discard(identity)
        if not self.running:
            self.idle.set()

    async def finish(self, *, timeout_s: float) -> int:
        """Wait until all requests and bookings have ended, at most for ``timeout_s``.

        :return: how many are still running
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self.idle.wait()
        except TimeoutError:
            pass
        return len(self.running)
