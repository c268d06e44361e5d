"""Transition system of configuration changes, for the explorer."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from azurefield.configuration import (
    AcceptChange,
    ChangeRecord,
    ConfigAdoption,
    PutDocument,
    PutRecord,
    digest_of,
)
from azurefield_testkit.models.configuration.instances import InstanceSteps
from azurefield_testkit.models.configuration.operators import OperatorSteps
from azurefield_testkit.models.configuration.world import Faults, OperatorProcess, SystemState
from azurefield_testkit.models.state import deep_copy, state_digest
from azurefield_testkit.store_model import StoreModel, document

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterator

    from azurefield_testkit.models.configuration.world import Step

FIRST_CHANGE_ID = "c1"


@dataclass(slots=True, kw_only=True)
class ConfigurationModel:
    """Operators, instances and a store of the given classes; tests also pass weakened classes.

    With ``merge_steps`` reads and writes of immutable keys are part of the step before them instead
    of steps of their own. This is sound since they commute with all other steps, except with a
    restore of an older state of the store.
    """

    faults: Faults
    operators: int = 2
    instances: int = 2
    operator_type: type[AcceptChange] = AcceptChange
    instance_type: type[ConfigAdoption] = ConfigAdoption
    store_type: type[StoreModel] = StoreModel
    knows_version_in_force: bool = True
    merge_steps: bool = False

    def initial(self) -> SystemState:
        """Return the state in which all instances have version 1 of the store in force."""
        store = self.store_type()
        write_first_version(store)
        steps = self.instance_steps()
        state = SystemState(
            store=store,
            backup=deep_copy(store),
            operators=[OperatorProcess() for _ in range(self.operators)],
            instances=[steps.new_process() for _ in range(self.instances)],
            faults=deep_copy(self.faults),
            past_heads={FIRST_CHANGE_ID},
        )
        for number in range(self.instances):
            steps.deliver_head(state, number)
            while state.instances[number].pending:
                steps.run(state, number)
        return state

    def key(self, state: SystemState) -> Hashable:
        """Return a digest of all fields."""
        return state_digest(state)

    def violation(self, state: SystemState) -> str | None:
        """Return the violation found by the step that led to this state, or None."""
        return state.problem

    def steps(self, state: SystemState) -> Iterator[tuple[str, SystemState]]:
        """Yield each enabled step with its label and the state after it.

        A state without an enabled step must have the accepted version in force everywhere.
        """
        enabled = False
        for label, step in self.enabled(state):
            enabled = True
            successor = deep_copy(state)
            step(successor)
            successor.check()
            yield label, successor
        if not enabled and (problem := state.convergence_violation()) is not None:
            successor = deep_copy(state)
            successor.problem = problem
            yield "no step is left", successor

    def enabled(self, state: SystemState) -> Iterator[Step]:
        """Yield each enabled step as a label and a function that applies it to a state."""
        operator_steps = self.operator_steps()
        for number, operator in enumerate(state.operators):
            yield from operator_steps.enabled(state, number, operator)
        instance_steps = self.instance_steps()
        for number, instance in enumerate(state.instances):
            yield from instance_steps.enabled(state, number, instance)
        for position in range(len(state.store.late_writes)):
            yield "late write", partial(SystemState.apply_late, position=position)
        operator_running = any(o.machine is not None and not o.result for o in state.operators)
        if state.faults.rollbacks and not operator_running and not state.store.late_writes:
            yield "store is restored to an older state", SystemState.roll_back

    def operator_steps(self) -> OperatorSteps:
        """Build the steps of the operators."""
        return OperatorSteps(
            machine_type=self.operator_type,
            knows_version_in_force=self.knows_version_in_force,
            merge_steps=self.merge_steps,
        )

    def instance_steps(self) -> InstanceSteps:
        """Build the steps of the instances."""
        return InstanceSteps(machine_type=self.instance_type, merge_steps=self.merge_steps)


def write_first_version(store: StoreModel) -> None:
    """Write version 1 with its document and change record to an empty store."""
    text = document("s", 0)
    record = ChangeRecord(
        change_id=FIRST_CHANGE_ID,
        operator="o",
        at="",
        version=1,
        previous_change_id=None,
        services={"s": digest_of(text)},
    )
    store.apply(PutDocument(digest=digest_of(text), text=text))
    store.apply(PutRecord(record=record))
    store.write_head(record.head)
