"""Steps of the instances in the configuration model."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from azurefield.configuration import (
    Adopt,
    CompareAndSwapHead,
    ConfigAdoption,
    FetchFromPeer,
    HeadMissing,
    HeadSeen,
    PeerOffered,
    PeerVersionSeen,
    PutDocument,
    PutRecord,
    ReadDocument,
    ReadHead,
    ReadRecord,
)
from azurefield_testkit.models.configuration.world import (
    NO_DELAY,
    InstanceProcess,
    is_order_dependent,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from azurefield.configuration import AdoptionAction, AdoptionEvent
    from azurefield_testkit.models.configuration.world import Step, SystemState


@dataclass(slots=True, kw_only=True)
class InstanceSteps:
    """Steps of instances, whose state machines have the class ``machine_type``."""

    machine_type: type[ConfigAdoption]
    merge_steps: bool

    def new_process(self) -> InstanceProcess:
        """Create an instance without a configuration."""
        return InstanceProcess(machine=self.machine_type(rng=NO_DELAY))

    def enabled(self, state: SystemState, number: int, instance: InstanceProcess) -> Iterator[Step]:
        """Yield the actions of an instance and the deliveries to it that are possible now."""
        if instance.pending:
            name = f"instance {number} {type(instance.pending[0]).__name__}"
            yield name, partial(self.run, number=number)
            if state.faults.failures:
                yield f"{name} fails", partial(self.fail, number=number)
        if instance.watched != state.store.read_head():
            yield f"instance {number} sees the head", partial(self.deliver_head, number=number)
        for other, peer in enumerate(state.instances):
            last_seen = instance.machine.offers.get(str(other))
            version, digest = peer.machine.version, peer.machine.digest
            is_new = last_seen is None or (version, digest) != (
                last_seen.version,
                last_seen.digest,
            )
            if other != number and digest and is_new:
                label = f"instance {number} gets a heartbeat of {other}"
                yield label, partial(self.deliver_heartbeat, number=number, other=other)
        if state.faults.restarts:
            yield f"instance {number} restarts", partial(self.restart, number=number)

    def deliver_head(self, state: SystemState, number: int) -> None:
        """Deliver the current head of the store to an instance, as its watch does."""
        head = state.store.read_head()
        state.instances[number].watched = head
        self.deliver(state, number, head)

    def deliver_heartbeat(self, state: SystemState, number: int, other: int) -> None:
        """Deliver a peer's heartbeat, which names the version that the peer has in force."""
        peer = state.instances[other].machine
        event = PeerVersionSeen(instance=str(other), version=peer.version, digest=peer.digest or "")
        self.deliver(state, number, event)

    def run(self, state: SystemState, number: int) -> None:
        """Carry out an instance's next action."""
        instance = state.instances[number]
        action = instance.pending.pop(0)
        if isinstance(action, FetchFromPeer):
            in_force = state.instances[int(action.instance)].machine.in_force
            if in_force is not None:
                offer = PeerOffered(
                    instance=action.instance, record=in_force.record, documents=in_force.documents
                )
                self.deliver(state, number, offer)
            return
        event = state.perform(action)
        if isinstance(event, HeadSeen | HeadMissing):
            instance.watched = event
        self.deliver(state, number, event)

    def fail(self, state: SystemState, number: int) -> None:
        """Let an instance's next action fail; a failed fetch from a peer gives no event."""
        state.faults.failures -= 1
        instance = state.instances[number]
        action = instance.pending.pop(0)
        if isinstance(action, FetchFromPeer):
            instance.machine.peer_fetch = None
            return
        self.deliver(state, number, state.perform(action, "dropped"))

    def restart(self, state: SystemState, number: int) -> None:
        """Replace an instance by one without a configuration."""
        state.faults.restarts -= 1
        state.instances[number] = self.new_process()

    def deliver(self, state: SystemState, number: int, event: AdoptionEvent) -> None:
        """Deliver an event to an instance, queue its actions and record what it adopts."""
        instance = state.instances[number]
        actions: list[AdoptionAction] = instance.machine.on_event(0.0, event)
        for action in actions:
            match action:
                case Adopt(configuration=configuration, digest=digest):
                    instance.adopted.append((configuration.version, digest))
                case FetchFromPeer() | ReadHead() | ReadRecord() | ReadDocument():
                    instance.pending.append(action)
                case PutDocument() | PutRecord() | CompareAndSwapHead():
                    instance.pending.append(action)
        if self.merge_steps and instance.pending and not is_order_dependent(instance.pending[0]):
            self.run(state, number)
