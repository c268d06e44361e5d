"""Tells whether bytes of a connection belong to the answer that they were read with."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aiohttp.http import RawResponseMessage

HEAD_END = b"\r\n\r\n"
# The last chunk or the last trailer ends with HEAD_END; one more line break is an extra byte.
EXTRA_LINE_BREAK = b"\n" + HEAD_END
# The end of a chunked answer without trailers, and the begin of another answer.
NO_TRAILERS = b"\r\n0\r\n\r\nH"
STATUS_LINE = re.compile(r"HTTP/[0-9]\.[0-9] [0-9]{3}")
# A status line in a body, or its begin as the last bytes.
STATUS_LINE_IN_BODY = re.compile(
    rb"HTTP/(?:[0-9]\.[0-9] [0-9]{3}|(?:[0-9](?:\.(?:[0-9](?: [0-9]{0,2})?)?)?)?\Z)"
)


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
        self.last = (self.last + data[-len(EXTRA_LINE_BREAK) :])[-len(EXTRA_LINE_BREAK) :]
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
        return self.last.endswith(HEAD_END) and self.last != EXTRA_LINE_BREAK

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


def holds_another_answer(message: RawResponseMessage, body: bytes) -> bool:
    """Whether an answer goes on with another one, of which it holds the status line.

    This happens if a head is cut off, or if a body has no length and ends with its connection, and
    an answer follows on the same connection.
    """
    values = [message.reason, *message.headers.values()]
    if any("HTTP/" in value and STATUS_LINE.search(value) for value in values):
        return True
    has_end = message.chunked or "Content-Length" in message.headers
    return not has_end and STATUS_LINE_IN_BODY.search(body) is not None
