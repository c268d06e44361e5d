"""Callers that reuse a connection until it is closed or a request on it fails."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random

from soak.history import CRASH_TARGET, History, SentRequest
from soak.workspaces import FREE, LIMITED, SoakWorkspace

DEADLINE_MS = 900
ANSWER_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
MEAN_PAUSE_S = 0.05
ABANDON_PROBABILITY = 0.03
CRASH_INTERVAL_S = 0.3


@dataclass(slots=True, kw_only=True)
class Callers:
    """Concurrent callers of the gateways.

    :param addresses: ``host:port`` by gateway, looked up for each new connection
    :param planned_restarts_only: whether gateways are only restarted as planned, without faults
    """

    seed: int
    history: History
    addresses: dict[str, str]
    running: bool = True
    request_numbers: Iterator[int] = field(default_factory=partial(count, 1))
    planned_restarts_only: bool = False

    async def send_requests(self, number: int) -> None:
        """Send requests to random gateways, and reuse each connection as long as possible."""
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
                    await asyncio.sleep(2 * MEAN_PAUSE_S * random.random())
                    reusable = await self.send_request(random, gateway, reader, writer)
            except OSError:
                continue
            finally:
                writer.transport.abort()

    async def send_single_request(self, number: int, gateway: str) -> SentRequest:
        """Send one request on a new connection."""
        host, _, port = self.addresses[gateway].rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        sent = self.next_request(Random(number), gateway, without=LIMITED)
        try:
            await self.exchange(sent, reader, writer)
        finally:
            writer.transport.abort()
        return sent

    async def is_served(self, number: int, gateway: str) -> bool:
        """Send one request on a new connection; return whether it is answered with success."""
        try:
            return (await self.send_single_request(number, gateway)).status == 200
        except OSError:
            return False

    async def send_crashing(self, random: Random, duration_s: float) -> list[SentRequest]:
        """Send the request that ends leafs again and again; return what was sent."""
        clock = asyncio.get_running_loop().time
        until = clock() + duration_s
        requests = []
        while clock() < until:
            gateway = random.choice(sorted(self.addresses))
            host, _, port = self.addresses[gateway].rpartition(":")
            sent = SentRequest(
                request_id=f"{self.seed:x}-{next(self.request_numbers)}",
                kind="single",
                method="GET",
                target=CRASH_TARGET,
                body=b"",
                gateway=gateway,
                sent_at=clock(),
                workspace=FREE if self.history.workspaces else None,
            )
            self.history.sent[sent.request_id] = sent
            requests.append(sent)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(host, int(port))
                await self.exchange(sent, reader, writer)
                writer.transport.abort()
            except OSError:
                pass
            await asyncio.sleep(CRASH_INTERVAL_S)
        return requests

    def next_request(
        self, random: Random, gateway: str, *, without: SoakWorkspace | None = None
    ) -> SentRequest:
        """Create a request of a random kind and add it to the history.

        :param without: a workspace that it is not of
        """
        number = next(self.request_numbers)
        request_id = f"{self.seed:x}-{number}"
        workspaces = [one for one in self.history.workspaces if one is not without]
        kind = random.choice(("listing", "listing", "listing", "single", "order"))
        path = {"listing": "l", "single": "s", "order": "o"}[kind]
        sent = SentRequest(
            request_id=request_id,
            kind=kind,
            method="POST" if kind == "order" else "GET",
            target=f"/{path}/{request_id}?q=%2f",
            body=b"o" * random.randrange(1, 800) if kind == "order" else b"",
            gateway=gateway,
            workspace=workspaces[number % len(workspaces)] if workspaces else None,
        )
        self.history.sent[request_id] = sent
        return sent

    async def send_request(
        self,
        random: Random,
        gateway: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Send one request; close the connection before the answer with a small probability.

        :return: whether the connection can be used again
        """
        sent = self.next_request(random, gateway)
        sent.sent_at = asyncio.get_running_loop().time()
        if not self.planned_restarts_only and random.random() < ABANDON_PROBABILITY:
            writer.write(encode_request(sent))
            await asyncio.sleep(0.02 * random.random())
            return False
        return await self.exchange(sent, reader, writer)

    async def exchange(
        self, sent: SentRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send one request and check its answer.

        A missing answer is checked only if there were no faults but planned restarts both when the
        request was sent and when its connection failed.

        :return: whether the connection can be used again
        """
        planned_restarts_only = self.planned_restarts_only
        sent.sent_at = sent_at = asyncio.get_running_loop().time()
        writer.write(encode_request(sent))
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                status, headers, body = await read_answer(reader)
        except (OSError, EOFError) as error:
            if planned_restarts_only and self.planned_restarts_only:
                waited_s = asyncio.get_running_loop().time() - sent_at
                self.history.on_unanswered(sent, f"{error!r} after {waited_s:.3f} s")
            return False
        self.history.on_answer(sent, status, headers, body)
        return headers.get("connection", "").lower() != "close"


def encode_request(sent: SentRequest) -> bytes:
    """Encode a request as HTTP/1.1; its caller also names a workspace of its own choice."""
    identity = ""
    if sent.workspace is not None:
        identity = f"Credential: {sent.workspace.key}\r\nTenant-Id: forged\r\n"
    head = (
        f"{sent.method} {sent.target} HTTP/1.1\r\nHost: a.example\r\n"
        f"Request-Id: {sent.request_id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n{identity}"
        f"Content-Length: {len(sent.body)}\r\n\r\n"
    )
    return head.encode() + sent.body


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """Read one answer that has a Content-Length.

    :raises EOFError: if the connection is closed before the end of the answer
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        name, value = name.strip().lower(), value.strip()
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return int(head[0].split()[1]), headers, body
