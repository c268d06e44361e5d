"""Runs stand-ins, entry instances and the operator's command as separate processes."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import socket
import sys
import tempfile
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from azurefield_testkit.stand_in import LOOPBACK
from azurefield_testkit.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import Sequence
    from types import TracebackType

START_LIMIT_S = 30.0
STOP_LIMIT_S = 30.0
CALL_TIMEOUT_S = 10.0
COMMAND_TIMEOUT_S = 60.0
OUTPUT_LINES_MAX = 2000
# The ports are below the system's range of ephemeral ports, so that no outgoing connection takes a
# port between its choice and its use. Each test process chooses from one of the ranges, by its
# process identifier. Test processes that run in parallel have consecutive identifiers and so use
# different ranges.
FIRST_PORT = 12_000
PORTS_PER_PROCESS = 200
PORT_RANGE_COUNT = 100


class ProcessError(Exception):
    """A process did not start or stop as expected; the message ends with its last output."""


@dataclass(slots=True, kw_only=True)
class ManagedProcess:
    """One started process with its last lines of output.

    ``address`` is set once the process has printed the line ``listening ADDRESS``.
    """

    name: str
    process: asyncio.subprocess.Process
    output: list[str] = field(default_factory=list)
    address: str = ""
    reader: asyncio.Task[None] | None = None

    @property
    def running(self) -> bool:
        """Whether the process has not ended yet."""
        return self.process.returncode is None

    @property
    def exit_code(self) -> int | None:
        """Exit code, negative for a signal, None while the process runs."""
        return self.process.returncode

    async def collect(self) -> None:
        """Read the output until the process ends; keeps its last lines and its address."""
        assert self.process.stdout is not None
        while raw := await self.process.stdout.readline():
            line = raw.decode(errors="replace").rstrip()
            self.output.append(line)
            del self.output[:-OUTPUT_LINES_MAX]
            if line.startswith("listening ") and not self.address:
                self.address = line.removeprefix("listening ")

    def tail(self, lines: int = 15) -> str:
        """Return the last lines of output, each with the name of the process."""
        return "\n".join(f"  {self.name}: {line}" for line in self.output[-lines:])

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self.running:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def wait(self, limit_s: float = STOP_LIMIT_S) -> int:
        """Wait until the process has ended; returns its exit code.

        :raises ProcessError: if it still runs after the limit
        """
        try:
            code = await asyncio.wait_for(self.process.wait(), limit_s)
        except TimeoutError as error:
            raise ProcessError(f"{self.name} still runs\n{self.tail()}") from error
        if self.reader is not None:
            await self.reader
        return code


@dataclass(slots=True, kw_only=True)
class EntryInstance:
    """Name, addresses and availability zone of an entry instance."""

    name: str
    address: str
    admin_address: str
    peer_address: str
    availability_zone: str


@dataclass(slots=True, kw_only=True)
class Processes:
    """All processes of one run; leaving the context stops them."""

    processes: dict[str, ManagedProcess] = field(default_factory=dict)
    entries: dict[str, EntryInstance] = field(default_factory=dict)
    platform_address: str = ""
    session: ClientSession = field(init=False)
    directory: Path = field(init=False)
    temporary_directory: tempfile.TemporaryDirectory[str] = field(init=False)
    used_ports: set[int] = field(default_factory=set)

    async def __aenter__(self) -> Processes:
        """Create the directory for settings and journals."""
        self.temporary_directory = tempfile.TemporaryDirectory(prefix="azurefield-")
        self.directory = Path(self.temporary_directory.name)
        self.session = ClientSession(
            connector=TCPConnector(force_close=True), timeout=ClientTimeout(total=CALL_TIMEOUT_S)
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop all processes, then remove the directory.

        After an error they are killed. SIGCONT lets frozen processes handle SIGTERM.
        """
        await self.session.close()
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM if kind is None else signal.SIGKILL)
        await asyncio.gather(*(self.wait_or_kill(process) for process in self.processes.values()))
        self.temporary_directory.cleanup()

    async def wait_or_kill(self, process: ManagedProcess) -> None:
        """Wait for a process that got a signal to stop; kill it if it does not end in time."""
        try:
            await process.wait()
        except ProcessError:
            process.send_signal(signal.SIGKILL)
            await process.wait()

    def free_port(self) -> int:
        """Choose a loopback port that is not in use.

        :raises ProcessError: if all ports of the range were chosen or are in use
        """
        first = FIRST_PORT + os.getpid() % PORT_RANGE_COUNT * PORTS_PER_PROCESS
        for port in random.sample(range(first, first + PORTS_PER_PROCESS), PORTS_PER_PROCESS):
            if self.is_free(port):
                self.used_ports.add(port)
                return port
        raise ProcessError(f"no free port from {first} on; {len(self.used_ports)} were chosen")

    def free_port_pair(self) -> int:
        """Choose two consecutive ports that are not in use, and return the first."""
        while True:
            port = self.free_port()
            # The port behind the range is in that of another process.
            if (port + 1 - FIRST_PORT) % PORTS_PER_PROCESS and self.is_free(port + 1):
                self.used_ports.add(port + 1)
                return port

    def is_free(self, port: int) -> bool:
        """Whether a loopback port was not chosen before and is not in use."""
        if port in self.used_ports:
            return False
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                return False
        return True

    async def spawn(self, name: str, module: str, *arguments: str) -> ManagedProcess:
        """Start ``python -m MODULE`` under a name.

        :raises ProcessError: if a process with this name still runs
        """
        previous = self.processes.get(name)
        if previous is not None and previous.running:
            raise ProcessError(f"{name} is already running")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *arguments,
            # pytest's settings extend sys.path; the child process must import the same sources.
            env={**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, sys.path))},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        managed = ManagedProcess(name=name, process=process)
        managed.reader = asyncio.create_task(managed.collect())
        self.processes[name] = managed
        return managed

    async def start_stand_in(self, name: str, module: str, *arguments: str) -> str:
        """Start a stand-in and wait until it listens; returns its address.

        :raises ProcessError: if it ends before it listens
        """
        managed = await self.spawn(name, f"azurefield_testkit.{module}", *arguments)
        await wait_until(lambda: bool(managed.address) or not managed.running, f"{name} listens")
        if not managed.address:
            raise ProcessError(f"{name} ended before it listened\n{managed.tail()}")
        return managed.address

    async def start_platform(self) -> str:
        """Start the stand-in platform; returns its address."""
        self.platform_address = await self.start_stand_in("platform", "platform")
        return self.platform_address

    async def start_balancer(self) -> str:
        """Start the balancer for the entry instances started so far; returns its address."""
        address = await self.start_stand_in("balancer", "balancer")
        await self.set_balancer_targets(self.entries.values())
        return address

    async def set_balancer_targets(self, entries: Any) -> None:
        """Replace the instances behind the balancer."""
        targets = [
            {"address": entry.address, "admin_address": entry.admin_address} for entry in entries
        ]
        await self.post(f"{self.processes['balancer'].address}/balancer", targets=targets)

    async def start_entry(self, name: str, zone: str, **settings: Any) -> EntryInstance:
        """Register an entry instance on free ports in the instance list, and start it.

        :param settings: settings that differ from the defaults
        """
        ports = [f"{LOOPBACK}:{self.free_port()}" for _ in range(3)]
        entry = EntryInstance(
            name=name,
            address=ports[0],
            admin_address=ports[1],
            peer_address=ports[2],
            availability_zone=zone,
        )
        path = self.directory / f"{name}.json"
        body = {
            "instance": name,
            "availability_zone": zone,
            "listen": entry.address,
            "admin_listen": entry.admin_address,
            "peer_listen": entry.peer_address,
            "platform_url": f"http://{self.platform_address}",
            **settings,
        }
        path.write_bytes(msgspec.json.encode(body))
        await self.register(entry)
        await self.spawn(name, "azurefield_entry", "--settings", str(path))
        self.entries[name] = entry
        return entry

    async def register(self, entry: EntryInstance, state: str = "live") -> None:
        """Add an entry instance to the platform's instance list."""
        body = {
            "role": "entry",
            "address": entry.address,
            "peer_address": entry.peer_address,
            "admin_address": entry.admin_address,
            "availability_zone": entry.availability_zone,
            "state": state,
        }
        url = f"http://{self.platform_address}/control/instances/{entry.name}"
        async with self.session.put(url, json=body) as answer:
            answer.raise_for_status()

    async def deregister(self, name: str) -> None:
        """Remove an instance from the platform's instance list."""
        url = f"http://{self.platform_address}/control/instances/{name}"
        async with self.session.delete(url) as answer:
            answer.raise_for_status()

    async def post(self, address: str, **fields: Any) -> None:
        """Send a control request with these fields to a stand-in.

        :raises ProcessError: if the stand-in rejects the request
        """
        async with self.session.post(f"http://{address}/control", json=fields) as answer:
            if answer.status != 200:
                raise ProcessError(f"{address} rejected a control request: {await answer.text()}")

    async def get_json(self, address: str, path: str) -> dict[str, Any] | None:
        """Read a JSON object; None if the process does not answer or answers with other data."""
        try:
            async with self.session.get(f"http://{address}{path}") as answer:
                return dict(await answer.json(content_type=None))
        except (ClientError, TimeoutError, ValueError):
            return None

    async def is_ready(self, entry: EntryInstance) -> bool:
        """Whether an entry instance is ready for requests.

        :raises ProcessError: if its process has ended
        """
        process = self.processes[entry.name]
        if not process.running:
            raise ProcessError(
                f"{entry.name} ended with exit code {process.exit_code}\n{process.tail()}"
            )
        try:
            async with self.session.get(f"http://{entry.admin_address}/readyz") as answer:
                return answer.status == 200
        except (ClientError, TimeoutError):
            return False

    async def wait_ready(self, entries: Sequence[EntryInstance] = ()) -> None:
        """Wait until entry instances, by default all started ones, are ready for requests."""
        for entry in entries or tuple(self.entries.values()):
            await wait_until(
                partial(self.is_ready, entry),
                f"{entry.name} is ready",
                limit_s=START_LIMIT_S,
            )

    async def stop(self, name: str) -> int:
        """Stop a process gracefully; returns its exit code."""
        self.processes[name].send_signal(signal.SIGTERM)
        return await self.processes[name].wait()

    async def kill(self, name: str) -> None:
        """Kill a process."""
        self.processes[name].send_signal(signal.SIGKILL)
        await self.processes[name].wait()

    def freeze(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process with SIGCONT."""
        self.processes[name].send_signal(signal.SIGCONT)

    async def command(self, module: str, *arguments: str) -> tuple[int, str]:
        """Run ``python -m MODULE`` until it ends; returns exit code and output."""
        name = f"command-{len(self.processes)}-{os.getpid()}"
        managed = await self.spawn(name, module, *arguments)
        code = await managed.wait(COMMAND_TIMEOUT_S)
        return code, "\n".join(managed.output)
