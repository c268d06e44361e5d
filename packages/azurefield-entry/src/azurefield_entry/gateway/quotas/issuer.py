"""Issues the quota of limited servers to this instance and to others."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Hashable
from typing import TYPE_CHECKING

from msgspec import Struct, field

from azurefield.quota import QuotaDecision, QuotaQueue, QuotaRequest
from azurefield.server_limits import NO_LIMIT, NamedLimit
from azurefield_entry.clock import now

if TYPE_CHECKING:
    from azurefield_entry.gateway.quotas.frames import QuotaAsked

Reply = Callable[[QuotaDecision], None]


class QuotaIssuer(Struct, kw_only=True):
    """Runs the queue of quota requests; each request gets one reply unless it is withdrawn.

    :param fraction: returns the part of a limit that this instance issues for a service's servers
    """

    fraction: Callable[[str], float]
    queue: QuotaQueue = field(default_factory=QuotaQueue)
    replies: dict[Hashable, Reply] = field(default_factory=dict)
    timer: asyncio.TimerHandle | None = None

    def ask(self, key: Hashable, frame: QuotaAsked, reply: Reply) -> None:
        """Take a request.

        :param key: identifies the request among those of all instances
        """
        asked_at = now()
        request = QuotaRequest(
            key=key,
            server=frame.server,
            limit=NamedLimit(per_s=frame.limit_per_s, named_at=asked_at - frame.limit_age_s),
            priority=frame.priority,
            start_by=asked_at + frame.wait_s,
        )
        self.replies[key] = reply
        fraction = self.fraction(frame.service)
        self.send_replies(self.queue.request(asked_at, request, fraction=fraction))

    def on_limit_ended(self, server: str) -> None:
        """Record that a server has answered without a limit."""
        at = now()
        limit = NamedLimit(per_s=NO_LIMIT, named_at=at)
        self.send_replies(self.queue.on_limit(at, server, limit))

    def withdraw(self, key: Hashable) -> None:
        """Remove a request that is no longer needed."""
        self.replies.pop(key, None)
        self.queue.withdraw(key)

    def send_replies(self, decisions: list[QuotaDecision]) -> None:
        """Send the decisions and set the timer for the next token."""
        for decision in decisions:
            reply = self.replies.pop(decision.key, None)
            if reply is not None:
                reply(decision)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        at = self.queue.next_wake()
        if at is not None:
            self.timer = asyncio.get_running_loop().call_at(at, self.tick)

    def tick(self) -> None:
        """Issue the tokens that are due."""
        self.timer = None
        self.send_replies(self.queue.on_tick(now()))

    def close(self) -> None:
        """Stop the timer."""
        if self.timer is not None:
            self.timer.cancel()
