"""A gateway process of the platform's program, with stand-ins of the store and of leafs."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tomllib
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp
from yarl import URL

from azurefield_testkit.processes import ManagedProcess, Processes
from azurefield_testkit.waiting import wait_until
from standins import LeafStandIn, StoreStandIn, config, route, running

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Mapping

    from multidict import CIMultiDictProxy

ROOT = Path(__file__).parent.parent.parent
# Chooses ports that an outgoing connection can't take before they are used.
PORTS = Processes()


def gateway_command() -> list[str]:
    """Return the command of the deploy file, with the interpreter and the paths of the tests."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
    _, *options, program = deploy["roles"]["gateway"]["run"].split()
    return [sys.executable, *options, str(ROOT / program)]


def free_address() -> str:
    return f"127.0.0.1:{PORTS.free_port()}"


@dataclass(slots=True, kw_only=True)
class Site:
    """One gateway process with a store, shards of two leafs, and a service of one leaf.

    :param cores: the processor capacity in the settings
    :param store_address: where the process reaches the store, if not at its own address
    :param first_port: first of two ports for other instances; None for no range of ports
    :param connections_max: connections that each leaf accepts
    :param body_bytes_max: how large a caller's body may be
    :param header_bytes_max: how large the head of a caller's request may be
    :param timeout_ms: the timeout of the routes with servers
    :param shards: the services of the shards
    :param limits: further lines of the settings' table of limits
    :param bounds: further lines of the settings' table of bounds
    """

    directory: Path
    name: str = "n1"
    cores: float = 1.0
    first_port: int | None = None
    zone: str = "one"
    store_address: str = ""
    connections_max: int = 30
    body_bytes_max: int = 1000
    header_bytes_max: int = 16384
    timeout_ms: int = 1000
    shards: tuple[str, ...] = ("a", "b")
    limits: str = ""
    bounds: str = ""
    store: StoreStandIn = field(default_factory=StoreStandIn)
    leafs: dict[str, LeafStandIn] = field(default_factory=dict)
    callers: str = field(default_factory=free_address)
    readiness: str = field(default_factory=free_address)
    admin: str = field(default_factory=free_address)
    process: ManagedProcess | None = None
    session: aiohttp.ClientSession | None = None

    def __post_init__(self) -> None:
        if self.leafs:
            return
        names = [(f"{shard}{number}", shard) for shard in self.shards for number in (1, 2)]
        for name, service in (*names, ("d1", "desk")):
            body = name.encode() * 8
            self.leafs[name] = LeafStandIn(name=name, service=service, body=body)

    def settings(self) -> str:
        """The settings file of the process."""
        return (
            f'node_name = "{self.name}"\nzone = "{self.zone}"\n{self.port_settings()}'
            f'[listen]\nfrontend = "{self.callers}"\nreadiness = "{self.readiness}"\n'
            f'admin = "{self.admin}"\n[bounds]\ngrace_s = 6\n{self.bounds}'
            f'[platform]\naddress = "{self.store_address or self.store.address}"\n'
            f"[limits]\ncpu_quota = 1.0\ncores = {self.cores}\n{self.limits}"
        )

    def port_settings(self) -> str:
        """The settings of the ports for other instances."""
        if self.first_port is None:
            return ""
        return f'ip = "127.0.0.1"\nport_range = [{self.first_port}, {self.first_port + 1}]\n'

    def write_settings(self, text: str) -> Path:
        """Write the settings file."""
        path = self.directory / "settings.toml"
        path.write_text(text, encoding="utf-8")
        return path

    def put_config(self, version: int = 1, **listing: object) -> None:
        """Write the operator's configuration."""
        gather = {"gather": list(self.shards), "top_k": 1, "min_coverage": 0.5}
        gather |= {"timeout_ms": self.timeout_ms} | listing
        routes = (
            route("listing", "/l/", **gather),
            route("single", "/s/", service="desk", timeout_ms=self.timeout_ms),
            route("order", "/o/", service="desk", route_type="unsafe"),
            route("nowhere", "/n/", service="none"),
        )
        services = (*self.shards, "desk", "none")
        entry = config(
            version,
            *routes,
            services=services,
            connections_max=self.connections_max,
            body_bytes_max=self.body_bytes_max,
            header_bytes_max=self.header_bytes_max,
        )
        self.store.put("op/config", entry)

    async def start(self, settings: str | None = None, python_path: str = "") -> None:
        """Start the process, with other settings than its own if they are given.

        :param python_path: a directory of further modules
        """
        path = self.write_settings(self.settings() if settings is None else settings)
        process = await asyncio.create_subprocess_exec(
            *gateway_command(),
            env={
                "PATH": os.environ["PATH"],
                "AZUREFIELD_BOOT": str(path),
                "PYTHONPATH": python_path,
            },
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        self.process = ManagedProcess(name="gateway", process=process)
        self.process.reader = asyncio.create_task(self.process.collect())

    async def kill(self) -> None:
        """End the process, also while it is suspended."""
        assert self.process is not None
        self.process.send_signal(signal.SIGCONT)
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()

    async def ready(self) -> bool:
        """Whether the readiness check succeeds."""
        assert self.session is not None
        assert self.process is not None
        assert self.process.running, self.process.tail()
        try:
            async with self.session.get(f"http://{self.readiness}/readiness") as answer:
                return answer.status == 200
        except aiohttp.ClientError:
            return False

    async def metrics(self) -> str:
        """Return all metrics as text."""
        assert self.session is not None
        async with self.session.get(f"http://{self.admin}/metrics") as answer:
            return await answer.text()

    async def metric(self, name: str) -> float | None:
        """Return a metric without labels; None if it has no value."""
        lines = (await self.metrics()).splitlines()
        values = [line.split()[1] for line in lines if line.startswith(f"{name} ")]
        return float(values[0]) if values else None

    async def call(
        self,
        path: str,
        request_id: str,
        method: str = "GET",
        deadline_ms: int = 900,
        further_headers: Mapping[str, str] | None = None,
    ) -> tuple[int, CIMultiDictProxy[str], bytes]:
        """Send a request as a caller."""
        assert self.session is not None
        headers = {"Host": "a.example", "Request-Id": request_id, "Deadline-Ms": str(deadline_ms)}
        async with self.session.request(
            method,
            URL(f"http://{self.callers}{path}", encoded=True),
            headers=headers | dict(further_headers or {}),
            data=b"x" * (method == "POST"),
        ) as answer:
            return answer.status, answer.headers, await answer.read()

    async def serves(self, request_id: str) -> bool:
        """Whether an ordinary request is answered."""
        status, _, _ = await self.call("/s/x", request_id, deadline_ms=5000)
        return status == 200

    async def wait_for_instances(self, count: int) -> None:
        """Wait until this instance knows a number of running instances.

        Its admin address may be open only after it is ready.
        """

        async def known() -> bool:
            assert self.process is not None
            assert self.process.running, self.process.tail()
            try:
                return await self.metric("azurefield_gateway_instances") == count
            except aiohttp.ClientConnectorError:
                return False

        await wait_until(known, f"{self.name} knows {count} instances")

    def line_of(self, request_id: str) -> str:
        """Return the log line of a request."""
        assert self.process is not None
        return next((line for line in self.process.output if f"id={request_id} " in line), "")

    def lines_with(self, text: str) -> list[str]:
        """List the lines of the log with a text."""
        assert self.process is not None
        return [line for line in self.process.output if text in line]

    async def wait_for_line_of(self, request_id: str) -> str:
        """Wait for the log line of a request."""
        await wait_until(lambda: bool(self.line_of(request_id)), f"{request_id} is logged")
        return self.line_of(request_id)

    async def wait_for_log(self, text: str) -> None:
        """Wait for a text in the log."""
        assert self.process is not None
        output = self.process.output
        await wait_until(lambda: any(text in line for line in output), f"{text} is logged")


@asynccontextmanager
async def serving(
    directory: Path,
    *,
    limits: str = "",
    body_bytes_max: int = 1000,
    header_bytes_max: int = 16384,
    timeout_ms: int = 1000,
    shards: tuple[str, ...] = ("a", "b"),
) -> AsyncIterator[Site]:
    """Run one gateway process, with further lines in the settings' table of limits."""
    PORTS.used_ports.clear()
    site = Site(
        directory=directory,
        limits=limits,
        body_bytes_max=body_bytes_max,
        header_bytes_max=header_bytes_max,
        timeout_ms=timeout_ms,
        shards=shards,
    )
    async with running(site.store, *site.leafs.values()), aiohttp.ClientSession() as session:
        site.session = session
        site.put_config()
        for name, leaf in site.leafs.items():
            site.store.put(f"servers/{name}", leaf.entry())
        await site.start()
        try:
            await wait_until(site.ready, "the gateway is ready")
            yield site
        finally:
            await site.kill()


@asynccontextmanager
async def serving_fleet(
    directory: Path,
    cores: Mapping[str, float],
    *,
    connections_max: int = 30,
    leafs: Mapping[str, LeafStandIn] | None = None,
    before_start: Callable[[Site], Awaitable[None]] | None = None,
    limits: str = "",
    body_bytes_max: int = 1000,
) -> AsyncIterator[dict[str, Site]]:
    """Run several gateway processes with the same store and leafs.

    :param cores: the processor capacity of each process, by its name
    :param leafs: leafs that are served already, in place of the usual ones
    :param before_start: called with each site before its process starts
    :param limits: further lines of the settings' tables of limits
    """
    PORTS.used_ports.clear()
    sites: dict[str, Site] = {}
    for name, capacity in cores.items():
        (directory / name).mkdir()
        site = Site(
            directory=directory / name,
            name=name,
            cores=capacity,
            first_port=PORTS.free_port_pair(),
            connections_max=connections_max,
            leafs=dict(leafs or {}),
            limits=limits,
            body_bytes_max=body_bytes_max,
        )
        if sites:
            first = next(iter(sites.values()))
            site.store, site.leafs = first.store, first.leafs
        sites[name] = site
    first = next(iter(sites.values()))
    async with AsyncExitStack() as stack:
        to_serve = [leaf for leaf in first.leafs.values() if not leaf.address]
        await stack.enter_async_context(running(first.store, *to_serve))
        session = await stack.enter_async_context(aiohttp.ClientSession())
        first.put_config()
        for name, leaf in first.leafs.items():
            first.store.put(f"servers/{name}", leaf.entry())
        for site in sites.values():
            site.session = session
            if before_start is not None:
                await before_start(site)
            await site.start()
            stack.push_async_callback(site.kill)
        for site in sites.values():
            await wait_until(site.ready, f"{site.name} is ready")
        for site in sites.values():
            await site.wait_for_instances(len(sites))
        yield sites
