"""Randomly generated booking histories on three instances, with restarts, duplicates and losses."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from random import Random

from result import Err, Ok, Result

from azurefield.booking import (
    BookingLedger,
    Dispatch,
    Forward,
    Refuse,
    Replay,
    TicketIssuer,
)
from azurefield.failures import FailureKind, RequestFailure
from azurefield.model import Outcome

LIFETIME_S = 10.0
Ledger = BookingLedger[str]


def ledger_of(incarnation: str, ledger: type[Ledger] = Ledger) -> Ledger:
    """Create the ledger of a process that has just started."""
    issuer = TicketIssuer(
        incarnation=incarnation, key=incarnation.encode(), lifetime_s=LIFETIME_S, sequence=0
    )
    return ledger(issuer=issuer)


def failed(outcome: Outcome) -> Result[str, RequestFailure]:
    """Build the result of a dispatch that failed with this outcome."""
    return Err(RequestFailure(kind=FailureKind.BOOKING_FAILED, outcome=outcome, detail=""))


@dataclass(slots=True, kw_only=True)
class BookingSimulation:
    """Three instances, their callers, a backend server, and a network that delays and duplicates.

    ``requests`` are on their way to an instance, ``running`` are dispatches without a result yet.
    """

    ledger_type: type[Ledger]
    now: float = 0.0
    starts: int = 0
    instances: list[Ledger] = field(default_factory=list)
    tickets: list[str] = field(default_factory=list)
    requests: list[tuple[int, str, str, bool]] = field(default_factory=list)
    running: list[tuple[Ledger, Dispatch, str, str]] = field(default_factory=list)
    joined: Counter[tuple[str, str]] = field(default_factory=Counter)
    runs: Counter[tuple[str, str]] = field(default_factory=Counter)

    def new_process(self) -> Ledger:
        """Create the ledger of a new process, under an incarnation of its own."""
        self.starts += 1
        return ledger_of(f"{self.starts:08x}", self.ledger_type)

    def step(self, operation: str, selector: int, item_selector: int) -> None:
        """Carry out one operation.

        ``selector`` chooses the instance, the ending of a dispatch or the time to wait;
        ``item_selector`` chooses the ticket and body, the request or the dispatch.
        """
        if not self.instances:
            self.instances = [self.new_process() for _ in range(3)]
        index = selector % 3
        if operation == "issue":
            self.tickets.append(self.instances[index].issuer.issue(self.now))
        elif operation == "call" and self.tickets:
            ticket = self.tickets[-1 - item_selector % min(4, len(self.tickets))]
            self.requests.append((index, ticket, f"body {item_selector % 7 // 6}", False))
        elif operation in ("deliver", "duplicate", "lose") and self.requests:
            request = self.requests[item_selector % len(self.requests)]
            if operation != "duplicate":
                self.requests.remove(request)
            if operation != "lose":
                self.deliver_request(*request)
        elif operation == "end" and self.running:
            self.finish_attempt(*self.running.pop(item_selector % len(self.running)), selector % 4)
        elif operation == "crash":
            self.instances[index] = self.new_process()
        elif operation == "wait":
            self.now += selector % 7

    def deliver_request(self, index: int, ticket: str, body: str, forwarded: bool) -> None:
        """Deliver a request to an instance and carry out the decision of its ledger."""
        ledger = self.instances[index]
        match ledger.request(self.now, ticket, body, forwarded=forwarded):
            case Dispatch() as dispatch:
                self.running.append((ledger, dispatch, ticket, body))
            case Forward(incarnation=incarnation):
                for other, instance in enumerate(self.instances):
                    if instance.issuer.incarnation == incarnation:
                        self.requests.append((other, ticket, body, True))
            case Refuse(failure=failure):
                self.check_result(ticket, body, Err(failure))
            case Replay(result=result):
                self.check_result(ticket, body, result)

    def finish_attempt(
        self, ledger: Ledger, dispatch: Dispatch, ticket: str, body: str, ending: int
    ) -> None:
        """End a dispatch.

        ``ending`` 0: it ran and answered; 1: it ran and the answer was lost; 2: the call was lost;
        3: the backend server refused it.
        """
        self.runs[ticket, body] += ending in (0, 1)
        assert sum(self.runs[entry] for entry in self.runs if entry[0] == ticket) <= 1
        results = [Ok("answer"), failed(Outcome.MAY_HAVE_RUN), failed(Outcome.MAY_HAVE_RUN)]
        result = [*results, failed(Outcome.NOT_RUN)][ending]
        if ledger in self.instances:
            self.check_result(ticket, body, ledger.on_finished(dispatch, result))

    def check_result(self, ticket: str, body: str, result: Result[str, RequestFailure]) -> None:
        """Check that the result a caller receives now agrees with the runs so far."""
        match result:
            case Ok():
                assert self.runs[ticket, body] == 1
            case Err(failure) if failure.outcome is Outcome.NOT_RUN:
                assert self.runs[ticket, body] == 0
                assert (ticket, body) not in [entry[2:] for entry in self.running]


OPERATIONS = {
    "issue": 2,
    "call": 6,
    "deliver": 8,
    "duplicate": 2,
    "lose": 1,
    "end": 4,
    "crash": 1,
    "wait": 2,
}


def play(ledger: type[Ledger], seed: int) -> BookingSimulation:
    """Run one history of random operations drawn from the seed.

    :raises AssertionError: if a booking ran twice or a result does not agree with the runs
    """
    rng = Random(seed)
    simulation = BookingSimulation(ledger_type=ledger)
    operations = rng.choices(list(OPERATIONS), list(OPERATIONS.values()), k=300)
    for operation in operations:
        simulation.step(operation, rng.randrange(12), rng.randrange(420))
    return simulation
