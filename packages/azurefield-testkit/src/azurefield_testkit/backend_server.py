"""Stand-in backend server: the dialect of the design page, with limits, faults and a journal."""

from __future__ import annotations

import asyncio
import os
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import defopt
import msgspec
import uvloop
from aiohttp import web
from result import Err, Ok

from azurefield.model import RequestKind, ShardMap, even_shard_map
from azurefield.snapshot import Record, ServerState
from azurefield_testkit.backend_call import LeafCall, read_call
from azurefield_testkit.backend_state import (
    BookingRun,
    Control,
    Counters,
    Faults,
    Holdings,
    Journal,
)
from azurefield_testkit.records import Dataset, matches
from azurefield_testkit.stand_in import (
    ConnectionCounts,
    CountedConnection,
    Listener,
    abort,
    decode_control,
    run_until_stopped,
)

COLD_START_FACTOR = 5.0  # Slowdown when a cold start begins; it falls linearly to 1.
CRASH_EXIT_CODE = 3


@dataclass(slots=True, kw_only=True, frozen=True)
class Limits:
    """Capacity of one backend server; the times are those without a slowdown.

    A new connection costs ``connect_cost_ms``. A call takes ``service_ms`` and a random share of
    ``spread_ms``.
    """

    slots: int = 4
    connection_limit: int = 100
    connect_cost_ms: float = 0.0
    service_ms: float = 2.0
    spread_ms: float = 1.0


@dataclass(slots=True, kw_only=True)
class BackendServer:
    """One stand-in backend server.

    ``crash`` ends the process. Without it, a crash stops listening and resets all connections, for
    stand-ins that run inside the process of a test.
    """

    name: str
    dataset: Dataset
    holdings: Holdings
    limits: Limits
    rng: Random
    journal: Journal = field(default_factory=Journal)
    faults: Faults = field(default_factory=Faults)
    counters: Counters = field(default_factory=Counters)
    state: ServerState = ServerState.LIVE
    incarnation: str = field(default_factory=lambda: uuid.uuid4().hex)
    crash: Callable[[], None] | None = None
    listener: Listener = field(init=False)
    slots: asyncio.Semaphore = field(init=False)
    unfrozen: asyncio.Event = field(default_factory=asyncio.Event)
    setup_free_at: float = 0.0
    previous_call_id: str = "none"

    def __post_init__(self) -> None:
        """Register the routes."""
        app = web.Application()
        app.router.add_post("/leafs/{leaf}/{operation}", self.on_call)
        app.router.add_get("/status", self.on_status)
        app.router.add_post("/control", self.on_control)
        app.router.add_get("/journal", self.on_journal)
        self.listener = Listener(
            app=app, counts=ConnectionCounts(limit=self.limits.connection_limit)
        )
        self.slots = asyncio.Semaphore(self.limits.slots)
        self.unfrozen.set()

    async def start(self, port: int = 0) -> str:
        """Start to listen; returns the address."""
        return await self.listener.start(port)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        await self.listener.stop()

    async def on_call(self, request: web.Request) -> web.StreamResponse:
        """Handle one leaf call: run it, refuse it, or break its connection."""
        if self.faults.consume("close_before_reading"):
            abort(request)
            return web.Response()
        connection = request.protocol
        first_request = isinstance(connection, CountedConnection) and connection.requests == 0
        if isinstance(connection, CountedConnection):
            connection.requests += 1
        call = await read_call(request)
        if call is None:
            return web.json_response({"error": "malformed call"}, status=400)
        if self.faults.consume("close_after_reading"):
            abort(request)
            return web.Response()
        try:
            if first_request:
                await self.wait_for_connection_setup()
            await self.unfrozen.wait()
            if (reason := self.refusal_reason(call)) is not None:
                return self.refuse(reason)
            return await self.run_call(request, call)
        except asyncio.CancelledError:
            self.counters.calls_cancelled += 1
            raise

    async def wait_for_connection_setup(self) -> None:
        """Wait while a new connection is set up; the server sets up one connection at a time."""
        now = asyncio.get_running_loop().time()
        cost_s = self.limits.connect_cost_ms / 1000
        self.setup_free_at = max(now, self.setup_free_at) + cost_s
        await asyncio.sleep(self.setup_free_at - now)

    def refusal_reason(self, call: LeafCall) -> str | None:
        """Return the reason why a call is refused, or None if it may run."""
        if self.state is not ServerState.LIVE:
            self.journal.add_call_while_leaving(server=self.name, call_id=call.call_id)
            return "draining" if self.state is ServerState.LEAVING else "shedding"
        if self.faults.shed:
            return "shedding"
        return self.holdings.refusal_reason(call.holding)

    def refuse(self, reason: str) -> web.Response:
        """Build the answer to a call that was not run."""
        self.counters.calls_refused += 1
        body = {"outcome": "not_run", "reason": reason, "incarnation": self.incarnation}
        return web.json_response(body, status=503)

    async def run_call(self, request: web.Request, call: LeafCall) -> web.StreamResponse:
        """Wait for a slot, run the call and send its answer."""
        self.counters.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.counters.waiting -= 1
        try:
            self.counters.running += 1
            if asyncio.get_running_loop().time() >= call.deadline:
                return self.refuse("deadline")
            if self.faults.crash_on and self.faults.crash_on in call.text:
                self.crash_process()
                return web.Response()
            records = self.execute(call)
            await asyncio.sleep(self.service_time_s(call))
        finally:
            self.counters.running -= 1
            self.slots.release()
        await self.unfrozen.wait()
        self.counters.calls_run += 1
        return await self.send_answer(request, call, records)

    def crash_process(self) -> None:
        """Crash the process or, inside a test, reset all connections."""
        if self.crash is not None:
            self.crash()
        self.listener.abort_all()

    def execute(self, call: LeafCall) -> tuple[Record, ...]:
        """Compute the records of a call.

        A booking takes effect and is recorded here, before its service time has passed.
        """
        snapshot = call.holding.snapshot
        leaf_records = self.dataset.leaf_records(
            index_version=snapshot.index_version,
            shard_map=self.holdings.maps[snapshot.map_version],
            leaf=call.holding.leaf,
        )
        if call.kind is RequestKind.LISTING:
            matching = [
                record for record in leaf_records if matches(record, call.body.get("query", {}))
            ]
            return tuple(matching[: call.body.get("limit", len(matching))])
        key = str(call.body.get("key", ""))
        if call.kind is RequestKind.LOOKUP:
            return tuple(record for record in leaf_records if record.key == key)
        entry = BookingRun(
            server=self.name,
            call_id=call.call_id,
            ticket=call.ticket,
            leaf=call.holding.leaf,
            at=time.time(),
            key=key,
            payload=call.body.get("payload", {}),
        )
        self.journal.add_booking(entry)
        number = len(self.journal.bookings)
        fields = {"confirmation": f"{self.name}-{number}", "payload": entry.payload}
        return (Record(key=key, rank=0.0, fields=fields),)

    def service_time_s(self, call: LeafCall) -> float:
        """Draw the service time of a call, including slowdown, cold start and injected delays."""
        time_ms = self.limits.service_ms + self.limits.spread_ms * self.rng.random()
        factor = self.faults.slowdown
        if self.faults.cold_start_s > 0:
            warm_share = (time.monotonic() - self.faults.cold_since) / self.faults.cold_start_s
            factor *= 1 + (COLD_START_FACTOR - 1) * max(0.0, 1 - warm_share)
        delay_s = self.faults.delay_s + self.faults.leaf_delays_s.get(call.holding.leaf, 0.0)
        if self.faults.consume("late"):
            delay_s += self.faults.late_s
        return time_ms * factor / 1000 + delay_s

    async def send_answer(
        self, request: web.Request, call: LeafCall, records: tuple[Record, ...]
    ) -> web.StreamResponse:
        """Send the answer; faults may change its identity, omit records or break it off."""
        request_id = call.call_id
        if self.faults.consume("other_identity"):
            request_id = self.previous_call_id
        self.previous_call_id = call.call_id
        sent_records = records[: len(records) // 2] if self.faults.consume("truncate") else records
        body = msgspec.json.encode(
            {
                "request_id": request_id,
                "leaf": call.holding.leaf,
                **msgspec.to_builtins(call.holding.snapshot),
                "record_count": len(records),
                "records": sent_records,
            }
        )
        if self.faults.consume("close_mid_answer"):
            return await self.send_half(request, body)
        return web.Response(body=body, content_type="application/json")

    async def send_half(self, request: web.Request, body: bytes) -> web.StreamResponse:
        """Send the first half of an answer, then reset the connection."""
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        response.content_length = len(body)
        await response.prepare(request)
        await response.write(body[: len(body) // 2])
        abort(request)
        return response

    async def on_status(self, _request: web.Request) -> web.Response:
        """Report state, load, holdings and shard maps."""
        await self.unfrozen.wait()
        busy = (self.counters.running + self.counters.waiting) / self.limits.slots
        body = {
            "server": self.name,
            "incarnation": self.incarnation,
            "state": self.state.value,
            "load": min(1.0, busy),
            "holdings": [
                {"leaf": holding.leaf, **msgspec.to_builtins(holding.snapshot)}
                for holding in self.holdings.all()
            ],
            "maps": [msgspec.to_builtins(entry) for entry in self.holdings.maps.values()],
        }
        return web.json_response(body)

    async def on_control(self, request: web.Request) -> web.Response:
        """Change faults, state or holdings."""
        match decode_control(await request.read(), Control):
            case Err(problem):
                return web.json_response({"error": problem}, status=400)
            case Ok(control):
                self.apply_control(control)
        return web.json_response({})

    def apply_control(self, control: Control) -> None:
        """Apply a control request."""
        self.faults.apply(control, time.monotonic())
        self.holdings.apply(control)
        if control.state is not None:
            self.state = control.state
            self.journal.set_leaving(control.state is ServerState.LEAVING)
        if control.frozen is not None:
            (self.unfrozen.clear if control.frozen else self.unfrozen.set)()

    async def on_journal(self, _request: web.Request) -> web.Response:
        """Return the journal and the counters."""
        body = {
            "server": self.name,
            "incarnation": self.incarnation,
            "bookings": self.journal.bookings,
            "calls_while_leaving": self.journal.calls_while_leaving,
            "counters": self.counters,
            "connections": self.listener.counts,
        }
        return web.Response(body=msgspec.json.encode(body), content_type="application/json")


def build(
    *,
    name: str,
    service: str,
    shard_map: ShardMap,
    leafs: tuple[str, ...],
    index_versions: tuple[int, ...] = (1,),
    record_count: int = 300,
    seed: int = 1,
    limits: Limits | None = None,
    journal_path: Path | None = None,
) -> BackendServer:
    """Build a stand-in.

    The records depend on the service and the seed, the service times on the name and the seed.
    """
    return BackendServer(
        name=name,
        dataset=Dataset(service=service, seed=seed, count=record_count),
        holdings=Holdings(
            index_versions=set(index_versions),
            maps={shard_map.version: shard_map},
            leafs={shard_map.version: set(leafs)},
        ),
        limits=limits or Limits(),
        rng=Random(f"{name}:{seed}"),
        journal=Journal(path=journal_path),
    )


def serve(
    *,
    name: str,
    service: str,
    map_leafs: str,
    leafs: str,
    port: int = 0,
    index_version: int = 1,
    record_count: int = 300,
    seed: int = 1,
    slots: int = 4,
    connection_limit: int = 100,
    connect_cost_ms: float = 0.0,
    service_ms: float = 2.0,
    spread_ms: float = 1.0,
    journal: str = "",
) -> None:
    """Run a stand-in backend server as a process.

    :param name: name of the server
    :param service: service whose records the server holds
    :param map_leafs: all leafs of shard map 1, separated by commas
    :param leafs: leafs that this server holds, separated by commas
    :param port: loopback port, 0 for any free one
    :param index_version: index version held at the start
    :param record_count: records of the whole service before an index version drops some
    :param seed: seed of records and service times
    :param slots: most calls that run at the same time
    :param connection_limit: most connections that are open at the same time
    :param connect_cost_ms: time to set up a new connection
    :param service_ms: shortest service time
    :param spread_ms: difference between the longest and the shortest service time
    :param journal: file to which the journal is also written, so that it survives a crash; none if
        empty
    """
    shard_map = even_shard_map(version=1, leafs=tuple(map_leafs.split(",")))

    async def main() -> None:
        server = build(
            name=name,
            service=service,
            shard_map=shard_map,
            leafs=tuple(leafs.split(",")),
            index_versions=(index_version,),
            record_count=record_count,
            seed=seed,
            limits=Limits(
                slots=slots,
                connection_limit=connection_limit,
                connect_cost_ms=connect_cost_ms,
                service_ms=service_ms,
                spread_ms=spread_ms,
            ),
            journal_path=Path(journal) if journal else None,
        )
        server.crash = lambda: os._exit(CRASH_EXIT_CODE)
        await run_until_stopped(lambda: server.start(port), server.stop)

    uvloop.run(main())


if __name__ == "__main__":
    defopt.run(serve)
