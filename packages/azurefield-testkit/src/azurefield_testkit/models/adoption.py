"""Simulation of instances that adopt configurations from a store with injected faults.

A test generates the steps of a history and checks the versions in force at its end.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from azurefield.configuration import (
    Adopt,
    AdoptionAction,
    AdoptionEvent,
    ChangeRecord,
    ConfigAdoption,
    DocumentFetched,
    FetchFromPeer,
    HeadSeen,
    PeerLost,
    PeerOffered,
    PeerVersionSeen,
    PutDocument,
    PutRecord,
    ReadHead,
    StoreAction,
    StoreUnavailable,
    digest_of,
)
from azurefield_testkit.store_model import StoreModel, document

DRAIN_ROUNDS = 60
# Enough actions to fetch or to write back one version of the model's two services.
SETTLE_ACTIONS = 6


@dataclass(slots=True, kw_only=True)
class Instance:
    """One entry instance with its pending actions, oldest first."""

    machine: ConfigAdoption
    pending: list[AdoptionAction] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class Fleet:
    """Instances, their store and the changes that an operator accepts.

    ``accepted`` maps each accepted version to the digests that were accepted under it.
    """

    machine_type: type[ConfigAdoption]
    store: StoreModel = field(default_factory=StoreModel)
    instances: list[Instance] = field(default_factory=list)
    now: float = 0.0
    accepted: dict[int, set[str]] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)

    def new_instance(self, seed: int) -> Instance:
        """Create an instance without a configuration."""
        return Instance(machine=self.machine_type(rng=Random(seed)))

    def versions(self) -> list[int]:
        """Return the version in force on each instance, 0 for none."""
        return [
            0 if entry.machine.in_force is None else entry.machine.in_force.head.version
            for entry in self.instances
        ]

    def accept_change(self, number: int) -> None:
        """Accept a change unless the store is down or behind an instance."""
        head = self.store.read_head()
        base = self.store.version()
        if self.store.down or base < max(self.versions()):
            return
        documents = {"a": document("a", number), "b": document("b", number // 2)}
        record = ChangeRecord(
            change_id=f"change-{number}",
            operator="operator",
            at="2026-01-01T00:00:00Z",
            version=base + 1,
            previous_change_id=head.change_id if isinstance(head, HeadSeen) else None,
            services={name: digest_of(text) for name, text in documents.items()},
        )
        for text in documents.values():
            self.store.apply(PutDocument(digest=digest_of(text), text=text))
        self.store.apply(PutRecord(record=record))
        self.store.write_head(record.head)
        self.accepted.setdefault(base + 1, set()).add(record.head.digest)
        self.store.backups.append(dict(self.store.values))

    def deliver_event(self, index: int, event: AdoptionEvent) -> None:
        """Deliver an event to an instance and check the configurations that it adopts."""
        entry = self.instances[index]
        before = self.versions()[index]
        actions = entry.machine.on_event(self.now, event)
        after = self.versions()[index]
        if after < before:
            self.violations.append(f"instance {index} went from {before} back to {after}")
        for action in actions:
            if not isinstance(action, Adopt):
                entry.pending.append(action)
            elif action.digest not in self.accepted.get(action.configuration.version, ()):
                self.violations.append(
                    f"instance {index} adopted a configuration that was not accepted"
                )

    def run_next_action(self, index: int, fault: str) -> None:
        """Carry out the oldest pending action of an instance."""
        entry = self.instances[index]
        if not entry.pending:
            return
        action = entry.pending.pop(0)
        if isinstance(action, FetchFromPeer):
            offer = self.instances[int(action.instance)].machine.in_force
            if offer is not None and fault == "none":
                offered = PeerOffered(
                    instance=action.instance, record=offer.record, documents=offer.documents
                )
                self.deliver_event(index, offered)
        elif isinstance(action, StoreAction):
            event = self.store.perform(action, fault)
            if fault == "corrupt" and isinstance(event, DocumentFetched):
                event = DocumentFetched(digest=event.digest, text=document("a", 77))
            self.deliver_event(index, event)

    def deliver_head(self, index: int) -> None:
        """Deliver the head to an instance, or an event that reports the store as unreachable."""
        down = self.store.down
        event = StoreUnavailable(detail="down") if down else self.store.read_head()
        self.deliver_event(index, event)

    def deliver_heartbeats(self, index: int) -> None:
        """Deliver the heartbeats of all other instances to one."""
        for other, entry in enumerate(self.instances):
            if other != index and entry.machine.in_force is not None:
                head = entry.machine.in_force.head
                seen = PeerVersionSeen(
                    instance=str(other), version=head.version, digest=head.digest
                )
                self.deliver_event(index, seen)

    def act(self, step: tuple[str, int, str], number: int) -> None:
        """Carry out one step of a history: its kind, an index and a fault.

        ``number`` is the position in the history; it makes changes and restarts differ.
        """
        kind, index, fault = step
        match kind:
            case "change":
                self.accept_change(number)
            case "restore":
                age = index % len(self.store.backups)
                self.store.values = dict(self.store.backups[-1 - age])
            case "down" | "up":
                self.store.down = kind == "down"
            case "restart":
                self.instances[index] = self.new_instance(number)
                for other in range(len(self.instances)):
                    if other != index:
                        self.deliver_event(other, PeerLost(instance=str(index)))
            case "watch":
                self.deliver_head(index)
            case "heartbeats":
                self.deliver_heartbeats(index)
            case "act":
                self.run_next_action(index, fault)
            case "settle":
                self.deliver_head(index)
                for _ in range(SETTLE_ACTIONS):
                    self.run_next_action(index, "none")

    def drain(self) -> None:
        """Run all instances for ``DRAIN_ROUNDS`` seconds without faults, so that they converge."""
        self.store.deliver_late()
        for _ in range(DRAIN_ROUNDS):
            self.now += 1.0
            for index, entry in enumerate(self.instances):
                self.deliver_head(index)
                self.deliver_heartbeats(index)
                entry.pending += [
                    action
                    for action in entry.machine.on_tick(self.now)
                    if not isinstance(action, Adopt)
                ]
                for _ in range(SETTLE_ACTIONS):
                    self.run_next_due_action(index)

    def run_next_due_action(self, index: int) -> None:
        """Carry out the first pending action that is due."""
        pending = self.instances[index].pending
        for position, action in enumerate(pending):
            if not isinstance(action, ReadHead) or action.at <= self.now:
                pending.insert(0, pending.pop(position))
                self.run_next_action(index, "none")
                return
