"""Model of one booking: the shipped ledger on two instances, a lossy network and a backend server.

The caller sends its booking several times, to any instance. The network delays, loses and doubles
messages. Instances restart with another incarnation and key, may refuse a request before their
ledger sees it, and time may pass the end of the ticket. A dispatch may end as run, as refused, or
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
from azurefield_testkit.models.state import copy_of, digest_of_state

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
    """A call that was sent to the backend server; ``reported`` if its end is already noted."""

    instance: int
    incarnation: str
    sequence: int
    attempt: int
    reported: bool = False


@dataclass(slots=True, kw_only=True)
class Budget:
    """How often each thing may still happen."""

    sends: int = 3
    doubled: int = 0
    lost: int = 0
    restarts: int = 0
    timeouts: int = 1
    refusals: int = 1
    early_refusals: int = 1
    expiries: int = 1


@dataclass(slots=True, kw_only=True)
class World:
    """One state of the model; messages and calls are kept sorted, as their order is free."""

    ledgers: list[Ledger]
    ticket: str
    budget: Budget
    now: float = 0.0
    requests: list[Request] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    runs: int = 0
    problem: str | None = None


def not_run() -> RequestFailure:
    """Describe a dispatch that no backend server ran."""
    return RequestFailure(
        kind=FailureKind.LEAF_UNAVAILABLE, outcome=Outcome.NOT_RUN, detail="refused"
    )


@dataclass(slots=True, kw_only=True)
class BookingModel:
    """Instances with ledgers of the given class, so that weakened ones can be explored."""

    budget: Budget
    ledger_type: type[Ledger] = Ledger
    instances: int = 2

    def initial(self) -> World:
        """Return instances of which the first has issued the ticket."""
        ledgers = [self.ledger(f"{number:08x}") for number in range(self.instances)]
        ticket = ledgers[0].issuer.issue(0.0)
        return World(ledgers=ledgers, ticket=ticket, budget=copy_of(self.budget))

    def ledger(self, incarnation: str) -> Ledger:
        """Make the ledger of a process that starts."""
        issuer = TicketIssuer(
            incarnation=incarnation, key=incarnation.encode(), lifetime_s=TICKET_LIFETIME_S
        )
        return self.ledger_type(issuer=issuer)

    def key(self, state: World) -> Hashable:
        """Return a digest of all fields."""
        return digest_of_state(state)

    def violation(self, state: World) -> str | None:
        """Return the problem that a step has found."""
        return state.problem

    def steps(self, state: World) -> Iterator[tuple[str, World]]:
        """Yield all steps."""
        for label, step in self.enabled(state):
            successor = copy_of(state)
            step(successor)
            successor.requests.sort()
            successor.calls.sort()
            if successor.runs > 1:
                successor.problem = "the booking ran twice"
            yield label, successor

    def enabled(self, state: World) -> Iterator[tuple[str, Callable[[World], None]]]:
        """Yield each enabled step as a label and a function that carries it out."""
        for number in range(self.instances):
            if state.budget.sends:
                yield f"caller sends to {number}", partial(send, instance=number)
            if state.budget.restarts:
                yield f"instance {number} restarts", partial(self.restart, number=number)
        for request in dict.fromkeys(state.requests):
            name = f"request to {request.instance}"
            yield f"{name} arrives", partial(self.arrive, request=request)
            if state.budget.early_refusals:
                yield f"{name} is refused early", partial(self.refuse_early, request=request)
            if state.budget.doubled:
                yield f"{name} is doubled", partial(double, request=request)
            if state.budget.lost:
                yield f"{name} is lost", partial(lose, request=request)
        for call in dict.fromkeys(state.calls):
            yield "call runs", partial(self.run, call=call)
            if not call.reported and state.budget.timeouts:
                yield "call times out", partial(self.time_out, call=call)
            if not call.reported and state.budget.refusals:
                yield "call is refused", partial(self.refuse, call=call)
        if state.budget.expiries:
            yield "the ticket ends", expire

    def arrive(self, world: World, request: Request) -> None:
        """Let an instance decide on a request."""
        world.requests.remove(request)
        ledger = world.ledgers[request.instance]
        decision = ledger.request(world.now, world.ticket, "body", forwarded=request.forwarded)
        match decision:
            case Dispatch(sequence=sequence, attempt=attempt):
                world.calls.append(
                    Call(
                        instance=request.instance,
                        incarnation=ledger.issuer.incarnation,
                        sequence=sequence,
                        attempt=attempt,
                    )
                )
            case Forward(incarnation=incarnation):
                forward(world, incarnation)
            case Replay(result=result):
                tell(world, result)
            case Refuse(failure=failure):
                tell(world, Err(failure))
            case Join():
                pass

    def refuse_early(self, world: World, request: Request) -> None:
        """Let an instance refuse a request before its ledger decides, for instance by admission."""
        world.budget.early_refusals -= 1
        world.requests.remove(request)
        ledger = world.ledgers[request.instance]
        tell(world, Err(ledger.correct_refusal_outcome(world.now, world.ticket, not_run())))

    def run(self, world: World, call: Call) -> None:
        """Run a booking on the backend server and report it if the instance still waits."""
        world.calls.remove(call)
        world.runs += 1
        if not call.reported:
            self.finish(world, call, Ok("run"))

    def time_out(self, world: World, call: Call) -> None:
        """Give up waiting for a call, which may still run."""
        world.budget.timeouts -= 1
        world.calls.remove(call)
        reported = Call(
            instance=call.instance,
            incarnation=call.incarnation,
            sequence=call.sequence,
            attempt=call.attempt,
            reported=True,
        )
        world.calls.append(reported)
        self.finish(world, call, Err(outcome_unknown("timeout")))

    def refuse(self, world: World, call: Call) -> None:
        """Let the backend server refuse a call that it has not run."""
        world.budget.refusals -= 1
        world.calls.remove(call)
        self.finish(world, call, Err(not_run()))

    def finish(self, world: World, call: Call, result: Result[str, RequestFailure]) -> None:
        """Report the end of a dispatch to the process that made it, if it still exists."""
        ledger = world.ledgers[call.instance]
        if ledger.issuer.incarnation != call.incarnation:
            return
        dispatch = Dispatch(sequence=call.sequence, attempt=call.attempt)
        tell(world, ledger.on_finished(dispatch, result))

    def restart(self, world: World, number: int) -> None:
        """Replace a process by one with another incarnation."""
        world.budget.restarts -= 1
        world.ledgers[number] = self.ledger(f"{100 + number + 10 * world.budget.restarts:08x}")


def send(world: World, instance: int) -> None:
    """Let the caller send its booking (again)."""
    world.budget.sends -= 1
    world.requests.append(Request(instance=instance, forwarded=False))


def double(world: World, request: Request) -> None:
    """Deliver a message one more time."""
    world.budget.doubled -= 1
    world.requests.append(request)


def lose(world: World, request: Request) -> None:
    """Drop a message."""
    world.budget.lost -= 1
    world.requests.remove(request)


def expire(world: World) -> None:
    """Let the time pass the end of the ticket."""
    world.budget.expiries -= 1
    world.now = 2 * TICKET_LIFETIME_S


def forward(world: World, incarnation: str) -> None:
    """Send a request to the issuer, or tell the caller that the issuer is gone."""
    for number, ledger in enumerate(world.ledgers):
        if ledger.issuer.incarnation == incarnation:
            world.requests.append(Request(instance=number, forwarded=True))
            return
    tell(world, Err(outcome_unknown("the issuer is gone")))


def tell(world: World, result: Result[str, RequestFailure]) -> None:
    """Check what a caller is told at this moment."""
    match result:
        case Ok() if not world.runs:
            world.problem = "a caller was told of a run that did not happen"
        case Err(failure) if failure.outcome is Outcome.NOT_RUN and (world.runs or world.calls):
            world.problem = "a caller was told 'not run' of a booking that ran or may still run"
