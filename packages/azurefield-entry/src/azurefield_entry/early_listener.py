"""Opens listening sockets before the rest of the program is loaded.

Callers that connect while a process starts then wait in the backlog until it is ready, instead of
being refused. This module imports nothing that is slow to load.
"""

from __future__ import annotations

import resource
import socket
from math import inf

# Connections that may wait until they are accepted. A whole queue may be accepted beyond the limit
# on connections, until the next turn of the event loop closes them.
BACKLOG = 512
BACKLOG_SOCKETS_FRACTION = 1 / 8
# Descriptors that are kept for files; sockets and pipes share the others.
FILE_DESCRIPTORS = 200
# Receive buffer of a caller's connection. The operating system doubles the value and receives up
# to that many bytes which nothing has read; its own choice would be a hundred kilobytes and more.
RECEIVE_BUFFER_BYTES = 4096
UNREAD_BYTES_MAX = 2 * RECEIVE_BUFFER_BYTES
# The same of a connection with a large body.
LARGE_BUFFER_BYTES = 64 * 1024
EARLY_SOCKETS: dict[str, socket.socket] = {}


def sockets_max(descriptors_max: float | None) -> float:
    """Return how many sockets a process may have open; infinity without a limit.

    :param descriptors_max: descriptors of the process; None or 0 for the operating system's limit
    """
    descriptors = descriptors_max or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if descriptors == resource.RLIM_INFINITY:
        return inf
    return max(2.0, descriptors - FILE_DESCRIPTORS)


def backlog_for(descriptors_max: float | None) -> int:
    """Return how many connections may wait until they are accepted."""
    return max(1, int(min(BACKLOG, BACKLOG_SOCKETS_FRACTION * sockets_max(descriptors_max))))


def open_early(address: str, descriptors_max: float | None = None) -> None:
    """Listen for callers on ``host:port``; the socket is kept until ``take_socket``.

    :raises OSError: if the address can't be used
    :raises ValueError: if it is not an IPv4 address with a port
    """
    EARLY_SOCKETS[address] = open_callers_socket(address, backlog_for(descriptors_max))


def open_callers_socket(address: str, backlog: int = BACKLOG) -> socket.socket:
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
        listener.listen(backlog)
    except (OSError, ValueError):
        listener.close()
        raise
    return listener


def take_socket(address: str) -> socket.socket | None:
    """Remove and return the socket opened for an address, if any; the caller must close it."""
    return EARLY_SOCKETS.pop(address, None)
