"""Which instances watch the store, and from which the others receive its changes.

A call to the store has a price, and its rate is bounded, however many instances there are. So two
instances of the fleet watch it. Two relays of each availability zone follow these, and the other
instances of a zone follow its relays.
"""

from __future__ import annotations

from msgspec import Struct, field

# With two, the followers of one can switch to the other when it is lost.
RELAYS_PER_ZONE = 2
WATCHERS = 2
# Fewest instances of a zone that uses relays. In smaller zones the shorter watches of the watching
# instances cost more calls than the followers save.
ZONE_INSTANCES_MIN = 5


class RelayTree(Struct, kw_only=True):
    """The instances that can relay changes, as one instance knows them.

    Instances with different views may follow each other in a circle. The age of what they relay
    then grows until they watch the store themselves.

    :param own: the name of this instance
    :param own_zone: its availability zone
    :param zones: the instances of each zone that can relay
    """

    own: str
    own_zone: str
    zones: dict[str, set[str]] = field(default_factory=dict)

    def add(self, instance: str, zone: str) -> None:
        """Add an instance that can relay."""
        self.zones.setdefault(zone, set()).add(instance)

    def zone_of(self, instance: str) -> str | None:
        """Return the zone of an instance; None if it is not known."""
        return next((zone for zone, members in self.zones.items() if instance in members), None)

    def remove(self, instance: str) -> None:
        """Remove an instance."""
        for members in self.zones.values():
            members.discard(instance)

    def clear(self) -> None:
        """Remove all instances."""
        self.zones.clear()

    def relays(self, zone: str) -> list[str]:
        """List the relays of a zone; none if it is too small to use relays."""
        members = self.zones.get(zone, set())
        return sorted(members)[:RELAYS_PER_ZONE] if len(members) >= ZONE_INSTANCES_MIN else []

    def watchers(self) -> list[str]:
        """List the instances that watch the store for the whole fleet."""
        first = [relays[0] for zone in sorted(self.zones) if (relays := self.relays(zone))]
        return first[:WATCHERS]

    def upstreams(self) -> list[str]:
        """List the instances that this one may follow; none if it has to watch the store."""
        relays = self.relays(self.own_zone)
        if not relays:
            return []
        if self.own not in relays:
            return relays
        watchers = self.watchers()
        return [] if self.own in watchers or len(watchers) < WATCHERS else watchers

    @property
    def is_relay(self) -> bool:
        """Whether other instances of the zone follow this one."""
        return self.own in self.relays(self.own_zone)
