"""Servers that send bytes without end, and the memory of a real gateway that calls them."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from gateway_process import Site, serving

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

pytestmark = pytest.mark.process

MEMORY_MB = 300
ROUNDS = 3
CALLS_AT_ONCE = 40
# Usual requests that may fail beside the endless ones.
FAILED_MAX = 2
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: "
CHUNKED = b"\r\nTransfer-Encoding: chunked\r\n\r\n"
# What follows the identity of the request, and what is repeated after it.
ENDLESS = {
    "plain-body": (b"\r\n\r\n", bytes(65_536)),
    "long-body": (b"\r\nContent-Length: 99999999999\r\n\r\n", bytes(65_536)),
    "chunks": (CHUNKED, b"10000\r\n" + bytes(65_536) + b"\r\n"),
    "chunks-of-one-byte": (CHUNKED, b"1\r\nx\r\n" * 10_000),
    "chunk-extension": (CHUNKED + b"1;", b"x" * 65_536),
    "header-value": (b"\r\nLong: ", b"x" * 65_536),
    "headers": (b"", b"\r\nName: value" * 5_000),
}


@asynccontextmanager
async def endless_leaf(kind: str) -> AsyncIterator[str]:
    """Answer each request without end, as fast as the caller reads."""
    start, repeated = ENDLESS[kind]
    writers: list[asyncio.StreamWriter] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            lines = [line for line in head.split("\r\n") if line.lower().startswith("request-id:")]
            identity = lines[0].partition(": ")[2].encode()
            writer.write(HEAD + identity + start)
            while not writer.is_closing():
                writer.write(repeated)
                await writer.drain()
        writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()[:2]
    try:
        yield f"{host}:{port}"
    finally:
        listener.close()
        for writer in writers:
            writer.close()


def resident_mb(site: Site) -> float:
    """Return the resident memory of the gateway process."""
    assert site.process is not None
    lines = Path(f"/proc/{site.process.process.pid}/status").read_text().splitlines()
    kilobytes = next(line.split()[1] for line in lines if line.startswith("VmRSS:"))
    return int(kilobytes) / 1000


@pytest.mark.parametrize("kind", ENDLESS)
async def test_bytes_without_end_leave_a_gateway_within_its_memory(
    tmp_path: Path, kind: str
) -> None:
    """Guards against a gateway that is killed for its memory with the requests that it runs."""
    limits = f"memory_mb = {MEMORY_MB}\n"
    async with serving(tmp_path, limits=limits) as site, endless_leaf(kind) as address:
        for name in ("endless1", "endless2"):
            entry = site.leafs["d1"].entry(address=address, service="none", capacity=CALLS_AT_ONCE)
            site.store.put(f"servers/{name}", entry)
        await site.wait_for_log("Server endless2 is started")
        peak_mb = 0.0
        for number in range(ROUNDS):
            calls = [
                asyncio.create_task(site.call("/n/x", f"e{number}-{one}", deadline_ms=1000))
                for one in range(CALLS_AT_ONCE)
            ]
            while not all(call.done() for call in calls):
                peak_mb = max(peak_mb, resident_mb(site))
                await asyncio.sleep(0.01)
            assert all(call.result()[0] in (502, 503, 504) for call in calls)
        assert peak_mb < MEMORY_MB
        usual = [(await site.call("/s/x", f"u{number}"))[0] for number in range(20)]
        assert usual.count(200) >= 20 - FAILED_MAX, usual


REQUEST = b"POST /s/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: e\r\n"
CHUNKED_REQUEST = REQUEST + b"Transfer-Encoding: chunked\r\n\r\n"
PIPELINED = b"GET /s/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: e\r\n\r\n"
# What a caller sends first, and what it repeats after it.
ENDLESS_REQUESTS = {
    "no-request": (b"", b"x" * 65_536),
    "header-value": (REQUEST + b"Long: ", b"x" * 65_536),
    "headers": (REQUEST, b"Name: value\r\n" * 5_000),
    "long-body": (REQUEST + b"Content-Length: 99999999999\r\n\r\n", bytes(65_536)),
    "chunks": (CHUNKED_REQUEST, b"10000\r\n" + bytes(65_536) + b"\r\n"),
    "chunks-of-one-byte": (CHUNKED_REQUEST, b"1\r\nx\r\n" * 10_000),
    "chunk-extension": (CHUNKED_REQUEST + b"1;", b"x" * 65_536),
    "pipelined": (b"", PIPELINED * 1_000),
    "pipelined-bodies": (b"", (REQUEST + b"Content-Length: 900\r\n\r\n" + bytes(900)) * 100),
}
ENDLESS_CALLERS = 40
SENDING_S = 3.0


async def send_without_end(address: str, first: bytes, repeated: bytes) -> None:
    """Send bytes to a gateway, on a new connection whenever it closes one, and read nothing."""
    host, _, port = address.rpartition(":")
    ends = asyncio.get_running_loop().time() + SENDING_S
    while asyncio.get_running_loop().time() < ends:
        _, writer = await asyncio.open_connection(host, int(port))
        with suppress(ConnectionError, TimeoutError):
            writer.write(first)
            async with asyncio.timeout_at(ends):
                while not writer.is_closing():
                    writer.write(repeated)
                    await writer.drain()
        writer.transport.abort()
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("kind", ENDLESS_REQUESTS)
async def test_requests_without_end_leave_a_gateway_within_its_memory(
    tmp_path: Path, kind: str
) -> None:
    """Guards against callers that take a gateway over its memory."""
    async with serving(tmp_path, limits=f"memory_mb = {MEMORY_MB}\n") as site:
        sending = [
            asyncio.create_task(send_without_end(site.callers, *ENDLESS_REQUESTS[kind]))
            for _ in range(ENDLESS_CALLERS)
        ]
        peak_mb = 0.0
        while not all(task.done() for task in sending):
            peak_mb = max(peak_mb, resident_mb(site))
            await asyncio.sleep(0.02)
        assert peak_mb < MEMORY_MB
        await asyncio.gather(*sending)
        usual = [(await site.call("/s/x", f"u{number}"))[0] for number in range(20)]
        assert usual.count(200) >= 20 - FAILED_MAX, usual
