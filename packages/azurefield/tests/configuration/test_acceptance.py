from __future__ import annotations

from dataclasses import dataclass, field

import pytest
from hypothesis import Phase, find, given, settings
from hypothesis import strategies as st
from result import Err, Ok, Result

from azurefield.configuration import (
    AcceptanceAction,
    AcceptanceEnded,
    AcceptChange,
    Accepted,
    CompareAndSwapHead,
    HeadSeen,
    RetryAt,
    StoreFailed,
)
from azurefield.failures import (
    ChangeConflict,
    ChangeFailure,
    ChangeNotAccepted,
    ChangeOutcomeUnknown,
)
from azurefield_testkit.proof import Guarantee, ProofRecorder, ProofRow
from azurefield_testkit.store_model import StoreModel, document

DRAIN_ROUNDS = 60
# The search stops at the first history that shows the fault: shrinking it would only cost time.
# It is derandomized, so that each run searches the same histories.
SEARCH = settings(max_examples=3000, deadline=None, derandomize=True, phases=[Phase.generate])


@dataclass(slots=True, kw_only=True)
class Operator:
    """One operator's command with the actions that it has not carried out yet."""

    machine: AcceptChange
    pending: list[AcceptanceAction] = field(default_factory=list)
    result: Result[Accepted, ChangeFailure] | None = None

    def step(self, now: float, store: StoreModel, fault: str) -> None:
        if not self.pending:
            return
        action = self.pending.pop(0)
        if isinstance(action, RetryAt):
            action = action.action
        if isinstance(action, AcceptanceEnded):
            self.result = action.result
            return
        self.pending += self.machine.on_event(now, store.perform(action, fault))


class ReportsALostReplyAsNotAccepted(AcceptChange):

    def on_failure(self, now: float, failed: StoreFailed) -> list[AcceptanceAction]:
        if isinstance(failed.action, CompareAndSwapHead):
            return self.end(Err(ChangeNotAccepted(detail=failed.detail)))
        return AcceptChange.on_failure(self, now, failed)


class ReportsEveryConflictAsLost(AcceptChange):

    def search_chain(self, now: float, head: HeadSeen) -> list[AcceptanceAction]:
        if head == self.base:
            return AcceptChange.search_chain(self, now, head)
        return self.conflict(head, None)


class WritesTheRecordLast(AcceptChange):

    def put_record_if_ready(self) -> list[AcceptanceAction]:
        return [] if self.unwritten else self.swap_head()


AcceptanceHistory = tuple[tuple[float, ...], tuple[tuple[int, str], ...]]

acceptance_histories: st.SearchStrategy[AcceptanceHistory] = st.tuples(
    st.tuples(*[st.sampled_from([3.0, 40.0, 1e9])] * 3),
    st.lists(
        st.tuples(
            st.integers(0, 3),
            st.sampled_from(["none"] * 8 + ["lost", "late", "dropped", "unavailable"]),
        ),
        min_size=20,
        max_size=60,
    ).map(tuple),
)


def run_acceptance(
    history: AcceptanceHistory, machine_type: type[AcceptChange]
) -> tuple[StoreModel, list[Operator]]:
    deadlines, steps = history
    store = StoreModel()
    operators = [
        Operator(
            machine=machine_type(
                change_id=f"change-{number}",
                operator=f"operator-{number}",
                at="2026-01-01T00:00:00Z",
                documents={"a": document("a", number), "b": document("b", 1)},
                deadline=deadline,
            )
        )
        for number, deadline in enumerate(deadlines)
    ]
    for operator in operators:
        operator.pending += operator.machine.start(0.0)
    now = 0.0
    for actor, fault in steps:
        now += 0.5
        if actor == len(operators):
            store.deliver_late()
        else:
            operators[actor].step(now, store, fault)
    for _ in range(DRAIN_ROUNDS):
        now += 0.5
        for operator in operators:
            operator.step(now, store, "none")
    store.deliver_late()
    return store, operators


def acceptance_violations(
    history: AcceptanceHistory, machine_type: type[AcceptChange]
) -> list[str]:
    store, operators = run_acceptance(history, machine_type)
    chain = store.chain()
    violations = list(store.violations)
    for operator in operators:
        change_id = operator.machine.change_id
        match operator.result:
            case None:
                violations.append(f"{change_id} never ends")
            case Ok(_) if change_id not in chain:
                violations.append(f"{change_id} is reported as accepted but is not")
            case Err(ChangeConflict(change_id=winner)) if change_id in chain or winner not in chain:
                violations.append(
                    f"{change_id} is reported as refused in favour of {winner}, chain {chain}"
                )
            case Err(ChangeNotAccepted()) if change_id in chain:
                violations.append(f"{change_id} is reported as not accepted but is")
            case Err(ChangeOutcomeUnknown()) if not operator.machine.reply_lost:
                violations.append(f"{change_id} is reported as unknown without a lost reply")
    return violations


@pytest.mark.prove
def test_racing_operators_get_a_truthful_result_under_lost_late_and_refused_writes(
    proof: ProofRecorder,
) -> None:
    """Guards against a change that is reported as not accepted although it is in force.

    Three operators race for the head. Replies of the store are lost, and writes are refused or
    applied late; each operator's result must still agree with the stored chain of changes.
    """
    cases: list[int] = []

    @given(acceptance_histories)
    @settings(max_examples=400, deadline=None)
    def holds(history: AcceptanceHistory) -> None:
        cases.append(len(history))
        assert acceptance_violations(history, AcceptChange) == []

    holds()
    proof(
        ProofRow(guarantee=Guarantee.CONFIGURATION, topic="truthful acceptance", cases=len(cases))
    )


@pytest.mark.prove
@pytest.mark.parametrize(
    "machine_type",
    [ReportsALostReplyAsNotAccepted, ReportsEveryConflictAsLost, WritesTheRecordLast],
    ids=lambda machine_type: machine_type.__name__,
)
def test_generated_histories_find_the_fault_of_a_weakened_acceptance(
    machine_type: type[AcceptChange], proof: ProofRecorder
) -> None:
    assert find(
        acceptance_histories,
        lambda history: bool(acceptance_violations(history, machine_type)),
        settings=SEARCH,
    )
    proof(ProofRow(guarantee=Guarantee.CONFIGURATION, topic="truthful acceptance", weakened=1))
