"""Connection pool of one backend server: ceiling, reuse and the queue of waiting calls."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from typing import Generic, Protocol, TypeVar

from msgspec import Struct, field
from result import Err, Ok, Result

from azurefield.failures import LeafFailure, LeafFailureReason
from azurefield.model import Outcome
from azurefield.sharing import RequestClass, SharedQueue

# Shorter than the idle timeouts of backend servers, so that they don't close a connection first.
CONNECTION_IDLE_MAX_S = 10.0


class PooledConnection(Protocol):
    """The attributes of a connection that a pool uses."""

    idle_since: float

    @property
    def usable(self) -> bool:
        """Whether another call may be sent."""

    async def close(self) -> None:
        """Close the connection at once."""


C = TypeVar("C", bound=PooledConnection)


class Waiter(Struct, Generic[C], kw_only=True, eq=False):
    """A call that waits for a connection.

    :param avoid: connections that the call must not use
    """

    request_class: RequestClass
    granted: asyncio.Future[C]
    avoid: Collection[C] = ()


class ConnectionPool(Struct, Generic[C], kw_only=True):
    """Keeps the number of open connections to one backend server within a ceiling.

    A connection counts as open from before it is connected until after it is closed. ``connect``
    creates a connection, whose socket opens with its first call. ``on_change`` is called after each
    change of ``open_count``.
    """

    connect: Callable[[], C]
    ceiling: int
    idle_max_s: float = CONNECTION_IDLE_MAX_S
    open_count: int = 0
    idle: list[C] = field(default_factory=list)
    waiting: SharedQueue[Waiter[C]] = field(default_factory=SharedQueue)
    closing: set[asyncio.Task[None]] = field(default_factory=set)
    retired: bool = False
    on_change: Callable[[], None] = lambda: None

    @property
    def kept_count(self) -> int:
        """Number of open connections without those that are being closed."""
        return self.open_count - len(self.closing)

    async def acquire(
        self, *, request_class: RequestClass, deadline: float, avoid: Collection[C] = ()
    ) -> Result[C, LeafFailure]:
        """Take a free connection, or wait for one in the order of the queue.

        :param avoid: connections that the call must not use
        :return: a failure ``NO_CAPACITY`` with ``NOT_RUN`` if none became free before the deadline
        """
        connection = self.take_idle_or_open(avoid)
        if connection is not None:
            return Ok(connection)
        granted: asyncio.Future[C] = asyncio.get_running_loop().create_future()
        waiter = Waiter(request_class=request_class, granted=granted, avoid=avoid)
        self.waiting.push(request_class, waiter)
        try:
            async with asyncio.timeout_at(deadline):
                return Ok(await asyncio.shield(granted))
        except TimeoutError:
            self.remove_waiter(waiter)
            return Err(_no_capacity())
        except asyncio.CancelledError:
            self.remove_waiter(waiter)
            raise

    def take_idle_or_open(self, avoid: Collection[C] = ()) -> C | None:
        """Take an idle connection, or open a new one below the ceiling.

        The most recently used one is taken, so that surplus connections stay idle and expire. If
        only connections to avoid are idle at the ceiling, one of them is closed to make room.
        """
        connection = self.take_idle(avoid)
        if connection is not None:
            return connection
        if self.open_count < self.ceiling:
            self.open_count += 1
            self.on_change()
            return self.connect()
        if self.idle and not self.closing:
            self.start_closing(self.idle.pop(0))
        return None

    def take_idle(self, avoid: Collection[C]) -> C | None:
        """Take the most recently used idle connection that may be used; close unusable ones."""
        for position in reversed(range(len(self.idle))):
            connection = self.idle[position]
            if not connection.usable:
                self.start_closing(self.idle.pop(position))
            elif connection not in avoid:
                return self.idle.pop(position)
        return None

    def open_fresh(self) -> C:
        """Open a connection for one call, even above the ceiling.

        It is for the few calls that must not use a connection whose server may be gone by now.
        """
        self.open_count += 1
        self.on_change()
        return self.connect()

    def remove_waiter(self, waiter: Waiter[C]) -> None:
        """Remove a call from the queue; a connection that it was just given is released."""
        if waiter.granted.done():
            self.release(waiter.granted.result(), reusable=True)
        else:
            self.waiting.remove(waiter.request_class, waiter)

    def release(self, connection: C, *, reusable: bool) -> None:
        """Return a connection; it is closed if it can't be reused or is above the ceiling."""
        kept = reusable and connection.usable and not self.retired
        if kept and self.kept_count <= self.ceiling:
            connection.idle_since = asyncio.get_running_loop().time()
            self.idle.append(connection)
            self.grant()
        else:
            self.start_closing(connection)

    def grant(self) -> None:
        """Give free connections to the calls at the head of the queue."""
        now = asyncio.get_running_loop().time()
        while (waiter := self.waiting.first(now)) is not None:
            connection = self.take_idle_or_open(waiter.avoid)
            if connection is None:
                return
            self.waiting.pop(now)
            waiter.granted.set_result(connection)

    def set_ceiling(self, ceiling: int) -> None:
        """Set the ceiling; surplus idle connections close now, busy ones when their calls end."""
        self.ceiling = ceiling
        surplus = max(0, self.kept_count - ceiling)
        for connection in self.idle[:surplus]:
            self.start_closing(connection)
        del self.idle[:surplus]
        self.grant()

    def close_expired(self, now: float) -> None:
        """Close the connections that were idle for longer than ``idle_max_s``."""
        while self.idle and now - self.idle[0].idle_since > self.idle_max_s:
            self.start_closing(self.idle.pop(0))

    def retire(self) -> None:
        """Stop reusing connections: idle ones close now, busy ones when their calls end."""
        self.retired = True
        while self.idle:
            self.start_closing(self.idle.pop())

    def start_closing(self, connection: C) -> None:
        """Close a connection in the background, so that the call that used it need not wait."""
        task = asyncio.create_task(connection.close())
        self.closing.add(task)
        task.add_done_callback(self.on_closed)

    def on_closed(self, task: asyncio.Task[None]) -> None:
        """Count a connection as closed and serve the next waiting call."""
        self.closing.discard(task)
        self.open_count -= 1
        self.on_change()
        self.grant()


def _no_capacity() -> LeafFailure:
    return LeafFailure(
        reason=LeafFailureReason.NO_CAPACITY,
        outcome=Outcome.NOT_RUN,
        detail="no connection became free before the deadline",
    )
