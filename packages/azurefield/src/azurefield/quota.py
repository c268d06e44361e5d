"""Quota of calls to a backend server that names a rate limit for all instances together.

One instance, the issuer, holds the token bucket of the server. Any other instance requests one
token for each call before it sends it. The sum over all instances then keeps to the limit for any
number of instances and any distribution of the load, and an instance that was suspended or cut off
holds no more than the tokens of the calls that it was about to send.

Every instance can be an issuer. Which one is follows from the instances that run; while the views
of them differ, a server has two issuers, so the second one issues only a fraction of the limit.
"""

from __future__ import annotations

from collections.abc import Hashable
from hashlib import blake2b
from typing import TYPE_CHECKING

from msgspec import Struct, field

from azurefield.server_limits import NO_LIMIT, NamedLimit

if TYPE_CHECKING:
    from collections.abc import Collection

# Tokens are kept for this time, so that a late wake-up of the issuer wastes none.
BURST_S = 0.25
# Part of a token that may be missing because of binary rounding.
ROUNDING_TOLERANCE = 1e-6
# Rate of the calls to a server with a lower limit, to find out whether its limit still holds.
PROBE_RATE_PER_S = 0.2
# Fraction of the limit that the second instance in the order of issuers issues, and the fraction
# that all further ones share.
DEPUTY_FRACTION = 0.4
OTHERS_FRACTION = 0.1
# A server that nothing was requested for is forgotten after this time.
UNUSED_MAX_S = 60.0


class QuotaRequest(Struct, kw_only=True, frozen=True):
    """A call that an instance is about to send; times are those of the issuer's clock.

    :param key: identifies the request at the issuer
    :param limit: what the requesting instance knows of the server's limit
    :param priority: priority of the call, 0 first
    :param start_by: latest time at which the call is worth sending
    """

    key: Hashable
    server: str
    limit: NamedLimit
    priority: int
    start_by: float


class QuotaGranted(Struct, kw_only=True, frozen=True):
    """The call may be sent.

    :param limit_ended: whether the server no longer names a limit
    """

    key: Hashable
    limit_ended: bool = False


class QuotaDenied(Struct, kw_only=True, frozen=True):
    """The call can't be sent in time.

    :param wait_s: time after which a token is expected for a call of the same priority
    """

    key: Hashable
    wait_s: float


QuotaDecision = QuotaGranted | QuotaDenied


class ServerQuota(Struct, kw_only=True):
    """The token bucket of one server, with the requests that wait for a token.

    :param fraction: the part of the limit that this issuer issues
    """

    limit: NamedLimit
    fraction: float
    filled_at: float
    tokens: float = 1.0
    waiting: dict[Hashable, QuotaRequest] = field(default_factory=dict)

    @property
    def rate_per_s(self) -> float:
        """Tokens per second."""
        return self.fraction * max(PROBE_RATE_PER_S, self.limit.per_s)

    def refill(self, now: float) -> None:
        """Add the tokens since the last call."""
        tokens_max = max(1.0, BURST_S * self.rate_per_s)
        elapsed_s = max(0.0, now - self.filled_at)
        self.tokens = min(tokens_max, self.tokens + elapsed_s * self.rate_per_s)
        self.filled_at = now

    def next_waiting(self) -> QuotaRequest:
        """Return the most urgent waiting request: by priority, then by the latest start."""
        return min(self.waiting.values(), key=lambda request: (request.priority, request.start_by))

    def wait_s(self, request: QuotaRequest) -> float:
        """Return the expected time until a token is left for a request, which waits or could."""
        ahead = sum(
            (other.priority, other.start_by) < (request.priority, request.start_by)
            for other in self.waiting.values()
        )
        missing = ahead + 1.0 - self.tokens
        return missing / self.rate_per_s if missing > ROUNDING_TOLERANCE else 0.0


class QuotaQueue(Struct, kw_only=True):
    """Issues the tokens of servers: to the most urgent calls first, and at once where possible.

    A request whose token is not expected in time is denied at once. The owner withdraws a request
    whose ``start_by`` has passed.
    """

    servers: dict[str, ServerQuota] = field(default_factory=dict)
    server_of: dict[Hashable, str] = field(default_factory=dict)

    def request(
        self, now: float, request: QuotaRequest, *, fraction: float = 1.0
    ) -> list[QuotaDecision]:
        """Take a request.

        :param fraction: the part of the limit that this issuer may issue now
        :return: the decisions on this and on waiting requests; this one may have to wait
        """
        decisions = self.on_limit(now, request.server, request.limit)
        quota = self.servers[request.server]
        quota.refill(now)
        quota.fraction = fraction
        if quota.limit.per_s == NO_LIMIT:
            return [*decisions, QuotaGranted(key=request.key, limit_ended=True)]
        wait_s = quota.wait_s(request)
        if wait_s > 0.0 and now + wait_s > request.start_by:
            return [*decisions, QuotaDenied(key=request.key, wait_s=wait_s)]
        quota.waiting[request.key] = request
        self.server_of[request.key] = request.server
        return [*decisions, *self.issue(now, quota)]

    def on_limit(self, now: float, server: str, limit: NamedLimit) -> list[QuotaDecision]:
        """Record a server's limit if it was named later than the known one."""
        quota = self.servers.get(server)
        if quota is None:
            self.servers[server] = ServerQuota(limit=limit, fraction=1.0, filled_at=now)
            return []
        if limit.named_at <= quota.limit.named_at:
            return []
        quota.refill(now)
        quota.limit = limit
        return self.issue(now, quota)

    def on_tick(self, now: float) -> list[QuotaDecision]:
        """Issue the tokens that are due, and forget servers that are no longer in use."""
        decisions: list[QuotaDecision] = []
        for server, quota in [*self.servers.items()]:
            if quota.waiting:
                quota.refill(now)
                decisions += self.issue(now, quota)
            elif now - quota.filled_at > UNUSED_MAX_S:
                del self.servers[server]
        return decisions

    def next_wake(self) -> float | None:
        """Return when the next token is due; None if no request waits."""
        due = [
            quota.filled_at + max(0.0, 1.0 - quota.tokens) / quota.rate_per_s
            for quota in self.servers.values()
            if quota.waiting
        ]
        return min(due, default=None)

    def withdraw(self, key: Hashable) -> None:
        """Remove a request that waits; others are ignored."""
        server = self.server_of.pop(key, None)
        if server is not None:
            self.servers[server].waiting.pop(key)

    def issue(self, now: float, quota: ServerQuota) -> list[QuotaDecision]:
        """Give the tokens that are there to the most urgent requests."""
        decisions: list[QuotaDecision] = []
        ended = quota.limit.per_s == NO_LIMIT
        while quota.waiting and (ended or quota.tokens >= 1.0 - ROUNDING_TOLERANCE):
            request = quota.next_waiting()
            self.withdraw(request.key)
            if request.start_by < now:
                decisions.append(QuotaDenied(key=request.key, wait_s=0.0))
                continue
            if not ended:
                quota.tokens -= 1.0
            decisions.append(QuotaGranted(key=request.key, limit_ended=ended))
        return decisions


def issuer_order(service: str, instances: Collection[str]) -> tuple[str, ...]:
    """Order the instances that may issue the quota of a service's servers, the issuer first.

    All instances that know the same instances agree on the order, and it differs between services,
    so that the work is spread.

    >>> issuer_order("desk", ["i1", "i2"]) == issuer_order("desk", ["i2", "i1"])
    True
    """
    return tuple(sorted(instances, key=lambda instance: (_weight(service, instance), instance)))


def rate_fraction(rank: int, instances: int) -> float:
    """Return the part of a limit that the instance at a position of the order issues."""
    if rank == 0:
        return 1.0
    return DEPUTY_FRACTION if rank == 1 else OTHERS_FRACTION / instances


def _weight(service: str, instance: str) -> bytes:
    return blake2b(f"{service}/{instance}".encode(), digest_size=8).digest()
