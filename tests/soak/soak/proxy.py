"""TCP proxy on the loopback interface that injects connection faults."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from dataclasses import dataclass, field
from enum import StrEnum

from azurefield_testkit.resets import reset

READ_BYTES = 65_536
FORWARDING_DELAY_S = 0.15
# More connections than the queue of a listener without backlog takes.
QUEUE_FILLERS = 3


class ConnectionFault(StrEnum):
    """The fault that a proxy injects into its connections.

    ``SILENCE`` drops the bytes of both directions, ``NO_REQUESTS`` and ``NO_REPLIES`` those of one.
    """

    NONE = "none"
    DELAY = "delay"
    REFUSE = "refuse"
    SILENCE = "silence"
    NO_REQUESTS = "no-requests"
    NO_REPLIES = "no-replies"


@dataclass(slots=True, kw_only=True, eq=False)
class ProxiedConnection:
    """Both sides of one proxied connection; once ``silent``, all further bytes are dropped."""

    caller: asyncio.StreamWriter
    target: asyncio.StreamWriter
    silent: bool = False

    def reset(self) -> None:
        """Reset both sides."""
        for writer in (self.caller, self.target):
            reset(writer.transport)

    async def close(self) -> None:
        """Close both sides when they have taken all bytes."""
        for writer in (self.caller, self.target):
            writer.close()
        for writer in (self.caller, self.target):
            with suppress(OSError):
                await writer.wait_closed()


@dataclass(slots=True, kw_only=True)
class Proxy:
    """Listens on ``address`` and forwards connections to ``target``, both ``host:port``."""

    target: str
    address: str = ""
    fault: ConnectionFault = ConnectionFault.NONE
    connections: set[ProxiedConnection] = field(default_factory=set)
    server: asyncio.Server | None = None
    held_port: list[socket.socket] = field(default_factory=list)
    reserved_port: socket.socket | None = None
    starting: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def start(self) -> None:
        """Listen on a free port, or on the same one again."""
        if self.reserved_port is None:
            self.reserved_port = reserve_port()
            self.address = address_of(self.reserved_port)
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.accept, host, int(port), reuse_port=True)

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        self.stop_listening()
        self.reset_all()
        if self.reserved_port is not None:
            self.reserved_port.close()

    def stop_listening(self, *, hang: bool = False) -> None:
        """Refuse new connections, or leave them hanging; open ones are kept."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for held in self.held_port:
            held.close()
        self.held_port = hold_port(self.address) if hang else []

    async def listen_again(self) -> None:
        """Accept connections at the same address again."""
        async with self.starting:
            self.stop_listening()
            await self.start()

    def reset_all(self) -> None:
        """Reset all open connections."""
        for connection in [*self.connections]:
            connection.reset()

    def silence_all(self) -> None:
        """Drop all further bytes of the open connections, without closing them."""
        for connection in self.connections:
            connection.silent = True

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Proxy one connection until either side ends it; the other side is ended alike."""
        if self.fault is ConnectionFault.REFUSE:
            reset(writer.transport)
            return
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer.transport)
            return
        connection = ProxiedConnection(caller=writer, target=target_writer)
        self.connections.add(connection)
        relays = (
            asyncio.create_task(
                self.relay_bytes(connection, reader, target_writer, ConnectionFault.NO_REQUESTS)
            ),
            asyncio.create_task(
                self.relay_bytes(connection, target_reader, writer, ConnectionFault.NO_REPLIES)
            ),
        )
        try:
            ended, _ = await asyncio.wait(relays, return_when=asyncio.FIRST_COMPLETED)
            if connection.silent or any(relay.exception() for relay in ended):
                connection.reset()
            else:
                await connection.close()
        finally:
            for relay in relays:
                relay.cancel()
            await asyncio.gather(*relays, return_exceptions=True)
            self.connections.discard(connection)
            connection.reset()

    async def relay_bytes(
        self,
        connection: ProxiedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction_fault: ConnectionFault,
    ) -> None:
        """Forward the bytes of one direction until it ends.

        :raises OSError: if either side was reset
        """
        while data := await reader.read(READ_BYTES):
            if connection.silent or self.fault in (ConnectionFault.SILENCE, direction_fault):
                # Bytes are lost from here on, so the connection must not resume later.
                connection.silent = True
                continue
            if self.fault is ConnectionFault.DELAY:
                await asyncio.sleep(FORWARDING_DELAY_S)
            writer.write(data)
            await writer.drain()


def reserve_port() -> socket.socket:
    """Reserve a free port, so that no outgoing connection takes it while nothing listens there."""
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    reserved.bind(("127.0.0.1", 0))
    return reserved


def address_of(bound: socket.socket) -> str:
    """Return ``host:port`` of a bound socket."""
    host, port = bound.getsockname()
    return f"{host}:{port}"


def hold_port(address: str) -> list[socket.socket]:
    """Listen on an address with a full queue, so that new connections to it hang.

    :return: the sockets, which end this when they are closed
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    listener.bind((host, int(port)))
    listener.listen(0)
    held = [listener]
    for _ in range(QUEUE_FILLERS):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex((host, int(port)))
        held.append(filler)
    return held
