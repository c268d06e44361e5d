"""Steps of the operators in the configuration model."""

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
from azurefield_testkit.models.configuration.world import is_order_dependent
from azurefield_testkit.store_model import document

if TYPE_CHECKING:
    from collections.abc import Iterator

    from azurefield.configuration import AcceptanceAction
    from azurefield_testkit.models.configuration.world import OperatorProcess, Step, SystemState

NO_DEADLINE_S = 1e9  # Far beyond the time 0.0 at which all events of the model happen.


@dataclass(slots=True, kw_only=True)
class OperatorSteps:
    """Steps of operators.

    With ``knows_version_in_force`` an operator has read the version in force from the instances
    before it starts a change.
    """

    machine_type: type[AcceptChange]
    knows_version_in_force: bool
    merge_steps: bool

    def enabled(self, state: SystemState, number: int, operator: OperatorProcess) -> Iterator[Step]:
        """Yield the start of an operator, or the possible results of its next action."""
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

    def start(self, state: SystemState, number: int) -> None:
        """Start a change; each operator changes the document to other content."""
        in_force = max(instance.machine.version for instance in state.instances)
        machine = self.machine_type(
            change_id=f"by{number}",
            operator=str(number),
            at="",
            documents={"s": document("s", number + 1)},
            deadline=NO_DEADLINE_S,
            version_in_force=in_force if self.knows_version_in_force else None,
        )
        state.operators[number].machine = machine
        self.queue_actions(state, number, machine.start(0.0))

    def run(self, state: SystemState, number: int, fault: str = "none") -> None:
        """Carry out an operator's next action, with a fault of the store unless it is ``none``."""
        operator = state.operators[number]
        match fault:
            case "lost":
                state.faults.lost_replies -= 1
            case "dropped":
                state.faults.lost_requests -= 1
            case "late":
                state.faults.late_writes -= 1
            case "unavailable":
                state.faults.failures -= 1
        event = state.perform(operator.pending.pop(0), fault)
        if operator.machine is not None:
            self.queue_actions(state, number, operator.machine.on_event(0.0, event))

    def queue_actions(
        self, state: SystemState, number: int, actions: list[AcceptanceAction]
    ) -> None:
        """Queue an operator's actions, or record the result that its command reports."""
        operator = state.operators[number]
        for action in actions:
            match action:
                case AcceptanceEnded(result=Ok(Accepted())):
                    operator.result = "accepted"
                case AcceptanceEnded(result=Err(ChangeOutcomeUnknown())):
                    operator.result = "unknown"
                case AcceptanceEnded():
                    operator.result = "not accepted"
                case RetryAt(action=again):
                    operator.pending.append(again)
                case _:
                    operator.pending.append(action)
        if self.merge_steps and operator.pending and not is_order_dependent(operator.pending[0]):
            self.run(state, number)
