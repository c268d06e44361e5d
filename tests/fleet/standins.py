"""Stand-ins of the store and of leafs that speak the platform's HTTP protocols."""

from __future__ import annotations

import asyncio
import json
from base64 import b64decode, b64encode
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from aiohttp import web

from azurefield_testkit.resets import reset

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

JSON = "application/json"


@dataclass(slots=True, kw_only=True, frozen=True)
class StoreCopy:
    """What a store held at a moment."""

    revision: int
    items: dict[str, dict[str, Any]]
    events: list[dict[str, Any]]
    leases: int


@dataclass(slots=True, kw_only=True)
class StoreStandIn:
    """A store of keys with revisions, watches, leases and transactions.

    :param down: whether every call is refused with 503
    :param oldest: watches from before this revision are answered with 410
    :param page: how many items one page of a listing holds at most
    :param ended_leases: the leases that have expired; their renewal fails
    :param era: rises with each restore; sent in each answer
    :param restored_before: the store is restored before it answers with the page after this key
    """

    revision: int = 1
    items: dict[str, dict[str, Any]] = field(default_factory=dict)
    events: list[dict[str, Any]] = field(default_factory=list)
    oldest: int = 0
    leases: int = 0
    ended_leases: set[int] = field(default_factory=set)
    down: bool = False
    page: int = 500
    era: int = 1
    restored_before: str | None = None
    address: str = ""
    calls: list[str] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, key: str, value: object, lease: int = 0) -> None:
        """Write a key; a value that is not bytes is encoded as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        item = {
            "key": key,
            "value": b64encode(data).decode(),
            "revision": self.revision,
            "created": self.items.get(key, {}).get("created", self.revision),
            "lease": lease,
        }
        self.items[key] = item
        self.append_event(item)

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        del self.items[key]
        self.append_event({"key": key, "revision": self.revision, "removed": True})

    def expire_leases(self, prefix: str) -> None:
        """Let the leases of all keys with a prefix expire."""
        for key in [key for key in self.items if key.startswith(prefix)]:
            self.ended_leases.add(self.items[key]["lease"])
            self.remove(key)

    def append_event(self, event: dict[str, Any]) -> None:
        """Append an event and wake the watches."""
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def forget_history(self) -> None:
        """Drop all events, as a compaction does."""
        self.oldest = self.revision
        self.events.clear()

    def copy(self) -> StoreCopy:
        """Copy what the store holds."""
        return StoreCopy(
            revision=self.revision,
            items={**self.items},
            events=[*self.events],
            leases=self.leases,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Replace what the store holds by a copy; it loses what it has acknowledged since."""
        self.revision, self.leases = copy.revision, copy.leases
        self.items, self.events = {**copy.items}, [*copy.events]
        self.era += 1

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        answer = await self.answer(request)
        answer.headers["Store-Era"] = str(self.era)
        return answer

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Build the answer to one call."""
        self.calls.append(request.path)
        if self.down:
            return web.Response(status=503)
        body = json.loads(await request.read() or b"{}")
        match request.path.strip("/").split("/"):
            case ["kv-range"]:
                return self.range(request.query)
            case ["kv-watch"]:
                return await self.watch(request.query)
            case ["kv-lease"]:
                self.leases += 1
                self.ended_leases.discard(self.leases)
                return web.json_response({"lease": self.leases, "ttl_ms": body["ttl_ms"]})
            case ["kv-keep", lease]:
                exists = int(lease) <= self.leases and int(lease) not in self.ended_leases
                return web.json_response({}, status=200 if exists else 404)
            case ["kv-txn"]:
                for expected in body["expect_rev"]:
                    item = self.items.get(expected["key"], {"revision": 0})
                    if item["revision"] != expected["revision"]:
                        return web.json_response({"items": [item]}, status=412)
                for entry in body["set_keys"]:
                    self.put(entry["key"], b64decode(entry["value"]), entry["lease"])
                return web.json_response({"revision": self.revision})
        return web.Response(status=404)

    def range(self, query: Any) -> web.Response:
        """Answer with one page of items."""
        if query.get("after") == self.restored_before is not None:
            self.restore(self.copy())
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        page = [self.items[key] for key in keys[: self.page]]
        more = len(keys) > self.page
        return web.json_response({"items": page, "has_more": more, "store_revision": self.revision})

    async def watch(self, query: Any) -> web.Response:
        """Answer at the first event, or without events after the wait."""
        after = int(query["after"])
        if after < self.oldest or after > self.revision:
            return web.Response(status=410)
        deadline = asyncio.get_running_loop().time() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(query["prefix"])
            ]
            left_s = deadline - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return web.json_response({"events": events, "store_revision": self.revision})
            try:
                async with asyncio.timeout(left_s):
                    await self.changed.wait()
            except TimeoutError:
                continue


@dataclass(slots=True, kw_only=True)
class LeafStandIn:
    """One leaf; ``behaviour`` is answer, shed, error, hang, reset or slow.

    :param limit_per_s: the limit that its answers name; None for none
    :param arrived_at: when the requests that it ran arrived, on the event loop's clock
    """

    name: str
    service: str
    body: bytes = b"r" * 16
    behaviour: str = "answer"
    address: str = ""
    requests: list[dict[str, str]] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)
    limit_per_s: float | None = None
    arrived_at: list[float] = field(default_factory=list)
    cancelled: int = 0

    def entry(self, **changes: object) -> dict[str, object]:
        """The entry that the leaf writes about itself."""
        return server_entry(self.service, self.address) | changes

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        headers = {"Request-Id": request.headers.get("Request-Id", "")}
        if request.headers.get("Expected-Instance", self.name) != self.name:
            return web.Response(status=421, headers={"Instance-Id": self.name})
        self.requests.append(dict(request.headers) | {"target": request.raw_path})
        self.arrived_at.append(asyncio.get_running_loop().time())
        self.bodies.append(await request.read())
        if self.limit_per_s is not None:
            headers["Server-Limit"] = str(self.limit_per_s)
        match self.behaviour:
            case "shed":
                return web.Response(status=503, headers=headers | {"Not-Executed": "1"})
            case "hang":
                await self.hang()
            case "slow":
                await asyncio.sleep(0.05)
            case "reset":
                assert request.transport is not None
                reset(request.transport)
        headers["Response-Signature"] = f"proof-{self.name}-{request.headers['Request-Id']}"
        status = 500 if self.behaviour == "error" else 200
        return web.Response(status=status, body=self.body, headers=headers)

    async def hang(self) -> None:
        """Wait until the request is cancelled, and count that."""
        try:
            await asyncio.sleep(30.0)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise


def server_entry(service: str, address: str) -> dict[str, object]:
    """Build the entry of a leaf in the store."""
    return {
        "service": service,
        "address": address,
        "zone": "one",
        "version": "v1",
        "capacity": 3,
        "state": "ready",
        "warmup_left_ms": 0,
        "sequence": 1,
        "born": 1_700_000_000_000,
    }


@asynccontextmanager
async def running(*stand_ins: StoreStandIn | LeafStandIn) -> AsyncIterator[None]:
    """Serve stand-ins on loopback addresses."""
    runners = []
    for stand_in in stand_ins:
        server = web.Server(stand_in.handle, handler_cancellation=True, access_log=None)
        runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        host, port = runner.addresses[0][:2]
        stand_in.address = f"{host}:{port}"
        runners.append(runner)
    try:
        yield
    finally:
        for runner in runners:
            await runner.cleanup()


def route(name: str, prefix: str, **options: object) -> dict[str, object]:
    """Build a route of the operator's configuration."""
    return {
        "name": name,
        "hostname": "a.example",
        "prefix": prefix,
        "route_type": "safe",
        "timeout_ms": 1000,
        "target_latency_ms": 200,
        "max_attempts": 2,
        "priority": 1,
    } | options


def config(
    version: int,
    *routes: dict[str, object],
    services: tuple[str, ...],
    connections_max: int = 30,
    body_bytes_max: int = 1000,
    header_bytes_max: int = 16384,
) -> dict[str, object]:
    """Build the operator's configuration."""
    return {
        "version": version,
        "routes": list(routes),
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": connections_max,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": header_bytes_max,
            "max_body_bytes": body_bytes_max,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
