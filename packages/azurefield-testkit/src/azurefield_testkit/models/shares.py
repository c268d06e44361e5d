"""Simulation of entry instances that share the connections to one backend server."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from azurefield.limits import ConnectionShares, Grant
from azurefield.membership import Heartbeat, InstanceState, InstanceView, ListedInstance

LIMIT = 30
STEPS = 400
STEP_S = 0.25


@dataclass(slots=True, kw_only=True)
class SimulatedInstance:
    """An instance with its connection shares and the heartbeats in transit to it.

    ``granted`` is the last grant that the instance applied, ``open`` the connections it has open.
    Each entry of ``in_transit`` holds the time at which the heartbeat can be read.
    """

    shares: ConnectionShares
    view: InstanceView
    paused_until: float = 0.0
    granted: Grant | None = None
    open: int = 0
    in_transit: list[tuple[float, Heartbeat]] = field(default_factory=list)

    @property
    def name(self) -> str:
        """The name of the instance."""
        return self.shares.instance


@dataclass(slots=True, kw_only=True)
class ConnectionSimulation:
    """Instances that join, leave, restart and pause, while the instance list lags behind.

    Heartbeats are delayed or lost, and links between two instances fail for a time. The first
    instance stays and keeps its links, as the docstring of ``ConnectionShares`` requires.
    ``instance_lists`` holds each list with the time from which it is valid, ``broken_links`` the
    time at which a link works again, and ``widest`` the most connections open at the same time.
    """

    shares_type: type[ConnectionShares]
    rng: Random
    now: float = 0.0
    starts: int = 0
    nodes: list[SimulatedInstance] = field(default_factory=list)
    instance_lists: list[tuple[float, tuple[str, ...]]] = field(default_factory=list)
    broken_links: dict[frozenset[str], float] = field(default_factory=dict)
    widest: int = 0

    def start(self, name: str) -> None:
        """Start an instance under a new incarnation."""
        self.starts += 1
        shares = self.shares_type(instance=name, incarnation=f"{self.starts}", started_at=self.now)
        shares.set_limits({"s": LIMIT})
        self.nodes.append(SimulatedInstance(shares=shares, view=InstanceView(instance=name)))

    def step(self, step: int) -> None:
        """Advance the time by one step and run each instance that is not paused.

        :raises AssertionError: if more connections are open than the limit allows
        """
        self.now = step * STEP_S
        if step < STEPS:
            self.inject_event(self.rng.random())
        names = tuple(node.name for node in self.nodes)
        if not self.instance_lists or self.instance_lists[-1][1] != names:
            self.instance_lists.append((self.now, names))
        for node in self.nodes:
            if node.paused_until <= self.now:
                self.run_instance(node, step)
        total = sum(node.open for node in self.nodes)
        self.widest = max(self.widest, total)
        assert total <= LIMIT

    def inject_event(self, draw: float) -> None:
        """Inject one of the events that the protocol must tolerate, or none."""
        reachable = [
            node for node in self.nodes[1:] if node.name in self.nodes[0].view.last_heartbeats
        ]
        if len(self.nodes) < 3 or (draw < 0.04 and len(self.nodes) < 8):
            self.start(f"n{self.starts}")
        elif draw < 0.06:
            self.nodes.remove(self.rng.choice(self.nodes[1:]))
        elif draw < 0.07:
            replaced = self.nodes.pop(self.rng.randrange(1, len(self.nodes)))
            self.start(replaced.name)
        elif draw < 0.12 and reachable:
            self.rng.choice(reachable).paused_until = self.now + self.rng.uniform(1, 30)
        elif draw < 0.14:
            one, two = self.rng.sample(self.nodes[1:], 2)
            self.broken_links[frozenset({one.name, two.name})] = self.now + self.rng.uniform(1, 30)

    def lagging_list(self) -> tuple[str, ...]:
        """Return the instance list as it was up to 1.5 s ago."""
        listed_at = self.now - self.rng.uniform(0, 1.5)
        return max(
            (entry for entry in self.instance_lists if entry[0] <= listed_at), default=(0.0, ())
        )[1]

    def run_instance(self, node: SimulatedInstance, step: int) -> None:
        """Run one round of an instance.

        It reads some of the heartbeats that have arrived, computes its grant, opens or closes
        connections, and publishes a heartbeat every fourth step.
        """
        node.in_transit.sort(key=lambda entry: entry[0])
        due = sum(entry[0] <= self.now for entry in node.in_transit)
        read = due if self.rng.random() < 0.8 else self.rng.randrange(due + 1)
        heartbeats, node.in_transit = node.in_transit[:read], node.in_transit[read:]
        for _, heartbeat in heartbeats:
            node.view.on_heartbeat(self.now, heartbeat)
            node.shares.on_heartbeat(self.now, heartbeat)
        if step % 4 == 0:
            node.view.on_list(self.now, [live_entry(name) for name in self.lagging_list()])
        node.shares.set_others(self.now, frozenset(node.view.others(self.now)))
        grant = node.shares.update(self.now)
        if node.granted is None or self.rng.random() < 0.7:
            node.granted = grant
        node.open = self.rng.choice([node.granted.ceilings["s"], max(0, node.open - 2)])
        node.shares.on_open_connections(node.granted.revision, {"s": node.open})
        if (step + len(node.name) + int(node.name[1:])) % 4 == 0:
            self.send(node)

    def send(self, node: SimulatedInstance) -> None:
        """Send a heartbeat to all other instances, with losses and delays."""
        sequence, ceilings = node.shares.publish()
        heartbeat = Heartbeat(
            instance=node.name,
            incarnation=node.shares.incarnation,
            sequence=sequence,
            peer_address="",
            availability_zone="",
            state=InstanceState.LIVE,
            known=node.view.known(self.now),
            ceilings=ceilings,
        )
        for other in self.nodes:
            broken = self.broken_links.get(frozenset({node.name, other.name}), 0.0) > self.now
            if other is not node and not broken and self.rng.random() > 0.1:
                # The link of a new incarnation replaces the old link and the messages on it.
                other.in_transit = [
                    entry
                    for entry in other.in_transit
                    if entry[1].instance != node.name
                    or entry[1].incarnation == heartbeat.incarnation
                ]
                other.in_transit.append((self.now + self.rng.uniform(0, 1.5), heartbeat))


def live_entry(name: str) -> ListedInstance:
    """Build a live entry of the instance list."""
    return ListedInstance(
        name=name, peer_address="", availability_zone="", state=InstanceState.LIVE
    )


def play(shares_type: type[ConnectionShares], seed: int) -> ConnectionSimulation:
    """Run one simulation of ``STEPS`` steps with the events drawn from the seed.

    :return: the simulation after its last step
    :raises AssertionError: if more connections are open than the limit allows
    """
    simulation = ConnectionSimulation(shares_type=shares_type, rng=Random(seed))
    for step in range(STEPS):
        simulation.step(step)
    return simulation
