"""Memory that the parsed heads of one connection take."""

from __future__ import annotations

from msgspec import Struct

# Each line is kept as bytes and as text, and once more in the mapping of a whole head.
COPIES_OF_BYTES = 3
# The objects of one line: names, values, pairs and entries of the mapping.
LINE_OVERHEAD_BYTES = 200
# The parser refuses more lines than this in a head and the trailers behind its body.
LINES_MAX = 128
# An ordinary head takes less, and is not counted.
UNCOUNTED_BYTES = 8 * 1024


class ParsedHeads(Struct, kw_only=True):
    r"""Counts what a parser keeps of heads, and of trailers, until the next head begins.

    >>> heads = ParsedHeads()
    >>> heads.add(b"GET / HTTP/1.1\r\nHost: a\r\n")
    >>> heads.memory_bytes
    0
    >>> heads.add(b"N: x\r\n" * 100)
    >>> heads.memory_bytes
    22275
    >>> heads.add_trailers(b"N: " + b"x" * 1000)
    >>> heads.memory_bytes
    25284
    >>> heads.clear()
    >>> heads.memory_bytes
    0

    :param size: bytes of heads that are kept
    :param lines: their lines
    :param trailer_bytes: bytes behind a body that may be trailers
    :param trailer_lines: their lines
    """

    size: int = 0
    lines: int = 0
    trailer_bytes: int = 0
    trailer_lines: int = 0

    @property
    def memory_bytes(self) -> int:
        """The memory of all that is kept; 0 for an ordinary head."""
        lines = min(self.lines, LINES_MAX) + min(self.trailer_lines, LINES_MAX)
        size = self.size + self.trailer_bytes
        memory_bytes = COPIES_OF_BYTES * size + LINE_OVERHEAD_BYTES * lines
        return memory_bytes if memory_bytes > UNCOUNTED_BYTES else 0

    def add(self, data: bytes) -> None:
        """Record bytes of a head."""
        self.size += len(data)
        self.lines += data.count(b"\n")

    def begin_trailers(self, data: bytes) -> None:
        """Record bytes that may be trailers, in place of those before."""
        self.trailer_bytes = self.trailer_lines = 0
        self.add_trailers(data)

    def add_trailers(self, data: bytes) -> None:
        """Record further bytes that may be trailers."""
        self.trailer_bytes += len(data)
        self.trailer_lines += data.count(b"\n")

    def clear(self) -> None:
        """Record that nothing is kept, as when the next head begins."""
        self.size = self.lines = self.trailer_bytes = self.trailer_lines = 0
