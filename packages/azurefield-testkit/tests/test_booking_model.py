"""Model check of the guarantee that a booking runs at most once, with the shipped ledger."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from result import Err, Result

from azurefield.booking import BookingLedger, Dispatch, Forward, Join, Refuse, Replay
from azurefield_testkit.explorer import explore
from azurefield_testkit.models.booking import BookingModel, Budget, not_run
from azurefield_testkit.proof import Guarantee, ProofRecorder, ProofRow

if TYPE_CHECKING:
    from azurefield.failures import RequestFailure

Decision = Dispatch | Join | Replay[str] | Forward | Refuse


class RetriesUnknownOutcomes(BookingLedger[str]):
    """Weakened: forgets a ticket whose dispatch failed, even with an unknown outcome."""

    def on_finished(
        self, dispatch: Dispatch, result: Result[str, RequestFailure]
    ) -> Result[str, RequestFailure]:
        if isinstance(result, Err):
            self.entries.pop(dispatch.sequence, None)
        return result


class RunsTicketsOfOthers(BookingLedger[str]):
    """Weakened: an instance dispatches a ticket of another incarnation instead of forwarding it."""

    def request(
        self, now: float, text: str, fingerprint: str, *, forwarded: bool = False
    ) -> Decision:
        decision = BookingLedger.request(self, now, text, fingerprint, forwarded=forwarded)
        if isinstance(decision, Forward):
            return self.use(self.issuer.verify(self.issuer.issue(now)).unwrap(), fingerprint)
        return decision


class ForgetsExpiredTickets(BookingLedger[str]):
    """Weakened: forgets an expired ticket without refusing its next use."""

    def request(
        self, now: float, text: str, fingerprint: str, *, forwarded: bool = False
    ) -> Decision:
        decision = BookingLedger.request(self, now, text, fingerprint, forwarded=forwarded)
        match self.issuer.verify(text).ok():
            case None:
                return decision
            case ticket:
                return self.use(ticket, fingerprint)


FAULTS = [
    pytest.param(Budget(sends=3, duplicates=1, restarts=1), id="doubled-messages-and-a-restart"),
    pytest.param(Budget(sends=3, restarts=2, timeouts=2), id="two-restarts"),
    pytest.param(Budget(sends=4, losses=1, timeouts=2, refusals=2), id="lost-and-refused"),
    pytest.param(
        Budget(sends=4, duplicates=1, losses=1, restarts=2, timeouts=2, refusals=2),
        id="all-together",
    ),
]


@pytest.mark.prove
@pytest.mark.parametrize("budget", FAULTS)
def test_no_reachable_state_runs_a_booking_twice_or_gives_a_false_refusal(
    budget: Budget, proof: ProofRecorder
) -> None:
    """Guards against a second run of a booking, and against 'not run' for a booking that ran.

    Both come about when messages are duplicated or lost, calls time out, or instances restart.
    """
    result = explore(BookingModel(budget=budget))
    for guarantee in (Guarantee.AT_MOST_ONCE, Guarantee.TRUE_REFUSAL):
        proof(
            ProofRow(
                guarantee=guarantee,
                topic="booking model",
                cases=result.states,
                violations=int(result.violation is not None),
                note=f"depth {result.depth}",
            )
        )
    assert (result.violation, result.trace) == (None, [])
    assert result.complete


@pytest.mark.prove
@pytest.mark.parametrize(
    ("weakened", "guarantee"),
    [
        pytest.param(RetriesUnknownOutcomes, Guarantee.AT_MOST_ONCE, id="retries-unknown-outcomes"),
        pytest.param(RunsTicketsOfOthers, Guarantee.AT_MOST_ONCE, id="runs-tickets-of-others"),
        pytest.param(ForgetsExpiredTickets, Guarantee.AT_MOST_ONCE, id="runs-ended-tickets"),
    ],
)
def test_the_model_finds_the_second_run_when_a_guard_is_removed(
    weakened: type[BookingLedger[str]], guarantee: Guarantee, proof: ProofRecorder
) -> None:
    """Guards against a model that can't reach the second run which each check prevents."""
    result = explore(BookingModel(budget=Budget(restarts=1), ledger_type=weakened))
    proof(
        ProofRow(
            guarantee=guarantee,
            topic="booking model",
            weakened=int(result.violation is not None),
        )
    )
    assert result.violation is not None


class ClaimsNotRun(BookingLedger[str]):
    """Weakened: refuses with 'not run' where the outcome is unknown."""

    def request(
        self, now: float, text: str, fingerprint: str, *, forwarded: bool = False
    ) -> Decision:
        decision = BookingLedger.request(self, now, text, fingerprint, forwarded=forwarded)
        if isinstance(decision, Refuse):
            return Refuse(failure=not_run())
        return decision


class KeepsEarlyRefusals(BookingLedger[str]):
    """Weakened: a refusal before the ledger stays 'not run' even if an earlier request ran."""

    def correct_refusal_outcome(
        self, now: float, text: str, failure: RequestFailure  # noqa: ARG002
    ) -> RequestFailure:
        return failure


@pytest.mark.prove
@pytest.mark.parametrize("weakened", [ClaimsNotRun, KeepsEarlyRefusals])
def test_the_model_finds_a_false_refusal(
    weakened: type[BookingLedger[str]], proof: ProofRecorder
) -> None:
    """Guards against a model that can't reach a refusal with 'not run' for a booking that ran."""
    result = explore(BookingModel(budget=Budget(restarts=1), ledger_type=weakened))
    proof(ProofRow(guarantee=Guarantee.TRUE_REFUSAL, topic="booking model", weakened=1))
    assert result.violation == "a caller received 'not run' for a booking that ran or may still run"
