"""The faults of a run, drawn from its seed; they come in series and overlap."""

from __future__ import annotations

import asyncio
import signal
from dataclasses import dataclass
from typing import TYPE_CHECKING

from soak.leafs import BEHAVIOURS
from soak.proxy import Harm, Proxy
from soak.site import Site

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from soak.leafs import Leaf
    from soak.site import Gateway

PAUSE_S = 0.3
HARM_MAX_S = 2.5
FREEZE_MAX_S = 2.5
# An entry that ended with its leaf is removed about so much later.
REMOVAL_S = 1.0
REUSE_S = 2.0
GRACE_S = 6.0
INTERPRETER_START_S = 0.5


@dataclass(slots=True, kw_only=True)
class Faults:
    """Injects faults into a site until it is stopped."""

    site: Site
    log: list[str]

    async def inject(self) -> None:
        """Inject one fault after the other; most last while the next ones begin."""
        random = self.site.random
        kinds: tuple[Callable[[], Awaitable[None]], ...] = (
            self.harm_leaf,
            self.harm_leaf,
            self.harm_store,
            self.store_down,
            self.forget_history,
            self.end_leases,
            self.freeze,
            self.terminate,
            self.kill,
            self.kill_all,
            self.hang_up,
            self.change_config,
            self.change_config,
            self.replace_leaf,
            self.crash_leaf,
        )
        async with asyncio.TaskGroup() as group:
            while True:
                for kind in (self.misbehave, random.choice(kinds)):
                    await asyncio.sleep(2 * PAUSE_S * random.random())
                    self.log.append(kind.__name__)
                    group.create_task(self.run(kind))

    async def run(self, kind: Callable[[], Awaitable[None]]) -> None:
        """Inject one fault."""
        await kind()

    async def wait(self, most_s: float) -> None:
        """Wait for a random time."""
        await asyncio.sleep(most_s * self.site.random.random())

    def leaf(self) -> Leaf:
        """Choose a leaf."""
        return self.site.random.choice([*self.site.leafs.values()])

    def gateway(self) -> Gateway:
        """Choose a gateway."""
        return self.site.random.choice([*self.site.gateways.values()])

    async def misbehave(self) -> None:
        """Let the leafs of a service in use spoil a part of their answers."""
        service = self.site.random.choice(self.site.services_in_force)
        behaviour = self.site.random.choice(BEHAVIOURS)
        leafs = [leaf for leaf in self.site.leafs.values() if leaf.service == service]
        for leaf in leafs:
            leaf.behaviour = behaviour
        await self.wait(HARM_MAX_S)
        for leaf in leafs:
            leaf.behaviour = "answer"

    async def harm(self, proxy: Proxy) -> None:
        """Harm the connections of a proxy, those that are open at once."""
        random = self.site.random
        proxy.harm = random.choice([*Harm])
        match random.randrange(3):
            case 0:
                proxy.reset_all()
            case 1:
                proxy.silence_all()
        await self.wait(HARM_MAX_S)
        proxy.harm = Harm.NONE

    async def harm_leaf(self) -> None:
        """Harm the connections to a leaf."""
        await self.harm(self.site.proxies[self.leaf().name])

    async def harm_store(self) -> None:
        """Harm a gateway's connections to the store."""
        await self.harm(self.gateway().store)

    async def store_down(self) -> None:
        """Let the store refuse all calls."""
        self.site.store.down = True
        await self.wait(HARM_MAX_S)
        self.site.store.down = False

    async def forget_history(self) -> None:
        """Let the store drop its history."""
        self.site.store.forget_history()

    async def end_leases(self) -> None:
        """Let the leases of all instances end at once."""
        for key in [*self.site.store.items]:
            if key.startswith("azurefield/"):
                self.site.store.remove(key)

    async def freeze(self) -> None:
        """Suspend a gateway."""
        gateway = self.gateway()
        gateway.signal(signal.SIGSTOP)
        await self.wait(FREEZE_MAX_S)
        gateway.signal(signal.SIGCONT)

    async def terminate(self) -> None:
        """Stop a gateway as planned, by force after its grace."""
        gateway = self.gateway()
        process = gateway.process
        gateway.signal(signal.SIGTERM)
        await asyncio.sleep(GRACE_S)
        if gateway.process is process:
            gateway.signal(signal.SIGKILL)

    async def kill(self) -> None:
        """Kill a gateway."""
        self.gateway().signal(signal.SIGKILL)

    async def kill_all(self) -> None:
        """Kill all gateways at once."""
        for gateway in self.site.gateways.values():
            gateway.signal(signal.SIGKILL)

    async def hang_up(self) -> None:
        """Let a gateway read its settings anew.

        The interpreter itself has no handler during its first moments.
        """
        gateway = self.gateway()
        if asyncio.get_running_loop().time() - gateway.started_at > INTERPRETER_START_S:
            gateway.signal(signal.SIGHUP)

    async def change_config(self) -> None:
        """Put another version in force, with other services."""
        random = self.site.random
        self.site.shards, self.site.desk = random.randrange(2), random.randrange(2)
        self.site.put_config()

    async def replace_leaf(self) -> None:
        """Let a leaf leave and another take its place, at a new address."""
        leaf = self.leaf()
        self.site.register(leaf, "draining")
        await self.site.add_leaf(leaf.service)
        await self.wait(HARM_MAX_S)
        self.site.unregister(leaf.name)
        await asyncio.sleep(REMOVAL_S)
        leaf.down = True
        self.site.leafs.pop(leaf.name, None)

    async def crash_leaf(self) -> None:
        """Let a leaf crash; its address goes to a leaf of another service."""
        leaf, other = self.leaf(), self.leaf()
        if leaf.down or leaf.service == other.service:
            return
        name, service = leaf.name, leaf.service
        leaf.down = True
        self.site.proxies[name].reset_all()
        await asyncio.sleep(REMOVAL_S)
        self.site.unregister(name)
        await self.site.add_leaf(service)
        await asyncio.sleep(REUSE_S)
        self.site.leafs.pop(name, None)
        self.site.names += 1
        leaf.name, leaf.service = f"i-{self.site.names}", other.service
        self.site.leafs[leaf.name] = leaf
        self.site.proxies[leaf.name] = self.site.proxies[name]
        self.site.register(leaf)
        leaf.down = False
