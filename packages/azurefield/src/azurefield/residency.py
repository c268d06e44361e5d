"""Data residency: the regions in which the requests of a route or a workspace may run."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from msgspec import Struct, field

from azurefield.directory import Directory
from azurefield.routes import ShardSet

if TYPE_CHECKING:
    from azurefield.routes import Route, RouteTable
    from azurefield.snapshot import Holding


class Residency(Struct, kw_only=True):
    """Decides which zones the body of a request may be sent to.

    :param regions: the region of each availability zone
    """

    regions: Mapping[str, str] = field(default_factory=dict)

    def allows(self, zone: str, allowed: frozenset[str] | None) -> bool:
        """Whether a request may be sent to a server or an instance in a zone.

        A zone without a known region gets only requests that may run in any region.

        :param allowed: the regions that the request may run in; None for any
        """
        return allowed is None or self.regions.get(zone) in allowed

    def has_servers(self, directory: Directory, route: Route) -> bool:
        """Whether enough services of a route have a usable server in an allowed region."""
        services = route.services
        served = sum(
            any(
                self.allows(directory.servers[server].availability_zone, route.allowed_regions)
                for server in directory.usable.get(service, ())
            )
            for service in services
        )
        if isinstance(route.target, ShardSet):
            return served > 0 and served >= route.target.coverage_min * len(services)
        return served > 0

    def unknown_regions(self, table: RouteTable) -> frozenset[str]:
        """Return the regions that a version allows and in which no known zone is."""
        bounds = {route.allowed_regions for route in table.routes if route.allowed_regions}
        if table.workspaces is not None:
            bounds |= table.workspaces.region_bounds
        named: frozenset[str] = frozenset().union(*bounds)
        return named - frozenset(self.regions.values())


class AllowedHolders(Struct, kw_only=True, frozen=True):
    """Lists only servers in some regions, for all calls of a request."""

    directory: Directory
    residency: Residency
    allowed: frozenset[str]

    def holders(self, now: float, holding: Holding) -> tuple[str, ...]:
        """Return the usable servers of a leaf that are in an allowed region."""
        servers = self.directory.servers
        return tuple(
            server
            for server in self.directory.holders(now, holding)
            if self.residency.allows(servers[server].availability_zone, self.allowed)
        )
