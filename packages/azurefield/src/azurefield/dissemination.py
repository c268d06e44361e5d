"""How one instance sends a message to all others, directly or through a few of them."""

from __future__ import annotations

from math import ceil, sqrt
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

# Up to this number of other instances, each one gets the message directly.
DIRECT_MAX = 16


def broadcast_groups(own: str, instances: Collection[str]) -> list[tuple[str, ...]]:
    """Split the other instances into groups.

    One member of each group gets the message from this instance and forwards it to the others. In a
    large fleet, the number of links of an instance grows with the square root of its size.

    >>> broadcast_groups("b", ["a", "b", "c"])
    [('a',), ('c',)]
    """
    others = sorted(name for name in instances if name != own)
    size = 1 if len(others) <= DIRECT_MAX else ceil(sqrt(len(others)))
    return [tuple(others[first : first + size]) for first in range(0, len(others), size)]
