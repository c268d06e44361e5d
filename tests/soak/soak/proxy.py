"""A loopback proxy that harms the connections of one target."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field
from enum import StrEnum

READ_BYTES = 65_536
DELAY_S = 0.15


class Harm(StrEnum):
    """What a proxy does to its connections."""

    NONE = "none"
    DELAY = "delay"
    REFUSE = "refuse"
    SILENCE = "silence"
    NO_REQUESTS = "no-requests"
    NO_REPLIES = "no-replies"


@dataclass(slots=True, kw_only=True, eq=False)
class Pair:
    """Both sides of one connection; ``silent`` swallows all further bytes for good."""

    caller: asyncio.StreamWriter
    target: asyncio.StreamWriter
    silent: bool = False

    def abort(self) -> None:
        """Reset both sides."""
        for writer in (self.caller, self.target):
            writer.transport.abort()


@dataclass(slots=True, kw_only=True)
class Proxy:
    """Listens on ``address`` and passes bytes on to ``target``, both ``host:port``."""

    target: str
    address: str = ""
    harm: Harm = Harm.NONE
    pairs: set[Pair] = field(default_factory=set)
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Close everything."""
        if self.server is not None:
            self.server.close()
        self.reset_all()

    def reset_all(self) -> None:
        """Reset the open connections."""
        for pair in [*self.pairs]:
            pair.abort()

    def silence_all(self) -> None:
        """Swallow what comes on the open connections, without closing them."""
        for pair in self.pairs:
            pair.silent = True

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        if self.harm is Harm.REFUSE:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = Pair(caller=writer, target=target_writer)
        self.pairs.add(pair)
        ways = (
            asyncio.create_task(self.pass_on(pair, reader, target_writer, Harm.NO_REQUESTS)),
            asyncio.create_task(self.pass_on(pair, target_reader, writer, Harm.NO_REPLIES)),
        )
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            self.pairs.discard(pair)
            pair.abort()

    async def pass_on(
        self,
        pair: Pair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        one_way: Harm,
    ) -> None:
        """Pass on the bytes of one direction until it ends."""
        with suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if pair.silent or self.harm in (Harm.SILENCE, one_way):
                    # Bytes are missing from now on, so the connection stays silent for good.
                    pair.silent = True
                    continue
                if self.harm is Harm.DELAY:
                    await asyncio.sleep(DELAY_S)
                writer.write(data)
                await writer.drain()
            await writer.drain()
