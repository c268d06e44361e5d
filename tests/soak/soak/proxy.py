"""TCP proxy on the loopback interface that injects connection faults."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field
from enum import StrEnum

READ_BYTES = 65_536
FORWARDING_DELAY_S = 0.15


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

    def abort(self) -> None:
        """Reset both sides."""
        for writer in (self.caller, self.target):
            writer.transport.abort()


@dataclass(slots=True, kw_only=True)
class Proxy:
    """Listens on ``address`` and forwards connections to ``target``, both ``host:port``."""

    target: str
    address: str = ""
    fault: ConnectionFault = ConnectionFault.NONE
    connections: set[ProxiedConnection] = field(default_factory=set)
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port, or on the same one again."""
        host, _, port = (self.address or "127.0.0.1:0").rpartition(":")
        self.server = await asyncio.start_server(self.accept, host, int(port))
        self.address = f"{host}:{self.server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
        self.reset_all()

    def reset_all(self) -> None:
        """Reset all open connections."""
        for connection in [*self.connections]:
            connection.abort()

    def silence_all(self) -> None:
        """Drop all further bytes of the open connections, without closing them."""
        for connection in self.connections:
            connection.silent = True

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Proxy one connection until either side closes it."""
        if self.fault is ConnectionFault.REFUSE:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
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
            await asyncio.wait(relays, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for relay in relays:
                relay.cancel()
            self.connections.discard(connection)
            connection.abort()

    async def relay_bytes(
        self,
        connection: ProxiedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction_fault: ConnectionFault,
    ) -> None:
        """Forward the bytes of one direction until it ends."""
        with suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if connection.silent or self.fault in (ConnectionFault.SILENCE, direction_fault):
                    # Bytes are lost from here on, so the connection must not resume later.
                    connection.silent = True
                    continue
                if self.fault is ConnectionFault.DELAY:
                    await asyncio.sleep(FORWARDING_DELAY_S)
                writer.write(data)
                await writer.drain()
            await writer.drain()
