"""Addresses to which connections are opened."""

from __future__ import annotations

PORT_MAX = 65_535


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``.

    The event loop would connect to the remainder of a port that is too large.

    :raises ValueError: if the port is no number from 1 to 65535

    >>> split_address("192.0.2.1:80")
    ('192.0.2.1', 80)
    """
    host, _, port = address.rpartition(":")
    number = int(port)
    if not 1 <= number <= PORT_MAX:
        raise ValueError(f"{number} is no port")
    return host, number
