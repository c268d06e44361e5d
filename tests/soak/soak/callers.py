"""Callers that keep their connections until the gateway is gone."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random

from soak.history import History, Sent

DEADLINE_MS = 900
ANSWER_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
PAUSE_S = 0.05
GIVE_UP_SHARE = 0.03


@dataclass(slots=True, kw_only=True)
class Callers:
    """Callers of the gateways at these addresses, which are looked up at each connection."""

    seed: int
    history: History
    addresses: dict[str, str]
    running: bool = True
    numbers: Iterator[int] = field(default_factory=partial(count, 1))
    planned_only: bool = False

    async def call_forever(self, number: int) -> None:
        """Send requests, each on the connection of the last one as long as it lasts."""
        random = Random(self.seed * 1000 + number)
        while self.running:
            gateway = random.choice(sorted(self.addresses))
            host, _, port = self.addresses[gateway].rpartition(":")
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.1)
                continue
            try:
                reusable = True
                while self.running and reusable:
                    await asyncio.sleep(2 * PAUSE_S * random.random())
                    reusable = await self.call(random, gateway, reader, writer)
            except OSError:
                continue
            finally:
                writer.transport.abort()

    async def call_once(self, number: int, gateway: str) -> Sent:
        """Send one request on a connection of its own."""
        host, _, port = self.addresses[gateway].rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        sent = self.next_request(Random(number), gateway)
        try:
            await self.exchange(sent, reader, writer)
        finally:
            writer.transport.abort()
        return sent

    def next_request(self, random: Random, gateway: str) -> Sent:
        """Make a request of a random kind."""
        request_id = f"{self.seed:x}-{next(self.numbers)}"
        kind = random.choice(("listing", "listing", "listing", "single", "order"))
        path = {"listing": "l", "single": "s", "order": "o"}[kind]
        sent = Sent(
            request_id=request_id,
            kind=kind,
            method="POST" if kind == "order" else "GET",
            target=f"/{path}/{request_id}?q=%2f",
            body=b"o" * random.randrange(1, 800) if kind == "order" else b"",
            gateway=gateway,
        )
        self.history.sent[request_id] = sent
        return sent

    async def call(
        self,
        random: Random,
        gateway: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Send one request; leave without waiting for some of the answers.

        :return: whether the connection can be used again
        """
        sent = self.next_request(random, gateway)
        if not self.planned_only and random.random() < GIVE_UP_SHARE:
            writer.write(encode(sent))
            await asyncio.sleep(0.02 * random.random())
            return False
        return await self.exchange(sent, reader, writer)

    async def exchange(
        self, sent: Sent, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send one request and check its answer.

        :return: whether the connection can be used again
        """
        planned_only = self.planned_only
        writer.write(encode(sent))
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                status, headers, body = await read_answer(reader)
        except (OSError, EOFError):
            if planned_only and self.planned_only:
                self.history.on_planned_loss(sent)
            return False
        self.history.on_answer(sent, status, headers, body)
        return headers.get("connection", "").lower() != "close"


def encode(sent: Sent) -> bytes:
    """Write a request."""
    head = (
        f"{sent.method} {sent.target} HTTP/1.1\r\nHost: a.example\r\n"
        f"Request-Id: {sent.request_id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n"
        f"Content-Length: {len(sent.body)}\r\n\r\n"
    )
    return head.encode() + sent.body


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """Read one answer with a length.

    :raises EOFError: if the connection ends before the answer does
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return int(head[0].split()[1]), headers, body
