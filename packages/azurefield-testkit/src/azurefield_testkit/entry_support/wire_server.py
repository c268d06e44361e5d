"""Backend server for tests that control every byte and every close of its connections."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import partial
from typing import Any
from urllib.parse import unquote

from msgspec import to_builtins

from azurefield.model import RequestKind, ShardMap, Snapshot
from azurefield_entry.backends.connection import Connection
from azurefield_entry.backends.pool import ConnectionPool
from azurefield_entry.messages import CallLeaf


@dataclass(slots=True, kw_only=True)
class WireRequest:
    """One received request, with the connection to answer it byte by byte."""

    path: str
    headers: dict[str, str]
    body: Any
    connection: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def until_cancelled(self) -> None:
        """Wait until the caller has closed the connection."""
        await self.reader.read()

    def send(self, status: int, body: object, *, declared: int = 0) -> None:
        """Send an answer; bytes are sent as they are, other bodies as JSON.

        :param declared: added to the header Content-Length, so that the answer is truncated
        """
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data) + declared}\r\n\r\n"
        self.writer.write(head.encode() + data)

    def answer(self, records: list[dict[str, Any]] | None = None, **changes: object) -> None:
        """Send a valid answer to a leaf call; `changes` replace fields of its body."""
        records = records if records is not None else []
        self.send(
            200,
            {
                "request_id": self.headers["x-request-id"],
                "leaf": unquote(self.path.split("/")[2]),
                "index_version": int(self.headers["x-index-version"]),
                "map_version": int(self.headers["x-map-version"]),
                "record_count": len(records),
                "records": records,
            }
            | changes,
        )


Script = Callable[[WireRequest], Awaitable[None]]


async def answer_empty(request: WireRequest) -> None:
    """Answer with no records."""
    request.answer()


@dataclass(slots=True, kw_only=True)
class WireServer:
    """Runs `script` for each leaf call and answers `/status` from its fields."""

    name: str = "s1"
    script: Script = answer_empty
    leafs: tuple[str, ...] = ()
    shard_map: ShardMap | None = None
    close_on_accept: bool = False
    incarnation: str = "i1"
    requests: list[WireRequest] = field(default_factory=list)
    accepted: int = 0
    open: int = 0
    open_max: int = 0
    server: asyncio.Server | None = None
    address: str = ""

    async def start(self) -> WireServer:
        """Listen on a free loopback port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.accepted += 1
        self.open += 1
        self.open_max = max(self.open_max, self.open)
        connection = self.accepted
        try:
            while not self.close_on_accept:
                await self.serve_one(reader, writer, connection)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.open -= 1
            writer.transport.abort()

    async def serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, connection: int
    ) -> None:
        """Read one request and pass it to the script."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = {k.lower(): v for k, _, v in (line.partition(": ") for line in head[1:] if line)}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        request = WireRequest(
            path=head[0].split(" ")[1],
            headers=headers,
            body=json.loads(body) if body else None,
            connection=connection,
            reader=reader,
            writer=writer,
        )
        if request.path == "/status":
            request.send(200, self.status())
            return
        self.requests.append(request)
        await self.script(request)

    def status(self) -> dict[str, Any]:
        """Build the answer to `/status`."""
        version = self.shard_map.version if self.shard_map else 0
        return {
            "server": self.name,
            "incarnation": self.incarnation,
            "state": "live",
            "load": 0.1,
            "holdings": [
                {"leaf": leaf, "index_version": 7, "map_version": version} for leaf in self.leafs
            ],
            "maps": [to_builtins(self.shard_map)] if self.shard_map else [],
        }

    async def stop(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()


def make_call(call_id: str, *, deadline_s: float = 5.0, priority: int = 0) -> CallLeaf:
    """Build a booking call."""
    return CallLeaf(
        call_id=call_id,
        service="dispatch",
        server="s1",
        leaf="leaf/1",
        kind=RequestKind.BOOKING,
        snapshot=Snapshot(index_version=7, map_version=2),
        deadline=asyncio.get_running_loop().time() + deadline_s,
        priority=priority,
        body={"key": "k", "payload": {}},
    )


@asynccontextmanager
async def pool_to(
    server: WireServer, *, ceiling: int = 2
) -> AsyncIterator[ConnectionPool[Connection]]:
    """Start a server, make a pool of connections to it, and close both at the end."""
    await server.start()
    pool = ConnectionPool(connect=partial(Connection, address=server.address), ceiling=ceiling)
    try:
        yield pool
    finally:
        pool.retire()
        await settle(pool)
        await server.stop()


async def settle(pool: ConnectionPool[Connection]) -> None:
    """Wait until the connections that the pool closes are closed on both sides."""
    await asyncio.gather(*pool.closing, return_exceptions=True)
    await asyncio.sleep(0.02)
