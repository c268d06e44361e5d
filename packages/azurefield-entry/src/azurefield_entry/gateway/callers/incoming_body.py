"""The body of a request, as far as it has arrived."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp.streams import StreamReader
from msgspec import Struct

if TYPE_CHECKING:
    from azurefield_entry.gateway.callers.refusals import BodyRefusedError


class IncomingBody(Struct, kw_only=True):
    """Counts what is held of the body of the running request.

    :param reader: where the parser writes it; None if no request runs
    :param taken: whether the handler of the request has the whole body
    :param read_bytes: what the handler has taken of it, until the body is complete
    :param fed_bytes: bytes that were parsed and that the handler has not taken
    """

    reader: StreamReader | None = None
    taken: bool = False
    read_bytes: int = 0
    fed_bytes: int = 0

    @property
    def arrives(self) -> bool:
        """Whether a request runs whose body is not complete."""
        return self.reader is not None and not self.reader.is_eof()

    @property
    def held_bytes(self) -> int:
        """What is held of it."""
        return self.read_bytes + self.fed_bytes

    def begin(self, reader: StreamReader) -> None:
        """Begin with the body of the next request."""
        self.reader = reader
        self.taken = False
        self.read_bytes = self.fed_bytes = 0

    def end(self) -> None:
        """Record that the request has ended."""
        self.reader = None
        self.taken = False
        self.read_bytes = self.fed_bytes = 0

    def on_read(self, read_bytes: int) -> None:
        """Record how much the handler has taken; all that was parsed."""
        self.read_bytes, self.fed_bytes = read_bytes, 0

    def refuse(self, error: BodyRefusedError) -> None:
        """End the reader, unless the handler has the whole body."""
        if self.reader is not None and not self.taken:
            self.reader.set_exception(error)
