"""Generated histories of entry instances that share the connections to one backend server."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from azurefield.limits import ConnectionShares, Grant
from azurefield.membership import Heartbeat, InstanceState, InstanceView, ListedInstance

LIMIT = 30
STEPS = 400
STEP_S = 0.25


@dataclass(slots=True, kw_only=True)
class Node:
    """An instance with its owner of connections and what is on the way to it."""

    shares: ConnectionShares
    view: InstanceView
    paused_until: float = 0.0
    granted: Grant | None = None
    open: int = 0
    arriving: list[tuple[float, Heartbeat]] = field(default_factory=list)

    @property
    def name(self) -> str:
        """The name of the instance."""
        return self.shares.instance


@dataclass(slots=True, kw_only=True)
class Tier:
    """Instances that join, leave, restart and pause, under a list that lags behind them.

    Messages are late or lost, and links between two instances fail for a time. The first instance
    stays and keeps its links, as the docstring of ``ConnectionShares`` asks.
    """

    kind: type[ConnectionShares]
    chance: Random
    now: float = 0.0
    starts: int = 0
    nodes: list[Node] = field(default_factory=list)
    listings: list[tuple[float, tuple[str, ...]]] = field(default_factory=list)
    broken: dict[frozenset[str], float] = field(default_factory=dict)
    widest: int = 0

    def start(self, name: str) -> None:
        """Start an instance under a new incarnation."""
        self.starts += 1
        shares = self.kind(instance=name, incarnation=f"{self.starts}", started_at=self.now)
        shares.set_limits({"s": LIMIT})
        self.nodes.append(Node(shares=shares, view=InstanceView(instance=name)))

    def step(self, step: int) -> None:
        """Let each instance that is not paused run once.

        :raises AssertionError: if more connections are open than the limit allows
        """
        self.now = step * STEP_S
        if step < STEPS:
            self.fail(self.chance.random())
        names = tuple(node.name for node in self.nodes)
        if not self.listings or self.listings[-1][1] != names:
            self.listings.append((self.now, names))
        for node in self.nodes:
            if node.paused_until <= self.now:
                self.run(node, step)
        total = sum(node.open for node in self.nodes)
        self.widest = max(self.widest, total)
        assert total <= LIMIT

    def fail(self, chance: float) -> None:
        """Let one of the events happen that the protocol has to bear."""
        heard = [node for node in self.nodes[1:] if node.name in self.nodes[0].view.last_heartbeats]
        if len(self.nodes) < 3 or (chance < 0.04 and len(self.nodes) < 8):
            self.start(f"n{self.starts}")
        elif chance < 0.06:
            self.nodes.remove(self.chance.choice(self.nodes[1:]))
        elif chance < 0.07:
            gone = self.nodes.pop(self.chance.randrange(1, len(self.nodes)))
            self.start(gone.name)
        elif chance < 0.12 and heard:
            self.chance.choice(heard).paused_until = self.now + self.chance.uniform(1, 30)
        elif chance < 0.14:
            one, two = self.chance.sample(self.nodes[1:], 2)
            self.broken[frozenset({one.name, two.name})] = self.now + self.chance.uniform(1, 30)

    def list_seen(self) -> tuple[str, ...]:
        """Return a list that is up to 1.5 s old."""
        at = self.now - self.chance.uniform(0, 1.5)
        return max((entry for entry in self.listings if entry[0] <= at), default=(0.0, ()))[1]

    def run(self, node: Node, step: int) -> None:
        """Let an instance read some of what has arrived, decide, open and close, and publish."""
        node.arriving.sort(key=lambda entry: entry[0])
        due = sum(entry[0] <= self.now for entry in node.arriving)
        read = due if self.chance.random() < 0.8 else self.chance.randrange(due + 1)
        beats, node.arriving = node.arriving[:read], node.arriving[read:]
        for _, beat in beats:
            node.view.on_heartbeat(self.now, beat)
            node.shares.on_heartbeat(self.now, beat)
        if step % 4 == 0:
            node.view.on_list(self.now, [listed(name) for name in self.list_seen()])
        node.shares.set_others(self.now, frozenset(node.view.others(self.now)))
        grant = node.shares.update(self.now)
        if node.granted is None or self.chance.random() < 0.7:
            node.granted = grant
        node.open = self.chance.choice([node.granted.ceilings["s"], max(0, node.open - 2)])
        node.shares.on_open_connections(node.granted.revision, {"s": node.open})
        if (step + len(node.name) + int(node.name[1:])) % 4 == 0:
            self.send(node)

    def send(self, node: Node) -> None:
        """Send a heartbeat to all others, with losses and delays."""
        sequence, ceilings = node.shares.publish()
        beat = Heartbeat(
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
            broken = self.broken.get(frozenset({node.name, other.name}), 0.0) > self.now
            if other is not node and not broken and self.chance.random() > 0.1:
                # The link of a new incarnation replaces the old one and what was on it.
                other.arriving = [
                    entry
                    for entry in other.arriving
                    if entry[1].instance != node.name or entry[1].incarnation == beat.incarnation
                ]
                other.arriving.append((self.now + self.chance.uniform(0, 1.5), beat))


def listed(name: str) -> ListedInstance:
    """Build a live entry of the instance list."""
    return ListedInstance(
        name=name, peer_address="", availability_zone="", state=InstanceState.LIVE
    )


def play(kind: type[ConnectionShares], seed: int) -> Tier:
    """Play one history and return the instances at its end.

    :raises AssertionError: if the limit was exceeded
    """
    tier = Tier(kind=kind, chance=Random(seed))
    for step in range(STEPS):
        tier.step(step)
    return tier
