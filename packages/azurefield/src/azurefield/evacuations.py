"""Availability zones whose backend servers get no new calls at the operator's request."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from msgspec import Struct, field

if TYPE_CHECKING:
    from collections.abc import Collection

# A store that returns may have lost a request that is still in force, until it is written again.
LOST_REQUEST_HOLD_S = 6.0


class Evacuations(Struct, kw_only=True):
    """The evacuated zones.

    Each method that changes them returns the zones that are no longer evacuated, or that now are.

    :param until: until when each zone stays evacuated although a listing did not name it; infinity
        if the store holds the request
    """

    until: dict[str, float] = field(default_factory=dict)

    def on_requested(self, zone: str) -> frozenset[str]:
        """Evacuate a zone until the request is removed."""
        known = zone in self.until
        self.until[zone] = inf
        return frozenset() if known else frozenset({zone})

    def on_removed(self, zone: str) -> frozenset[str]:
        """End an evacuation, because its request was removed."""
        return frozenset() if self.until.pop(zone, None) is None else frozenset({zone})

    def on_listing(
        self, now: float, zones: Collection[str], *, may_lack_requests: bool
    ) -> frozenset[str]:
        """Apply a complete listing of the requests.

        :param may_lack_requests: whether the store may have lost some
        """
        missing = self.until.keys() - zones
        removed = frozenset(zone for zone in missing if self.until[zone] == inf)
        changed = frozenset(zones) - self.until.keys()
        self.until |= dict.fromkeys(zones, inf)
        if not may_lack_requests:
            # A request that the store may have lost may still be written again.
            for zone in removed:
                del self.until[zone]
            return changed | removed
        for zone in missing:
            self.until[zone] = min(self.until[zone], now + LOST_REQUEST_HOLD_S)
        return changed

    def expire(self, now: float) -> frozenset[str]:
        """End the evacuations whose requests were not written again in time."""
        ended = frozenset(zone for zone, until in self.until.items() if until <= now)
        for zone in ended:
            del self.until[zone]
        return ended
