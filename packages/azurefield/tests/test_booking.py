from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from msgspec.structs import replace
from result import Err, Ok, Result

from azurefield.booking import (
    Dispatch,
    Forward,
    Join,
    Refuse,
    Replay,
    booking_fingerprint,
    outcome_unknown,
    parse_ticket,
)
from azurefield.failures import FailureKind, RequestFailure
from azurefield.model import Outcome
from azurefield_testkit.models.booking_histories import (
    LIFETIME_S,
    Ledger,
    failed,
    ledger_of,
    play,
)
from azurefield_testkit.proof import Guarantee, ProofRecorder, ProofRow

if TYPE_CHECKING:
    from collections.abc import Callable

SEEDS = 300
TOPIC = "tickets over restarts, duplicates and losses"
Decision = Dispatch | Join | Replay[str] | Forward | Refuse


@pytest.mark.parametrize(
    ("change", "kind", "outcome"),
    [
        (lambda _: "order-4711", FailureKind.TICKET_REQUIRED, Outcome.NOT_RUN),
        (lambda _: "", FailureKind.TICKET_REQUIRED, Outcome.NOT_RUN),
        (lambda text: text + "\n", FailureKind.TICKET_REQUIRED, Outcome.NOT_RUN),
        (lambda text: text.replace(".1.", ".2."), FailureKind.TICKET_INVALID, Outcome.NOT_RUN),
        (lambda text: text[:-4] + "0000", FailureKind.TICKET_INVALID, Outcome.NOT_RUN),
        (lambda text: text.replace(".10000.", ".99999."), FailureKind.TICKET_INVALID, None),
    ],
    ids=["own-key", "empty", "line-end", "other-sequence", "other-mac", "later-end"],
)
def test_a_key_that_this_instance_did_not_issue_never_reaches_dispatch(
    change: Callable[[str], str], kind: FailureKind, outcome: Outcome | None
) -> None:
    """Guards against a dispatch for a key made up by the caller or for a forged ticket."""
    ledger = ledger_of("aaaaaaaa")
    decision = ledger.request(0.0, change(ledger.issuer.issue(0.0)), "body")
    assert isinstance(decision, Refuse)
    assert decision.failure.kind is kind
    assert outcome is None or decision.failure.outcome is outcome


@pytest.mark.parametrize(
    ("result", "again"),
    [
        (Ok("berth 4"), Replay(result=Ok("berth 4"))),
        (failed(Outcome.RAN), Replay(result=failed(Outcome.RAN))),
        (failed(Outcome.NOT_RUN), Dispatch(sequence=1, attempt=2)),
        (
            failed(Outcome.MAY_HAVE_RUN),
            Refuse(failure=outcome_unknown("an earlier attempt may have run the booking")),
        ),
        (None, Join(sequence=1, attempt=1)),
    ],
    ids=["answered", "ran-and-failed", "not-run", "lost", "running"],
)
def test_the_second_use_of_a_ticket_depends_on_how_the_first_one_ended(
    result: Result[str, RequestFailure] | None, again: Decision
) -> None:
    """Guards against a second dispatch of a booking that may have run, and a lost result.

    A booking is dispatched again only if its first attempt surely did not run.
    """
    ledger = ledger_of("aaaaaaaa")
    ticket = ledger.issuer.issue(0.0)
    first = ledger.request(1.0, ticket, "body")
    assert first == Dispatch(sequence=1, attempt=1)
    if result is not None:
        ledger.on_finished(first, result)
    other = ledger.request(2.0, ticket, "other body")
    assert isinstance(other, Refuse)
    assert other.failure.kind is FailureKind.TICKET_BODY_MISMATCH
    assert ledger.request(2.0, ticket, "body") == again


def test_an_expired_ticket_is_refused_dropped_and_stays_expired_when_time_steps_back() -> None:
    """Guards against a dispatch after the entry was dropped, and against unbounded memory.

    The clock steps back after the expiry: the ticket must not become valid again.
    """
    ledger = ledger_of("aaaaaaaa")
    ticket = ledger.issuer.issue(0.0)
    first = ledger.request(1.0, ticket, "body")
    assert isinstance(first, Dispatch)
    ledger.on_finished(first, Ok("berth 4"))
    for now in (LIFETIME_S, 1.0):
        decision = ledger.request(now, ticket, "body")
        assert isinstance(decision, Refuse)
        assert decision.failure.outcome is Outcome.MAY_HAVE_RUN
    assert (ledger.entries, ledger.expiries) == ({}, [])


def test_a_ticket_of_another_incarnation_is_forwarded_once_and_never_dispatched() -> None:
    """Guards against a dispatch by a restarted instance, and against a forwarding loop."""
    ticket = ledger_of("aaaaaaaa").issuer.issue(0.0)
    restarted = ledger_of("bbbbbbbb")
    assert restarted.request(1.0, ticket, "body") == Forward(incarnation="aaaaaaaa")
    decision = restarted.request(1.0, ticket, "body", forwarded=True)
    assert isinstance(decision, Refuse)
    assert decision.failure.outcome is Outcome.MAY_HAVE_RUN


def test_the_fingerprint_distinguishes_bookings_and_ignores_the_order_of_fields() -> None:
    """Guards against the result of another booking, and against a refused true duplicate.

    A retry of the same booking may list the payload's fields in another order.
    """

    def of(service: str = "s", member: str = "m", key: str = "k", **payload: object) -> str:
        return booking_fingerprint(service=service, member=member, key=key, payload=payload)

    assert of(a=1, b=2) == of(b=2, a=1)
    different = [of(), of(a=1), of(a="1"), of(service="t"), of(member="n"), of(key="l")]
    assert len(set(different)) == len(different)


class ForgetsUnknown(Ledger):
    """Weakened: treats a lost answer as ``NOT_RUN``."""

    def on_finished(
        self, dispatch: Dispatch, result: Result[str, RequestFailure]
    ) -> Result[str, RequestFailure]:
        if result.is_err():
            super().on_finished(dispatch, failed(Outcome.NOT_RUN))
            return result
        return super().on_finished(dispatch, result)


class RunsForOthers(Ledger):
    """Weakened: dispatches a ticket of another incarnation instead of forwarding it."""

    def request(
        self, now: float, text: str, fingerprint: str, *, forwarded: bool = False
    ) -> Decision:
        decision = super().request(now, text, fingerprint, forwarded=forwarded)
        if isinstance(decision, Forward):
            ticket = parse_ticket(text).unwrap()
            key = ticket.sequence + 1000 * int(ticket.incarnation, 16)
            if not ticket.expired(now):
                return self.use(replace(ticket, sequence=key), fingerprint)
        return decision


class RunsExpiredTickets(Ledger):
    """Weakened: drops expired entries but doesn't refuse expired tickets."""

    def request(
        self, now: float, text: str, fingerprint: str, *, forwarded: bool = False
    ) -> Decision:
        self.release(now)
        match self.issuer.verify(text):
            case Ok(ticket):
                return self.use(ticket, fingerprint)
            case Err():
                return super().request(now, text, fingerprint, forwarded=forwarded)


@pytest.mark.prove
def test_no_history_runs_a_ticket_twice_or_claims_not_run_for_a_booking_that_ran(
    proof: ProofRecorder,
) -> None:
    """Guards against a booking that runs twice, and against a false claim of ``NOT_RUN``."""
    runs = sum(play(Ledger, seed).runs.total() for seed in range(SEEDS))
    assert runs > SEEDS
    note = f"{runs} bookings ran"
    proof(ProofRow(guarantee=Guarantee.AT_MOST_ONCE, topic=TOPIC, cases=SEEDS, note=note))


@pytest.mark.prove
@pytest.mark.parametrize("weakened", [ForgetsUnknown, RunsForOthers, RunsExpiredTickets])
def test_the_same_histories_find_the_fault_of_a_weakened_ledger(
    weakened: type[Ledger], proof: ProofRecorder
) -> None:
    """Guards against a history check that passes even if the ledger has a fault."""
    found = sum(breaks(weakened, seed) for seed in range(SEEDS))
    assert found > SEEDS // 10
    proof(ProofRow(guarantee=Guarantee.AT_MOST_ONCE, topic=TOPIC, weakened=found))


def breaks(ledger: type[Ledger], seed: int) -> bool:
    try:
        play(ledger, seed)
    except AssertionError:
        return True
    return False
