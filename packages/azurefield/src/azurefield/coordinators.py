"""Choice of the instances that run the queries over many shards for the whole fleet.

In a large fleet an instance runs so few queries that it keeps no open connection to most backend
servers and has observed too little of them to choose well. A few strong instances of each
availability zone, the coordinators, then run the queries of all instances.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from msgspec import Struct, field

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from azurefield.directory import Directory

# With two, the queries of a zone continue on the other one when a coordinator is lost.
COORDINATORS_PER_ZONE_MIN = 2
# The coordinators of a zone together have at least this fraction of its processor capacity.
CAPACITY_FRACTION_MIN = 0.2
# Fraction of a server's connections that the coordinators share. The rest is left to the other
# instances, which call a server themselves while no coordinator accepts their queries.
CONNECTIONS_FRACTION = 0.75
# A zone is near the shards of a set if it hosts at least this fraction of the shards that the
# best-placed zone hosts.
NEAR_ZONE_FRACTION = 0.5


class InstanceProfile(Struct, kw_only=True, frozen=True):
    """What an instance announces of itself.

    :param capacity: its processor capacity in cores of a common speed
    :param coordinator_address: ``host:port`` where it accepts forwarded queries; None if it does
        not
    """

    instance: str
    availability_zone: str
    capacity: float
    coordinator_address: str | None


def choose_coordinators(profiles: Iterable[InstanceProfile]) -> dict[str, tuple[str, ...]]:
    """Choose the coordinators of each availability zone, the strongest instances first.

    All instances that know the same profiles make the same choice.

    >>> def profile(name, capacity):
    ...     return InstanceProfile(instance=name, availability_zone="a", capacity=capacity,
    ...                            coordinator_address="192.0.2.1:80")
    >>> choose_coordinators([profile("a1", 1.0), profile("a2", 4.0), profile("a3", 4.0)])
    {'a': ('a2', 'a3')}
    """
    by_zone: dict[str, list[InstanceProfile]] = {}
    for profile in profiles:
        by_zone.setdefault(profile.availability_zone, []).append(profile)
    return {zone: strongest(members) for zone, members in by_zone.items()}


def strongest(members: list[InstanceProfile]) -> tuple[str, ...]:
    """Return the fewest instances that hold the required part of a zone's capacity."""
    required = CAPACITY_FRACTION_MIN * sum(member.capacity for member in members)
    reachable = [member for member in members if member.coordinator_address is not None]
    reachable.sort(key=lambda member: (-member.capacity, member.instance))
    chosen: list[str] = []
    capacity = 0.0
    for member in reachable:
        if len(chosen) >= COORDINATORS_PER_ZONE_MIN and capacity >= required:
            break
        chosen.append(member.instance)
        capacity += member.capacity
    return tuple(chosen)


def zones_near_shards(
    directory: Directory,
    shards: Collection[str],
    allows: Callable[[str], bool] = lambda _: True,
) -> frozenset[str]:
    """Return the availability zones that host most of the shards.

    :param allows: whether a zone may be used
    """
    hosted: dict[str, int] = {}
    for shard in shards:
        zones = {
            directory.servers[server].availability_zone
            for server in directory.usable.get(shard, ())
        }
        for zone in filter(allows, zones):
            hosted[zone] = hosted.get(zone, 0) + 1
    most = max(hosted.values(), default=0)
    return frozenset(zone for zone, count in hosted.items() if count >= NEAR_ZONE_FRACTION * most)


def fleet_needs_coordinators(*, instances: int, connections_max: int, slots: int) -> bool:
    """Whether equal shares of a server's connections would be smaller than its slots.

    One more share is reserved for an instance that is not known yet.
    """
    return connections_max // (instances + 1) < slots


class CoordinatorView(Struct, kw_only=True):
    """The coordinators as one instance knows them.

    :param own: the name of this instance
    """

    own: str
    profiles: dict[str, InstanceProfile] = field(default_factory=dict)
    by_zone: Mapping[str, tuple[str, ...]] = field(default_factory=dict)

    def on_profile(self, profile: InstanceProfile) -> None:
        """Record what an instance announces."""
        if self.profiles.get(profile.instance) != profile:
            self.profiles[profile.instance] = profile
            self.by_zone = choose_coordinators(self.profiles.values())

    def retain_only(self, instances: Collection[str]) -> None:
        """Drop the instances that no longer run."""
        if self.profiles.keys() - instances:
            self.profiles = {
                name: profile for name, profile in self.profiles.items() if name in instances
            }
            self.by_zone = choose_coordinators(self.profiles.values())

    @property
    def own_zone(self) -> str | None:
        """The availability zone of this instance; None before its profile is known."""
        profile = self.profiles.get(self.own)
        return None if profile is None else profile.availability_zone

    def is_distant(self, instance: str) -> bool:
        """Whether an instance is known to be in another zone than this one."""
        profile = self.profiles.get(instance)
        own_zone = self.own_zone
        if profile is None or own_zone is None:
            return False
        return profile.availability_zone != own_zone

    def candidates(self, zones: Collection[str]) -> tuple[str, ...]:
        """List the coordinators for queries over servers in these zones.

        If this instance is in one of the zones, only coordinators of its own zone are listed, since
        traffic between zones takes longer and is billed.
        """
        own_zone = self.own_zone
        chosen = [own_zone] if own_zone is not None and own_zone in zones else sorted(zones)
        return tuple(name for zone in chosen for name in self.by_zone.get(zone, ()))

    def distant_candidates(self, zones: Collection[str]) -> tuple[str, ...]:
        """List the coordinators in these zones that ``candidates`` leaves out."""
        nearest = self.candidates(zones)
        named = (name for zone in sorted(zones) for name in self.by_zone.get(zone, ()))
        return tuple(name for name in named if name not in nearest)

    def fraction(self, zones: Collection[str]) -> float:
        """Return which fraction this instance has of what the coordinators of these zones share."""
        coordinators = [name for zone in zones for name in self.by_zone.get(zone, ())]
        return 1 / len(coordinators) if self.own in coordinators else 0.0

    def connection_share(self, connections_max: int, zones: Collection[str]) -> int:
        """Return how many connections this instance may open to a server of a shard.

        The coordinators share most of them. The other instances may open one each.
        """
        return max(1, int(CONNECTIONS_FRACTION * connections_max * self.fraction(zones)))
