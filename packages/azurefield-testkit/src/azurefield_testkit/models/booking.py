"""Model of one booking: the shipped ledger on two instances, a lossy network and a backend server.

The caller sends its booking several times, to any instance. The network delays, loses and
duplicates messages. Instances restart with another incarnation and key, and may refuse a request
before their ledger sees it. The ticket may expire. A dispatch may end as run, as refused, or
without an answer while the call still runs.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from azurefield.booking import (
    BookingLedger,
    Dispatch,
    Forward,
    Join,
    Refuse,
    Replay,
    TicketIssuer,
    outcome_unknown,
)
from azurefield.failures import FailureKind, RequestFailure
from azurefield.model import Outcome
from azurefield_testkit.models.state import deep_copy, state_digest

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable, Iterator

TICKET_LIFETIME_S = 10.0
Ledger = BookingLedger[str]


@dataclass(slots=True, kw_only=True, frozen=True, order=True)
class Request:
    """A booking request on its way to an instance."""

    instance: int
    forwarded: bool


@dataclass(slots=True, kw_only=True, frozen=True, order=True)
class Call:
    """A call sent to the backend server.

    ``reported`` says that the ledger already has a result of the dispatch; the call may still run.
    """

    instance: int
    incarnation: str
    sequence: int
    attempt: int
    reported: bool = False


@dataclass(slots=True, kw_only=True)
class Budget:
    """How many events of each kind may still happen."""

    sends: int = 3
    duplicates: int = 0
    losses: int = 0
    restarts: int = 0
    timeouts: int = 1
    refusals: int = 1
    early_refusals: int = 1
    ticket_expiries: int = 1


@dataclass(slots=True, kw_only=True)
class BookingState:
    """One state of the model; requests and calls are kept sorted, as their order has no meaning."""

    ledgers: list[Ledger]
    ticket: str
    budget: Budget
    now: float = 0.0
    requests: list[Request] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    runs: int = 0
    problem: str | None = None


def not_run() -> RequestFailure:
    """Build the failure of a dispatch that no backend server ran."""
    return RequestFailure(
        kind=FailureKind.LEAF_UNAVAILABLE, outcome=Outcome.NOT_RUN, detail="refused"
    )


@dataclass(slots=True, kw_only=True)
class BookingModel:
    """Instances with ledgers of ``ledger_type``, so that tests can explore weakened ledgers."""

    budget: Budget
    ledger_type: type[Ledger] = Ledger
    instances: int = 2

    def initial(self) -> BookingState:
        """Return the state in which the first instance has issued the ticket."""
        ledgers = [self.new_ledger(f"{number:08x}") for number in range(self.instances)]
        ticket = ledgers[0].issuer.issue(0.0)
        return BookingState(ledgers=ledgers, ticket=ticket, budget=deep_copy(self.budget))

    def new_ledger(self, incarnation: str) -> Ledger:
        """Create the ledger of a process that has just started."""
        issuer = TicketIssuer(
            incarnation=incarnation, key=incarnation.encode(), lifetime_s=TICKET_LIFETIME_S
        )
        return self.ledger_type(issuer=issuer)

    def key(self, state: BookingState) -> Hashable:
        """Return a digest of all fields."""
        return state_digest(state)

    def violation(self, state: BookingState) -> str | None:
        """Return the violation found by the step that led to this state, or None."""
        return state.problem

    def steps(self, state: BookingState) -> Iterator[tuple[str, BookingState]]:
        """Yield each enabled step with its label and the state after it."""
        for label, step in self.enabled(state):
            successor = deep_copy(state)
            step(successor)
            successor.requests.sort()
            successor.calls.sort()
            if successor.runs > 1:
                successor.problem = "the booking ran twice"
            yield label, successor

    def enabled(self, state: BookingState) -> Iterator[tuple[str, Callable[[BookingState], None]]]:
        """Yield each enabled step as a label and a function that applies it to a state."""
        for number in range(self.instances):
            if state.budget.sends:
                yield f"caller sends to {number}", partial(send, instance=number)
            if state.budget.restarts:
                yield f"instance {number} restarts", partial(self.restart_instance, number=number)
        for request in dict.fromkeys(state.requests):
            name = f"request to {request.instance}"
            yield f"{name} arrives", partial(self.deliver_request, request=request)
            if state.budget.early_refusals:
                yield f"{name} is refused early", partial(self.refuse_early, request=request)
            if state.budget.duplicates:
                yield f"{name} is duplicated", partial(duplicate, request=request)
            if state.budget.losses:
                yield f"{name} is lost", partial(drop, request=request)
        for call in dict.fromkeys(state.calls):
            yield "call runs", partial(self.run_call, call=call)
            if not call.reported and state.budget.timeouts:
                yield "call times out", partial(self.time_out_call, call=call)
            if not call.reported and state.budget.refusals:
                yield "call is refused", partial(self.refuse_call, call=call)
        if state.budget.ticket_expiries:
            yield "the ticket expires", expire_ticket

    def deliver_request(self, state: BookingState, request: Request) -> None:
        """Deliver a request to its instance and carry out the decision of the ledger."""
        state.requests.remove(request)
        ledger = state.ledgers[request.instance]
        decision = ledger.request(state.now, state.ticket, "body", forwarded=request.forwarded)
        match decision:
            case Dispatch(sequence=sequence, attempt=attempt):
                state.calls.append(
                    Call(
                        instance=request.instance,
                        incarnation=ledger.issuer.incarnation,
                        sequence=sequence,
                        attempt=attempt,
                    )
                )
            case Forward(incarnation=incarnation):
                forward(state, incarnation)
            case Replay(result=result):
                check_result(state, result)
            case Refuse(failure=failure):
                check_result(state, Err(failure))
            case Join():
                pass

    def refuse_early(self, state: BookingState, request: Request) -> None:
        """Let an instance refuse a request before its ledger decides, for example in admission."""
        state.budget.early_refusals -= 1
        state.requests.remove(request)
        ledger = state.ledgers[request.instance]
        check_result(state, Err(ledger.correct_refusal_outcome(state.now, state.ticket, not_run())))

    def run_call(self, state: BookingState, call: Call) -> None:
        """Run a booking on the backend server and report it if the instance still waits for it."""
        state.calls.remove(call)
        state.runs += 1
        if not call.reported:
            self.report_finished(state, call, Ok("run"))

    def time_out_call(self, state: BookingState, call: Call) -> None:
        """Report that a call timed out; the call itself may still run."""
        state.budget.timeouts -= 1
        state.calls.remove(call)
        reported = Call(
            instance=call.instance,
            incarnation=call.incarnation,
            sequence=call.sequence,
            attempt=call.attempt,
            reported=True,
        )
        state.calls.append(reported)
        self.report_finished(state, call, Err(outcome_unknown("timeout")))

    def refuse_call(self, state: BookingState, call: Call) -> None:
        """Let the backend server refuse a call that it has not run."""
        state.budget.refusals -= 1
        state.calls.remove(call)
        self.report_finished(state, call, Err(not_run()))

    def report_finished(
        self, state: BookingState, call: Call, result: Result[str, RequestFailure]
    ) -> None:
        """Report the result of a dispatch to the process that made it, if it still exists."""
        ledger = state.ledgers[call.instance]
        if ledger.issuer.incarnation != call.incarnation:
            return
        dispatch = Dispatch(sequence=call.sequence, attempt=call.attempt)
        check_result(state, ledger.on_finished(dispatch, result))

    def restart_instance(self, state: BookingState, number: int) -> None:
        """Replace a process by one with another incarnation."""
        state.budget.restarts -= 1
        state.ledgers[number] = self.new_ledger(f"{100 + number + 10 * state.budget.restarts:08x}")


def send(state: BookingState, instance: int) -> None:
    """Let the caller send its booking, for the first time or again."""
    state.budget.sends -= 1
    state.requests.append(Request(instance=instance, forwarded=False))


def duplicate(state: BookingState, request: Request) -> None:
    """Add a second copy of a request to the network."""
    state.budget.duplicates -= 1
    state.requests.append(request)


def drop(state: BookingState, request: Request) -> None:
    """Lose a request in the network."""
    state.budget.losses -= 1
    state.requests.remove(request)


def expire_ticket(state: BookingState) -> None:
    """Advance the time beyond the lifetime of the ticket."""
    state.budget.ticket_expiries -= 1
    state.now = 2 * TICKET_LIFETIME_S


def forward(state: BookingState, incarnation: str) -> None:
    """Forward a request to the issuer; the outcome is unknown if the issuer no longer runs."""
    for number, ledger in enumerate(state.ledgers):
        if ledger.issuer.incarnation == incarnation:
            state.requests.append(Request(instance=number, forwarded=True))
            return
    check_result(state, Err(outcome_unknown("the issuer no longer runs")))


def check_result(state: BookingState, result: Result[str, RequestFailure]) -> None:
    """Check that the result a caller receives now agrees with the runs so far."""
    match result:
        case Ok() if not state.runs:
            state.problem = "a caller received a success for a booking that did not run"
        case Err(failure) if failure.outcome is Outcome.NOT_RUN and (state.runs or state.calls):
            state.problem = "a caller received 'not run' for a booking that ran or may still run"
