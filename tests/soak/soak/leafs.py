"""Leaf stand-ins that misbehave in the ways that the gateways must tolerate."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from aiohttp import web
from soak.history import CRASH_TARGET, History, leaf_records, leaf_signature
from soak.stutter import CHUNK, PIECE, Stutter

from azurefield_testkit.resets import reset
from standins import server_entry

BEHAVIOURS = ("shed", "error", "slow", "hang", "reset", "lost", "truncated", "extra", "unframed")
SERVICE_TIME_MAX_S = 0.02
SLOW_ANSWER_DELAY_S = 0.3


@dataclass(slots=True, kw_only=True)
class Leaf:
    """One leaf; its ``behaviour`` applies to ``faulty_fraction`` of its requests.

    ``duplicate_answers`` holds the answers to be sent a second time, by connection. While
    ``limit_per_s`` is set, its answers name this limit, and ``arrivals`` holds when requests came.
    ``on_crash`` is called when it begins to run a request that ends it.
    """

    name: str
    service: str
    history: History
    random: Random
    address: str = ""
    behaviour: str = "answer"
    faulty_fraction: float = 0.3
    down: bool = False
    limit_per_s: float | None = None
    arrivals: list[float] = field(default_factory=list)
    on_crash: Callable[[Leaf], None] = lambda _: None
    duplicate_answers: dict[asyncio.Transport, bytes] = field(default_factory=dict)
    stutter: Stutter = field(init=False)

    def __post_init__(self) -> None:
        self.stutter = Stutter(random=Random(self.name))

    def registry_entry(self, address: str, state: str = "ready") -> dict[str, object]:
        """Return the entry of the leaf in the store, with the address at which it is reachable."""
        return server_entry(self.service, address) | {"capacity": 4, "state": state}

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request, or misbehave."""
        transport = request.transport
        assert transport is not None
        if self.down:
            reset(transport)
            return web.Response()
        request_id = request.headers.get("Request-Id", "")
        id_header = {"Request-Id": request_id}
        if request.headers.get("Expected-Instance") != self.name:
            return web.Response(status=421, headers=id_header | {"Not-Executed": "1"})
        body = await request.read()
        if self.limit_per_s is not None:
            id_header["Server-Limit"] = str(self.limit_per_s)
            self.arrivals.append(asyncio.get_running_loop().time())
        # A duplicate of the last answer is sent where the answer to this request is expected.
        transport.write(self.duplicate_answers.pop(transport, b""))
        behaviour = self.behaviour if self.random.random() < self.faulty_fraction else "answer"
        if behaviour == "shed":
            refusal = id_header | {"Not-Executed": "1"}
            self.stutter.repeat(transport, encode_answer(refusal, b"", status=503))
            return web.Response(status=503, headers=refusal)
        if behaviour == "reset":
            reset(transport)
            return web.Response()
        name = self.name
        self.history.check_workspace(request_id, request.headers, asyncio.get_running_loop().time())
        self.history.on_run(
            request_id,
            leaf=name,
            service=self.service,
            method=request.method,
            target=request.raw_path,
            body=body,
        )
        if request.raw_path == CRASH_TARGET:
            self.on_crash(self)
            return web.Response()
        await asyncio.sleep(SERVICE_TIME_MAX_S * self.random.random())
        if behaviour in ("slow", "hang"):
            await asyncio.sleep(SLOW_ANSWER_DELAY_S if behaviour == "slow" else 60.0)
        headers = id_header | {"Response-Signature": leaf_signature(name, request_id)}
        status = 500 if behaviour == "error" else 200
        answer = leaf_records(name, request_id)
        if self.stutter.is_endless():
            piece = PIECE
            if self.stutter.is_chunked():
                headers["Transfer-Encoding"], piece = "chunked", CHUNK
            head = encode_answer(headers, b"", with_length=False)
            await self.stutter.send_without_end(transport, head, piece)
            return web.Response()
        encoded = encode_answer(headers, answer, status=status)
        self.stutter.repeat(transport, encoded)
        if behaviour == "extra":
            self.duplicate_answers[transport] = encoded
        if behaviour in ("lost", "truncated", "unframed"):
            self.write_faulty_answer(behaviour, transport, headers, answer)
            return web.Response()
        return web.Response(status=status, body=answer, headers=headers)

    def write_faulty_answer(
        self,
        behaviour: str,
        transport: asyncio.Transport,
        headers: dict[str, str],
        answer: bytes,
    ) -> None:
        """Write an incomplete answer, one without a length or none, and close the connection."""
        match behaviour:
            case "truncated":
                transport.write(encode_answer(headers, answer)[:-7])
            case "unframed":
                transport.write(encode_answer(headers, answer, with_length=False))
        if behaviour == "lost":
            reset(transport)
        else:
            transport.close()


def encode_answer(
    headers: dict[str, str], answer: bytes, *, status: int = 200, with_length: bool = True
) -> bytes:
    """Encode an answer as HTTP/1.1, with a Content-Length if ``with_length``."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    length = f"Content-Length: {len(answer)}\r\n" if with_length else ""
    return f"HTTP/1.1 {status} X\r\n{lines}{length}\r\n".encode() + answer
