"""Leafs that end when they begin to run a certain request, and callers that send it again."""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web
from soak.proxy import address_of, hold_port, reserve_port

from azurefield_testkit.resets import reset
from gateway_process import Site, serving_fleet
from standins import LeafStandIn

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable
    from pathlib import Path

DOWN_S = 2.5
CRASH_TARGETS = ("/s/crash", "/l/crash", "/o/crash")
SEND_INTERVAL_S = 0.4
HARMLESS_INTERVAL_S = 0.05
# Sends this long after the third leaf has ended count; the platform tolerates three of them.
CONTACT_S = 4.0
LATE_SENDS_TOLERATED = 3
SERVERS_ENDED = 3
REFUSAL = b"request-crashes-servers"


@dataclass(slots=True, kw_only=True)
class CrashingLeaf(LeafStandIn):
    """A leaf that ends when it begins to run a request, and is back after ``DOWN_S``.

    :param dark: whether its machine falls silent; else connections are reset and refused
    :param crash_targets: the targets of the requests that end it
    :param ended_at: when it ended, on the event loop's clock
    """

    dark: bool = False
    crash_targets: tuple[str, ...] = CRASH_TARGETS
    ended_at: list[float] = field(default_factory=list)
    server: web.Server | None = None
    listener: asyncio.Server | None = None
    closed_port: list[socket.socket] = field(default_factory=list)
    reserved_port: socket.socket | None = None
    back: asyncio.Event = field(default_factory=asyncio.Event)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request, or end."""
        if not self.back.is_set():
            await self.back.wait()
            assert request.transport is not None
            reset(request.transport)
            return web.Response()
        if request.raw_path not in self.crash_targets:
            return await LeafStandIn.handle(self, request)
        self.requests.append(dict(request.headers) | {"target": request.raw_path})
        self.arrived_at.append(asyncio.get_running_loop().time())
        self.end()
        if self.dark:
            await self.back.wait()
        return web.Response()

    def end(self) -> None:
        """End for ``DOWN_S``."""
        self.ended_at.append(asyncio.get_running_loop().time())
        self.back.clear()
        self.stop_listening()
        if self.dark:
            self.closed_port = hold_port(self.address)
        else:
            self.reset_connections()
        task = asyncio.create_task(self.restart())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def reset_connections(self) -> None:
        """Reset all open connections."""
        assert self.server is not None
        for connection in self.server.connections:
            if connection.transport is not None:
                reset(connection.transport)

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for held in self.closed_port:
            held.close()
        self.closed_port = []

    async def restart(self) -> None:
        """Be back after a while, without the connections of before."""
        await asyncio.sleep(DOWN_S)
        self.stop_listening()
        self.reset_connections()
        await self.listen()

    async def listen(self) -> None:
        """Accept connections; the port is reserved while the leaf is down."""
        if self.reserved_port is None:
            self.reserved_port = reserve_port()
            self.address = address_of(self.reserved_port)
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        assert self.server is not None
        self.listener = await loop.create_server(self.server, host, int(port), reuse_port=True)
        self.back.set()

    async def start(self) -> None:
        """Start serving."""
        self.server = web.Server(self.handle, handler_cancellation=True, access_log=None)
        await self.listen()

    async def stop(self) -> None:
        """Stop serving."""
        for task in self.tasks:
            task.cancel()
        self.stop_listening()
        self.back.set()
        assert self.server is not None
        await self.server.shutdown(0.1)
        if self.reserved_port is not None:
            self.reserved_port.close()


@dataclass(slots=True, kw_only=True, frozen=True)
class Send:
    """One sending of a request by its caller."""

    request_id: str
    sent_at: float
    status: int
    refused: bool


@dataclass(slots=True, kw_only=True)
class CrashPlay:
    """Three gateways and leafs that end; the caller of the crashing request sends it again.

    :param leafs: by name; services ``a`` and ``b`` are the shards of the listing
    :param sends: the sends of the crashing request
    :param harmless: the sends of all other requests
    """

    sites: dict[str, Site]
    leafs: dict[str, CrashingLeaf]
    random: Random = field(default_factory=lambda: Random(1))
    sends: list[Send] = field(default_factory=list)
    harmless: list[Send] = field(default_factory=list)
    count: int = 0

    async def send(self, target: str, name: str | None = None) -> Send:
        """Send a request to a gateway, by default to a random one."""
        self.count += 1
        request_id = f"q{self.count}"
        sent_at = asyncio.get_running_loop().time()
        site = self.sites[name or self.random.choice(sorted(self.sites))]
        try:
            status, _, body = await site.call(target, request_id)
        except aiohttp.ClientError:
            status, body = 0, b""
        return Send(request_id=request_id, sent_at=sent_at, status=status, refused=REFUSAL in body)

    async def send_crashing(self, target: str, until: float) -> None:
        """Send the crashing request again and again, also while an earlier one waits."""
        clock = asyncio.get_running_loop().time
        async with asyncio.TaskGroup() as group:
            while clock() < until:
                group.create_task(self.send_one(target))
                await asyncio.sleep(SEND_INTERVAL_S)

    async def send_one(self, target: str) -> None:
        """Send the crashing request once."""
        self.sends.append(await self.send(target))

    async def send_harmless(self, targets: Iterable[str], until: float) -> None:
        """Send other requests, of which each target comes again and again."""
        clock = asyncio.get_running_loop().time
        listed = [*targets]
        async with asyncio.TaskGroup() as group:
            while listed and clock() < until:
                group.create_task(self.send_one_harmless(self.random.choice(listed)))
                await asyncio.sleep(HARMLESS_INTERVAL_S)

    async def send_one_harmless(self, target: str) -> None:
        """Send another request once."""
        self.harmless.append(await self.send(target))

    @property
    def ended_at(self) -> list[float]:
        """When leafs ended, in order."""
        return sorted(at for leaf in self.leafs.values() for at in leaf.ended_at)

    def late_sends(self) -> list[str]:
        """The requests that reached leafs later than tolerated after the third leaf had ended."""
        if len(self.ended_at) < SERVERS_ENDED:
            return []
        late_from = self.ended_at[SERVERS_ENDED - 1] + CONTACT_S
        return sorted(
            {
                request["Request-Id"]
                for leaf in self.leafs.values()
                for request, at in zip(leaf.requests, leaf.arrived_at, strict=True)
                if request["target"] in leaf.crash_targets and at > late_from
            }
        )

    def reached(self) -> set[str]:
        """The sends of the crashing request that reached a leaf."""
        return {
            request["Request-Id"]
            for leaf in self.leafs.values()
            for request in leaf.requests
            if request["target"] in leaf.crash_targets
        }


@asynccontextmanager
async def crash_play(
    directory: Path,
    *,
    dark: bool = False,
    crashing_services: tuple[str, ...] = ("a", "b", "desk"),
    connections_max: int = 30,
) -> AsyncIterator[CrashPlay]:
    """Run three gateways before services of three leafs."""
    leafs = {
        f"{service[0]}{number}": CrashingLeaf(
            name=f"{service[0]}{number}",
            service=service,
            body=f"{service[0]}{number}".encode() * 8,
            dark=dark,
            crash_targets=CRASH_TARGETS if service in crashing_services else (),
        )
        for service in ("a", "b", "desk")
        for number in (1, 2, 3)
    }
    for leaf in leafs.values():
        await leaf.start()
    try:
        cores = {"n1": 1.0, "n2": 1.0, "n3": 1.0}
        async with serving_fleet(
            directory, cores, leafs=leafs, connections_max=connections_max
        ) as sites:
            yield CrashPlay(sites=sites, leafs=leafs)
    finally:
        for leaf in leafs.values():
            await leaf.stop()
