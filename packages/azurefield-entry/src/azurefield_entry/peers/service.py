"""Service ``peers``: listens for peers, keeps one link per instance and routes its frames."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

import logbook
from msgspec import Struct, field
from result import Err, Ok

from azurefield_entry.kernel import Stop, send_every
from azurefield_entry.listener import retry_while_in_use
from azurefield_entry.messages import LinkChanged, PeerAddressesChanged, PeerFrame, SendToPeer
from azurefield_entry.peers.dialing import DialScheduler
from azurefield_entry.peers.frames import Frame, FrameError, encode_frame, fields_dict
from azurefield_entry.peers.identity import Identity, split_address
from azurefield_entry.peers.link import Link

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from azurefield_entry.kernel import Kernel, Mailbox

log = logbook.Logger("peers")

TICK_INTERVAL_S = 0.1
CONNECT_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 1.0
# A link that ends earlier counts as a failed attempt.
STABLE_LINK_MIN_S = 5.0
# No connection is accepted while this many are open, with or without a hello.
OPEN_CONNECTIONS_MAX = 256

FRAME_RECEIVERS: dict[str, tuple[str, ...]] = {
    "heartbeat": ("membership", "configuration", "front"),
    "news": ("membership",),
    "config_fetch": ("configuration",),
    "config_offer": ("configuration",),
    "forward": ("bookings",),
    "forwarded": ("bookings",),
    "conviction": ("query",),
}


class Tick(Struct, kw_only=True, frozen=True):
    """To this service: dial the instances whose next attempt is due."""


class PeersService(Struct, kw_only=True):
    """Keeps one link to each known instance.

    Two instances may dial each other at the same time. Both then keep the connection that the
    instance with the lower name has opened. Of two connections in the same direction the later one
    is kept, because the side that opened it has given up the earlier one. A connection to a new
    incarnation always replaces the existing link.

    ``known`` holds the peer address of each known instance. ``instance_at`` holds the name of the
    instance that last answered at each dialed address. Stop this service after the services that
    send through it.
    """

    identity: Identity
    listen: str
    dial_scheduler: DialScheduler
    seeds: tuple[str, ...] = ()
    known: dict[str, str] = field(default_factory=dict)
    links: dict[str, Link] = field(default_factory=dict)
    instance_at: dict[str, str] = field(default_factory=dict)
    open_links: set[Link] = field(default_factory=set)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    port: int = 0

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Handle messages until ``Stop``; unexpected errors of link tasks are raised."""
        host, port = split_address(self.listen)
        async with asyncio.TaskGroup() as group:
            accept = partial(self.accept, group, kernel)
            server = await retry_while_in_use(
                lambda: asyncio.start_server(accept, host, port), self.listen, mailbox
            )
            if server is not None:
                self.port = server.sockets[0].getsockname()[1]
            ticking = group.create_task(send_every(mailbox, Tick(), TICK_INTERVAL_S))
            try:
                while not isinstance(message := await mailbox.receive(), Stop):
                    self.handle(group, kernel, message)
            finally:
                if server is not None:
                    server.close()
                ticking.cancel()
                await self.close_links()

    def handle(self, group: asyncio.TaskGroup, kernel: Kernel, message: object) -> None:
        """Handle one message."""
        match message:
            case Tick():
                self.dial_due(group, kernel)
            case SendToPeer(instance=instance, type=kind):
                match encode_frame(kind, message.fields):
                    case Err(error):
                        log.error(
                            "dropped an invalid {} frame instead of sending it: {}",
                            kind,
                            error.detail,
                        )
                    case Ok(data):
                        for name, link in self.links.items():
                            if instance in (None, name):
                                link.send(data)
            case PeerAddressesChanged(addresses=addresses):
                self.known = addresses

    def spawn(self, group: asyncio.TaskGroup, work: Coroutine[object, object, None]) -> None:
        """Start a task that is ended with the service."""
        task = group.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def close_links(self) -> None:
        """Send what is queued on each link and end all tasks."""
        for link in self.open_links:
            link.close()
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=CLOSE_TIMEOUT_S)
        for task in self.tasks:
            task.cancel()

    def dial_due(self, group: asyncio.TaskGroup, kernel: Kernel) -> None:
        """Dial the instances without a link whose next attempt is due.

        These are the known instances and the seeds, except for seeds that turned out to be this
        instance or one that is linked.
        """
        seeds = {
            address
            for address in self.seeds
            if self.instance_at.get(address) not in (self.identity.instance, *self.links)
        }
        known = {address for name, address in self.known.items() if name not in self.links}
        wanted = frozenset((known | seeds) - {self.identity.peer_address})
        now = asyncio.get_running_loop().time()
        for address in self.dial_scheduler.due(now, wanted):
            self.spawn(group, self.dial(kernel, address))

    async def dial(self, kernel: Kernel, address: str) -> None:
        """Open a connection and run its link."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*split_address(address))
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            log.debug("can't connect to peer {}, retrying later: {}", address, error or "timeout")
        else:
            link = self.new_link(kernel, reader, writer, dialed_address=address)
            await self.run_link(kernel, link)
            if link.hello is not None:
                self.instance_at[address] = link.hello.instance
        now = loop.time()
        self.dial_scheduler.on_ended(now, address, stable=now - started_at >= STABLE_LINK_MIN_S)

    def accept(
        self,
        group: asyncio.TaskGroup,
        kernel: Kernel,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run the link of a connection that a peer opened."""
        if len(self.open_links) >= OPEN_CONNECTIONS_MAX:
            log.warning(
                "refused a peer connection: {} connections are open, which is the limit",
                len(self.open_links),
            )
            writer.transport.abort()
            return
        link = self.new_link(kernel, reader, writer, dialed_address=None)
        self.spawn(group, self.run_link(kernel, link))

    def new_link(
        self,
        kernel: Kernel,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        dialed_address: str | None,
    ) -> Link:
        """Create the link of a connection."""
        link = Link(
            identity=self.identity,
            reader=reader,
            writer=writer,
            dialed_address=dialed_address,
            on_hello=partial(self.on_hello, kernel),
            on_frame=partial(self.on_frame, kernel),
        )
        self.open_links.add(link)
        return link

    async def run_link(self, kernel: Kernel, link: Link) -> None:
        """Run a link and report its end."""
        try:
            ended = await link.run()
        finally:
            self.open_links.discard(link)
        name = link.hello.instance if link.hello else "unknown instance"
        if isinstance(ended, FrameError):
            log.warning(
                "link to {} closed after an invalid frame ({}): {}",
                name,
                ended.problem,
                ended.detail,
            )
        else:
            log.info("link to {} ended: {}", name, ended.detail)
        if self.links.get(name) is link:
            del self.links[name]
            self.publish_link_change(kernel, link, linked=False)

    def on_hello(self, kernel: Kernel, link: Link) -> None:
        """Use a new link, or close it if the existing link to the same instance is kept."""
        if link.hello is None:
            return
        if link.dialed_address is not None:
            self.instance_at[link.dialed_address] = link.hello.instance
        current = self.links.get(link.hello.instance)
        if current is not None and current.hello is not None:
            same = current.hello.incarnation == link.hello.incarnation
            if same and self.is_preferred(current) and not self.is_preferred(link):
                link.close()
                return
            current.close()
        self.links[link.hello.instance] = link
        log.info("link to {} is up", link.hello.instance)
        self.publish_link_change(kernel, link, linked=True)

    def is_preferred(self, link: Link) -> bool:
        """Whether the instance with the lower name opened the connection."""
        if link.hello is None:
            return False
        return (link.dialed_address is not None) is (self.identity.instance < link.hello.instance)

    def on_frame(self, kernel: Kernel, link: Link, frame: Frame) -> None:
        """Pass a frame to the services that handle its type."""
        if link.hello is None or self.links.get(link.hello.instance) is not link:
            return
        message = PeerFrame(
            instance=link.hello.instance, type=frame.type, fields=fields_dict(frame.fields)
        )
        kernel.send_to(FRAME_RECEIVERS.get(frame.type, ()), message)

    def publish_link_change(self, kernel: Kernel, link: Link, *, linked: bool) -> None:
        """Notify ``membership`` that a link came up or went down."""
        if link.hello is not None:
            change = LinkChanged(
                instance=link.hello.instance, incarnation=link.hello.incarnation, linked=linked
            )
            kernel.send_to(("membership",), change)
