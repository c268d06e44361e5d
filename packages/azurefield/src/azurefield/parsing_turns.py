"""Shares the work of parsing among connections, turn by turn of an event loop."""

from __future__ import annotations

from typing import Generic, TypeVar

from msgspec import Struct, field

C = TypeVar("C")

# A line is at least the cost of a chunk's size or its end, some microseconds on a slow core.
LINES_PER_TURN = 4096
BYTES_PER_TURN = 1024 * 1024
# A read of an ordinary request. It does not wait, so that a crowd of others can't delay it.
SHORT_LINES = 64
SHORT_BYTES = 16 * 1024


def is_short(data: bytes) -> bool:
    """Whether bytes cost little to parse."""
    return len(data) <= SHORT_BYTES and data.count(b"\n") <= SHORT_LINES


class ParsingTurns(Struct, Generic[C], kw_only=True):
    r"""Limits what is parsed in one turn, and decides whose bytes are next.

    Protects against a crowd that sends bodies in chunks of a few bytes: one read may
    hold tens of thousands, each of which costs as much as a large one. Connections are served in
    the order in which they began to wait, one piece at a time.

    >>> turns = ParsingTurns(lines_per_turn=100)
    >>> turns.parses_at_once("ordinary", b"GET / HTTP/1.1\r\nHost: a\r\n")
    True
    >>> turns.parses_at_once("crowd", b"1\r\nx\r\n" * 40_000)
    False
    >>> turns.next_connection(), turns.next_connection() is None
    ('crowd', True)
    >>> turns.wait("crowd")
    >>> turns.on_parsed(lines=100, size=300)
    >>> turns.next_connection() is None
    True
    >>> turns.begin()
    >>> turns.next_connection()
    'crowd'

    :param lines_left: lines that may still be parsed in this turn
    :param bytes_left: bytes that may still be parsed in this turn
    :param waiting: connections with bytes to parse, in their order
    """

    lines_per_turn: int = LINES_PER_TURN
    bytes_per_turn: int = BYTES_PER_TURN
    lines_left: int = 0
    bytes_left: int = 0
    waiting: dict[C, None] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.begin()

    def begin(self) -> None:
        """Begin a turn."""
        self.lines_left = self.lines_per_turn
        self.bytes_left = self.bytes_per_turn

    def parses_at_once(self, connection: C, data: bytes) -> bool:
        """Whether what was read is parsed without delay; if not, the connection waits."""
        if connection not in self.waiting and is_short(data):
            return True
        self.wait(connection)
        return False

    def wait(self, connection: C) -> None:
        """Let a connection wait for its next piece, behind the others unless it waits already."""
        self.waiting.setdefault(connection)

    def forget(self, connection: C) -> None:
        """Drop a connection that has nothing to parse."""
        self.waiting.pop(connection, None)

    def next_connection(self) -> C | None:
        """Take the connection whose piece is parsed next; None if the turn is over."""
        if not self.waiting or self.lines_left <= 0 or self.bytes_left <= 0:
            return None
        connection = next(iter(self.waiting))
        del self.waiting[connection]
        return connection

    def on_parsed(self, *, lines: int, size: int) -> None:
        """Record the work of a piece."""
        self.lines_left -= lines
        self.bytes_left -= size
