"""Frames between instances, a length in front of a msgpack value, and their listeners."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

import msgspec
from logbook import Logger

from azurefield_entry.listener import retry_while_in_use

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from azurefield_entry.kernel import Mailbox

FRAME_BYTES_MAX = 16 * 1024 * 1024
LENGTH_PREFIX_BYTES = 4

log = Logger("links")
T = TypeVar("T")


def encode(frame: object) -> bytes:
    """Encode a frame with its length in front."""
    body = msgspec.msgpack.encode(frame)
    return len(body).to_bytes(LENGTH_PREFIX_BYTES, "big") + body


async def read_frame(reader: asyncio.StreamReader, decoder: msgspec.msgpack.Decoder[T]) -> T:
    """Read a frame.

    :raises EOFError: if the connection ends before the frame does
    :raises msgspec.DecodeError: if it is too long or of another kind
    """
    length = await read_length(reader)
    return decode_frame(await reader.readexactly(length), decoder)


async def read_length(reader: asyncio.StreamReader) -> int:
    """Read the length of the next frame in bytes.

    :raises EOFError: if the connection ends before
    :raises msgspec.DecodeError: if the frame is too long
    """
    length = int.from_bytes(await reader.readexactly(LENGTH_PREFIX_BYTES), "big")
    if length > FRAME_BYTES_MAX:
        raise msgspec.DecodeError(f"a frame of {length} bytes is too long")
    return length


def decode_frame(body: bytes, decoder: msgspec.msgpack.Decoder[T]) -> T:
    """Decode a frame behind its length.

    :raises msgspec.DecodeError: if it is of another kind
    """
    try:
        return decoder.decode(body)
    except RecursionError as error:
        raise msgspec.DecodeError("the values of a frame are nested too deeply") from error


async def listen_for_instances(
    serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
    address: str,
    mailbox: Mailbox,
) -> asyncio.Server | None:
    """Accept connections of other instances on ``host:port``.

    :param mailbox: the mailbox of the service that listens
    :return: the listener; None if the address can't be used, or if the service is stopped before
    """
    host, _, port = address.rpartition(":")
    try:
        return await retry_while_in_use(
            lambda: asyncio.start_server(serve, host, int(port)), address, mailbox
        )
    except (OSError, ValueError, OverflowError) as error:
        log.error("Service {} can't listen for other instances: {}.", mailbox.name, error)
        return None
