"""Gets quota for the calls of this instance to servers that name a rate limit."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import count
from typing import TYPE_CHECKING

from logbook import Logger
from result import Ok

from azurefield.quota import (
    DEPUTY_FRACTION,
    QuotaDenied,
    QuotaGranted,
    issuer_order,
    rate_fraction,
)
from azurefield.server_limits import ServerLimits
from azurefield.warmup_limits import WarmupLimits
from azurefield_entry.background import BackgroundTasks
from azurefield_entry.clock import now
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.peers.links import PeerLinks
from azurefield_entry.gateway.quotas.asking import QuotaReply, ask_instance
from azurefield_entry.gateway.quotas.frames import LimitEnded, QuotaAsked
from azurefield_entry.gateway.quotas.issuer import QuotaIssuer

if TYPE_CHECKING:
    from azurefield.directory import RegisteredServer
    from azurefield.server_limits import NamedLimit
    from azurefield.workspace_quota import TokenDecision

# Another instance that has not replied for this time counts as unreachable, unless the request may
# wait for longer.
REPLY_TIMEOUT_S = 0.15
# An unreachable issuer is passed over for this time.
UNREACHABLE_S = 2.0
# Number of other instances that are asked; a further one issues too little to be worth a call.
REMOTE_ISSUERS = 2
log = Logger("quotas")


class TokenKind(StrEnum):
    """Why a call needs a token: the server warms up, or its answers name a limit."""

    WARMUP = "warmup"
    NAMED = "named"


def bucket_name(server: str, kind: TokenKind) -> str:
    """Return the name of a server's token bucket at its issuer."""
    return f"{server}/{kind}" if kind is TokenKind.WARMUP else server


@dataclass(slots=True, kw_only=True)
class ServerQuotas:
    """Requests a token for each call to a limited server, from the instance that issues them.

    If the first two issuers of a service can't be reached, this instance issues a small part of the
    limit to itself.

    :param own: the name of this instance
    :param instances: returns the instances that run
    :param listing_known: whether these were listed; without a listing, this instance issues nothing
        to itself, and to others that take it for the issuer no more than a deputy does
    :param warmups: the limits of servers that warm up
    :param unreachable_until: when an issuer that did not reply is asked again
    :param orders: the instances for which the order of a service's issuers was computed, and it
    """

    own: str
    limits: ServerLimits
    peers: PeerLinks
    instances: Callable[[], frozenset[str]]
    metrics: GatewayMetrics
    listing_known: Callable[[], bool] = lambda: True
    warmups: WarmupLimits = field(default_factory=WarmupLimits)
    issuer: QuotaIssuer = field(init=False)
    unreachable_until: dict[str, float] = field(default_factory=dict)
    orders: dict[str, tuple[frozenset[str], tuple[str, ...]]] = field(default_factory=dict)
    numbers: Iterator[int] = field(default_factory=count)
    tasks: BackgroundTasks = field(default_factory=BackgroundTasks)

    def __post_init__(self) -> None:
        self.issuer = QuotaIssuer(fraction=self.own_fraction)

    async def acquire(self, server: RegisteredServer, priority: int, start_by: float) -> bool:
        """Wait for a token for one call, or for two if the server warms up and names a limit.

        :param start_by: latest time at which the call is worth sending
        :return: whether the call may be sent
        """
        for kind in TokenKind:
            needed = self.limit_of(server, kind) is not None
            if needed and not await self.acquire_token(server, kind, priority, start_by):
                return False
        return True

    def limit_of(self, server: RegisteredServer, kind: TokenKind) -> NamedLimit | None:
        """Return the limit for which calls to a server need a token; None if there is none."""
        if kind is TokenKind.WARMUP:
            return self.warmups.limit(now(), server)
        return self.limits.known.get(server.server)

    async def acquire_token(
        self, server: RegisteredServer, kind: TokenKind, priority: int, start_by: float
    ) -> bool:
        """Wait for one token; return whether it was granted."""
        for issuer in self.issuers(server.service, kind):
            decision = await self.ask(issuer, server, kind, priority, start_by)
            match decision:
                case QuotaGranted(limit_ended=limit_ended):
                    if limit_ended and kind is TokenKind.NAMED:
                        self.limits.forget(server.server)
                        self.metrics.limited_servers.set(len(self.limits.known))
                    self.metrics.quota_requests.labels("granted").inc()
                    return True
                case QuotaDenied(wait_s=wait_s):
                    self.limits.on_denied(now(), server.server, priority, wait_s)
                    self.metrics.quota_requests.labels("denied").inc()
                    return False
            self.metrics.quota_requests.labels("unreachable").inc()
            log.info("Instance {} does not issue quota; asking another one.", issuer)
            self.unreachable_until[issuer] = now() + UNREACHABLE_S
        self.limits.on_denied(now(), server.server, priority, REPLY_TIMEOUT_S)
        return False

    def issuers(self, service: str, kind: TokenKind) -> list[str]:
        """List the instances to ask for quota, this one last.

        For a server that warms up, this one is asked only as one of the first issuers: otherwise
        many instances that reach no other would each send a first call.
        """
        if not self.listing_known():
            return []
        at = now()
        remote = [
            name
            for name in self.order(service)[:REMOTE_ISSUERS]
            if name != self.own and self.unreachable_until.get(name, at) <= at
        ]
        first = self.order(service)[0]
        if first == self.own:
            return [self.own]
        if kind is TokenKind.WARMUP and self.own not in self.order(service)[:REMOTE_ISSUERS]:
            return remote
        return [*remote, self.own]

    def order(self, service: str) -> tuple[str, ...]:
        """Return the order of the instances that may issue a service's quota."""
        instances = self.instances()
        known = self.orders.get(service)
        if known is None or known[0] != instances:
            known = self.orders[service] = (instances, issuer_order(service, instances))
        return known[1]

    def own_fraction(self, service: str) -> float:
        """Return the part of a limit that this instance issues for a service's servers."""
        if not self.listing_known():
            return DEPUTY_FRACTION
        order = self.order(service)
        return rate_fraction(order.index(self.own), len(order))

    async def ask(
        self,
        issuer: str,
        server: RegisteredServer,
        kind: TokenKind,
        priority: int,
        start_by: float,
    ) -> TokenDecision | None:
        """Request a token from one issuer; None if it does not reply."""
        limit = self.limit_of(server, kind)
        if limit is None:
            return QuotaGranted(key=None)
        asked_at = now()
        wait_s = max(0.0, start_by - asked_at)
        reply = QuotaReply(decision=asyncio.get_running_loop().create_future())

        def frame(number: int) -> QuotaAsked:
            return QuotaAsked(
                number=number,
                server=bucket_name(server.server, kind),
                service=server.service,
                limit_per_s=limit.per_s,
                limit_age_s=asked_at - limit.named_at,
                priority=priority,
                wait_s=wait_s,
            )

        if issuer == self.own:
            return await self.ask_self(frame(next(self.numbers)), reply)
        return await self.ask_other(issuer, frame, reply, wait_s)

    async def ask_self(self, frame: QuotaAsked, reply: QuotaReply) -> TokenDecision | None:
        """Request a token from the issuer of this instance."""
        key = (self.own, frame.number)
        self.issuer.ask(key, frame, reply.set)
        try:
            decision = await reply.wait(frame.wait_s)
            return decision or QuotaDenied(key=None, wait_s=0.0)
        finally:
            self.issuer.withdraw(key)

    async def ask_other(
        self, issuer: str, frame: Callable[[int], QuotaAsked], reply: QuotaReply, wait_s: float
    ) -> TokenDecision | None:
        """Request a token from another instance."""
        # While a request waits, the silence of its link shows that the issuer is lost.
        timeout_s = max(wait_s, REPLY_TIMEOUT_S)
        decision = await ask_instance(self.peers, issuer, frame, reply, timeout_s)
        waited = not reply.decision.done() and wait_s >= REPLY_TIMEOUT_S
        return QuotaDenied(key=None, wait_s=0.0) if waited else decision

    def on_limit_ended(self, server: RegisteredServer) -> None:
        """Report to the issuer that a server has answered without a limit."""
        self.tasks.start("report-limit-end", self.report_end(server))

    async def report_end(self, server: RegisteredServer) -> None:
        """Send the report to the first issuer that can be reached."""
        for issuer in self.issuers(server.service, TokenKind.NAMED):
            if issuer == self.own:
                self.issuer.on_limit_ended(server.server)
                return
            match await self.peers.link(issuer):
                case Ok(link):
                    link.send(LimitEnded(server=server.server))
                    return

    def close(self) -> None:
        """Stop issuing."""
        self.issuer.close()
        self.tasks.cancel()
