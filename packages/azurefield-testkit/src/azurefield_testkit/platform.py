"""Stand-in platform: the key-value service and the instance list, with injected faults."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import Any

import defopt
import msgspec
import uvloop
from aiohttp import web
from result import Err, Ok

from azurefield_testkit.stand_in import Listener, abort, decode_control, run_until_stopped

VALUE_MAX_BYTES = 1_000_000
WAIT_MAX_MS = 60_000


class Control(msgspec.Struct, kw_only=True, frozen=True):
    """A control request that changes the platform's behaviour; absent fields change nothing.

    ``down`` resets the connections of the key-value service, ``refuse`` makes it answer 503, and
    ``delay_s`` delays its calls. ``instances_down`` resets the connections of the instance list.
    ``lose_replies`` is the number of next writes that are applied but get no reply: their
    connections are reset.
    ``save`` and ``restore`` name a copy of all keys; a restored copy has its old revisions, as
    after a restore from a backup.
    """

    down: bool | None = None
    refuse: bool | None = None
    instances_down: bool | None = None
    delay_s: float | None = None
    lose_replies: int | None = None
    instance_lag_s: float | None = None
    save: str | None = None
    restore: str | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class StoredValue:
    """A value with its revision."""

    value: str
    revision: int


@dataclass(slots=True, kw_only=True)
class CallCounts:
    """Counts of calls to the key-value service; a watch counts once, however long it waits."""

    reads: int = 0
    writes: int = 0
    conflicts: int = 0
    watches: int = 0


@dataclass(slots=True, kw_only=True)
class KeyValueStore:
    """The keys and a revision counter that all keys share."""

    values: dict[str, StoredValue] = field(default_factory=dict)
    revision: int = 0
    saved_states: dict[str, tuple[dict[str, StoredValue], int]] = field(default_factory=dict)
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    def revision_of(self, key: str) -> int:
        """Return the revision of a key, 0 if it is absent."""
        stored = self.values.get(key)
        return 0 if stored is None else stored.revision

    def put(self, key: str, value: str) -> int:
        """Store a value; returns its revision."""
        self.revision += 1
        self.values[key] = StoredValue(value=value, revision=self.revision)
        return self.revision

    def save(self, name: str) -> None:
        """Save a copy of all keys and of the revision counter."""
        self.saved_states[name] = (dict(self.values), self.revision)

    def restore(self, name: str) -> None:
        """Restore a saved copy."""
        values, self.revision = self.saved_states[name]
        self.values = dict(values)


@dataclass(slots=True, kw_only=True)
class InstanceList:
    """Instances by name; a change becomes visible after ``lag_s``."""

    lag_s: float = 0.0
    changes: list[tuple[float, str, dict[str, Any] | None]] = field(default_factory=list)
    visible_entries: dict[str, dict[str, Any]] = field(default_factory=dict)

    def change(self, now: float, name: str, entry: dict[str, Any] | None) -> None:
        """Add or replace an instance, or remove it if the entry is None."""
        self.changes.append((now + self.lag_s, name, entry))

    def visible(self, now: float) -> list[dict[str, Any]]:
        """Return the instances as visible now."""
        due = [change for change in self.changes if change[0] <= now]
        self.changes = [change for change in self.changes if change[0] > now]
        for _, name, entry in due:
            self.visible_entries.pop(name, None)
            if entry is not None:
                self.visible_entries[name] = {**entry, "name": name}
        return list(self.visible_entries.values())


@dataclass(slots=True, kw_only=True)
class Platform:
    """The stand-in's HTTP server."""

    store: KeyValueStore = field(default_factory=KeyValueStore)
    instances: InstanceList = field(default_factory=InstanceList)
    counts: CallCounts = field(default_factory=CallCounts)
    down: bool = False
    refuse: bool = False
    instances_down: bool = False
    delay_s: float = 0.0
    lose_replies: int = 0
    listener: Listener = field(init=False)

    def __post_init__(self) -> None:
        """Register the routes."""
        app = web.Application(client_max_size=4 * VALUE_MAX_BYTES)
        app.router.add_get("/v1/keys/{key:.+}", self.on_get)
        app.router.add_put("/v1/keys/{key:.+}", self.on_put)
        app.router.add_get("/v1/instances", self.on_instances)
        app.router.add_put("/control/instances/{name}", self.on_register)
        app.router.add_delete("/control/instances/{name}", self.on_deregister)
        app.router.add_post("/control", self.on_control)
        app.router.add_get("/control", self.on_counts)
        self.listener = Listener(app=app)

    async def start(self, port: int = 0) -> str:
        """Start to listen; returns the address."""
        return await self.listener.start(port)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        await self.listener.stop()

    async def fault_response(self, request: web.Request) -> web.Response | None:
        """Apply the faults of the key-value service; None if the call may continue."""
        if self.delay_s > 0:
            await asyncio.sleep(self.delay_s)
        if self.down:
            abort(request)
            return web.Response()
        if self.refuse:
            return web.json_response({"error": "refused"}, status=503)
        return None

    async def on_get(self, request: web.Request) -> web.Response:
        """Read a key, or watch it when ``after`` is given."""
        if (response := await self.fault_response(request)) is not None:
            return response
        key = request.match_info["key"]
        try:
            after = int(request.query["after"]) if "after" in request.query else None
            wait_ms = min(int(request.query.get("wait_ms", "0")), WAIT_MAX_MS)
        except ValueError:
            return web.json_response({"error": "after and wait_ms are integers"}, status=400)
        if after is None:
            self.counts.reads += 1
            return self.value_response(key)
        self.counts.watches += 1
        if not await self.wait_for_change(key, after, wait_ms / 1000):
            return web.Response(status=304)
        if (response := await self.fault_response(request)) is not None:
            return response
        return self.value_response(key)

    async def wait_for_change(self, key: str, after: int, wait_s: float) -> bool:
        """Wait until the key's revision differs from ``after`` or the service fails.

        A lower revision counts as a change too, so that watchers see a restored state.
        """

        def changed() -> bool:
            return self.down or self.refuse or self.store.revision_of(key) != after

        async with self.store.changed:
            try:
                await asyncio.wait_for(self.store.changed.wait_for(changed), wait_s)
            except TimeoutError:
                return False
        return True

    def value_response(self, key: str) -> web.Response:
        """Answer with a key's value."""
        stored = self.store.values.get(key)
        if stored is None:
            return web.json_response({"error": "no such key"}, status=404)
        return web.json_response({"value": stored.value, "revision": stored.revision})

    async def on_put(self, request: web.Request) -> web.Response:
        """Write a key under a precondition."""
        if (response := await self.fault_response(request)) is not None:
            return response
        self.counts.writes += 1
        key = request.match_info["key"]
        try:
            value = msgspec.json.decode(await request.read(), type=dict[str, str])["value"]
        except (msgspec.DecodeError, KeyError):
            return web.json_response({"error": 'the body is {"value": "..."}'}, status=400)
        if len(value.encode()) > VALUE_MAX_BYTES:
            return web.json_response({"error": "value above 1 MB"}, status=413)
        expected = expected_revision(request)
        if expected is None:
            return web.json_response({"error": "If-Match or If-None-Match: *"}, status=428)
        current = self.store.revision_of(key)
        if expected != current:
            self.counts.conflicts += 1
            return web.json_response({"revision": current or None}, status=412)
        revision = self.store.put(key, value)
        await self.notify()
        if self.lose_replies > 0:
            self.lose_replies -= 1
            abort(request)
            return web.Response()
        return web.json_response({"revision": revision})

    async def notify(self) -> None:
        """Wake all waiting watches."""
        async with self.store.changed:
            self.store.changed.notify_all()

    async def on_instances(self, request: web.Request) -> web.Response:
        """List the instances that are visible after the lag."""
        if self.instances_down:
            abort(request)
            return web.Response()
        return web.json_response({"instances": self.instances.visible(time.monotonic())})

    async def on_register(self, request: web.Request) -> web.Response:
        """Add or replace an instance."""
        entry = await request.json()
        self.instances.change(time.monotonic(), request.match_info["name"], entry)
        return web.json_response({})

    async def on_deregister(self, request: web.Request) -> web.Response:
        """Remove an instance."""
        self.instances.change(time.monotonic(), request.match_info["name"], None)
        return web.json_response({})

    async def on_control(self, request: web.Request) -> web.Response:
        """Change faults, or save and restore the state."""
        match decode_control(await request.read(), Control):
            case Err(problem):
                return web.json_response({"error": problem}, status=400)
            case Ok(control):
                await self.apply_control(control)
        return web.json_response({})

    async def apply_control(self, control: Control) -> None:
        """Apply a control request."""
        for name in ("down", "refuse", "instances_down", "delay_s", "lose_replies"):
            value = getattr(control, name)
            if value is not None:
                setattr(self, name, value)
        if control.instance_lag_s is not None:
            self.instances.lag_s = control.instance_lag_s
        if control.save is not None:
            self.store.save(control.save)
        if control.restore is not None:
            self.store.restore(control.restore)
        await self.notify()

    async def on_counts(self, _request: web.Request) -> web.Response:
        """Return the call counts."""
        body = {"counts": self.counts, "connections": self.listener.counts}
        return web.Response(body=msgspec.json.encode(body), content_type="application/json")


def expected_revision(request: web.Request) -> int | None:
    """Return the revision that a write expects: 0 for an absent key, None without precondition."""
    if request.headers.get("If-None-Match") == "*":
        return 0
    match = request.headers.get("If-Match", "").strip('"')
    return int(match) if match.isdigit() else None


def serve(*, port: int = 0) -> None:
    """Run the stand-in platform as a process.

    :param port: loopback port, 0 for any free one
    """

    async def main() -> None:
        platform = Platform()
        await run_until_stopped(lambda: platform.start(port), platform.stop)

    uvloop.run(main())


if __name__ == "__main__":
    defopt.run(serve)
