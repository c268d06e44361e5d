"""Stand-ins of the platform's store, of leafs and of consumers, and gateway processes, for the scripts of this review.

Only the standard library is used. All addresses are loopback addresses. The stand-ins follow
PROTOCOL.md; what a case lets them do beyond a calm day stands in its own script.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case could not be played, which says nothing of the rule."""


class Record:
    """Writes what was sent, answered and run to record.txt; times are seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.began

    def note(self, event: str, **fields: object) -> float:
        at = self.now()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{at:8.3f} {event} {text}\n")
        return at

    def close(self) -> None:
        self.file.close()


# HTTP/1.1


async def read_head(reader: asyncio.StreamReader) -> tuple[str, list[tuple[str, str]]] | None:
    """Read a head; None if the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1")[:-4].split("\r\n")
    return first, [(name.strip().lower(), value.strip()) for name, _, value in (line.partition(":") for line in lines)]


async def read_body(reader: asyncio.StreamReader, headers: list[tuple[str, str]]) -> bytes:
    named = dict(headers)
    if "chunked" in named.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        while (await reader.readline()).strip():
            pass
        return body
    return await reader.readexactly(int(named.get("content-length", "0")))


def encode_answer(status: int, headers: dict[str, object], body: bytes = b"") -> bytes:
    lines = [f"HTTP/1.1 {status} Status"] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "\r\n"]).encode("latin-1") + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset, as the end of a process with unread bytes does."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# The platform's store


class Store:
    """A linearizable store with revisions, leases that run out, watches and conditional writes.

    ``before_txn`` may take over the execution of a write: it gets the call and returns True if the
    answer is to be lost.
    """

    def __init__(self, record: Record, history_s: float = 20.0) -> None:
        self.record = record
        self.revision = 100
        self.items: dict[str, dict] = {}
        self.events: list[tuple[float, dict]] = []
        self.oldest = self.revision
        self.history_s = history_s
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 7000
        self.changed = asyncio.Event()
        self.answer_s = 0.004
        self.before_txn = None
        self.turned_away = lambda machine: False
        self.tasks: set[asyncio.Task] = set()

    # What the operator and the leafs write.

    def put(self, key: str, value: object, lease: int = 0) -> None:
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        known = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.add_event(item)

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.add_event({"key": key, "revision": self.revision, "removed": True})

    def add_event(self, event: dict) -> None:
        at = time.monotonic()
        self.events.append((at, event))
        while self.events and at - self.events[0][0] > self.history_s:
            self.oldest = self.events.pop(0)[1]["revision"]
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            at = time.monotonic()
            for lease in [number for number, (until, _) in self.leases.items() if until <= at]:
                self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        del self.leases[lease]
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.record.note("store_lease_ended", lease=lease, key=key)
            self.remove(key)

    # Calls.

    async def serve(self, machine: str) -> str:
        """Open an address of the store for one machine; returns ``host:port``."""

        async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                await self.serve_connection(machine, reader, writer)
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(connected, "127.0.0.1", 0)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def serve_connection(self, machine: str, reader, writer) -> None:
        while (head := await read_head(reader)) is not None:
            first, headers = head
            body = await read_body(reader, headers)
            method, target, _ = first.split()
            parts = urlsplit(target)
            query = {name: values[0] for name, values in parse_qs(parts.query).items()}
            if self.turned_away(machine):
                answer = 503, {"error": "busy"}
            else:
                answer = await self.call(machine, method, parts.path, query, json.loads(body or b"{}"))
            if answer is not None and self.turned_away(machine):
                # A waiting watch is cut when the store begins to turn its machine away.
                answer = 503, {"error": "busy"}
            if answer is None:
                # The answer is lost: a connection on which that happens returns nothing further.
                await asyncio.sleep(3600.0)
            await asyncio.sleep(self.answer_s)
            status, content = answer
            text = json.dumps(content).encode()
            writer.write(encode_answer(status, {"Content-Type": "application/json", "Store-Era": 1}, text))
            await writer.drain()

    async def call(self, machine: str, method: str, path: str, query: dict, body: dict):
        if method == "GET":
            if path == "/kv-key":
                item = self.items.get(query["key"])
                return (404, {}) if item is None else (200, item | {"store_revision": self.revision})
            if path == "/kv-range":
                return self.range(query)
            if path == "/kv-watch":
                return await self.watch(query)
        if method == "POST" and path == "/kv-lease":
            self.next_lease += 1
            ttl_s = body["ttl_ms"] / 1000
            self.leases[self.next_lease] = time.monotonic() + ttl_s, ttl_s
            return 200, {"lease": self.next_lease, "ttl_ms": body["ttl_ms"]}
        if method == "POST" and path.startswith("/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            if lease not in self.leases:
                return 404, {}
            ttl_s = self.leases[lease][1]
            self.leases[lease] = time.monotonic() + ttl_s, ttl_s
            return 200, {"ttl_ms": int(ttl_s * 1000)}
        if method == "DELETE" and path.startswith("/kv-lease-end/"):
            lease = int(path.rpartition("/")[2])
            if lease not in self.leases:
                return 404, {}
            self.end_lease(lease)
            return 200, {}
        if method == "POST" and path == "/kv-txn":
            if self.before_txn is not None and self.before_txn(machine, body):
                return None
            return self.txn(body)
        return 404, {}

    def range(self, query: dict):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.items[key] for key in keys[:500]]
        return 200, {"items": page, "has_more": len(keys) > 500, "store_revision": self.revision}

    async def watch(self, query: dict):
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            if after < self.oldest or after > self.revision:
                return 410, {}
            found = [event for _, event in self.events if event["revision"] > after and event["key"].startswith(prefix)]
            left_s = until - time.monotonic()
            if found or left_s <= 0:
                return 200, {"events": found, "store_revision": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass

    def txn(self, body: dict):
        for expected in body.get("expect_rev", ()):
            item = self.items.get(expected["key"])
            if (item["revision"] if item else 0) != expected["revision"]:
                return 412, {"items": [item] if item else []}
        for entry in body.get("set_keys", ()):
            if entry["key"].startswith(("op/", "servers/")):
                return 403, {}
            if entry.get("lease") and entry["lease"] not in self.leases:
                return 404, {}
        for key in body.get("delete_keys", ()):
            self.remove(key)
        for entry in body.get("set_keys", ()):
            self.put(entry["key"], base64.b64decode(entry["value"]), entry.get("lease", 0))
        return 200, {"revision": self.revision}


# Leafs


class Leaf:
    """A leaf: ``capacity`` requests at a time, a short queue, answers with a proof.

    :param limit_per_s: what its answers name as ``Server-Limit``; None for none
    :param leaving: whether its answers hold ``Server-Leaving``
    """

    def __init__(self, record: Record, name: str, service: str, *, zone: str = "zone-1", capacity: int = 4,
                 queue: int = 16, work_s: float = 0.01) -> None:
        self.record, self.name, self.service, self.zone = record, name, service, zone
        self.capacity, self.queue, self.work_s = capacity, queue, work_s
        self.slots = asyncio.Semaphore(capacity)
        self.waiting = 0
        self.limit_per_s: float | None = None
        self.leaving = False
        self.address = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.arrivals: list[tuple[float, str]] = []
        self.ran: list[tuple[float, str]] = []
        self.running: set[str] = set()
        self.lost: list[str] = []
        self.ended_at: float | None = None
        self.born = 1_790_000_000_000 + random.randrange(1_000_000)

    def entry(self, state: str = "ready", sequence: int = 1) -> dict:
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "capacity": self.capacity, "state": state, "warmup_left_ms": 0, "sequence": sequence, "born": self.born}

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.connected, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                body = await read_body(reader, headers)
                await self.handle(reader, writer, first, dict(headers), body)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, reader, writer, first: str, headers: dict[str, str], body: bytes) -> None:
        identity = headers.get("request-id", "")
        common: dict[str, object] = {"Request-Id": identity}
        if self.leaving:
            common["Server-Leaving"] = 1
        if self.limit_per_s is not None:
            common["Server-Limit"] = self.limit_per_s
        if headers.get("expected-instance", self.name) != self.name:
            writer.write(encode_answer(421, common | {"Instance-Id": self.name}))
            return
        at = self.record.note("leaf_got", leaf=self.name, id=identity, deadline_ms=headers.get("deadline-ms"))
        self.arrivals.append((at, identity))
        if self.slots.locked() and self.waiting >= self.queue:
            writer.write(encode_answer(503, common | {"Not-Executed": 1}))
            return
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            self.ran.append((self.record.note("leaf_runs", leaf=self.name, id=identity), identity))
            self.running.add(identity)
            closed = asyncio.ensure_future(reader.read(1))
            done, _ = await asyncio.wait({closed}, timeout=self.work_s)
            if done or self.ended_at is not None:
                # The caller has closed the connection, or this leaf has ended.
                self.lost.append(identity)
                self.record.note("leaf_dropped", leaf=self.name, id=identity)
                writer.transport.abort()
                raise ConnectionResetError
            closed.cancel()
            try:
                await closed
            except (asyncio.CancelledError, ConnectionError):
                pass
            self.record.note("leaf_answers", leaf=self.name, id=identity, leaving=int(self.leaving))
            proof = f"{self.name}.{identity}"
            writer.write(encode_answer(200, common | {"Response-Signature": proof}, f"{proof} done".encode()))
        finally:
            self.running.discard(identity)
            self.slots.release()

    def end(self) -> None:
        """End the process of the leaf: its address and all its connections go."""
        self.ended_at = self.record.note("leaf_ended", leaf=self.name, running=sorted(self.running))
        self.lost += sorted(self.running)
        if self.server is not None:
            self.server.close()
        for writer in [*self.writers]:
            reset(writer)


# Consumers


class Answer:
    def __init__(self, status: int, headers: list[tuple[str, str]], body: bytes) -> None:
        self.status, self.headers, self.body = status, headers, body

    def __getitem__(self, name: str) -> str | None:
        return dict(self.headers).get(name.lower())


class Consumer:
    """Sends one request at a time over a kept connection; opens a new one when it is closed."""

    def __init__(self, record: Record, address: str) -> None:
        self.record, self.address = record, address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def request(self, identity: str, host: str, path: str, *, method: str = "GET", body: bytes = b"",
                      deadline_ms: int = 1000, headers: dict[str, str] | None = None) -> Answer | None:
        """Send a request; None if the connection ends, or the deadline passes, without an answer."""
        try:
            return await asyncio.wait_for(self.exchange(identity, host, path, method, body, deadline_ms, headers or {}),
                                          deadline_ms / 1000 + 0.5)
        except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            self.record.note("consumer_got_nothing", id=identity, error=type(error).__name__)
            self.close()
            return None

    async def exchange(self, identity, host, path, method, body, deadline_ms, headers) -> Answer | None:
        if self.writer is None:
            address, port = self.address.split(":")
            self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(address, int(port)), 1.0)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Request-Id: {identity}", f"Deadline-Ms: {deadline_ms}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.record.note("consumer_sends", id=identity, to=self.address, request=shlex.quote(f"{method} {path}"))
        self.writer.write("\r\n".join([*lines, "\r\n"]).encode() + body)
        head = await read_head(self.reader)
        if head is None:
            raise ConnectionResetError
        first, answered = head
        content = await read_body(self.reader, answered)
        answer = Answer(int(first.split()[1]), answered, content)
        self.record.note("consumer_got", id=identity, status=answer.status, proof=answer["response-signature"])
        if answer["connection"] == "close":
            self.close()
        return answer

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


# Gateways


def free_port_pair() -> int:
    """Return a port that is free together with the next one, below the ports of outgoing connections."""
    for _ in range(2000):
        first = random.randrange(12_000, 31_000)
        try:
            for port in (first, first + 1):
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        if first not in USED and first + 1 not in USED:
            USED.update((first, first + 1))
            return first
    raise CouldNotRun("no free ports")


USED: set[int] = set()
BOUNDS = {
    "seed_lag_s": 3, "reuse_delay_s": 2, "contact_ms": 4000, "ack_ms": 5000, "catchup_s": 4, "drain_ms": 3000,
    "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000, "rollback_slack_ms": 250, "skew_max_ms": 12000,
    "retry_budget_ratio": 0.2, "retry_window_s": 10, "budget_slack": 52, "recovery_s": 12,
}


class Gateway:
    """A process of the project, started with the command of the deploy file."""

    def __init__(self, record: Record, directory: Path, name: str, store_address: str, *, zone: str = "zone-1",
                 zones: tuple[str, ...] = ("zone-1", "zone-2", "zone-3"), further_bounds: dict[str, object] | None = None) -> None:
        self.record, self.name, self.zone, self.zones = record, name, zone, zones
        self.directory = directory / name
        self.directory.mkdir()
        self.store_address = store_address
        self.bounds = BOUNDS | (further_bounds or {})
        front, control, peers = free_port_pair(), free_port_pair(), free_port_pair()
        self.consumers, self.readiness = f"127.0.0.1:{front}", f"127.0.0.1:{front + 1}"
        self.admin, self.peers = f"127.0.0.1:{control}", peers
        self.process: asyncio.subprocess.Process | None = None

    def settings(self) -> str:
        lines = [f'node_name = "{self.name}"', 'role = "gateway"', 'machine_class = "front"', 'serves = ["front","control"]',
                 'ip = "127.0.0.1"', f'zone = "{self.zone}"', 'region = "region-1"', f"port_range = [{self.peers},{self.peers + 1}]",
                 f'seeds = ["{self.admin}"]', "bootstrap = true", "in_tolerance = false", 'discovery = "platform"',
                 'entry = "vip"', "heartbeat_ms = 1200",
                 'policies = ["base","drain","config","cost","retry","recover","scatter","platform"]', "[zones]"]
        lines += [f'{zone} = "region-1"' for zone in self.zones]
        lines += ["[listen]", f'frontend = "{self.consumers}"', f'readiness = "{self.readiness}"', f'admin = "{self.admin}"',
                  "[limits]", "cpu_quota = 0.537", "cores = 2", "memory_mb = 300", "max_fds = 4100",
                  "bandwidth_mbps = 1000.0", "disk_mb = 0", "[fault_tolerance]", "machines = 1", "zones = 0", "regions = 0", "[bounds]"]
        lines += [f"{name} = {json.dumps(value)}" for name, value in self.bounds.items()]
        lines += ["[platform]", f'address = "{self.store_address}"', 'form = "kv"', "writes_per_s = 400", "reads_per_s = 2000",
                  "history_s = 20", "value_bytes = 1048576", "ttl_min_ms = 1000"]
        return "\n".join(lines) + "\n"

    async def start(self) -> None:
        path = self.directory / "settings.toml"
        path.write_text(self.settings(), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        program, *arguments = deploy["roles"]["gateway"]["run"].split()
        environment = {"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/"), "LANG": os.environ.get("LANG", "C.UTF-8"),
                       "AZUREFIELD_BOOT": str(path), "PYTHONPATH": str(ROOT / "target" / "deps")}
        with (self.directory / "log.txt").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                program, *arguments, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        self.record.note("gateway_started", name=self.name, consumers=self.consumers)

    def log_lines(self, text: str) -> list[str]:
        lines = (self.directory / "log.txt").read_text(encoding="utf-8", errors="replace").splitlines()
        return [line for line in lines if text in line]

    async def ready(self) -> bool:
        if self.process is None or self.process.returncode is not None:
            raise CouldNotRun(f"{self.name} does not run: {self.log_lines('')[-5:]}")
        host, port = self.readiness.split(":")
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return False
        return b" 200 " in line

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


async def until(condition, limit_s: float, what: str) -> None:
    """Wait for a condition, which may be a coroutine function."""
    ends = time.monotonic() + limit_s
    while time.monotonic() < ends:
        found = condition()
        if asyncio.iscoroutine(found):
            found = await found
        if found:
            return
        await asyncio.sleep(0.05)
    raise CouldNotRun(f"{what}: not within {limit_s} s")


def route(name: str, prefix: str, **options: object) -> dict:
    return {"name": name, "hostname": "desk.example", "prefix": prefix, "route_type": "safe", "timeout_ms": 2000,
            "target_latency_ms": 400, "priority": 1, "max_attempts": 2} | options


def config(version: int, routes: list[dict], services: list[str], max_conns: int = 96, **further: object) -> dict:
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/health", "max_conns": max_conns, "protocol": "h1", "tls": False}
                         for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}} | further


def run(case, folder: Path, limit_s: float = 110.0) -> None:
    """Run ``case(record, directory, gateways)``, which returns HELD or BROKEN, and end all that was started."""

    async def main() -> None:
        record = Record(folder / "record.txt")
        gateways: list[Gateway] = []
        code = NOT_RUN
        playing = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
        try:
            with tempfile.TemporaryDirectory(prefix="review-") as directory:
                try:
                    code = await asyncio.wait_for(case(record, Path(directory), gateways), limit_s)
                finally:
                    for gateway in gateways:
                        if os.environ.get("KEEP_LOGS"):
                            (folder / f"log-{gateway.name}.txt").write_text("\n".join(gateway.log_lines("")))
                        await gateway.end()
        except (Exception, asyncio.CancelledError) as error:  # A fault of the script is no fault of the program.
            record.note("could_not_run", why=repr(error))
            print("could not run:", repr(error))
        record.note("exits", code=code)
        record.close()
        sys.stdout.flush()
        # The stand-ins' tasks end with the process.
        os._exit(code)

    asyncio.run(main())
