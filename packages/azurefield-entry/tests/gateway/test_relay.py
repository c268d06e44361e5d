from __future__ import annotations

import asyncio

import pytest
from result import Err, Ok

from azurefield.store_position import StorePosition
from azurefield_entry.gateway.messages import StoreReplyReceived, StoreWatchEnded
from azurefield_entry.gateway.metadata.relay import RelayLost, open_relay
from azurefield_testkit.entry_support.store_followers import HOST, connect, relay


async def test_a_follower_receives_the_changes_it_lacks_and_later_ones() -> None:
    """Guards against losing the changes between a follower's listing and its first frame."""
    async with relay() as (kernel, address):
        mailbox = kernel.lookup("relay")
        mailbox.send(StoreReplyReceived(after=5, revision=5))
        mailbox.send(StoreReplyReceived(after=5, revision=7, encoded=b"seven"))
        mailbox.send(StoreReplyReceived(after=7, revision=9, encoded=b"nine"))
        link = await connect(address, after=7)
        mailbox.send(StoreReplyReceived(after=9, revision=10, encoded=b"ten"))
        frames: list[bytes] = []
        while not frames or frames[-1] != b"ten":
            frame = (await link.receive()).unwrap()
            if frame.encoded:
                frames.append(frame.encoded)
        assert frames == [b"nine", b"ten"]
        mailbox.send(StoreWatchEnded())
        async with asyncio.timeout(5):
            while isinstance(await link.receive(), Ok):
                pass
        link.close()


@pytest.mark.parametrize(
    ("messages", "after"),
    [
        ((), 5),
        ((StoreReplyReceived(after=5, revision=5), StoreWatchEnded()), 5),
        ((StoreReplyReceived(after=5, revision=5),), 4),
        (
            (
                StoreReplyReceived(after=5, revision=7, encoded=b"seven"),
                StoreReplyReceived(after=8, revision=9, encoded=b"nine"),
            ),
            7,
        ),
    ],
    ids=["not-watching", "no-longer-watching", "too-old", "gap"],
)
async def test_a_follower_is_disconnected_when_changes_could_be_missed(
    messages: tuple[object, ...], after: int
) -> None:
    """Guards against a follower that misses changes without knowing it."""
    async with relay() as (kernel, address):
        for message in messages:
            kernel.lookup("relay").send(message)
        link = await connect(address, after)
        assert isinstance(await link.receive(), Err)
        link.close()


async def test_a_silent_relay_is_lost() -> None:
    """Guards against following an instance whose process has been suspended."""

    async def stay_silent(reader: asyncio.StreamReader, _: asyncio.StreamWriter) -> None:
        await reader.read()

    server = await asyncio.start_server(stay_silent, HOST, 0)
    async with server:
        link = await connect(f"{HOST}:{server.sockets[0].getsockname()[1]}", after=1)
        assert isinstance(await link.receive(), Err)
        link.close()


async def test_a_port_without_a_listener_is_no_relay() -> None:
    result = await open_relay(f"{HOST}:1", StorePosition(revision=1))
    assert isinstance(result, Err)
    assert isinstance(result.err_value, RelayLost)


@pytest.mark.parametrize(
    ("reply", "follower_era"),
    [
        pytest.param(StoreReplyReceived(after=5, revision=5, era=2), 1, id="relay-ahead"),
        pytest.param(StoreReplyReceived(after=5, revision=5, era=1), 2, id="follower-ahead"),
    ],
)
async def test_a_follower_of_another_era_is_not_served(
    reply: StoreReplyReceived, follower_era: int
) -> None:
    """Guards against a follower that compares revisions of two histories of the store."""
    async with relay() as (kernel, address):
        kernel.lookup("relay").send(reply)
        link = await connect(address, after=5, era=follower_era)
        assert isinstance(await link.receive(), Err)
        link.close()


async def test_a_relay_disconnects_its_followers_when_the_store_was_restored() -> None:
    """Guards against followers that ignore new changes because their revisions are lower."""
    async with relay() as (kernel, address):
        mailbox = kernel.lookup("relay")
        mailbox.send(StoreReplyReceived(after=61, revision=61, era=1))
        link = await connect(address, after=61, era=1)
        assert isinstance(await link.receive(), Ok)
        mailbox.send(StoreReplyReceived(after=40, revision=40, era=2))
        async with asyncio.timeout(5):
            while isinstance(await link.receive(), Ok):
                pass
        link.close()
