"""What the connections of all callers hold together, and the turns in which they are parsed."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING

from logbook import Logger
from msgspec import Struct, field

from azurefield.buffer_grants import BufferGrants
from azurefield.connection_limit import ConnectionLimit
from azurefield.held_memory import LIMIT_BYTES, HeldMemory
from azurefield.parsing_turns import ParsingTurns
from azurefield_entry.callers.limited import LimitedConnection
from azurefield_entry.callers.metrics import CallerMetrics
from azurefield_entry.clock import now
from azurefield_entry.log_limit import LineLimit

if TYPE_CHECKING:
    from collections.abc import Hashable

# A connection that holds no more than this of bodies is not counted, so that a small request is
# never refused for what others hold.
UNCOUNTED_BYTES = 4096
# A body is held once more in a frame to another instance.
COPIES_IN_USE = 2
CONNECTIONS_MAX = 4096
LARGE_BUFFERS_MAX = 64
# Bounds the lines of each kind, which a crowd of callers causes in any number.
LOG_LINES_PER_S = 1.0
log = Logger("callers")


class CallerLoad(Struct, kw_only=True):
    """Bounds what all callers together hold, and the work for them in a turn of the event loop.

    :param memory_bytes: what the settings allow for bodies, large heads and unread answers
    :param memory_max_bytes: what they allow at most if a single body may be larger
    :param body_bytes_max: how large one body may be
    :param memory: the bytes of bodies, large heads and unread answers
    :param connections: the open connections
    :param large_buffers: the connections whose receive buffer is large
    :param turns: the connections that wait until their bytes are parsed
    :param turn_scheduled: whether the next turn will be run
    """

    metrics: CallerMetrics = field(default_factory=CallerMetrics)
    memory_bytes: int = LIMIT_BYTES
    memory_max_bytes: int = sys.maxsize
    body_bytes_max: int = 0
    memory: HeldMemory[LimitedConnection] = field(default_factory=HeldMemory)
    connections: ConnectionLimit[LimitedConnection] = field(
        default_factory=lambda: ConnectionLimit(limit=CONNECTIONS_MAX)
    )
    large_buffers: BufferGrants[LimitedConnection] = field(
        default_factory=lambda: BufferGrants(limit=LARGE_BUFFERS_MAX)
    )
    turns: ParsingTurns[LimitedConnection] = field(default_factory=ParsingTurns)
    turn_scheduled: bool = False
    connection_lines: LineLimit = field(
        default_factory=lambda: LineLimit(lines_per_s=LOG_LINES_PER_S)
    )
    refused_lines: LineLimit = field(default_factory=lambda: LineLimit(lines_per_s=LOG_LINES_PER_S))

    def set_limits(
        self,
        *,
        memory_bytes: int | None = None,
        memory_max_bytes: int | None = None,
        connections_max: int | None = None,
        large_buffers_max: int | None = None,
        body_bytes_max: int | None = None,
    ) -> None:
        """Change limits; those that are None stay."""
        if memory_bytes is not None:
            self.memory_bytes = memory_bytes
        if memory_max_bytes is not None:
            self.memory_max_bytes = memory_max_bytes
        if body_bytes_max is not None:
            self.body_bytes_max = body_bytes_max
        if connections_max is not None:
            self.connections.limit = connections_max
        if large_buffers_max is not None:
            self.large_buffers.limit = large_buffers_max
        # The largest body that callers may send has room, if the process has memory for it.
        wanted_bytes = max(self.memory_bytes, COPIES_IN_USE * self.body_bytes_max)
        self.memory.limit_bytes = min(wanted_bytes, self.memory_max_bytes)
        if wanted_bytes > self.memory_max_bytes:
            log.warning(
                "Callers may send bodies of {} bytes; this process has memory for {} bytes of one.",
                self.body_bytes_max,
                self.memory.limit_bytes // COPIES_IN_USE,
            )

    def on_open(self, connection: LimitedConnection) -> None:
        """Record a new connection, and close one if there are too many."""
        closing = self.connections.on_open(connection)
        self.metrics.connections.set(self.connections.open_count)
        if closing is None:
            return
        self.metrics.limited.labels("connection").inc()
        if self.connection_lines.allow(now()):
            log.warning("Callers have {} connections; closing one.", self.connections.open_count)
        closing.abort()

    def on_progress(self, connection: LimitedConnection) -> None:
        """Record bytes of a caller."""
        self.connections.on_progress(connection)

    def on_close(self, connection: LimitedConnection) -> None:
        """Forget a connection."""
        self.memory.release(connection)
        self.memory.end_use(connection)
        self.turns.forget(connection)
        self.large_buffers.release(connection)
        self.connections.on_close(connection)
        self.metrics.connections.set(self.connections.open_count)

    def hold(self, connection: LimitedConnection, held_bytes: int) -> None:
        """Record what a connection holds; those that hold most give up if it is too much."""
        if held_bytes > UNCOUNTED_BYTES:
            self.memory.hold(connection, held_bytes)
            self.make_room()
        else:
            self.memory.release(connection)

    def make_room(self) -> None:
        """Let the connections that hold most give up while all hold too much."""
        while (largest := self.memory.largest_above_limit()) is not None:
            self.memory.release(largest)
            self.turns.forget(largest)
            self.metrics.limited.labels("memory").inc()
            largest.give_up()

    def use_body(self, connection: LimitedConnection, body_bytes: int) -> bool:
        """Keep a complete body until its request has ended; return whether there is room."""
        if connection.rejected:
            # The connection gave up while the handler took the last bytes.
            return False
        connection.on_body_taken()
        self.connections.on_served(connection)
        return self.use(connection, body_bytes, head_bytes=connection.head.kept.memory_bytes)

    def use(self, user: Hashable, body_bytes: int, *, head_bytes: int = 0) -> bool:
        """Keep a body until ``memory.end_use``; return whether there is room.

        :param head_bytes: memory of the head of its request, which calls to servers copy as well
        """
        counted = counted_bytes(body_bytes) + COPIES_IN_USE * head_bytes
        if not counted:
            return True
        if not self.memory.use(user, counted):
            self.metrics.limited.labels("memory").inc()
            return False
        self.make_room()
        return True

    def has_room(self, body_bytes: int) -> bool:
        """Whether ``use`` would keep a body; changes nothing."""
        counted = counted_bytes(body_bytes)
        return not counted or self.memory.has_room(counted)

    def on_answer(self, connection: LimitedConnection) -> None:
        """Record that the answer to a request is about to be written; the caller has to read it."""
        self.memory.end_use(connection)
        if connection.transport is not None:
            self.connections.on_wait(connection)

    def parses_at_once(self, connection: LimitedConnection, data: bytes) -> bool:
        """Whether bytes of a body are parsed now; if not, the connection waits for its turn."""
        if self.turns.parses_at_once(connection, data):
            return True
        self.metrics.limited.labels("turn").inc()
        self.schedule_turn()
        return False

    def wait(self, connection: LimitedConnection) -> None:
        """Let a connection wait for its turn."""
        self.turns.wait(connection)
        self.schedule_turn()

    def schedule_turn(self) -> None:
        """Parse in the next turn of the event loop, after what has arrived until then is read."""
        if not self.turn_scheduled:
            self.turn_scheduled = True
            asyncio.get_running_loop().call_soon(self.run_turn)

    def run_turn(self) -> None:
        """Parse what one turn allows."""
        self.turn_scheduled = False
        self.turns.begin()
        while (connection := self.turns.next_connection()) is not None:
            connection.parse_piece()
        if self.turns.waiting:
            self.schedule_turn()

    def log_refused(self, request_id: str) -> None:
        """Log that a body was refused."""
        if self.refused_lines.allow(now()):
            log.warning(
                "Refused the body of request id={}: callers hold too much memory.", request_id
            )


def counted_bytes(body_bytes: int) -> int:
    """Return the bytes that a body in use counts; 0 for a small one."""
    return 0 if body_bytes <= UNCOUNTED_BYTES else COPIES_IN_USE * body_bytes
