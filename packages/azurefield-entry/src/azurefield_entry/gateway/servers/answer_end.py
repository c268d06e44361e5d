"""Tells whether bytes of a connection belong to the answer that they were read with."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from itertools import pairwise
from typing import TYPE_CHECKING

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
STATUS_LINE = re.compile(r"HTTP/[0-9]\.[0-9] [0-9]{3}")
STATUS_LINE_START = b"HTTP/"


@dataclass(slots=True, kw_only=True)
class ReceivedBytes:
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


def describe_confusion(message: RawResponseMessage, body: bytes) -> str | None:
    """Return where an answer goes on with another one; None if it does not."""
    if holds_another_head(message):
        return "the head holds the status line of another answer"
    if goes_on_with_answer(message, body):
        return "a body without a length goes on with another answer"
    return None


def holds_another_head(message: RawResponseMessage) -> bool:
    """Whether a head goes on with the status line of another one.

    This happens if a head is cut off and an answer follows on the same connection.
    """
    values = [message.reason, *message.headers.values()]
    return any("HTTP/" in value and STATUS_LINE.search(value) for value in values)


def goes_on_with_answer(message: RawResponseMessage, body: bytes) -> bool:
    """Whether a body that ends with its connection holds the begin of one more answer.

    Without a length, an answer that is sent twice looks like one answer with a longer body. Only a
    status line with a header of the same server behind it counts, or the begin of this head at the
    end of the body, so that a body may hold other examples of HTTP.
    """
    if message.chunked or "Content-Length" in message.headers:
        return False
    last = body.rfind(STATUS_LINE_START)
    if last < 0:
        return False
    version, first_names = message.version, [name for name, _ in message.raw_headers[:1]]
    status_line = f"HTTP/{version.major}.{version.minor} {message.code} {message.reason}\r\n"
    head = b"".join([status_line.encode(errors="surrogateescape"), *first_names])
    if head.startswith(body[last:]):
        return True
    names = b"|".join(sorted({re.escape(name.lower()) for name, _ in message.raw_headers}))
    # Each match takes its whole line, so that the time is linear in the length of the body.
    another = rb"HTTP/[0-9]\.[0-9] [0-9]{3}[^\r\n]*"
    lines = re.finditer(another + rb"(\r\n(?i:" + names + rb")[ \t]*:)?", body)
    return any(line[1] is not None for line in lines)
