"""Calls over one connection to a scripted server, and its answers."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from azurefield_entry.gateway.ports import GatewayRequest, LeafCall
from azurefield_entry.gateway.servers.connection import (
    HttpLeafConnection,
)
from azurefield_testkit.entry_support.scripted_server import (
    PlainDialect,
    ScriptedServer,
    listening,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@asynccontextmanager
async def connected(server: ScriptedServer) -> AsyncIterator[HttpLeafConnection]:
    """Run a scripted server and build a connection to it."""
    async with listening(server) as address:
        connection = HttpLeafConnection(address=address, dialect=PlainDialect())
        try:
            yield connection
        finally:
            await connection.close()


def call(target: str, method: str = "GET") -> LeafCall:
    """Build a call; its target is the identity that the answer must name."""
    request = GatewayRequest(
        request_id=target,
        method=method,
        host="x",
        target=target,
        headers=(),
        body=b"",
        arrived_at=0.0,
        deadline=None,
    )
    return LeafCall(request=request, server="s", deadline=0.0)


def answer(identity: str, body: bytes, extra: str = "") -> bytes:
    """Encode a whole answer."""
    head = f"HTTP/1.1 200 OK\r\nId: {identity}\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
    return head.encode() + body


def chunked(identity: str, body: bytes) -> bytes:
    """Encode a whole answer in chunks."""
    head = f"HTTP/1.1 200 OK\r\nId: {identity}\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head.encode() + f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\n\r\n"
