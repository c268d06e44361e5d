"""The gateway processes, and the store and leafs that they reach through proxies."""

from __future__ import annotations

import asyncio
import os
import signal
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from aiohttp import web
from soak.history import ATTEMPTS_MAX, TOP_K, History
from soak.leafs import Leaf
from soak.proxy import Proxy
from soak.workspaces import SETTINGS as WORKSPACE_SETTINGS

from azurefield_testkit.processes import ManagedProcess, Processes
from gateway_process import gateway_command
from links import Links, StoreView
from standins import StoreStandIn, config, route

HOST = "127.0.0.1"
GATEWAY_GRACE_S = 6
GATEWAY_MEMORY_MB = 300
# A leaf that a request has ended is back after this time.
CRASH_DOWN_S = 1.5
SHARD_SETS = (("a", "b", "c"), ("d", "e"))
DESKS = ("desk", "annex")
LEAFS_PER_SERVICE = 3
GATEWAYS = ("n1", "n2", "n3", "n4", "n5")
PORT_ALLOCATOR = Processes()


@dataclass(slots=True, kw_only=True)
class Gateway:
    """One gateway; its process is restarted whenever it exits.

    ``store`` is the proxy through which it reaches the store, ``links`` leads to the leafs. Callers
    send requests to ``caller_address``; ``readiness_address`` is the listener that reports whether
    it is ready.
    """

    name: str
    directory: Path
    store: Proxy
    links: Links
    caller_address: str = ""
    readiness_address: str = ""
    relay_port: int = 0
    process: ManagedProcess | None = None
    ended_by_soak: bool = False
    started_at: float = 0.0

    def __post_init__(self) -> None:
        self.caller_address, self.readiness_address = (
            f"{HOST}:{PORT_ALLOCATOR.free_port()}" for _ in range(2)
        )
        self.relay_port = PORT_ALLOCATOR.free_port_pair()

    @property
    def settings(self) -> Path:
        """Path of the settings file."""
        return self.directory / f"{self.name}.toml"

    def write_settings(self) -> None:
        """Write the settings file."""
        self.settings.write_text(
            f'node_name = "{self.name}"\nzone = "one"\nip = "{HOST}"\n'
            f"port_range = [{self.relay_port}, {self.relay_port + 1}]\n"
            f'[listen]\nfrontend = "{self.caller_address}"\n'
            f'readiness = "{self.readiness_address}"\n'
            f"[bounds]\ngrace_s = {GATEWAY_GRACE_S}\nbudget_slack = 50\n{WORKSPACE_SETTINGS}"
            f"[limits]\nmemory_mb = {GATEWAY_MEMORY_MB}\n"
            f'[platform]\naddress = "{self.store.address}"\n',
            encoding="utf-8",
        )

    async def start(self) -> None:
        """Start the process."""
        self.ended_by_soak = False
        self.started_at = asyncio.get_running_loop().time()
        process = await asyncio.create_subprocess_exec(
            *gateway_command(),
            env={"PATH": os.environ["PATH"], "AZUREFIELD_BOOT": str(self.settings)},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        self.process = ManagedProcess(name=self.name, process=process)
        self.process.reader = asyncio.create_task(self.process.collect())

    def log_lines(self) -> list[str]:
        """Return what the process has logged, with the name of the gateway in each line."""
        output = [] if self.process is None else self.process.output
        return [f"{self.name}: {line}" for line in output]

    def signal(self, number: signal.Signals) -> None:
        """Send a signal; note if it terminates the process, so that the exit is expected."""
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.ended_by_soak = True
        if self.process is not None:
            self.process.send_signal(number)


@dataclass(slots=True, kw_only=True)
class Site:
    """All gateways, leafs and the store of one run, with a proxy for each leaf.

    ``crashes`` holds when leafs were ended by a request, ``logs`` what ended gateways have logged.
    ``leaf_count`` counts all leafs that were ever named, so that each name is used only once.
    """

    directory: Path
    random: Random
    history: History
    store: StoreStandIn = field(default_factory=StoreStandIn)
    leafs: dict[str, Leaf] = field(default_factory=dict)
    proxies: dict[str, Proxy] = field(default_factory=dict)
    gateways: dict[str, Gateway] = field(default_factory=dict)
    runners: list[web.ServerRunner] = field(default_factory=list)
    version: int = 0
    leaf_count: int = 0
    shard_set_index: int = 0
    desk_index: int = 0
    supervising: bool = True
    crashes: list[float] = field(default_factory=list)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    logs: list[str] = field(default_factory=list)

    async def start(self) -> None:
        """Start the store and the leafs, then the gateways."""
        PORT_ALLOCATOR.used_ports.clear()
        self.store.address = await self.serve(self.store.handle)
        self.history.services = {"listing": set(), "single": set(DESKS), "order": set(DESKS)}
        for shards in SHARD_SETS:
            self.history.shard_sets.append(shards)
            self.history.services["listing"] |= set(shards)
        for service in (*(name for shards in SHARD_SETS for name in shards), *DESKS):
            for _ in range(LEAFS_PER_SERVICE):
                await self.add_leaf(service)
        self.put_config()
        for name in GATEWAYS:
            links = Links(view=StoreView(store=self.store))
            for leaf_proxy in self.proxies.values():
                await links.add(leaf_proxy.address)
            proxy = Proxy(target=await self.serve(links.view.handle))
            await proxy.start()
            gateway = Gateway(name=name, directory=self.directory, store=proxy, links=links)
            gateway.write_settings()
            self.gateways[name] = gateway
            await gateway.start()

    async def stop(self) -> None:
        """Kill the gateways and stop all stand-ins and proxies."""
        self.supervising = False
        for gateway in self.gateways.values():
            gateway.signal(signal.SIGCONT)
            gateway.signal(signal.SIGKILL)
            if gateway.process is not None:
                await gateway.process.wait()
            await gateway.store.stop()
            await gateway.links.stop()
        for task in self.tasks:
            task.cancel()
        for proxy in self.proxies.values():
            await proxy.stop()
        for runner in self.runners:
            await runner.cleanup()

    async def serve(self, handler: object) -> str:
        """Serve a request handler on a free port; return its ``host:port``."""
        server = web.Server(handler, handler_cancellation=True, access_log=None)  # type: ignore[arg-type]
        runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, HOST, 0).start()
        self.runners.append(runner)
        host, port = runner.addresses[0][:2]
        return f"{host}:{port}"

    async def add_leaf(self, service: str) -> Leaf:
        """Start a leaf behind a proxy and register it."""
        self.leaf_count += 1
        name = f"i-{self.leaf_count}"
        leaf = Leaf(
            name=name,
            service=service,
            history=self.history,
            random=self.random,
            on_crash=self.end_leaf,
        )
        leaf.address = await self.serve(leaf.handle)
        proxy = Proxy(target=leaf.address)
        await proxy.start()
        self.leafs[name], self.proxies[name] = leaf, proxy
        for gateway in self.gateways.values():
            await gateway.links.add(proxy.address)
        self.register(leaf)
        return leaf

    def end_leaf(self, leaf: Leaf) -> None:
        """End a leaf; it is back at its address after a while."""
        if leaf.down or leaf.name not in self.proxies:
            return
        self.crashes.append(asyncio.get_running_loop().time())
        leaf.down = True
        proxy = self.proxies[leaf.name]
        for gateway in self.gateways.values():
            gateway.links.end_leaf(proxy.address)
        task = asyncio.create_task(self.restart_leaf(leaf, proxy))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def restart_leaf(self, leaf: Leaf, proxy: Proxy) -> None:
        """Start a leaf that has ended."""
        await asyncio.sleep(CRASH_DOWN_S)
        leaf.down = False
        for gateway in self.gateways.values():
            await gateway.links.restart_leaf(proxy.address)
        if f"servers/{leaf.name}" not in self.store.items:
            self.register(leaf)

    def register(self, leaf: Leaf, state: str = "ready") -> None:
        """Write the entry of a leaf to the store."""
        self.history.service_of[leaf.name] = leaf.service
        address = self.proxies[leaf.name].address
        self.store.put(f"servers/{leaf.name}", leaf.registry_entry(address, state))

    def unregister(self, name: str) -> None:
        """Remove the entry of a leaf from the store, if it has one."""
        if f"servers/{name}" in self.store.items:
            self.store.remove(f"servers/{name}")

    @property
    def services_in_force(self) -> tuple[str, ...]:
        """The services to which the newest configuration routes requests."""
        return (*SHARD_SETS[self.shard_set_index], DESKS[self.desk_index])

    def put_config(self) -> None:
        """Write the next version of the operator's configuration to the store."""
        self.version += self.random.randrange(1, 4)
        shards, desk = SHARD_SETS[self.shard_set_index], DESKS[self.desk_index]
        gather = {"gather": list(shards), "top_k": TOP_K, "min_coverage": 0.5}
        common = {"max_attempts": ATTEMPTS_MAX}
        entry = config(
            self.version,
            route("listing", "/l/", **gather, **common),
            route("single", "/s/", service=desk, **common),
            route("order", "/o/", service=desk, route_type="unsafe", **common),
            services=(*SHARD_SETS[0], *SHARD_SETS[1], *DESKS),
        )
        if self.history.workspaces:
            entry["tenants"] = [workspace.entry() for workspace in self.history.workspaces]
        self.store.put("op/config", entry)

    async def limit(self, service: str, limit_per_s: float, duration_s: float) -> list[Leaf]:
        """Let the leafs of a service name a limit for a while; return these leafs."""
        leafs = [leaf for leaf in self.leafs.values() if leaf.service == service]
        for leaf in leafs:
            leaf.limit_per_s = limit_per_s
            leaf.arrivals.clear()
        await asyncio.sleep(duration_s)
        for leaf in leafs:
            leaf.limit_per_s = None
        return leafs

    async def restart_on_exit(self, gateway: Gateway) -> None:
        """Restart a gateway whenever it exits; exits that the test did not cause are violations."""
        while self.supervising:
            assert gateway.process is not None
            code = await gateway.process.process.wait()
            if not self.supervising:
                return
            self.logs += gateway.log_lines()
            if not gateway.ended_by_soak:
                tail = gateway.process.tail()
                self.history.add_violation(
                    "EXIT", gateway.name, f"it exited with code {code}\n{tail}"
                )
            await asyncio.sleep(0.3 * self.random.random())
            await gateway.start()
