"""Tells whether bytes of a connection belong to the answer that they were read with."""

from __future__ import annotations

from itertools import pairwise
from typing import TYPE_CHECKING

from msgspec import Struct, field

if TYPE_CHECKING:
    from collections.abc import Iterator

    from aiohttp.http import RawResponseMessage

LINE_BREAK = b"\r\n"
HEAD_END = LINE_BREAK * 2
# The last chunk or the last trailer ends with HEAD_END; one more line break is an extra byte.
EXTRA_LINE_BREAK = b"\n" + HEAD_END
# The end of a chunked answer without trailers.
CHUNKS_END = b"\r\n0\r\n\r\n"
# Ends of chunks that one read is split at; a body may hold any number of them.
ENDS_PER_READ_MAX = 256
# Bytes of CHUNKS_END that the read before may hold.
LAST_BYTES = len(CHUNKS_END) - 1


class ReceivedBytes(Struct, kw_only=True):
    """Counts the bytes that arrive for a call, to find bytes behind its answer.

    The HTTP parser keeps the bytes of a head that has begun, without showing them.

    :param total: all bytes since the call was sent
    :param answer_start: how many of them came before the current answer
    :param head: the bytes of the current answer up to the read that completes its head
    :param head_length: length of that head; None while it is incomplete
    :param last: the last bytes
    """

    total: int = 0
    answer_start: int = 0
    head: bytearray = field(default_factory=bytearray)
    head_length: int | None = None
    last: bytes = b""

    def add(self, data: bytes) -> None:
        """Count bytes that have arrived."""
        self.total += len(data)
        self.last = (self.last + data[-LAST_BYTES:])[-LAST_BYTES:]
        if self.head_length is None:
            searched = len(self.head)
            self.head += data
            self.find_head_end(searched)
        else:
            self.head.clear()

    def find_head_end(self, searched: int) -> None:
        """Find the end of the current answer's head, if it has arrived.

        :param searched: how many bytes were searched before
        """
        position = self.head.find(HEAD_END, max(0, searched - len(HEAD_END) + 1))
        if position >= 0:
            self.head_length = position + len(HEAD_END)

    @property
    def ends_with_chunks(self) -> bool:
        """Whether the last byte is the last one of a chunked answer, if one has just ended."""
        return self.last.endswith(HEAD_END) and not self.last.endswith(EXTRA_LINE_BREAK)

    def skip_interim_answer(self) -> None:
        """Continue with the answer behind an interim answer, which is only a head."""
        if self.head_length is not None:
            self.answer_start += self.head_length
            del self.head[: self.head_length]
            self.head_length = None
            self.find_head_end(0)

    def end_with(self, message: RawResponseMessage, body: bytes) -> bool:
        """Whether the last byte is the last one of the current answer.

        It must be the only whole answer behind the interim ones.
        """
        if self.head_length is None:
            # The parser accepts a head with unusual line breaks, whose length is unknown here.
            return False
        if message.chunked:
            return self.ends_with_chunks
        return self.total == self.answer_start + self.head_length + len(body)


def split_behind_chunks(before: bytes, data: bytes, length_max: int) -> Iterator[bytes]:
    """Split a read behind each end of chunks without trailers, and into bounded pieces.

    Behind ``ENDS_PER_READ_MAX`` such ends it is only split into bounded pieces.

    :param before: the last bytes of the read before, at most ``LAST_BYTES``
    :param length_max: length of the longest piece
    """
    joined = before + data
    bounds, position = [len(before)], 0
    while len(bounds) <= ENDS_PER_READ_MAX:
        position = joined.find(CHUNKS_END, position)
        if position < 0:
            break
        bounds.append(position + len(CHUNKS_END))
        # The last line break of this end may be the first one of the next.
        position = bounds[-1] - len(LINE_BREAK)
    for start, end in pairwise([*bounds, len(joined)]):
        for begin in range(start, end, length_max):
            yield joined[begin : min(begin + length_max, end)]
