"""Memory of what peers send piece by piece, bounded for all connections together."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

from msgspec import Struct, field

C = TypeVar("C")

LIMIT_BYTES = 48 * 1024 * 1024


class HeldMemory(Struct, Generic[C], kw_only=True):
    """Counts the bytes that connections hold, and chooses which gives up if there are too many.

    It is the one that holds most: bytes without an end outgrow the others, which go on. Bytes in
    use are not given up; connections make room for them.

    >>> memory = HeldMemory(limit_bytes=100)
    >>> memory.hold("endless", 80)
    >>> memory.hold("usual", 30)
    >>> memory.largest_above_limit()
    'endless'
    >>> memory.release("endless")
    >>> memory.largest_above_limit() is None
    True
    >>> memory.use("request", 90), memory.use("another", 20)
    (True, False)
    >>> memory.largest_above_limit()
    'usual'

    :param limit_bytes: how much all connections may hold together
    :param held: the bytes that each connection can give up
    :param in_use: the bytes of each user that can't be given up
    :param used_bytes: their sum
    :param total_bytes: the sum of both kinds
    """

    limit_bytes: int = LIMIT_BYTES
    held: dict[C, int] = field(default_factory=dict)
    in_use: dict[Hashable, int] = field(default_factory=dict)
    used_bytes: int = 0
    total_bytes: int = 0

    def hold(self, connection: C, held_bytes: int) -> None:
        """Record how many bytes a connection holds that it can give up."""
        self.total_bytes += held_bytes - self.held.get(connection, 0)
        self.held[connection] = held_bytes

    def release(self, connection: C) -> None:
        """Record that a connection holds nothing that it can give up."""
        self.total_bytes -= self.held.pop(connection, 0)

    def largest_above_limit(self) -> C | None:
        """Return the connection that holds most; None within the limit."""
        if self.total_bytes <= self.limit_bytes or not self.held:
            return None
        return max(self.held, key=self.held.__getitem__)

    def use(self, user: Hashable, used_bytes: int) -> bool:
        """Take memory that is not given up, until ``end_use``.

        :return: False, without taking any, if what is in use leaves no room for it
        """
        if not self.has_room(used_bytes):
            return False
        self.end_use(user)
        self.in_use[user] = used_bytes
        self.used_bytes += used_bytes
        self.total_bytes += used_bytes
        return True

    def has_room(self, used_bytes: int) -> bool:
        """Whether ``use`` would succeed."""
        return self.used_bytes + used_bytes <= self.limit_bytes

    def end_use(self, user: Hashable) -> None:
        """Return what a user has taken, if anything."""
        used_bytes = self.in_use.pop(user, 0)
        self.used_bytes -= used_bytes
        self.total_bytes -= used_bytes
