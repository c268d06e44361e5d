"""Choice of the server for a call of a query: holders of the leaf, rate limits and routing."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, Protocol

from msgspec import Struct

from azurefield.model import Snapshot
from azurefield.routing import Router
from azurefield.snapshot import Holding

if TYPE_CHECKING:
    from collections.abc import Collection


class Holders(Protocol):
    """Lists the usable backend servers of a leaf at a snapshot."""

    def holders(self, now: float, holding: Holding) -> tuple[str, ...]:
        """List the servers."""


class CallLimits(Protocol):
    """Knows which servers can't take another call yet because of their rate limit."""

    def opens_at(self, server: str) -> float:
        """Return when a call may get a token; minus infinity if nothing speaks against it."""


class ServerChoice(Struct, kw_only=True, frozen=True):
    """Chooses among the servers of one snapshot; a server is open if it may be called now."""

    snapshot: Snapshot
    holders: Holders
    router: Router
    limits: CallLimits

    def servers(self, now: float, leaf: str) -> tuple[str, ...]:
        """List the holders of a leaf."""
        return self.holders.holders(now, Holding(leaf=leaf, snapshot=self.snapshot))

    def untried(
        self, now: float, leaf: str, tried: Collection[str], *, open_by: float
    ) -> tuple[str, ...]:
        """List the holders that were not tried yet and are open by a time."""
        return tuple(
            server
            for server in self.servers(now, leaf)
            if server not in tried and self.limits.opens_at(server) <= open_by
        )

    def choose(
        self, now: float, leaf: str, tried: Collection[str], *, open_by: float
    ) -> str | None:
        """Choose an untried holder; None if there is none.

        One that is not open yet is chosen only if no other is: the one that is expected to open
        first.
        """
        servers = self.servers(now, leaf)
        closed = self.closed(now, servers)
        server = self.router.choose(now, servers, closed.union(tried))
        if server is not None or not closed:
            return server
        return self.first_to_open(now, leaf, tried, open_by=open_by)

    def first_to_open(
        self, now: float, leaf: str, tried: Collection[str], *, open_by: float
    ) -> str | None:
        """Return the untried holder that is expected to open first; None if none does in time."""
        in_time = self.untried(now, leaf, tried, open_by=open_by)
        return min(in_time, key=self.limits.opens_at, default=None)

    def closed(self, now: float, servers: tuple[str, ...]) -> set[str]:
        """Return which of some servers are not open yet."""
        return {server for server in servers if self.limits.opens_at(server) > now}

    def opens_at(self, now: float, leaf: str) -> float:
        """Return when the first holder of a leaf is open; infinity if it has none."""
        return min(map(self.limits.opens_at, self.servers(now, leaf)), default=inf)
