"""The identity of this process among the entry instances."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    from azurefield_entry.settings import Settings

INCARNATION_BYTES = 8


class Identity(Struct, kw_only=True, frozen=True):
    """The name, incarnation, availability zone and peer address of an instance.

    Each start of the process gets a new incarnation.
    """

    instance: str
    incarnation: str
    availability_zone: str
    peer_address: str


def new_identity(settings: Settings) -> Identity:
    """Build the identity of this process with a new incarnation; called once at its start."""
    return Identity(
        instance=settings.instance,
        incarnation=secrets.token_hex(INCARNATION_BYTES),
        availability_zone=settings.availability_zone,
        peer_address=settings.peer_listen,
    )


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``; the host may be an IPv6 address in brackets.

    >>> split_address("[::1]:80")
    ('::1', 80)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
