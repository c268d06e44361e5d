"""Bytes that were read from a connection and wait to be parsed."""

from __future__ import annotations

from collections import deque

from msgspec import Struct, field

# Blocks of one size leave no holes of other sizes in the memory of the process when they end.
BLOCK_BYTES = 64 * 1024
# A piece is parsed at once. It is smaller if it has many lines, as small chunks have.
PIECE_LINES = 256
SMALL_PIECE_BYTES = 2048


class PendingBytes(Struct, kw_only=True):
    """A queue of bytes, in blocks of one size.

    >>> pending = PendingBytes(block_bytes=4)
    >>> pending.add(b"abcdef")
    >>> pending.take(3), pending.take(3), pending.size
    (b'abc', b'd', 2)
    >>> pending.put_back(b"d")
    >>> pending.take(9), pending.take(9), pending.size
    (b'd', b'ef', 0)

    :param offset: how much of the first block has been taken
    :param size: how many bytes are left
    """

    block_bytes: int = BLOCK_BYTES
    blocks: deque[bytes] = field(default_factory=deque)
    offset: int = 0
    size: int = 0

    def __bool__(self) -> bool:
        return self.size > 0

    def add(self, data: bytes) -> None:
        """Add bytes behind the others."""
        self.size += len(data)
        for start in range(0, len(data), self.block_bytes):
            self.blocks.append(data[start : start + self.block_bytes])

    def take(self, size_max: int) -> bytes:
        """Take the first bytes, at most the rest of the first block."""
        block = self.blocks[0]
        taken = block[self.offset : self.offset + size_max]
        self.offset += len(taken)
        self.size -= len(taken)
        if self.offset == len(block):
            self.blocks.popleft()
            self.offset = 0
        return taken

    def take_piece(self) -> bytes:
        """Take what is parsed at once: a block, or less if it has many lines."""
        piece = self.take(self.block_bytes)
        if piece.count(b"\n") <= PIECE_LINES:
            return piece
        self.put_back(piece[SMALL_PIECE_BYTES:])
        return piece[:SMALL_PIECE_BYTES]

    def put_back(self, data: bytes) -> None:
        """Return bytes that were taken last."""
        if self.offset >= len(data):
            self.offset -= len(data)
        else:
            self.blocks.appendleft(data)
        self.size += len(data)

    def clear(self) -> None:
        """Drop all bytes."""
        self.blocks.clear()
        self.offset = self.size = 0
