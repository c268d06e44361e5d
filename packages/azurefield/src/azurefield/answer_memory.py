"""Memory of the answers that are being received, bounded for all calls together."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Generic, TypeVar

C = TypeVar("C")

LIMIT_BYTES = 48 * 1024 * 1024


@dataclass(slots=True, kw_only=True)
class AnswerMemory(Generic[C]):
    """Counts the bytes of incomplete answers, and chooses which call ends if there are too many.

    It is the one that holds most: an answer without an end outgrows the others, which go on.

    >>> memory = AnswerMemory(limit_bytes=100)
    >>> memory.hold("endless", 80)
    >>> memory.hold("usual", 30)
    >>> memory.largest_above_limit()
    'endless'
    >>> memory.release("endless")
    >>> memory.largest_above_limit() is None
    True

    :param limit_bytes: how much all incomplete answers may hold together
    :param held: the bytes of each call's answer, by its connection
    :param total_bytes: their sum
    """

    limit_bytes: int = LIMIT_BYTES
    held: dict[C, int] = field(default_factory=dict)
    total_bytes: int = 0

    def hold(self, connection: C, held_bytes: int) -> None:
        """Record how many bytes of an incomplete answer have arrived on a connection."""
        self.total_bytes += held_bytes - self.held.get(connection, 0)
        self.held[connection] = held_bytes

    def release(self, connection: C) -> None:
        """Record that the answer on a connection is complete or given up."""
        self.total_bytes -= self.held.pop(connection, 0)

    def largest_above_limit(self) -> C | None:
        """Return the connection with the largest answer; None within the limit."""
        if self.total_bytes <= self.limit_bytes:
            return None
        return max(self.held, key=self.held.__getitem__)
