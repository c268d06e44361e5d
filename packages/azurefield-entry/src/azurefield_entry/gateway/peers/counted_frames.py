"""Frames of other instances, counted before the rest of a large one is read."""

from __future__ import annotations

import asyncio

import msgspec
from msgspec import Struct

from azurefield_entry.callers.load import CallerLoad
from azurefield_entry.gateway.peers.frames import TO_PEER, ToPeer
from azurefield_entry.gateway.peers.framing import decode_frame, read_length

# A shorter frame is not counted, so that requests without a large body are never skipped.
LARGE_FRAME_BYTES = 32 * 1024
# A large frame that is skipped is read in pieces of this size.
PIECE_BYTES = 64 * 1024
# Holds the first fields of a request's frame, up to its number.
HEAD_BYTES = 64
MAP_HEADER_BYTES_MAX = 5
BEFORE_NUMBER = b"".join(msgspec.msgpack.encode(word) for word in ("type", "request", "number"))
# Size of a msgpack integer by its first byte; all others take one byte.
INTEGER_BYTES = {0xCC: 2, 0xCD: 3, 0xCE: 5, 0xCF: 9}


class SkippedRequest(Struct, kw_only=True, frozen=True):
    """A request that there is no memory for; it was dropped while it was read."""

    number: int


class CountedFrames(Struct, kw_only=True, eq=False):
    """Reads the frames of one link.

    :param load: counts the large frame that is being read
    """

    reader: asyncio.StreamReader
    load: CallerLoad

    async def read(self) -> ToPeer | SkippedRequest:
        """Read the next frame.

        :raises EOFError: if the connection ends before the frame does
        :raises msgspec.DecodeError: if it is malformed, or no request and there is no memory for it
        """
        length = await read_length(self.reader)
        if length <= LARGE_FRAME_BYTES:
            return decode_frame(await self.reader.readexactly(length), TO_PEER)
        if not self.load.use(self, length):
            return SkippedRequest(number=await self.skip(length))
        try:
            return decode_frame(await self.reader.readexactly(length), TO_PEER)
        finally:
            self.load.memory.end_use(self)

    async def skip(self, length: int) -> int:
        """Read a frame without keeping it, and return the number of its request."""
        number = request_number(await self.reader.readexactly(HEAD_BYTES))
        left = length - HEAD_BYTES
        while left:
            left -= len(await self.reader.readexactly(min(left, PIECE_BYTES)))
        return number


def request_number(head: bytes) -> int:
    """Return the number in the first bytes of a request's frame.

    :raises msgspec.DecodeError: if the frame is none of a request
    """
    at = head.find(BEFORE_NUMBER, 0, MAP_HEADER_BYTES_MAX + len(BEFORE_NUMBER))
    if at < 0:
        raise msgspec.DecodeError("a large frame is none of a request")
    start = at + len(BEFORE_NUMBER)
    size = INTEGER_BYTES.get(head[start], 1)
    return msgspec.msgpack.decode(head[start : start + size], type=int)
