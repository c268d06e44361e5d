"""Connections that are lost while something is written to them.

A lost transport refuses bytes some turns of the event loop before its reader learns of the loss.
"""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest

from azurefield.store_position import StorePosition
from azurefield_entry.gateway.messages import StoreReplyReceived
from azurefield_entry.gateway.metadata.relay import FollowRequest, RelayFrame, RelayService
from azurefield_entry.gateway.peers.forward_frames import CancelRequest
from azurefield_entry.gateway.peers.links import PeerLink
from azurefield_testkit.entry_support.store_followers import HOST

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

# The reader of a lost connection learns of it within fewer turns.
TURNS = 6


@asynccontextmanager
async def lost_connection() -> AsyncIterator[asyncio.StreamWriter]:
    """Open a connection and lose it, before anything else can run."""
    server = await asyncio.start_server(lambda *_: None, HOST, 0)
    _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    writer.transport.abort()
    try:
        yield writer
    finally:
        server.close()


def to_followers(writer: asyncio.StreamWriter) -> Callable[[], None]:
    """Make a relay with one follower; return what sends a frame to it."""
    service = RelayService(address=f"{HOST}:0")
    service.forward_reply(StoreReplyReceived(after=1, revision=1))
    service.followers.add(writer)
    return lambda: service.send_to_all(RelayFrame(after=1, revision=1))


def to_new_follower(writer: asyncio.StreamWriter) -> Callable[[], None]:
    """Make a relay; return what accepts a follower."""
    service = RelayService(address=f"{HOST}:0")
    service.forward_reply(StoreReplyReceived(after=1, revision=1))

    def add() -> None:
        assert not service.add_follower(FollowRequest(after=1), writer)

    return add


def to_peer(writer: asyncio.StreamWriter) -> Callable[[], None]:
    """Make a link to another instance; return what sends a frame over it."""
    link = PeerLink(writer=writer)
    return lambda: link.send(CancelRequest(number=1))


@pytest.mark.parametrize("connect", [to_followers, to_new_follower, to_peer])
async def test_writing_to_a_lost_connection_ends_no_service(
    connect: Callable[[asyncio.StreamWriter], Callable[[], None]],
) -> None:
    """Guards against a process that ends with code 70 when a connection is lost."""
    async with lost_connection() as writer:
        write = connect(writer)
        for _ in range(TURNS):
            write()
            await asyncio.sleep(0)


async def test_a_relay_forgets_a_follower_whose_connection_is_lost() -> None:
    """Guards against frames that are kept for a follower which is gone."""
    async with lost_connection() as writer:
        service = RelayService(address=f"{HOST}:0", position=StorePosition(revision=1, era=None))
        service.followers.add(writer)
        service.send_to_all(RelayFrame(after=1, revision=1))
        assert not service.followers
