"""Stuttering leafs whose answers are framed in various ways."""

from __future__ import annotations

import asyncio
import re
from dataclasses import dataclass
from enum import StrEnum

from stuttering_leafs import StutteringLeaf, body_of

LONG_RECORDS = 6000
PIECE_BYTES = 12_000
PIECE_PAUSE_MAX_S = 0.01
# How long an answer without a length takes to end.
CLOSE_DELAY_S = 0.02
LENGTH = b"Content-Length"
TRAILER = "Trailer-Of"
IDENTITY = re.compile(rb"Request-Id: ([0-9a-f]+)\r\n")


class Form(StrEnum):
    """How the end of an answer is known, and what the answer consists of."""

    CHUNKED = "chunked"
    TRAILERS = "trailers"
    CLOSED = "closed"
    NO_CONTENT = "no-content"
    LONG = "long"
    COPY_WITHOUT_IDENTITY = "copy-without-identity"


@dataclass(slots=True, kw_only=True)
class FormedLeaf(StutteringLeaf):
    """A leaf whose answers have one form."""

    form: Form

    def body(self, request_id: str) -> bytes:
        """Return the body of the answer to a request."""
        records = {Form.NO_CONTENT: 0, Form.LONG: LONG_RECORDS}.get(self.form, 1)
        return body_of(self.name, request_id) * records

    def encode(self, lines: list[str], body: bytes) -> bytes:
        """Encode an answer in the form of this leaf."""
        match self.form:
            case Form.CHUNKED:
                return head_of([*lines, "Transfer-Encoding: chunked"]) + chunks_of(body)
            case Form.TRAILERS:
                head = head_of([*lines, "Transfer-Encoding: chunked"])
                identity = IDENTITY.search(head)
                assert identity is not None
                return head + chunks_of(body, f"{TRAILER}: {identity[1].decode()}\r\n")
            case Form.CLOSED:
                return head_of(lines) + body
            case Form.NO_CONTENT:
                return head_of(["HTTP/1.1 204 No Content", *lines[1:]])
        return head_of([*lines, f"Content-Length: {len(body)}"]) + body

    def copy_of(self, answer: bytes) -> bytes:
        """Return the second copy of an answer, before it is cut off."""
        if self.form is Form.COPY_WITHOUT_IDENTITY:
            return IDENTITY.sub(b"", answer)
        return answer

    async def send(self, writer: asyncio.StreamWriter, answer: bytes) -> bytes:
        """Send an answer, in pieces if it is long; close the connection if it has no length."""
        copy = self.copy_of(answer) if self.random.random() < self.fraction else b""
        while len(answer) > PIECE_BYTES:
            writer.write(answer[:PIECE_BYTES])
            answer = answer[PIECE_BYTES:]
            await asyncio.sleep(self.random.uniform(0.0, PIECE_PAUSE_MAX_S))
        before_next = self.write(writer, answer, copy)
        if self.form is Form.CLOSED and LENGTH not in answer:
            await asyncio.sleep(CLOSE_DELAY_S)
            writer.write(before_next)
            writer.close()
        return before_next

    def write_late(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write after a while, but before the connection is closed."""
        if self.form is Form.CLOSED:
            delay_s = self.random.uniform(0.0, CLOSE_DELAY_S)
            asyncio.get_running_loop().call_later(delay_s, self.write_if_open, writer, data)
        else:
            super(FormedLeaf, self).write_late(writer, data)


def head_of(lines: list[str]) -> bytes:
    """Encode a head."""
    return "\r\n".join([*lines, "\r\n"]).encode()


def chunks_of(body: bytes, trailer: str = "") -> bytes:
    """Encode a body in chunks."""
    middle = len(body) // 2
    parts = [
        f"{len(part):x}\r\n".encode() + part + b"\r\n" for part in (body[:middle], body[middle:])
    ]
    return b"".join(parts) + f"0\r\n{trailer}\r\n".encode()
