"""Leafs that send some of their answers twice, the second time whole or cut off."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random
from typing import TYPE_CHECKING

from standins import server_entry

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from gateway_process import Site

LATE_MAX_S = 0.3
WORK_MAX_S = 0.01
REFUSED_FRACTION = 0.05


class Stutter(StrEnum):
    """What the second copy of an answer is, and when it comes."""

    CUT_SAME_WRITE = "cut-same-write"
    CUT_LATE = "cut-late"
    CUT_BEFORE_NEXT = "cut-before-next"
    WHOLE_SAME_WRITE = "whole-same-write"
    WHOLE_LATE = "whole-late"
    WHOLE_IN_PIECES = "whole-in-pieces"


def proof_of(leaf: str, request_id: str) -> str:
    """Return the proof of the answer of a leaf to a request."""
    return f"proof-{leaf}-{request_id}"


def body_of(leaf: str, request_id: str) -> bytes:
    """Return the body of that answer: one record of 16 bytes."""
    return f"{request_id[-8:]:>8}{leaf:>8}".encode()


@dataclass(slots=True, kw_only=True)
class StutteringLeaf:
    """Answers with the usual headers, and ``fraction`` of its answers twice.

    :param names_requests: whether its answers name their requests
    :param cut_min: how many bytes a copy that is cut off has at least
    :param ran: the identities of the requests that it has run
    """

    name: str
    service: str
    random: Random
    stutter: Stutter
    fraction: float
    names_requests: bool = True
    cut_min: int = 1
    address: str = ""
    ran: list[str] = field(default_factory=list)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    def entry(self) -> dict[str, object]:
        """The entry that the leaf writes about itself."""
        return server_entry(self.service, self.address)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        before_next = b""
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while not writer.is_closing():
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
                headers = {name.lower(): value for name, value in fields.items()}
                await reader.readexactly(int(headers.get("content-length", "0")))
                writer.write(before_next)
                answer = await self.answer(headers["request-id"])
                before_next = await self.send(writer, answer)
        self.writers.discard(writer)
        writer.close()

    async def answer(self, request_id: str) -> bytes:
        """Run a request, or refuse it, and encode the answer."""
        lines = [f"Request-Id: {request_id}"] * self.names_requests
        lines += ["Content-Type: text/plain", "Keep-Alive: timeout=20"]
        if self.random.random() < REFUSED_FRACTION:
            lines = ["HTTP/1.1 503 Service Unavailable", "Not-Executed: 1", *lines]
            return "\r\n".join([*lines, "Content-Length: 0", "\r\n"]).encode()
        self.ran.append(request_id)
        await asyncio.sleep(self.random.uniform(0.001, WORK_MAX_S))
        proof = f"Response-Signature: {proof_of(self.name, request_id)}"
        return self.encode(["HTTP/1.1 200 OK", proof, *lines], self.body(request_id))

    def body(self, request_id: str) -> bytes:
        """Return the body of the answer to a request."""
        return body_of(self.name, request_id)

    def encode(self, lines: list[str], body: bytes) -> bytes:
        """Encode an answer so that its end is known."""
        return "\r\n".join([*lines, f"Content-Length: {len(body)}", "\r\n"]).encode() + body

    def copy_of(self, answer: bytes) -> bytes:
        """Return the second copy of an answer, before it is cut off."""
        return answer

    async def send(self, writer: asyncio.StreamWriter, answer: bytes) -> bytes:
        """Send an answer, sometimes twice.

        :return: what is to be written in front of the next answer of the connection
        """
        repeated = self.random.random() < self.fraction
        return self.write(writer, answer, self.copy_of(answer) if repeated else b"")

    def write(self, writer: asyncio.StreamWriter, answer: bytes, copy: bytes) -> bytes:
        """Write an answer and its second copy, if that is not empty.

        :return: what is to be written in front of the next answer of the connection
        """
        cut = self.random.randrange(self.cut_min, len(copy or answer))
        if not copy:
            writer.write(answer)
            return b""
        match self.stutter:
            case Stutter.CUT_SAME_WRITE:
                writer.write(answer + copy[:cut])
            case Stutter.WHOLE_SAME_WRITE:
                writer.write(answer + copy)
            case Stutter.CUT_BEFORE_NEXT:
                writer.write(answer)
                return copy[:cut]
            case Stutter.CUT_LATE:
                writer.write(answer)
                self.write_late(writer, copy[:cut])
            case Stutter.WHOLE_LATE:
                writer.write(answer)
                self.write_late(writer, copy)
            case Stutter.WHOLE_IN_PIECES:
                writer.write(answer + copy[:cut])
                self.write_late(writer, copy[cut:])
        return b""

    def write_late(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write after a while, whatever the connection does then."""
        delay_s = self.random.uniform(0.001, LATE_MAX_S)
        asyncio.get_running_loop().call_later(delay_s, self.write_if_open, writer, data)

    def write_if_open(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write unless the connection is closed."""
        if not writer.is_closing():
            writer.write(data)


@asynccontextmanager
async def serving_leafs(*leafs: StutteringLeaf) -> AsyncIterator[None]:
    """Serve leafs on loopback addresses."""
    listeners = []
    for leaf in leafs:
        listener = await asyncio.start_server(leaf.serve, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()[:2]
        leaf.address = f"{host}:{port}"
        listeners.append(listener)
    try:
        yield
    finally:
        for listener in listeners:
            listener.close()
        for writer in [writer for leaf in leafs for writer in leaf.writers]:
            writer.close()


def replace_leafs(site: Site, leafs: list[StutteringLeaf]) -> None:
    """Register leafs in the store in place of those of a site."""
    for name in [key for key in site.store.items if key.startswith("servers/")]:
        site.store.remove(name)
    for leaf in leafs:
        site.store.put(f"servers/{leaf.name}", leaf.entry())
