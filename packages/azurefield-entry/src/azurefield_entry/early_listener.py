"""Opens listening sockets before the rest of the program is loaded.

Callers that connect while a process starts then wait in the backlog until it is ready, instead of
being refused. This module imports nothing that is slow to load.
"""

from __future__ import annotations

import socket

BACKLOG = 512
# Receive buffer of a caller's connection. The operating system doubles the value and receives up
# to that many bytes which nothing has read; its own choice would be a hundred kilobytes and more.
RECEIVE_BUFFER_BYTES = 4096
UNREAD_BYTES_MAX = 2 * RECEIVE_BUFFER_BYTES
# The same of a connection with a large body.
LARGE_BUFFER_BYTES = 64 * 1024
EARLY_SOCKETS: dict[str, socket.socket] = {}


def open_early(address: str) -> None:
    """Listen for callers on ``host:port``; the socket is kept until ``take_socket``.

    :raises OSError: if the address can't be used
    :raises ValueError: if it is not an IPv4 address with a port
    """
    EARLY_SOCKETS[address] = open_callers_socket(address)


def open_callers_socket(address: str) -> socket.socket:
    """Listen on ``host:port`` with a small receive buffer; an IPv6 host may be in brackets.

    The connections that are accepted have the same buffer, because it is set before they arrive.

    :raises OSError: if the address can't be used
    :raises ValueError: if it has no port
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    listener = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.setblocking(False)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
    except (OSError, ValueError):
        listener.close()
        raise
    return listener


def take_socket(address: str) -> socket.socket | None:
    """Remove and return the socket opened for an address, if any; the caller must close it."""
    return EARLY_SOCKETS.pop(address, None)
