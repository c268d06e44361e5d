"""Large receive buffers, which only a few connections have at a time."""

from __future__ import annotations

from typing import Generic, TypeVar

from msgspec import Struct, field

C = TypeVar("C")


class BufferGrants(Struct, Generic[C], kw_only=True):
    """Grants a large receive buffer to connections with much to receive, up to a number of them.

    What a connection may receive without reading it counts as memory even while its peer sends
    nothing, so a grant ends only with the connection: an offered window can't be taken back.

    >>> grants = BufferGrants(limit=1)
    >>> grants.grant("first"), grants.grant("second"), grants.grant("first")
    (True, False, False)
    >>> grants.release("first")
    >>> grants.grant("second")
    True

    :param limit: how many connections may have a large buffer
    :param holders: the connections that have one
    """

    limit: int
    holders: set[C] = field(default_factory=set)

    def grant(self, connection: C) -> bool:
        """Whether a connection gets a large buffer now."""
        if connection in self.holders or len(self.holders) >= self.limit:
            return False
        self.holders.add(connection)
        return True

    def release(self, connection: C) -> None:
        """Record that a connection has closed."""
        self.holders.discard(connection)
