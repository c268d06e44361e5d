"""How the memory and the descriptors of a process are divided.

The design note ``caller-memory.md`` has the sum as a table.
"""

from __future__ import annotations

import os
import sys

from msgspec import Struct

from azurefield_entry.early_listener import (
    BACKLOG,
    LARGE_BUFFER_BYTES,
    UNREAD_BYTES_MAX,
    sockets_max,
)

BYTES_PER_MB = 1_000_000
# The program itself, with the configuration and the connections to servers of a usual site.
PROGRAM_BYTES = 48 * BYTES_PER_MB
# Answers of servers that are being received.
ANSWERS_FRACTION = 1 / 6
# Callers' bodies, large heads and unread answers. The larger fraction is for a configuration that
# allows bodies which would have no room in the smaller one.
BODIES_FRACTION = 1 / 6
BODIES_FRACTION_MAX = 3 / 16
# The largest answer of a server, which has room whatever the memory is.
BODIES_MIN_BYTES = 8 * 1024 * 1024
CONNECTIONS_FRACTION = 1 / 9
# Of what the other shares leave.
CONNECTIONS_REST_FRACTION = 1 / 2
# What a caller's connection takes with the objects of a request, an ordinary head, a small body and
# a small answer, which are not counted.
CONNECTION_BYTES = 40 * 1024
# The calls of running requests over many shards, each with its timers, tasks and buffers.
CALLS_FRACTION = 1 / 12
CALL_BYTES = 6 * 1024
# Large receive buffers of callers' connections.
LARGE_BUFFERS_FRACTION = 1 / 120
# An eighth of the sockets is for connections that are not accepted yet, the rest for the store and
# other instances.
CALLER_SOCKETS_FRACTION = 1 / 2
SERVER_SOCKETS_FRACTION = 1 / 4


class MemoryShares(Struct, kw_only=True, frozen=True):
    """The shares of a memory limit.

    >>> shares = MemoryShares(memory_bytes=200 * BYTES_PER_MB)
    >>> shares.connections_max, shares.calls_max, shares.large_buffers_max
    (823, 2712, 12)
    >>> shares.sum_bytes <= shares.memory_bytes
    True

    :param memory_bytes: beyond which the process is killed
    """

    memory_bytes: float

    @property
    def answers_bytes(self) -> int:
        """How much all answers that are being received may hold together."""
        return int(ANSWERS_FRACTION * self.memory_bytes)

    @property
    def bodies_bytes(self) -> int:
        """How much callers' bodies, large heads and unread answers may hold together."""
        return max(BODIES_MIN_BYTES, int(BODIES_FRACTION * self.memory_bytes))

    @property
    def bodies_max_bytes(self) -> int:
        """How much they may hold at most if the configuration allows large bodies."""
        return max(BODIES_MIN_BYTES, int(BODIES_FRACTION_MAX * self.memory_bytes))

    @property
    def connections_max(self) -> int:
        """How many connections of callers there is memory for."""
        share_bytes = CONNECTIONS_FRACTION * self.memory_bytes
        rest_bytes = max(0.0, self.memory_bytes - share_bytes - self.other_bytes)
        share_bytes += CONNECTIONS_REST_FRACTION * rest_bytes
        return max(1, int(share_bytes / (CONNECTION_BYTES + UNREAD_BYTES_MAX)))

    @property
    def calls_max(self) -> int:
        """How many calls the running requests over many shards may need together."""
        return int(CALLS_FRACTION * self.memory_bytes / CALL_BYTES)

    @property
    def large_buffers_max(self) -> int:
        """How many connections of callers may have a large receive buffer."""
        return max(1, int(LARGE_BUFFERS_FRACTION * self.memory_bytes / (2 * LARGE_BUFFER_BYTES)))

    @property
    def other_bytes(self) -> int:
        """What the process may hold at most, apart from the connections of callers."""
        return (
            PROGRAM_BYTES
            + self.answers_bytes
            + self.bodies_max_bytes
            + self.calls_max * CALL_BYTES
            + self.large_buffers_max * 2 * LARGE_BUFFER_BYTES
            + BACKLOG * UNREAD_BYTES_MAX
        )

    @property
    def sum_bytes(self) -> int:
        """What the process may hold at most, whatever callers send."""
        return self.other_bytes + self.connections_max * (CONNECTION_BYTES + UNREAD_BYTES_MAX)


def usable_memory_bytes(memory_mb: float | None) -> float:
    """Return how much memory a process may use: that of the machine if its settings name none."""
    if not memory_mb:
        return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return memory_mb * BYTES_PER_MB


def caller_connections_max(shares: MemoryShares, descriptors_max: float | None) -> int:
    """Return how many connections callers may have open together.

    :param descriptors_max: descriptors of the process; None or 0 for the operating system's limit
    """
    return int(min(shares.connections_max, CALLER_SOCKETS_FRACTION * sockets_max(descriptors_max)))


def server_connections_max(descriptors_max: float | None) -> int:
    """Return how many connections to servers the process may have open together."""
    return int(min(sys.maxsize, SERVER_SOCKETS_FRACTION * sockets_max(descriptors_max)))
