"""Describes the instances that could run a request in place of this one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

from azurefield.explanation import InstanceCandidate, Obstacle, ObstacleReason
from azurefield.peer_selection import PeerSelection
from azurefield_entry.clock import now
from azurefield_entry.gateway.explain.servers import (
    milliseconds,
    obstacle_until,
    router_obstacles,
)
from azurefield_entry.gateway.peers.forwarding import Forwarding

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from azurefield.coordinators import InstanceProfile
    from azurefield.routes import Route


class InstanceExplainer(Struct, kw_only=True):
    """Describes coordinators and other instances by the state that the choice of them uses."""

    forwarding: Forwarding
    peers: PeerSelection

    def coordinators(self, route: Route) -> list[InstanceCandidate]:
        """Describe the coordinators of a route; none if this instance runs it itself."""
        candidates = self.forwarding.candidates(route)
        if not candidates:
            return []
        at = now()
        view, router = self.forwarding.view, self.forwarding.router
        zones = self.forwarding.zones_for(route) or frozenset()
        named = (*view.candidates(zones), *view.distant_candidates(zones))
        median_s = router.median_latency_s(candidates)
        waits_s = {name: router.expected_wait_s(at, name, median_s) for name in named}
        eligible = router.eligible(at, candidates, median_s)
        possible = router.possible_choices(at, {name: waits_s[name] for name in eligible})
        against = {
            name: self.coordinator_obstacles(at, name, candidates, median_s) for name in named
        }
        return self.describe((view.profiles[name] for name in named), possible, against, waits_s)

    def coordinator_obstacles(
        self, at: float, name: str, candidates: Collection[str], median_latency_s: float
    ) -> list[Obstacle]:
        """List what speaks against a coordinator."""
        choice, router = self.forwarding.choice, self.forwarding.router
        against = router_obstacles(at, router, name, median_latency_s)
        if name not in candidates:
            against.append(Obstacle(reason=ObstacleReason.FARTHER))
        if choice.is_silent(at, name):
            until = router.observed(name).backoff_until
            silent = obstacle_until(at, ObstacleReason.SILENT, until)
            against = [one for one in against if one.reason is not ObstacleReason.BACKOFF] + silent
        return against

    def other_instances(self, route: Route) -> list[InstanceCandidate]:
        """Describe the instances to which a request of a route may be passed on."""
        at = now()
        router = self.forwarding.router
        profiles = {
            profile.instance: profile
            for profile in self.forwarding.profiles_for(route)
            if profile.instance != self.peers.own
        }
        able = [name for name, profile in profiles.items() if self.peers.may_run(at, profile)]
        compared = tuple(self.peers.punctual(at, able) or able)
        median_s = router.median_latency_s(compared)
        waits_s = {
            name: router.expected_wait_s(at, name, median_s)
            - router.penalty_s(name)
            + self.peers.penalty_s(profile)
            for name, profile in profiles.items()
        }
        eligible = router.eligible(at, compared, median_s)
        possible = router.possible_choices(at, {name: waits_s[name] for name in eligible})
        against = {name: self.peer_obstacles(at, name, median_s) for name in profiles}
        return self.describe(profiles.values(), possible, against, waits_s)

    def peer_obstacles(self, at: float, name: str, median_latency_s: float) -> list[Obstacle]:
        """List what speaks against another instance."""
        refused_until = self.peers.avoided_until.get(name, at)
        late_until = self.peers.late_until.get(name, at)
        return [
            *obstacle_until(at, ObstacleReason.REFUSED, refused_until),
            *obstacle_until(at, ObstacleReason.LATE, late_until),
            *router_obstacles(at, self.forwarding.router, name, median_latency_s),
        ]

    def describe(
        self,
        profiles: Iterable[InstanceProfile],
        possible: Collection[str],
        against: dict[str, list[Obstacle]],
        waits_s: dict[str, float],
    ) -> list[InstanceCandidate]:
        """Describe instances, the best first."""
        described = [
            InstanceCandidate(
                instance=profile.instance,
                availability_zone=profile.availability_zone,
                other_zone=profile.availability_zone != self.peers.own_zone,
                may_be_chosen=profile.instance in possible,
                against=tuple(against[profile.instance]),
                outstanding=self.forwarding.router.observed(profile.instance).outstanding,
                expected_ms=milliseconds(waits_s[profile.instance]),
            )
            for profile in profiles
        ]
        return sorted(
            described,
            key=lambda one: (not one.may_be_chosen, len(one.against), one.expected_ms),
        )
