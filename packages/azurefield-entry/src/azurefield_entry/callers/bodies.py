"""Reads the bodies of callers' requests, within their limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import HttpVersion11, web
from msgspec import Struct, field
from result import Err, Ok, Result

from azurefield_entry.callers.connection import CallerConnection
from azurefield_entry.callers.refusals import (
    BodyRefusedError,
    body_too_large,
    too_much_memory,
)

if TYPE_CHECKING:
    from azurefield.failures import RequestFailure
    from azurefield.routes import CallerLimits

BLOCK_BYTES = 16 * 1024
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class PartialBody(Struct, kw_only=True):
    """What has arrived of a body, in blocks of one size.

    Many bodies that grow in one piece each leave holes between them, which the process keeps.

    >>> body = PartialBody(block_bytes=4)
    >>> for part in (b"ab", b"cde", b"f"):
    ...     body.add(part)
    >>> body.size, len(body.blocks), body.join()
    (6, 1, b'abcdef')

    :param size: the bytes of all parts
    """

    block_bytes: int = BLOCK_BYTES
    size: int = 0
    blocks: list[bytes] = field(default_factory=list)
    last: bytearray = field(default_factory=bytearray)

    def add(self, part: bytes) -> None:
        """Add a part; small ones are put together."""
        self.size += len(part)
        large = len(part) >= self.block_bytes
        if not large:
            self.last += part
        if large or len(self.last) >= self.block_bytes:
            self.blocks.append(bytes(self.last))
            self.last.clear()
        if large:
            self.blocks.append(part)

    def join(self) -> bytes:
        """Return the whole body."""
        return b"".join([*self.blocks, self.last])

    def clear(self) -> None:
        """Free all parts."""
        self.blocks.clear()
        self.last.clear()


async def read_body(
    request: web.BaseRequest, limits: CallerLimits
) -> Result[bytes, RequestFailure]:
    """Read the whole body, or refuse it for its size or for what all callers hold."""
    connection = request.protocol
    assert isinstance(connection, CallerConnection)
    body = b""
    if request.can_read_body:
        try:
            read = await read_bytes(request, connection, limits.body_bytes_max)
        except BodyRefusedError as error:
            # The reader refers to the error, and its traceback to this request. Without it, the
            # request is freed before the garbage collector runs.
            return Err(error.with_traceback(None).failure)
        if read is None:
            return Err(body_too_large(limits.body_bytes_max))
        body = read
    if not connection.load.use_body(connection, len(body)):
        return Err(too_much_memory())
    return Ok(body)


async def read_bytes(
    request: web.BaseRequest, connection: CallerConnection, limit: int
) -> bytes | None:
    """Read the whole body; None if it is too large.

    :raises BodyRefusedError: if it is not read to its end
    """
    if (request.content_length or 0) > limit:
        return None
    if expects_continue(request) and not request.content.is_eof():
        await request.writer.write(CONTINUE)
    body = PartialBody()
    try:
        async for part in request.content.iter_any():
            body.add(part)
            if body.size > limit:
                return None
            connection.on_body_read(body.size)
        return body.join()
    finally:
        # The traceback of an error may refer to this frame until the garbage collector runs.
        body.clear()


def expects_continue(request: web.BaseRequest) -> bool:
    """Whether a caller sends its body only after an interim answer."""
    expected = request.headers.get("Expect", "").lower() == "100-continue"
    return expected and request.version >= HttpVersion11
