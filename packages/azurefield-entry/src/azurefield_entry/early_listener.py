"""Listening sockets that are opened before the rest of the program is loaded.

Callers that connect while a process starts are then served as soon as it is ready, instead of
being refused. This module imports nothing that takes time to load.
"""

from __future__ import annotations

import socket

BACKLOG = 512
OPENED: dict[str, socket.socket] = {}


def open_early(address: str) -> None:
    """Listen on ``host:port``; ``take`` gives the socket to its owner later.

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
    OPENED[address] = listener


def take(address: str) -> socket.socket | None:
    """Return the socket that was opened early, if there is one; its owner closes it."""
    return OPENED.pop(address, None)
