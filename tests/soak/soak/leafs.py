"""Leafs of the soak: wrong in ways that a leaf may be."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random

from aiohttp import web
from soak.history import History, body_of, proof_of

BEHAVIOURS = ("shed", "error", "slow", "hang", "reset", "lost", "truncated", "extra", "unframed")
WORK_S = 0.02
SLOW_S = 0.3


@dataclass(slots=True, kw_only=True)
class Leaf:
    """One leaf; ``share`` of its requests meet its behaviour."""

    name: str
    service: str
    history: History
    random: Random
    address: str = ""
    behaviour: str = "answer"
    share: float = 0.3
    down: bool = False
    extra: dict[asyncio.Transport, bytes] = field(default_factory=dict)

    def entry(self, address: str, state: str = "ready") -> dict[str, object]:
        """What the leaf writes about itself, under the address at which it can be reached."""
        return {
            "service": self.service,
            "address": address,
            "zone": "one",
            "version": "v1",
            "capacity": 4,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
        }

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        transport = request.transport
        assert transport is not None
        if self.down:
            transport.abort()
            return web.Response()
        request_id = request.headers.get("Request-Id", "")
        echo = {"Request-Id": request_id}
        if request.headers.get("Expected-Instance") != self.name:
            return web.Response(status=421, headers=echo | {"Not-Executed": "1"})
        body = await request.read()
        # The second copy of an answer comes where the answer to the next request is expected.
        transport.write(self.extra.pop(transport, b""))
        behaviour = self.behaviour if self.random.random() < self.share else "answer"
        if behaviour == "shed":
            return web.Response(status=503, headers=echo | {"Not-Executed": "1"})
        if behaviour == "reset":
            transport.abort()
            return web.Response()
        name = self.name
        self.history.on_run(
            request_id,
            leaf=name,
            service=self.service,
            method=request.method,
            target=request.raw_path,
            body=body,
        )
        await asyncio.sleep(WORK_S * self.random.random())
        if behaviour in ("slow", "hang"):
            await asyncio.sleep(SLOW_S if behaviour == "slow" else 60.0)
        headers = echo | {"Response-Signature": proof_of(name, request_id)}
        status = 500 if behaviour == "error" else 200
        answer = body_of(name, request_id)
        if behaviour == "extra":
            self.extra[transport] = encode(headers, answer, framed=True)
        if behaviour in ("lost", "truncated", "unframed"):
            self.spoil(behaviour, transport, headers, answer)
            return web.Response()
        return web.Response(status=status, body=answer, headers=headers)

    def spoil(
        self,
        behaviour: str,
        transport: asyncio.Transport,
        headers: dict[str, str],
        answer: bytes,
    ) -> None:
        """Write something else than one whole answer, and close the connection."""
        match behaviour:
            case "truncated":
                transport.write(encode(headers, answer, framed=True)[:-7])
            case "unframed":
                transport.write(encode(headers, answer, framed=False))
        if behaviour == "lost":
            transport.abort()
        else:
            transport.close()


def encode(headers: dict[str, str], answer: bytes, *, framed: bool) -> bytes:
    """Write an answer, with its length if ``framed``."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    length = f"Content-Length: {len(answer)}\r\n" if framed else ""
    return f"HTTP/1.1 200 OK\r\n{lines}{length}\r\n".encode() + answer
