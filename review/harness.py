"""Stand-ins of the platform's store, of leafs and of consumers, and the gateways as processes.

They use only Python's standard library and speak what PROTOCOL.md says. Everything listens on
loopback addresses and on free ports.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 500: "Internal Server Error", 503: "Service Unavailable"}
HEARTBEAT_S = 1.2
# A disruption lasts for at most this time and comes again after a pause.
EPISODE_S, PAUSE_S = 5.5, 1.5
EXIT_HELD, EXIT_BROKEN, EXIT_COULD_NOT_RUN = 0, 1, 2


class Record:
    """Lines of what was sent, run and answered, with the seconds since the start."""

    def __init__(self) -> None:
        self.began = time.monotonic()
        self.lines: list[str] = []

    def in_episode(self) -> bool:
        """Whether the disruption lasts now."""
        return (time.monotonic() - self.began) % (EPISODE_S + PAUSE_S) < EPISODE_S

    def add(self, text: str) -> None:
        self.lines.append(f"{time.monotonic() - self.began:9.4f} {text}")

    def write(self, path: Path) -> None:
        path.write_text("\n".join(self.lines) + "\n")


@dataclass
class Request:
    """One HTTP request or, with a status, one answer."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    status: int = 0

    def header(self, name: str, default: str = "") -> str:
        return next((value for key, value in self.headers if key.lower() == name), default)


async def read_message(reader: asyncio.StreamReader) -> Request | None:
    """Read a request or an answer with a length; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head[:-4].split("\r\n")
    headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines]
    words = first.split(" ")
    status = int(words[1]) if first.startswith("HTTP/") else 0
    request = Request(method=words[0], target=words[1], headers=headers, body=b"", status=status)
    try:
        request.body = await reader.readexactly(int(request.header("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return request


def encode_answer(status: int, headers: list[tuple[str, str]], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} {REASONS[status]}", *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


class Server:
    """Accepts connections; ``serve`` handles one of them."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.accept, HOST, self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with suppress(OSError):
            await self.serve(reader, writer)
        self.writers.discard(writer)
        writer.close()

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in [*self.writers]:
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError


class Store(Server):
    """The platform's store: keys with revisions, watches, leases and transactions."""

    def __init__(self) -> None:
        super().__init__()
        self.revision, self.era, self.next_lease = 1, 1, 1
        self.items: dict[str, dict[str, object]] = {}
        self.events: list[dict[str, object]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.changed = asyncio.Event()

    def put(self, key: str, value: object, lease: int = 0) -> None:
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": base64.b64encode(data).decode(), "revision": self.revision,
                "created": created, "lease": lease}
        self.items[key] = item
        self.add_event(item)

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.add_event({"key": key, "revision": self.revision, "removed": True})

    def add_event(self, event: dict[str, object]) -> None:
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def expire_leases(self) -> None:
        for lease in [name for name, (_, ends) in self.leases.items() if ends < time.monotonic()]:
            self.end_lease(lease)

    def end_lease(self, lease: int) -> bool:
        known = self.leases.pop(lease, None) is not None
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)
        return known

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_message(reader)) is not None:
            self.expire_leases()
            status, content = await self.answer(request)
            headers = [("Content-Type", "application/json"), ("Store-Era", str(self.era))]
            writer.write(encode_answer(status, headers, json.dumps(content).encode()))

    async def answer(self, request: Request) -> tuple[int, object]:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        body = json.loads(request.body or b"{}")
        match (request.method, *url.path.strip("/").split("/")):
            case ("GET", "kv-key"):
                item = self.items.get(query["key"])
                if item is None:
                    return 404, {}
                return 200, item | {"store_revision": self.revision}
            case ("GET", "kv-range"):
                prefix, after = query.get("prefix", ""), query.get("after", "")
                keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
                page = [self.items[key] for key in keys[:500]]
                return 200, {"items": page, "has_more": len(keys) > 500, "store_revision": self.revision}
            case ("GET", "kv-watch"):
                return await self.watch(query)
            case ("POST", "kv-lease"):
                lease, ttl_s = self.next_lease, body["ttl_ms"] / 1000
                self.next_lease += 1
                self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
                return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
            case ("POST", "kv-keep", lease):
                if int(lease) not in self.leases:
                    return 404, {}
                ttl_s, _ = self.leases[int(lease)]
                self.leases[int(lease)] = (ttl_s, time.monotonic() + ttl_s)
                return 200, {}
            case ("DELETE", "kv-lease-end", lease):
                return (200 if self.end_lease(int(lease)) else 404), {}
            case ("POST", "kv-txn"):
                return self.transact(body)
        return 404, {}

    def transact(self, body: dict[str, list]) -> tuple[int, object]:
        expected = body.get("expect_rev", [])
        if any(self.items.get(row["key"], {}).get("revision", 0) != row["revision"] for row in expected):
            return 412, {"items": [self.items[row["key"]] for row in expected if row["key"] in self.items]}
        for row in body.get("set_keys", []):
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        for row in body.get("set_keys", []):
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body.get("delete_keys", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    async def watch(self, query: dict[str, str]) -> tuple[int, object]:
        after, prefix = int(query["after"]), query.get("prefix", "")
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        if after > self.revision:
            return 410, {}
        while True:
            events = [event for event in self.events
                      if event["revision"] > after and str(event["key"]).startswith(prefix)]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            with suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)


class Leaf(Server):
    """A leaf that runs ``slots`` requests at once, queues ``queue`` more and refuses the others."""

    def __init__(self, name: str, service: str, record: Record, rng: random.Random, *, slots: int,
                 queue: int, work_s: float, zone: str = "one") -> None:
        super().__init__()
        self.name, self.service, self.record, self.rng, self.zone = name, service, record, rng, zone
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.sequence, self.born = 0, int(time.time() * 1000)
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.runs: list[str] = []

    def entry(self) -> dict[str, object]:
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "capacity": self.slots, "state": "ready", "warmup_left_ms": 0, "born": self.born,
                "sequence": self.sequence}

    async def keep_registered(self, store: Store) -> None:
        while True:
            store.put(f"servers/{self.name}", self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_message(reader)) is not None:
            before = self.bytes_before_answer(writer)
            status, headers, body = await self.answer(request, reader)
            writer.write(before + self.encode(writer, status, headers, body))

    def bytes_before_answer(self, writer: asyncio.StreamWriter) -> bytes:
        """Bytes that are sent where the next answer is expected."""
        return b""

    def encode(self, writer: asyncio.StreamWriter, status: int, headers: list[tuple[str, str]],
               body: bytes) -> bytes:
        return encode_answer(status, headers, body)

    async def answer(self, request: Request, reader: asyncio.StreamReader
                     ) -> tuple[int, list[tuple[str, str]], bytes]:
        identity = request.header("request-id")
        headers = [("Request-Id", identity), ("Content-Type", "text/plain"), ("Keep-Alive", "timeout=20")]
        if request.header("expected-instance", self.name) != self.name:
            return 421, headers, b""
        if not identity:
            return 400, [("Not-Executed", "1")], b""
        if self.free.locked() and self.waiting >= self.queue:
            self.record.add(f"leaf {self.name} refuses {identity}")
            return 503, [("Not-Executed", "1"), *headers], b""
        deadline = time.monotonic() + int(request.header("deadline-ms", "6000")) / 1000
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        try:
            if time.monotonic() >= deadline or reader.at_eof():
                return 503, [("Not-Executed", "1"), *headers], b""
            self.runs.append(identity)
            self.record.add(f"leaf {self.name} runs {identity}")
            await asyncio.sleep(self.work_s * self.rng.uniform(0.5, 1.5))
        finally:
            self.free.release()
        proof = f"{self.name}.{len(self.runs)}.{identity[:8]}"
        return 200, [("Response-Signature", proof), *headers], f"done {identity}".encode()


@dataclass
class Gateway:
    """One gateway process, started with the command of the deploy file."""

    name: str
    zone: str
    directory: Path
    store: str
    ports: dict[str, int] = field(default_factory=dict)
    process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        self.directory.mkdir(parents=True, exist_ok=True)
        if not self.ports:
            for name in ("frontend", "readiness", "admin"):
                self.ports[name] = free_ports(1)
            self.ports["range"] = free_ports(4)
        settings = self.directory / "settings.toml"
        settings.write_text(self.settings())
        env = {"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/"),
               "AZUREFIELD_BOOT": str(settings), "PYTHONPATH": str(ROOT / "target" / "deps")}
        with (self.directory / "log.txt").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "platform/run.py", cwd=ROOT, env=env,
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)

    def settings(self) -> str:
        listen = "".join(f'{name} = "{HOST}:{self.ports[name]}"\n' for name in ("frontend", "readiness", "admin"))
        first = self.ports["range"]
        return (
            f'node_name = "{self.name}"\nrole = "gateway"\nmachine_class = "front"\n'
            f'serves = ["front", "control"]\nip = "{HOST}"\nzone = "{self.zone}"\nregion = "r"\n'
            f'port_range = [{first}, {first + 3}]\nseeds = []\nbootstrap = true\nheartbeat_ms = 1200\n'
            f"[zones]\n{self.zone} = \"r\"\n[listen]\n{listen}"
            "[limits]\ncpu_quota = 0.537\ncores = 2\nmemory_mb = 300\nmax_fds = 4100\nbandwidth_mbps = 1000.0\n"
            "[bounds]\nseed_lag_s = 3\nreuse_delay_s = 2\ncontact_ms = 4000\nack_ms = 5000\ncatchup_s = 4\n"
            "drain_ms = 3000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 3000\n"
            "rollback_slack_ms = 250\nskew_max_ms = 12000\nretry_budget_ratio = 0.2\nretry_window_s = 10\n"
            f'budget_slack = 52\nrecovery_s = 12\n[platform]\naddress = "{self.store}"\nform = "kv"\n'
            "writes_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n"
        )

    async def ready(self) -> bool:
        answer = await call(self.ports["readiness"], "GET", "/readiness", [], b"", limit_s=1.0)
        return answer is not None and answer.status == 200

    async def wait_until_ready(self, limit_s: float = 25.0) -> None:
        ends = time.monotonic() + limit_s
        while not await self.ready():
            if time.monotonic() > ends or self.process is None or self.process.returncode is not None:
                raise RuntimeError(f"gateway {self.name} is not ready")
            await asyncio.sleep(0.1)

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


def free_ports(count: int) -> int:
    """Return the first of some consecutive free ports below the range of outgoing connections."""
    for _ in range(200):
        first = random.SystemRandom().randrange(15000, 30000)
        sockets = []
        try:
            for port in range(first, first + count):
                sockets.append(socket.socket())
                sockets[-1].bind((HOST, port))
            return first
        except OSError:
            continue
        finally:
            for opened in sockets:
                opened.close()
    raise RuntimeError("no free ports")


def encode_request(method: str, target: str, headers: list[tuple[str, str]], body: bytes) -> bytes:
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def call(port: int, method: str, target: str, headers: list[tuple[str, str]], body: bytes, *,
               limit_s: float) -> Request | None:
    """Send one request on a new connection; None without an answer."""
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(encode_request(method, target, [("Host", "a.example"), *headers], body))
            return await read_message(reader)
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Consumer:
    """Sends requests one after the other on a kept connection to one gateway."""

    def __init__(self, port: int, record: Record, rng: random.Random) -> None:
        self.port, self.record, self.rng = port, record, rng
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def send(self, method: str, target: str, body: bytes, deadline_s: float) -> tuple[str, Request | None]:
        """Send a request; return its id and the answer."""
        identity = f"{self.rng.getrandbits(64):016x}"
        headers = [("Host", "a.example"), ("Request-Id", identity), ("Deadline-Ms", str(int(deadline_s * 1000)))]
        self.record.add(f"consumer sends {identity} {method} {target} to port {self.port}")
        answer = None
        try:
            async with asyncio.timeout(deadline_s):
                if self.writer is None:
                    self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
                self.writer.write(encode_request(method, target, headers, body))
                assert self.reader is not None
                answer = await read_message(self.reader)
        except (OSError, asyncio.TimeoutError):
            pass
        if answer is None or answer.header("connection").lower() == "close":
            self.close()
        self.record.add(f"consumer gets {identity} " + ("nothing" if answer is None else str(answer.status)))
        return identity, answer

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def config(version: int, routes: list[dict[str, object]], services: list[str], max_conns: int = 36) -> dict[str, object]:
    defaults = {"hostname": "a.example", "route_type": "safe", "timeout_ms": 6000, "target_latency_ms": 634,
                "max_attempts": 2, "priority": 1}
    return {
        "version": version,
        "routes": [defaults | route for route in routes],
        "services": [{"name": name, "health_path": "/health", "max_conns": max_conns} for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 5000,
                   "idle_timeout_ms": 15000},
    }


class Deployment:
    """A store, leafs and gateways; leaving the context ends all that was started."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = Store()
        self.leafs: list[Leaf] = []
        self.gateways: list[Gateway] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.directory = Path(tempfile.mkdtemp(prefix="azurefield-review-"))
        # Where the gateways reach the store, if not at its own address.
        self.store_address = ""

    async def __aenter__(self) -> Deployment:
        await self.store.start()
        return self

    async def add_leaf(self, leaf: Leaf) -> Leaf:
        await leaf.start()
        self.leafs.append(leaf)
        self.tasks.append(asyncio.create_task(leaf.keep_registered(self.store)))
        return leaf

    async def start_gateways(self, *zones: str) -> None:
        for number, zone in enumerate(zones, 1):
            name = f"front-{zone}-{number}"
            gateway = Gateway(name=name, zone=zone, directory=self.directory / name,
                              store=self.store_address or self.store.address)
            self.gateways.append(gateway)
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_until_ready()
        # The gateways learn of each other before traffic starts.
        await asyncio.sleep(3.0)

    async def __aexit__(self, *_: object) -> None:
        for gateway in self.gateways:
            await gateway.end()
        for task in self.tasks:
            task.cancel()
        for server in (self.store, *self.leafs):
            await server.stop()
        shutil.rmtree(self.directory, ignore_errors=True)


def require_service(served: int, sent: int) -> None:
    """Raise an error unless most requests were served, so that a broken set-up is no result."""
    if served < sent / 2:
        raise RuntimeError(f"only {served} of {sent} requests were served")


def main(run, folder: Path) -> None:
    """Run a case: ``run(record, trouble)`` returns what broke the rule, as lines."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # The context of the deployment then ends all processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_COULD_NOT_RUN))
    record = Record()
    try:
        faults = asyncio.run(asyncio.wait_for(run(record, trouble), 110.0))
    except Exception as error:  # noqa: BLE001 - any problem of the script itself
        record.add(f"could not run: {error!r}")
        record.write(folder / "record.txt")
        print(f"could not run: {error!r}")
        sys.exit(EXIT_COULD_NOT_RUN)
    for fault in faults:
        record.add(f"broken: {fault}")
    record.write(folder / "record.txt")
    print(f"trouble={trouble}: {len(faults)} times broken")
    for fault in faults[:10]:
        print(f"  {fault}")
    sys.exit(EXIT_BROKEN if faults else EXIT_HELD)
