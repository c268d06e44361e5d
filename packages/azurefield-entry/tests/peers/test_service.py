from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

import msgspec
import pytest

from azurefield_entry.kernel import Kernel, Mailbox, Stop
from azurefield_entry.messages import LinkChanged, PeerAddressesChanged, PeerFrame, SendToPeer
from azurefield_entry.peers import link
from azurefield_entry.peers.dialing import BACKOFF_MAX_S, DialScheduler
from azurefield_entry.peers.frames import Hello, encode_frame, fields_dict
from azurefield_entry.peers.identity import Identity
from azurefield_entry.peers.service import PeersService
from azurefield_testkit.entry_support.instance import free_address

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

CONVICTION = {"fingerprint": "f", "ttl_ms": 1000}


@dataclass(slots=True)
class Recorder:
    """Service that records the messages that it receives."""

    messages: list[object] = field(default_factory=list)

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:  # noqa: ARG002
        while not isinstance(message := await mailbox.receive(), Stop):
            self.messages.append(message)


@dataclass(slots=True)
class Process:
    """An instance with the service under test and recorders in place of two others."""

    peers: PeersService
    kernel: Kernel = field(default_factory=Kernel)
    links: Recorder = field(default_factory=Recorder)
    convictions: Recorder = field(default_factory=Recorder)

    async def stop(self) -> None:
        for name in ("peers", "membership", "query"):
            await self.kernel.stop(name)

    def linked(self) -> list[tuple[str, str]]:
        """Return name and incarnation of the instances whose last reported link change is up."""
        last = {
            entry.instance: entry for entry in self.links.messages if isinstance(entry, LinkChanged)
        }
        return [(name, entry.incarnation) for name, entry in last.items() if entry.linked]


def process(name: str, incarnation: str, address: str, seeds: tuple[str, ...] = ()) -> Process:
    identity = Identity(
        instance=name, incarnation=incarnation, availability_zone="z", peer_address=address
    )
    peers = PeersService(
        identity=identity, listen=address, dial_scheduler=DialScheduler(rng=Random(1)), seeds=seeds
    )
    started = Process(peers=peers)
    started.kernel.register("membership", started.links)
    started.kernel.register("query", started.convictions)
    started.kernel.register("peers", peers)
    started.kernel.start()
    return started


async def until(condition: Callable[[], object]) -> None:
    for _ in range(800):
        if condition():
            return
        await asyncio.sleep(0.01)
    pytest.fail("the condition did not hold within 8 s")


async def until_closed(reader: asyncio.StreamReader) -> None:
    try:
        while await reader.read(4096):
            pass
    except ConnectionResetError:
        pass


@asynccontextmanager
async def pair() -> AsyncIterator[list[Process]]:
    """Two instances that know each other's addresses and dial at the same time."""
    addresses = {"a": free_address(), "b": free_address()}
    both = [process(name, f"{name}1", address) for name, address in addresses.items()]
    for entry in both:
        entry.kernel.lookup("peers").send(
            PeerAddressesChanged(
                addresses={
                    name: address
                    for name, address in addresses.items()
                    if name != entry.peers.identity.instance
                }
            )
        )
    try:
        yield both
    finally:
        await asyncio.gather(*(entry.stop() for entry in both))


async def test_two_instances_keep_one_link_and_exchange_frames_both_ways() -> None:
    """Guards against duplicate links, which would deliver a frame twice."""
    async with pair() as (first, second):
        await until(lambda: first.linked() == [("b", "b1")] and second.linked() == [("a", "a1")])
        await asyncio.sleep(0.5)
        assert [len(process.peers.open_links) for process in (first, second)] == [1, 1]
        for sender in (first, second):
            message = SendToPeer(instance=None, type="conviction", fields=CONVICTION)
            sender.kernel.lookup("peers").send(message)
        await until(lambda: first.convictions.messages and second.convictions.messages)
        await asyncio.sleep(0.2)
        assert first.convictions.messages == [
            PeerFrame(instance="b", type="conviction", fields=CONVICTION)
        ]
        assert second.convictions.messages == [
            PeerFrame(instance="a", type="conviction", fields=CONVICTION)
        ]


async def test_a_restarted_instance_is_linked_again_under_its_new_incarnation() -> None:
    """Guards against a link that is never reopened, and frames for the ended incarnation."""
    async with pair() as both:
        first, second = both
        await until(lambda: first.linked() and second.linked())
        await second.stop()
        await until(lambda: not first.linked())
        address = second.peers.identity.peer_address
        both[1] = process("b", "b2", address, seeds=(first.peers.identity.peer_address,))
        await until(lambda: first.linked() == [("b", "b2")] and both[1].linked() == [("a", "a1")])
        await asyncio.sleep(0.5)
        assert [len(entry.peers.open_links) for entry in both] == [1, 1]


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"\0\0\0\1\xc1",
        encode_frame("conviction", CONVICTION).unwrap(),
        b"\0\0\0\x08" + msgspec.msgpack.encode(("hello", {})),
        b"",
    ],
    ids=["http", "not-msgpack", "no-hello", "bad-hello", "silent"],
)
async def test_a_connection_without_a_valid_hello_is_closed_and_other_links_stay_up(
    data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a failure of the process or its links when another program connects."""
    monkeypatch.setattr(link, "HELLO_TIMEOUT_S", 0.3)
    async with pair() as (first, second):
        await until(lambda: first.linked() and second.linked())
        host, port = first.peers.identity.peer_address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        async with asyncio.timeout(5):
            await until_closed(reader)
        writer.close()
        await until(lambda: len(first.peers.open_links) == 1)
        assert first.linked() == [("b", "b1")]
        assert len(first.links.messages) == 1


async def test_a_peer_that_does_not_read_loses_its_link_before_the_queue_grows() -> None:
    """Guards against unbounded memory for a peer that hangs with an open connection."""
    address = free_address()
    instance = process("a", "a1", address)
    await until(lambda: instance.peers.port)
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=1024)
    hello = Hello(
        instance="b", incarnation="b1", availability_zone="z", peer_address="b:1", protocol=1
    )
    writer.write(encode_frame("hello", fields_dict(hello)).unwrap())
    await until(instance.linked)
    fields = {"change": None, "documents": {"d": "x" * 500_000}, "more": True}
    (open_link,) = instance.peers.open_links
    for _ in range(100):
        instance.kernel.lookup("peers").send(
            SendToPeer(instance="b", type="config_offer", fields=fields)
        )
    await until(lambda: not instance.linked())
    assert open_link.queued_bytes <= link.SEND_QUEUE_BYTES_MAX + 1_000_000
    writer.close()
    del reader
    await instance.stop()


async def test_an_instance_does_not_link_to_its_own_address() -> None:
    """Guards against repeated connections of an instance to itself.

    The own address can be among the seeds and in the instance list.
    """
    address = free_address()
    instance = process("a", "a1", address, seeds=(address, free_address()))
    instance.kernel.lookup("peers").send(PeerAddressesChanged(addresses={"x": address}))
    await asyncio.sleep(0.5)
    assert instance.peers.links == {}
    assert instance.links.messages == []
    await instance.stop()


def test_the_backoff_grows_with_jitter_and_starts_again_after_a_stable_link() -> None:
    """Guards against instances that all dial at once, and a slow reconnect after a restart."""
    dial_scheduler = DialScheduler(rng=Random(3))
    waits = []
    now = 0.0
    for _ in range(9):
        assert dial_scheduler.due(now, frozenset({"x"})) == ["x"]
        assert dial_scheduler.due(now, frozenset({"x"})) == []
        dial_scheduler.on_ended(now, "x", stable=False)
        waits.append(dial_scheduler.attempts["x"].next_at - now)
        now = dial_scheduler.attempts["x"].next_at
    assert waits[0] <= 0.2
    assert BACKOFF_MAX_S / 2 <= waits[-1] <= BACKOFF_MAX_S
    dial_scheduler.due(now, frozenset({"x"}))
    dial_scheduler.on_ended(now, "x", stable=True)
    assert dial_scheduler.attempts["x"].next_at - now <= 0.1
