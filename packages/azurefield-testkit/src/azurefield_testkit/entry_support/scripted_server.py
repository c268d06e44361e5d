"""A minimal dialect and a scripted backend server for tests of the gateway."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from result import Ok, Result

from azurefield_entry.gateway.ports import OpaqueAnswer
from azurefield_testkit.resets import reset

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from azurefield.failures import LeafFailure
    from azurefield_entry.gateway.ports import Headers, LeafCall


class PlainDialect:
    """A minimal dialect; the header ``Id`` of an answer may name the target of its request."""

    def encode(self, call: LeafCall, now: float) -> tuple[bytes, ...]:  # noqa: ARG002
        """Build a request without the headers of the caller."""
        return (
            f"{call.request.method} {call.request.target} HTTP/1.1\r\nHost: x\r\n\r\n".encode(),
        )

    def decode(
        self, call: LeafCall, status: int, headers: Headers, body: bytes, *, reused: bool
    ) -> Result[OpaqueAnswer, LeafFailure] | None:
        """Accept an answer whose ``Id`` names the target, or that has none on a new connection."""
        identity = dict(headers).get("Id", None if reused else call.request.target)
        if identity != call.request.target:
            return None
        return Ok(OpaqueAnswer(status=status, headers=headers, body=body, proof="p"))

    def names_request(self, headers: Headers) -> bool:
        """Whether an answer has an ``Id``."""
        return "Id" in dict(headers)


@dataclass(slots=True, kw_only=True)
class ScriptedServer:
    """Answers the n-th request on a connection with the n-th list of segments in ``script``.

    An empty segment resets the connection. After the last segment the server closes the connection
    if ``close`` is set, otherwise it waits until the other side does.
    """

    script: list[list[bytes]]
    close: bool = False
    accepted: int = 0
    requests: list[str] = field(default_factory=list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.accepted += 1
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            for segments in self.script:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(head.split()[1].decode())
                for segment in segments:
                    if not segment:
                        reset(writer.transport)
                        return
                    writer.write(segment)
                    await writer.drain()
                    await asyncio.sleep(0.005)
            if not self.close:
                await reader.read()
        writer.close()


class StreamServer(Protocol):
    """A server of streams."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""


@asynccontextmanager
async def listening(server: StreamServer) -> AsyncIterator[str]:
    """Listen on a loopback address until the context ends; afterwards it refuses connections."""
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    try:
        yield f"127.0.0.1:{port}"
    finally:
        listener.close()
