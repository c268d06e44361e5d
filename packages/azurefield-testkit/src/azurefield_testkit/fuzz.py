"""Fuzzer with invalid input for the callers' HTTP interface and the links between instances.

Every request carries a unique token. Its answer must be a regular answer or a typed problem, must
not contain the token of another request, and must not show an internal error.
"""

from __future__ import annotations

import asyncio
import json
import re
from dataclasses import dataclass
from random import Random
from typing import Any

EXCHANGE_TIMEOUT_S = 15.0
BODY_BYTES_MAX = 64 * 1024
TOKEN = re.compile(rb"tok-[0-9]+-")
UNUSUAL_VALUES: tuple[Any, ...] = (
    None, True, -1, 0, 1.5, 10**30, "", "\u0000", "x" * 5000, [], {}, [[[]]], {"key": {}}, "NaN",
)  # fmt: skip
UNUSUAL_HEADERS = (
    ("Azurefield-Member", ""),
    ("Azurefield-Member", "nobody"),
    ("Azurefield-Member", "m" * 4000),
    ("Azurefield-Deadline-Ms", "0"),
    ("Azurefield-Deadline-Ms", "-5"),
    ("Azurefield-Deadline-Ms", "1e9"),
    ("Azurefield-Deadline-Ms", "99999999999999999999"),
    ("Azurefield-Deadline-Ms", "soon"),
    ("X-Request-Id", "r" * 200),
    ("Idempotency-Key", "my-own-key"),
    ("Idempotency-Key", "v1.00.1.1.00"),
    ("Content-Type", "text/plain"),
    ("Content-Encoding", "gzip"),
)
VALID_BODIES: dict[str, dict[str, Any]] = {
    "listing": {"query": {}, "limit": 5},
    "urgent": {"query": {}, "limit": 5},
    "lookup": {"key": "desk-1"},
    "bookings": {"key": "desk-1", "payload": {}},
    "tickets": {},
}


@dataclass(slots=True, kw_only=True, frozen=True)
class FuzzRequest:
    """A raw request; ``well_formed`` says whether it is still valid HTTP."""

    token: str
    raw: bytes
    well_formed: bool


@dataclass(slots=True, kw_only=True)
class RequestFuzzer:
    """Generates requests with an invalid target, header or body, or with corrupted bytes."""

    rng: Random
    service: str
    member: str
    count: int = 0

    def next_request(self) -> FuzzRequest:
        """Generate the next request."""
        self.count += 1
        token = f"tok-{self.count}-"
        path = self.rng.choice(list(VALID_BODIES))
        headers = {
            "Host": "fuzz",
            "Connection": "close",
            "Azurefield-Member": self.member,
            "Azurefield-Deadline-Ms": "1500",
            "X-Request-Id": token,
            "Content-Type": "application/json",
        }
        body = self.mutate_body(path, token)
        target = f"/v1/services/{self.service}/{path}"
        kind = self.rng.randrange(5)
        if kind == 0:
            target = self.rng.choice(
                ["/v1/services/%00/listing", f"/v1/services/{'s' * 3000}/listing", "/v1/services",
                 "/../../v1/status", "/v1/services/nowhere/lookup", "//", f"{target}?x=%zz"]
            )  # fmt: skip
        elif kind == 1:
            name, value = self.rng.choice(UNUSUAL_HEADERS)
            headers[name] = value
        headers["Content-Length"] = str(len(body))
        lines = [f"POST {target} HTTP/1.1", *(f"{name}: {text}" for name, text in headers.items())]
        raw = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        if kind == 2:
            return FuzzRequest(token=token, raw=self.corrupt_bytes(raw), well_formed=False)
        return FuzzRequest(token=token, raw=raw, well_formed=True)

    def mutate_body(self, path: str, token: str) -> bytes:
        """Generate a body with an unusual value, a missing or an unknown field, or invalid JSON."""
        body = json.loads(json.dumps(VALID_BODIES[path]))
        if "query" in body:
            body["query"] = {"token": token}
        choice = self.rng.randrange(7)
        field = self.rng.choice(list(body)) if body else "extra"
        if choice == 0:
            body[field] = self.rng.choice(UNUSUAL_VALUES)
        elif choice == 1:
            body.pop(field, None)
        elif choice == 2:
            body["unknown_field"] = token
        elif choice == 3:
            return self.rng.randbytes(self.rng.randrange(200))
        elif choice == 4:
            return json.dumps(body).encode()[: -self.rng.randrange(1, 4)]
        elif choice == 5:
            return b'{"query": ' + b"[" * self.rng.choice([50, 20_000])
        elif choice == 6 and self.rng.random() < 0.3:
            return b" " * (BODY_BYTES_MAX + self.rng.randrange(1, 5000)) + b"{}"
        return json.dumps(body).encode()

    def corrupt_bytes(self, raw: bytes) -> bytes:
        """Change, delete or insert bytes at random positions of a request."""
        data = bytearray(raw)
        for _ in range(self.rng.randrange(1, 6)):
            position = self.rng.randrange(len(data))
            match self.rng.randrange(3):
                case 0:
                    data[position] = self.rng.randrange(256)
                case 1:
                    del data[position : position + self.rng.randrange(1, 20)]
                case _:
                    data[position:position] = self.rng.randbytes(3)
        return bytes(data)

    def peer_message(self) -> bytes:
        """Generate a frame with a random body, often with a wrong length, for the peer listener."""
        size = self.rng.choice([0, 1, 10, 70_000, 2**32 - 1])
        body = self.rng.randbytes(self.rng.randrange(64))
        return self.rng.choice([size.to_bytes(4, "big"), len(body).to_bytes(4, "big")]) + body


async def exchange(address: str, raw: bytes, *, half_close: bool) -> bytes:
    """Send raw bytes and read the reply until the other side closes the connection.

    :param half_close: close the sending direction afterwards, for input that may be incomplete; a
        server may treat this as a disconnect and not answer

    :raises TimeoutError: if the other side does not close the connection in time
    """
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
            writer.write(raw)
            await writer.drain()
            if half_close:
                writer.write_eof()
            return await reader.read()
    except ConnectionError:
        return b""
    finally:
        writer.close()


def find_faults(request: FuzzRequest, answer: bytes) -> list[str]:
    """List the faults in the answer to an invalid request."""
    head, _, body = answer.partition(b"\r\n\r\n")
    found = []
    if any(token != request.token.encode() for token in TOKEN.findall(answer)):
        found.append("the answer contains the token of another request")
    if b"Traceback" in answer:
        found.append("the answer shows a traceback")
    status = int(head.split(b" ", 2)[1]) if head.startswith(b"HTTP/1.") else 0
    if status == 500:
        found.append("an internal error")
    if request.well_formed and status != 200 and not _is_problem(head, body):
        found.append(f"status {status} without a typed problem")
    return found


def _is_problem(head: bytes, body: bytes) -> bool:
    if b"application/problem+json" not in head.lower():
        return False
    problem: dict[str, Any] = json.loads(body)
    return {"type", "title", "status", "detail", "request_id", "outcome"} <= problem.keys()
