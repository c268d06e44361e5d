"""What one instance has observed of its connections to backend servers."""

from __future__ import annotations

from typing import Protocol

from msgspec import Struct, field


class ConnectObserver(Protocol):
    """Is notified of each attempt to open a connection to a server."""

    def on_opened(self) -> None:
        """Record that a server has accepted a connection."""

    def on_open_failed(self, server: str) -> None:
        """Record that a server has not accepted a connection."""


class ServerContacts(Struct, kw_only=True):
    """When servers last accepted a connection, and when they last showed that they were up.

    :param opened_at: when a server last accepted a connection
    :param up_at: when it last accepted a connection or answered a call
    :param observer: is notified of new connections and of failures to open one
    """

    opened_at: dict[str, float] = field(default_factory=dict)
    up_at: dict[str, float] = field(default_factory=dict)
    observer: ConnectObserver | None = None

    def on_opened(self, now: float, server: str) -> None:
        """Record that a server has accepted a connection."""
        self.opened_at[server] = now
        self.up_at[server] = now
        if self.observer is not None:
            self.observer.on_opened()

    def on_open_failed(self, server: str) -> None:
        """Record that a server has not accepted a connection."""
        if self.observer is not None:
            self.observer.on_open_failed(server)

    def on_answered(self, now: float, server: str) -> None:
        """Record that a server has answered a call, whatever the answer."""
        self.up_at[server] = now

    def silent_s(self, now: float, server: str, since: float) -> float:
        """Return for how long a server has been silent, at most since a time."""
        return now - max(since, self.up_at.get(server, since))

    def opened_since(self, at: float, *, without: frozenset[str]) -> bool:
        """Whether any server but these has accepted a connection since a time."""
        return any(
            opened_at >= at and server not in without
            for server, opened_at in self.opened_at.items()
        )

    def forget(self, server: str) -> None:
        """Remove a server that is gone."""
        self.opened_at.pop(server, None)
        self.up_at.pop(server, None)
