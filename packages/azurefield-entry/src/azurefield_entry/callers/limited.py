"""What the limits for all callers together need of one connection."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import asyncio

    from azurefield_entry.callers.incoming_head import IncomingHead


class LimitedConnection(Protocol):
    """A connection that holds memory, waits for turns and may have to give up.

    :param head: with what is kept of the heads of its requests
    :param rejected: whether what its caller sends is dropped
    """

    head: IncomingHead
    rejected: bool
    transport: asyncio.Transport | None

    def __hash__(self) -> int:
        """Return a hash of the connection's identity."""

    def parse_piece(self) -> None:
        """Parse the next piece of what waits."""

    def give_up(self) -> None:
        """Free what is held; a request that has not begun is refused."""

    def abort(self) -> None:
        """Close at once."""

    def on_body_taken(self) -> None:
        """Count the body and the head no longer, since they are in use."""
