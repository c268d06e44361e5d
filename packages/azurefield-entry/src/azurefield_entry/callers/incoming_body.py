"""The body of a request, as far as it has arrived."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp.hdrs import CONTENT_LENGTH
from aiohttp.streams import StreamReader
from msgspec import Struct

if TYPE_CHECKING:
    from aiohttp.http_parser import RawRequestMessage


class IncomingBody(Struct, kw_only=True):
    """Counts what is held of the body of the running request.

    :param reader: where the parser writes it; None if no request runs
    :param bytes_left: how many bytes of it follow; None in chunks, whose end only the parser finds
    :param taken: whether the handler of the request has the whole body
    :param read_bytes: what the handler has taken of it, until the body is complete
    :param fed_bytes: bytes that were parsed and that the handler has not taken
    """

    reader: StreamReader | None = None
    bytes_left: int | None = None
    taken: bool = False
    read_bytes: int = 0
    fed_bytes: int = 0

    @property
    def arrives(self) -> bool:
        """Whether a request runs whose body is not complete."""
        return self.reader is not None and not self.reader.is_eof()

    @property
    def received_bytes(self) -> int:
        """How much of it the parser has found."""
        return 0 if self.reader is None else self.reader.total_bytes

    @property
    def held_bytes(self) -> int:
        """What is held of it."""
        return self.read_bytes + self.fed_bytes

    def begin(self, message: RawRequestMessage, reader: StreamReader) -> None:
        """Begin with the body of the next request."""
        self.reader = reader
        length = message.headers.get(CONTENT_LENGTH)
        self.bytes_left = None if length is None else int(length) - reader.total_bytes
        self.taken = False
        self.read_bytes = self.fed_bytes = 0

    def end(self) -> None:
        """Record that the request has ended."""
        self.reader = None
        self.taken = False
        self.read_bytes = self.fed_bytes = 0

    def split(self, data: bytes) -> tuple[bytes, bytes]:
        """Split what has arrived into bytes of the body, which are counted, and those behind it."""
        body = data[: self.bytes_left]
        if self.bytes_left is not None:
            self.bytes_left -= len(body)
        self.fed_bytes += len(body)
        return body, data[len(body) :]

    def drop(self, size: int) -> bool:
        """Record bytes that arrived and are not kept; return whether the body is over with them."""
        if self.bytes_left is None:
            return False
        self.bytes_left = max(0, self.bytes_left - size)
        return self.bytes_left == 0

    def on_read(self, read_bytes: int) -> None:
        """Record how much the handler has taken; all that was parsed."""
        self.read_bytes, self.fed_bytes = read_bytes, 0
