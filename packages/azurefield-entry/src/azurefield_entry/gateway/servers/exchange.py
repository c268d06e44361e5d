"""The call that a connection waits for, with what has arrived of its answer."""

from __future__ import annotations

import asyncio

from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader
from msgspec import Struct, field
from result import Result

from azurefield.failures import LeafFailure
from azurefield_entry.gateway.ports import LeafCall, OpaqueAnswer
from azurefield_entry.gateway.servers.answer_end import ReceivedBytes

# Longest head of an answer, interim answers included.
HEAD_BYTES_MAX = 64 * 1024
# Bytes of the framing of chunks for each byte of body, beyond HEAD_BYTES_MAX. Parsing a chunk takes
# as long as parsing hundreds of bytes.
FRAMING_FRACTION_MAX = 1 / 16


class Exchange(Struct, kw_only=True):
    """The call whose answer a connection waits for, with the answers that have begun to arrive.

    :param reused: whether an earlier call used the connection
    :param body: what has arrived of the body of the first of these answers
    :param body_bytes: bytes of bodies that have arrived, of all answers
    """

    call: LeafCall
    reused: bool
    received: ReceivedBytes = field(default_factory=ReceivedBytes)
    result_future: asyncio.Future[Result[OpaqueAnswer, LeafFailure]]
    answers: list[tuple[RawResponseMessage, StreamReader]] = field(default_factory=list)
    body: list[bytes] = field(default_factory=list)
    body_bytes: int = 0

    @property
    def framing_bytes(self) -> int:
        """Bytes that are no body: heads, sizes of chunks and trailers."""
        return self.received.total - self.body_bytes

    @property
    def framing_bytes_max(self) -> float:
        """How many such bytes the answers may have by now."""
        return HEAD_BYTES_MAX + FRAMING_FRACTION_MAX * self.body_bytes

    def add_body(self, data: bytes) -> None:
        """Add to the body of the first answer."""
        self.body.append(data)
        self.body_bytes += len(data)

    def take_body(self) -> bytes:
        """Remove and return the body of the first answer."""
        parts, self.body = self.body, []
        return parts[0] if len(parts) == 1 else b"".join(parts)


def is_open(transport: asyncio.WriteTransport | None) -> bool:
    """Whether bytes can be written; a lost connection is closing before it is reported as lost."""
    return transport is not None and not transport.is_closing()


def has_unsent_bytes(transport: asyncio.WriteTransport | None) -> bool:
    """Whether the server has not yet read all that was written, or the connection is lost."""
    if transport is None or transport.is_closing():
        return True
    return transport.get_write_buffer_size() > 0
