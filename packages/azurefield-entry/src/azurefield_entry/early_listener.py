"""Opens listening sockets before the rest of the program is loaded.

Callers that connect while a process starts then wait in the backlog until it is ready, instead of
being refused. This module imports nothing that is slow to load.
"""

from __future__ import annotations

import socket

BACKLOG = 512
EARLY_SOCKETS: dict[str, socket.socket] = {}


def open_early(address: str) -> None:
    """Listen on ``host:port``; the socket is kept until ``take_socket``.

    :raises OSError: if the address can't be used
    :raises ValueError: if it is not an IPv4 address with a port
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
    except (OSError, ValueError):
        listener.close()
        raise
    EARLY_SOCKETS[address] = listener


def take_socket(address: str) -> socket.socket | None:
    """Remove and return the socket opened for an address, if any; the caller must close it."""
    return EARLY_SOCKETS.pop(address, None)
