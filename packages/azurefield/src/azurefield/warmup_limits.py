"""Rate limits of backend servers that warm up, for all instances together."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class WarmupBound:
    """How many requests a server that warms up may get in any second.

    :param overage: factor on the rate that its service names
    :param slack: requests beyond that
    """

    overage: float
    slack: float
