"""What the operators of the model can do."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from result import Err, Ok

from azurefield.configuration import (
    AcceptanceEnded,
    AcceptChange,
    Accepted,
    CompareAndSwapHead,
    RetryAt,
)
from azurefield.failures import ChangeOutcomeUnknown
from azurefield_testkit.models.configuration.world import mutable
from azurefield_testkit.store_model import document

if TYPE_CHECKING:
    from collections.abc import Iterator

    from azurefield.configuration import AcceptanceAction
    from azurefield_testkit.models.configuration.world import OperatorProcess, Step, World

NEVER = 1e9


@dataclass(slots=True, kw_only=True)
class OperatorSteps:
    """Steps of operators; with ``asks_instances`` they know which version is in force."""

    machine_type: type[AcceptChange]
    asks_instances: bool
    merge_steps: bool

    def enabled(self, state: World, number: int, operator: OperatorProcess) -> Iterator[Step]:
        """Yield the start of an operator, or the fates of its next action."""
        if operator.machine is None:
            yield f"operator {number} starts", partial(self.start, number=number)
            return
        if not operator.pending:
            return
        action = operator.pending[0]
        name = f"operator {number} {type(action).__name__}"
        yield name, partial(self.run, number=number)
        if state.faults.failures:
            yield f"{name} fails", partial(self.run, number=number, fault="unavailable")
        if not isinstance(action, CompareAndSwapHead):
            return
        for label, fault, budget in (
            ("reply lost", "lost", state.faults.lost_replies),
            ("request lost", "dropped", state.faults.lost_requests),
            ("applied late", "late", state.faults.late_writes),
        ):
            if budget:
                yield f"{name} {label}", partial(self.run, number=number, fault=fault)

    def start(self, world: World, number: int) -> None:
        """Start a change with another content for each operator."""
        in_force = max(instance.machine.version for instance in world.instances)
        machine = self.machine_type(
            change_id=f"by{number}",
            operator=str(number),
            at="",
            documents={"s": document("s", number + 1)},
            deadline=NEVER,
            version_in_force=in_force if self.asks_instances else None,
        )
        world.operators[number].machine = machine
        self.take(world, number, machine.start(0.0))

    def run(self, world: World, number: int, fault: str = "none") -> None:
        """Carry out an operator's next action with a fault of the store."""
        operator = world.operators[number]
        match fault:
            case "lost":
                world.faults.lost_replies -= 1
            case "dropped":
                world.faults.lost_requests -= 1
            case "late":
                world.faults.late_writes -= 1
            case "unavailable":
                world.faults.failures -= 1
        event = world.perform(operator.pending.pop(0), fault)
        if operator.machine is not None:
            self.take(world, number, operator.machine.on_event(0.0, event))

    def take(self, world: World, number: int, actions: list[AcceptanceAction]) -> None:
        """Queue an operator's actions, or note what it was told."""
        operator = world.operators[number]
        for action in actions:
            match action:
                case AcceptanceEnded(result=Ok(Accepted())):
                    operator.told = "accepted"
                case AcceptanceEnded(result=Err(ChangeOutcomeUnknown())):
                    operator.told = "unknown"
                case AcceptanceEnded():
                    operator.told = "not accepted"
                case RetryAt(action=again):
                    operator.pending.append(again)
                case _:
                    operator.pending.append(action)
        if self.merge_steps and operator.pending and not mutable(operator.pending[0]):
            self.run(world, number)
