"""Describes the servers that could run the calls of a request."""

from __future__ import annotations

import asyncio
from math import inf
from typing import TYPE_CHECKING, Any

from msgspec import Struct

from azurefield.directory import Directory, RegisteredState
from azurefield.explanation import (
    ConnectionCounts,
    Obstacle,
    ObstacleReason,
    ServerCandidate,
    ServiceCandidates,
)
from azurefield.routing import OwnObservationRouter
from azurefield_entry.clock import now
from azurefield_entry.gateway.quotas.server_quotas import ServerQuotas, TokenKind
from azurefield_entry.gateway.servers.connections import ServerConnections

if TYPE_CHECKING:
    from collections.abc import Sequence

    from azurefield.directory import RegisteredServer
    from azurefield.query import FanOut

# Servers that are listed at most, of all services together and of one service.
SERVERS_LISTED_MAX = 120
SERVERS_LISTED_PER_SERVICE_MAX = 12
MS_PER_S = 1000.0


def milliseconds(seconds: float) -> float:
    """Convert seconds to milliseconds, rounded to microseconds."""
    return round(MS_PER_S * seconds, 3)


def obstacle_until(at: float, reason: ObstacleReason, until: float) -> list[Obstacle]:
    """Return an obstacle that lasts until a time; none if that has passed."""
    return [Obstacle(reason=reason, for_ms=milliseconds(until - at))] if until > at else []


def router_obstacles(
    at: float, router: OwnObservationRouter, name: str, median_latency_s: float
) -> list[Obstacle]:
    """List what a router has observed that speaks against a server or an instance."""
    view = router.observed(name)
    against = obstacle_until(at, ObstacleReason.EJECTED, view.ejected_until)
    against += obstacle_until(at, ObstacleReason.BACKOFF, view.backoff_until)
    if view.stalled(at, median_latency_s):
        against.append(Obstacle(reason=ObstacleReason.STALLED))
    return against


class Comparison(Struct, kw_only=True, frozen=True):
    """How the servers of one service compare for the first call of a request.

    :param usable: the servers that may get calls
    :param closed: those of them for which no token is expected yet
    :param waits_s: the expected wait on each usable server
    :param eligible: the servers that are compared
    :param possible: those that the call may go to
    """

    usable: tuple[str, ...]
    median_latency_s: float
    closed: frozenset[str]
    waits_s: dict[str, float]
    eligible: frozenset[str]
    possible: frozenset[str]


class ServerExplainer(Struct, kw_only=True):
    """Describes the servers of services by the same state as the choice of servers uses.

    :param own_zone: availability zone of this instance
    """

    own_zone: str
    directory: Directory
    router: OwnObservationRouter
    connections: ServerConnections
    quotas: ServerQuotas

    async def explain(
        self, fan_out: FanOut[Any, Any], services: Sequence[str]
    ) -> tuple[ServiceCandidates, ...]:
        """Describe the servers of services, so many services that a reply has room for.

        Other tasks run between two services.

        :param fan_out: that of the request, not started
        :param services: all services of its route
        """
        listed = services[:SERVERS_LISTED_MAX]
        servers = self.servers_of(listed)
        per_service = SERVERS_LISTED_MAX // max(1, len(listed))
        limit = min(SERVERS_LISTED_PER_SERVICE_MAX, per_service)
        explained = []
        for service in listed:
            explained.append(self.explain_service(fan_out, service, servers[service], limit))
            await asyncio.sleep(0)
        return tuple(explained)

    def servers_of(self, services: Sequence[str]) -> dict[str, list[str]]:
        """List the registered servers of services."""
        servers: dict[str, list[str]] = {service: [] for service in services}
        for entry in self.directory.servers.values():
            if entry.service in servers:
                servers[entry.service].append(entry.server)
        return servers

    def explain_service(
        self, fan_out: FanOut[Any, Any], service: str, registered: Sequence[str], limit: int
    ) -> ServiceCandidates:
        """Describe the servers of one service, the best first.

        :param limit: how many are listed
        """
        compared = self.compare(fan_out, service)
        # An entry may be gone since the servers were listed.
        known = [server for server in registered if server in self.directory.servers]
        known.sort(
            key=lambda server: (
                server not in compared.possible,
                server not in compared.eligible,
                compared.waits_s.get(server, inf),
                server,
            )
        )
        return ServiceCandidates(
            service=service,
            called=service in fan_out.leafs,
            usable=len(compared.usable),
            servers=tuple(
                self.describe(fan_out, self.directory.servers[server], compared)
                for server in known[:limit]
            ),
            left_out=len(known[limit:]),
        )

    def compare(self, fan_out: FanOut[Any, Any], service: str) -> Comparison:
        """Compare the servers of one service as the first call of a request would."""
        at = now()
        choice = fan_out.choice
        usable = choice.servers(at, service)
        closed = choice.closed(at, usable)
        median_s = self.router.median_latency_s(usable)
        waits_s = {server: self.router.expected_wait_s(at, server, median_s) for server in usable}
        eligible = self.router.eligible(at, usable, median_s, closed)
        possible = self.router.possible_choices(at, {name: waits_s[name] for name in eligible})
        if not eligible and closed:
            opening = choice.first_to_open(at, service, (), open_by=fan_out.deadline)
            possible = frozenset(() if opening is None else (opening,))
        return Comparison(
            usable=usable,
            median_latency_s=median_s,
            closed=frozenset(closed),
            waits_s=waits_s,
            eligible=frozenset(eligible),
            possible=possible if service in fan_out.leafs else frozenset(),
        )

    def describe(
        self, fan_out: FanOut[Any, Any], entry: RegisteredServer, compared: Comparison
    ) -> ServerCandidate:
        """Describe one server."""
        at = now()
        server = entry.server
        view = self.router.observed(server)
        connections = self.count_connections(server)
        warmup = self.quotas.limit_of(entry, TokenKind.WARMUP)
        named = self.quotas.limit_of(entry, TokenKind.NAMED)
        return ServerCandidate(
            server=server,
            availability_zone=entry.availability_zone,
            other_zone=entry.availability_zone != self.own_zone,
            may_be_chosen=server in compared.possible,
            against=(
                *self.directory_obstacles(entry, compared.usable),
                *router_obstacles(at, self.router, server, compared.median_latency_s),
                *obstacle_until(
                    at, ObstacleReason.NO_TOKEN, fan_out.choice.limits.opens_at(server)
                ),
                *connection_obstacles(connections),
            ),
            outstanding=view.outstanding,
            latency_ms=None if view.latency_s is None else milliseconds(view.latency_s),
            failed_fraction=round(view.recent_failure_rate(at), 3),
            penalty_ms=milliseconds(self.router.penalty_s(server)),
            expected_ms=milliseconds(
                self.router.expected_wait_s(at, server, compared.median_latency_s)
            ),
            share=round(self.router.share(at, server), 3),
            warmup_limit_per_s=None if warmup is None else warmup.per_s,
            named_limit_per_s=None if named is None else named.per_s,
            connections=connections,
        )

    def directory_obstacles(
        self, entry: RegisteredServer, usable: tuple[str, ...]
    ) -> list[Obstacle]:
        """List why a server gets no calls, whatever was observed of it.

        :param usable: the servers of its service that the request may use
        """
        registered = self.directory.usable.get(entry.service, ())
        reasons = {
            ObstacleReason.LEAVING: entry.state is not RegisteredState.LIVE,
            ObstacleReason.MISDIRECTED: entry.server in self.directory.misdirected,
            ObstacleReason.EVACUATED: self.directory.is_evacuated(entry.server),
            ObstacleReason.OUTSIDE_REGIONS: entry.server in registered
            and entry.server not in usable,
        }
        return [Obstacle(reason=reason) for reason, applies in reasons.items() if applies]

    def count_connections(self, server: str) -> ConnectionCounts:
        """Count the connections to a server."""
        pool = self.connections.pools.get(server)
        if pool is None:
            ceiling = self.connections.ceiling(server)
            return ConnectionCounts(open=0, idle=0, ceiling=ceiling, waiting=0)
        return ConnectionCounts(
            open=pool.open_count,
            idle=len(pool.idle),
            ceiling=pool.ceiling,
            waiting=len(pool.waiting),
        )


def connection_obstacles(connections: ConnectionCounts) -> list[Obstacle]:
    """Return the obstacle of a server to which no connection is free or can be opened."""
    if connections.idle or connections.open < connections.ceiling:
        return []
    return [Obstacle(reason=ObstacleReason.NO_FREE_CONNECTION)]
