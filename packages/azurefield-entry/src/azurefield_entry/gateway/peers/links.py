"""Links to other instances, each opened by the instance that first needs the other."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterator
from functools import partial
from itertools import count
from typing import TYPE_CHECKING, Protocol

import msgspec
from logbook import Logger
from msgspec import Struct, field
from result import Err, Ok, Result

from azurefield.coordinators import CoordinatorView
from azurefield_entry.addresses import split_address
from azurefield_entry.background import BackgroundTasks
from azurefield_entry.clock import now
from azurefield_entry.gateway.peers.frames import FROM_PEER, FromPeer, Heartbeat, ToPeer
from azurefield_entry.gateway.peers.framing import (
    LENGTH_PREFIX_BYTES,
    decode_frame,
    encode,
    read_length,
)
from azurefield_entry.gateway.zone_traffic import ZoneTraffic, kind_of_frame

if TYPE_CHECKING:
    from collections.abc import Collection

CONNECT_TIMEOUT_S = 0.1
# A link without a frame for this time is given up while the other instance owes a reply.
SILENCE_TIMEOUT_S = 0.5
SILENCE_CHECK_INTERVAL_S = 0.1
log = Logger("links")


class PendingReply(Protocol):
    """What an instance waits for on a link."""

    def on_frame(self, frame: FromPeer) -> None:
        """Apply a frame that carries its number."""

    def on_lost(self, detail: str) -> None:
        """Record that the link has ended."""


class PeerUnreachable(Struct, kw_only=True, frozen=True):
    """No link to another instance could be opened, so nothing was sent."""

    detail: str


class PeerLink(Struct, kw_only=True):
    """A connection to another instance, with the replies that it owes.

    :param on_heard: called when a frame of the other instance has arrived
    :param on_exchanged: called with each frame that is sent or received, and its length in bytes
    """

    writer: asyncio.StreamWriter
    on_heard: Callable[[], None] = lambda: None
    on_exchanged: Callable[[ToPeer | FromPeer, int], None] = lambda _, __: None
    pending: dict[int, PendingReply] = field(default_factory=dict)
    numbers: Iterator[int] = field(default_factory=count)
    last_frame_at: float = 0.0
    closed: bool = False

    def expect(self, reply: PendingReply) -> int:
        """Register a reply that is about to be requested, and return its number."""
        number = next(self.numbers)
        self.pending[number] = reply
        if len(self.pending) == 1:
            self.last_frame_at = now()
        return number

    def send(self, frame: ToPeer) -> None:
        """Send a frame; it is dropped if the connection is lost, which ``receive`` reports."""
        if not (self.closed or self.writer.is_closing()):
            encoded = encode(frame)
            self.writer.write(encoded)
            self.on_exchanged(frame, len(encoded))

    async def receive(self, reader: asyncio.StreamReader) -> None:
        """Pass on replies until the connection ends."""
        detail = "closed"
        try:
            while True:
                length = await read_length(reader)
                frame = decode_frame(await reader.readexactly(length), FROM_PEER)
                self.last_frame_at = now()
                self.on_heard()
                self.on_exchanged(frame, LENGTH_PREFIX_BYTES + length)
                # Replies that nothing waits for any more are ignored.
                if not isinstance(frame, Heartbeat) and frame.number in self.pending:
                    self.pending[frame.number].on_frame(frame)
        except (OSError, EOFError, msgspec.DecodeError) as error:
            detail = repr(error)
        finally:
            self.close(detail)

    def close(self, detail: str) -> None:
        """Close the connection; the replies that it owes will not come."""
        self.closed = True
        self.writer.close()
        for reply in [*self.pending.values()]:
            reply.on_lost(detail)

    async def watch_silence(self) -> None:
        """Close the connection if the other instance owes replies and is silent.

        Time in which this process itself did not run is not counted.
        """
        checked_at = now()
        while not self.closed:
            await asyncio.sleep(SILENCE_CHECK_INTERVAL_S)
            overslept_s = now() - checked_at - SILENCE_CHECK_INTERVAL_S
            checked_at = now()
            if overslept_s > SILENCE_CHECK_INTERVAL_S or not self.pending:
                self.last_frame_at = checked_at
            elif checked_at - self.last_frame_at > SILENCE_TIMEOUT_S:
                self.close(f"silent for {SILENCE_TIMEOUT_S} s")


class PeerLinks(Struct, kw_only=True):
    """Opens the links of one instance and keeps them.

    :param view: knows the addresses of the other instances
    :param on_heard: called with the name of an instance when a frame of it has arrived
    :param traffic: counts the bytes exchanged with other zones; None not to count them
    """

    view: CoordinatorView
    on_heard: Callable[[str], None] = lambda _: None
    traffic: ZoneTraffic | None = None
    links: dict[str, PeerLink] = field(default_factory=dict)
    connecting: dict[str, asyncio.Task[Result[PeerLink, PeerUnreachable]]] = field(
        default_factory=dict
    )
    tasks: BackgroundTasks = field(default_factory=BackgroundTasks)

    async def link(self, instance: str) -> Result[PeerLink, PeerUnreachable]:
        """Return the link to an instance, connecting first if needed."""
        known = self.links.get(instance)
        if known is not None and not known.closed:
            return Ok(known)
        connecting = self.connecting.get(instance)
        if connecting is None:
            connecting = asyncio.create_task(self.connect(instance))
            self.connecting[instance] = connecting
            connecting.add_done_callback(lambda _: self.connecting.pop(instance, None))
        opened = await asyncio.shield(connecting)
        if isinstance(opened, Ok) and opened.ok_value.closed:
            return Err(PeerUnreachable(detail="closed at once"))
        return opened

    async def connect(self, instance: str) -> Result[PeerLink, PeerUnreachable]:
        """Connect to an instance."""
        profile = self.view.profiles.get(instance)
        address = "" if profile is None else profile.coordinator_address or ""
        try:
            host, port = split_address(address)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, port)
        except (OSError, ValueError, OverflowError) as error:
            return Err(PeerUnreachable(detail=repr(error)))
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(SILENCE_TIMEOUT_S * 1000))
        link = PeerLink(
            writer=writer,
            last_frame_at=now(),
            on_heard=lambda: self.on_heard(instance),
            on_exchanged=partial(self.record_exchanged, instance),
        )
        self.links[instance] = link
        self.tasks.start("receive-from-peer", link.receive(reader))
        self.tasks.start("watch-peer-silence", link.watch_silence())
        log.info("Connected to instance {}.", instance)
        return Ok(link)

    def record_exchanged(self, instance: str, frame: ToPeer | FromPeer, length: int) -> None:
        """Count a frame of an instance in another zone."""
        if self.traffic is not None and self.view.is_distant(instance):
            zone = self.view.profiles[instance].availability_zone
            self.traffic.record(kind_of_frame(frame), zone, length)

    def retain_only(self, instances: Collection[str]) -> list[str]:
        """Close the idle links to instances that no longer run, and return their names."""
        ended = [
            name for name, link in self.links.items() if name not in instances and not link.pending
        ]
        for name in ended:
            self.links.pop(name).close("the instance no longer runs")
        return ended

    def close(self) -> None:
        """Close all links."""
        for link in self.links.values():
            link.close("this instance stops")
        self.tasks.cancel()
