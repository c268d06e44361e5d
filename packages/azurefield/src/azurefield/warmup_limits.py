"""Rate limits of backend servers that warm up, for all instances together."""

from __future__ import annotations

from collections.abc import Mapping
from math import inf
from typing import TYPE_CHECKING

from msgspec import Struct, field

from azurefield.routes import ServiceLimits
from azurefield.server_limits import NamedLimit

if TYPE_CHECKING:
    from azurefield.directory import RegisteredServer

# Part of the bound that is issued as tokens. Tokens that the issuer keeps, and those of a deputy
# that issues at the same time, must fit into the rest.
ISSUED_FRACTION = 0.5


class WarmupBound(Struct, kw_only=True, frozen=True):
    """How many requests a server that warms up may get in any second.

    :param rate_factor: factor on the rate that its service names
    :param extra_requests: requests beyond that
    """

    rate_factor: float
    extra_requests: float

    def requests_max(self, per_s: float) -> float:
        """Return the bound for a service that names a rate."""
        return per_s * self.rate_factor + self.extra_requests


class WarmupLimits(Struct, kw_only=True):
    """The servers that warm up, and the rate at which each may be called meanwhile.

    The end of a warm-up counts from the arrival of the entry that told of it, so it is late by the
    entry's age rather than early.

    :param bound: None if the platform sets none; then no server has a limit
    :param services: the services of the configuration in force
    :param until: when the warm-up of each server ends
    :param stated_s: the remaining time in the last entry of each server
    """

    bound: WarmupBound | None = None
    services: Mapping[str, ServiceLimits] = field(default_factory=dict)
    until: dict[str, float] = field(default_factory=dict)
    stated_s: dict[str, float] = field(default_factory=dict)

    def on_entry(self, now: float, entry: RegisteredServer) -> bool:
        """Record what a server's entry says of its warm-up.

        :return: whether a warm-up has begun; not for a late entry of one that has ended
        """
        if self.bound is None:
            return False
        rises = entry.warmup_s > self.stated_s.get(entry.server, 0.0)
        was_warm = self.until.get(entry.server, -inf) <= now
        self.stated_s[entry.server] = entry.warmup_s
        self.extend(now, entry.server, entry.warmup_s)
        return rises and was_warm

    def on_reopened(self, now: float, entry: RegisteredServer) -> None:
        """Record that a server is used again; it may warm up without having told so yet."""
        service = self.services.get(entry.service)
        if self.bound is not None and service is not None:
            self.extend(now, entry.server, service.warmup_duration_s)

    def extend(self, now: float, server: str, left_s: float) -> None:
        """Let a warm-up end no earlier than in ``left_s``; it is never shortened."""
        if left_s > 0.0:
            self.until[server] = max(self.until.get(server, -inf), now + left_s)

    def limit(self, now: float, entry: RegisteredServer) -> NamedLimit | None:
        """Return at which rate tokens for calls to a server are issued; None if it needs none."""
        if self.bound is None or self.until.get(entry.server, -inf) <= now:
            return None
        service = self.services.get(entry.service)
        if service is None or service.warmup_rate_per_s <= 0.0:
            return None
        per_s = ISSUED_FRACTION * self.bound.requests_max(service.warmup_rate_per_s)
        return NamedLimit(per_s=per_s, named_at=now)

    def forget(self, server: str) -> None:
        """Drop a server that is gone or was started again."""
        self.until.pop(server, None)
        self.stated_s.pop(server, None)

    def expire(self, now: float) -> None:
        """Drop the servers that have warmed up."""
        self.until = {server: until for server, until in self.until.items() if until > now}
