"""Injects faults that are drawn from the seed of the run; most of them overlap."""

from __future__ import annotations

import asyncio
import signal
from base64 import b64decode
from dataclasses import dataclass
from typing import TYPE_CHECKING

from soak.callers import Callers
from soak.leafs import BEHAVIOURS
from soak.proxy import ConnectionFault, Proxy
from soak.site import Site

from links import Cut

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from soak.leafs import Leaf
    from soak.site import Gateway

MEAN_PAUSE_S = 0.3
FAULT_MAX_S = 2.5
SUSPENSION_MAX_S = 2.5
RESTORE_MAX_S = 1.0
LIMITS_PER_S = (0.5, 3.0, 20.0)
# The entry of a crashed leaf is removed after this time; a drained leaf stops this long after its
# removal.
REMOVAL_DELAY_S = 1.0
ADDRESS_REUSE_DELAY_S = 2.0
TERMINATION_GRACE_S = 6.0
INTERPRETER_STARTUP_S = 0.5


@dataclass(slots=True, kw_only=True)
class FaultInjector:
    """Injects faults into a site until cancelled; ``log`` lists the names of the faults."""

    site: Site
    log: list[str]
    callers: Callers

    async def inject(self) -> None:
        """Start faults at random intervals, without waiting for the earlier ones to end."""
        random = self.site.random
        kinds: tuple[Callable[[], Awaitable[None]], ...] = (
            self.disrupt_leaf_connections,
            self.disrupt_leaf_connections,
            self.disrupt_store_connections,
            self.make_store_unavailable,
            self.drop_store_history,
            self.expire_leases,
            self.restore_store,
            self.limit_leafs,
            self.suspend,
            self.terminate,
            self.kill,
            self.kill_all,
            self.reload_settings,
            self.change_config,
            self.change_config,
            self.replace_leaf,
            self.crash_leaf,
            self.send_crashing_requests,
            self.partition_gateways,
        )
        async with asyncio.TaskGroup() as group:
            while True:
                for kind in (self.change_leaf_behaviour, random.choice(kinds)):
                    await asyncio.sleep(2 * MEAN_PAUSE_S * random.random())
                    self.log.append(kind.__name__)
                    group.create_task(self.run_fault(kind))

    async def run_fault(self, kind: Callable[[], Awaitable[None]]) -> None:
        """Inject one fault."""
        await kind()

    async def wait(self, max_s: float) -> None:
        """Wait for a random time up to a limit."""
        await asyncio.sleep(max_s * self.site.random.random())

    def choose_leaf(self) -> Leaf:
        """Choose a random leaf."""
        return self.site.random.choice([*self.site.leafs.values()])

    def choose_gateway(self) -> Gateway:
        """Choose a random gateway."""
        return self.site.random.choice([*self.site.gateways.values()])

    async def change_leaf_behaviour(self) -> None:
        """Let the leafs of one active service misbehave on a fraction of their requests."""
        service = self.site.random.choice(self.site.services_in_force)
        behaviour = self.site.random.choice(BEHAVIOURS)
        leafs = [leaf for leaf in self.site.leafs.values() if leaf.service == service]
        for leaf in leafs:
            leaf.behaviour = behaviour
        await self.wait(FAULT_MAX_S)
        for leaf in leafs:
            leaf.behaviour = "answer"

    async def disrupt(self, proxy: Proxy) -> None:
        """Disrupt the connections of a proxy; the open ones may be reset or silenced at once."""
        random = self.site.random
        proxy.fault = random.choice([*ConnectionFault])
        match random.randrange(3):
            case 0:
                proxy.reset_all()
            case 1:
                proxy.silence_all()
        await self.wait(FAULT_MAX_S)
        proxy.fault = ConnectionFault.NONE

    async def disrupt_leaf_connections(self) -> None:
        """Disrupt the connections to a leaf."""
        await self.disrupt(self.site.proxies[self.choose_leaf().name])

    async def disrupt_store_connections(self) -> None:
        """Disrupt the connections of a gateway to the store."""
        await self.disrupt(self.choose_gateway().store)

    async def make_store_unavailable(self) -> None:
        """Let the store reject all calls for a while."""
        self.site.store.down = True
        await self.wait(FAULT_MAX_S)
        self.site.store.down = False

    async def drop_store_history(self) -> None:
        """Let the store drop its history of changes, as after a compaction."""
        self.site.store.forget_history()

    async def expire_leases(self) -> None:
        """Let the leases of all entries of the instances expire."""
        self.site.store.expire_leases("azurefield/")

    async def restore_store(self) -> None:
        """Let the store return from a copy; what the operator and the leafs wrote is back."""
        store = self.site.store
        copy = store.copy()
        await self.wait(FAULT_MAX_S)
        store.down = True
        written = {
            key: item for key, item in store.items.items() if not key.startswith("azurefield/")
        }
        store.restore(copy)
        for key in [key for key in store.items if key.startswith("servers/")]:
            if key not in written:
                store.remove(key)
        for key, item in written.items():
            if store.items.get(key, {}).get("value") != item["value"]:
                store.put(key, b64decode(item["value"]))
        await self.wait(RESTORE_MAX_S)
        store.down = False

    async def limit_leafs(self) -> None:
        """Let the leafs of one active service name a limit of requests per second."""
        service = self.site.random.choice(self.site.services_in_force)
        await self.site.limit(service, self.site.random.choice(LIMITS_PER_S), FAULT_MAX_S)

    async def suspend(self) -> None:
        """Suspend a gateway process for a while."""
        gateway = self.choose_gateway()
        gateway.signal(signal.SIGSTOP)
        await self.wait(SUSPENSION_MAX_S)
        gateway.signal(signal.SIGCONT)

    async def terminate(self) -> None:
        """Terminate a gateway; kill it if it has not exited after its grace period."""
        gateway = self.choose_gateway()
        process = gateway.process
        gateway.signal(signal.SIGTERM)
        await asyncio.sleep(TERMINATION_GRACE_S)
        if gateway.process is process:
            gateway.signal(signal.SIGKILL)

    async def kill(self) -> None:
        """Kill a gateway process."""
        self.choose_gateway().signal(signal.SIGKILL)

    async def kill_all(self) -> None:
        """Kill all gateways at once."""
        for gateway in self.site.gateways.values():
            gateway.signal(signal.SIGKILL)

    async def reload_settings(self) -> None:
        """Let a gateway reload its settings.

        No signal is sent during the first moments of a process: the interpreter has no handler for
        SIGHUP yet, so the signal would terminate it.
        """
        gateway = self.choose_gateway()
        if asyncio.get_running_loop().time() - gateway.started_at > INTERPRETER_STARTUP_S:
            gateway.signal(signal.SIGHUP)

    async def change_config(self) -> None:
        """Publish a new version of the configuration that routes to random services."""
        random = self.site.random
        self.site.shard_set_index, self.site.desk_index = random.randrange(2), random.randrange(2)
        self.site.put_config()

    async def send_crashing_requests(self) -> None:
        """Send a request that ends each leaf that begins to run it, again and again."""
        await self.callers.send_crashing(self.site.random, FAULT_MAX_S)

    async def partition_gateways(self) -> None:
        """Cut some gateways, or all, off from all leafs."""
        random = self.site.random
        count = random.randrange(1, len(self.site.gateways) + 1)
        cut = random.sample([*self.site.gateways.values()], count)
        for gateway in cut:
            gateway.links.cut(random.choice([*Cut]))
        await self.wait(FAULT_MAX_S)
        for gateway in cut:
            await gateway.links.heal()

    async def replace_leaf(self) -> None:
        """Drain a leaf and replace it by another one at a new address."""
        leaf = self.choose_leaf()
        self.site.register(leaf, "draining")
        await self.site.add_leaf(leaf.service)
        await self.wait(FAULT_MAX_S)
        self.site.unregister(leaf.name)
        await asyncio.sleep(REMOVAL_DELAY_S)
        leaf.down = True
        self.site.leafs.pop(leaf.name, None)

    async def crash_leaf(self) -> None:
        """Crash a leaf and replace it; its address is later reused by a leaf of another service."""
        leaf, other = self.choose_leaf(), self.choose_leaf()
        if leaf.down or leaf.service == other.service:
            return
        name, service = leaf.name, leaf.service
        leaf.down = True
        self.site.proxies[name].reset_all()
        await asyncio.sleep(REMOVAL_DELAY_S)
        self.site.unregister(name)
        await self.site.add_leaf(service)
        await asyncio.sleep(ADDRESS_REUSE_DELAY_S)
        self.site.leafs.pop(name, None)
        self.site.leaf_count += 1
        leaf.name, leaf.service = f"i-{self.site.leaf_count}", other.service
        self.site.leafs[leaf.name] = leaf
        self.site.proxies[leaf.name] = self.site.proxies[name]
        self.site.register(leaf)
        leaf.down = False
