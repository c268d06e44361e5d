"""Limit on open connections, and which connection closes if there are too many."""

from __future__ import annotations

from typing import Generic, TypeVar

from msgspec import Struct, field

C = TypeVar("C")


class ConnectionLimit(Struct, Generic[C], kw_only=True):
    """Keeps the number of connections within a limit.

    A connection waits for its peer, or is being served. The one that has waited longest without
    progress makes room: it is idle, or its peer has stopped halfway.

    >>> limit = ConnectionLimit(limit=2)
    >>> limit.on_open("idle"), limit.on_open("sending")
    (None, None)
    >>> limit.on_progress("idle"), limit.on_served("sending")
    (None, None)
    >>> limit.on_open("new")
    'idle'

    :param limit: how many connections may be open
    :param open_count: how many are open
    :param waiting: those that wait for their peers, the longest without progress first
    """

    limit: int
    open_count: int = 0
    waiting: dict[C, None] = field(default_factory=dict)

    def on_open(self, connection: C) -> C | None:
        """Record a new connection; return the one that has to close, which may be the new one.

        It is counted until ``on_close``.
        """
        self.open_count += 1
        self.waiting[connection] = None
        if self.open_count <= self.limit:
            return None
        closing = next(iter(self.waiting))
        del self.waiting[closing]
        return closing

    def on_progress(self, connection: C) -> None:
        """Record that a connection that waits for its peer has received bytes of it."""
        if connection in self.waiting:
            del self.waiting[connection]
            self.waiting[connection] = None

    def on_served(self, connection: C) -> None:
        """Record that the peer has sent a whole request and waits for the answer."""
        self.waiting.pop(connection, None)

    def on_wait(self, connection: C) -> None:
        """Record that a connection waits for its peer again."""
        self.waiting.pop(connection, None)
        self.waiting[connection] = None

    def on_close(self, connection: C) -> None:
        """Record that a connection has closed."""
        self.open_count -= 1
        self.waiting.pop(connection, None)
