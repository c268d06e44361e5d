"""Resets of TCP connections, for stand-ins and proxies."""

from __future__ import annotations

import socket
import struct
from contextlib import suppress
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

LINGER_NOT = struct.pack("ii", 1, 0)  # The value of SO_LINGER: on, with a timeout of 0 s.


def reset(transport: asyncio.WriteTransport) -> None:
    """Reset a connection.

    ``abort()`` alone closes it like ``close()``: the other side reads its end, and no error, unless
    it has sent bytes that were not read here.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None:
        # The socket of a connection that has ended is closed.
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NOT)
    transport.abort()
