"""Variants of an instance's policies: as shipped, baselines, or with one mechanism changed."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random
from typing import TYPE_CHECKING, Protocol

from msgspec.structs import replace

from azurefield.admission import (
    QUEUE_WAIT_FRACTION_MAX,
    AdmissionQueue,
    AdmissionRequest,
    Admitted,
    Decision,
    Queued,
    Refused,
)
from azurefield.concurrency_limit import ConcurrencyLimit
from azurefield.failures import FailureKind, RequestFailure
from azurefield.fairness import ShareExchange, UseMeter
from azurefield.hedging import BudgetedHedging, HedgePolicy, NoHedging
from azurefield.model import MemberShare, Outcome, RequestKind
from azurefield.quarantine import CrashSuspects
from azurefield.retry import RetryBudget
from azurefield.routing import OwnObservationRouter, RoundRobinRouter, Router
from azurefield_testkit.bench.sizes import (
    DEADLINE_S,
    INSTANCES,
    KIND_WEIGHT,
    MEMBERS,
    PRIORITY,
    ServiceSize,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

HEDGE_BUDGET = 0.05
RETRY_BUDGET = 0.1
QUEUE_LIMIT = 256
# Target latency of leaf calls as a fraction of the shortest deadline.
TARGET_LATENCY_FRACTION = 0.25


class Variant(StrEnum):
    """The shipped policies and those that they are compared with."""

    OURS = "ours"
    NAIVE = "naive"
    ROUND_ROBIN = "round-robin-fifo"
    NO_OWN_OBSERVATION = "no-own-observation"
    NO_EJECTION = "no-ejection"
    NO_SLOW_START = "no-slow-start"
    TWO_CHOICES = "two-choices"
    OUTLIER_EJECTION = "with-outlier-ejection"
    NO_HEDGING = "no-hedging"
    NO_RETRIES = "no-retries"
    NO_ADAPTIVE_LIMIT = "no-adaptive-limit"
    NO_EARLY_REFUSAL = "no-early-refusal"
    NO_KIND_PRIORITY = "no-kind-priority"
    NO_FAIR_QUEUEING = "no-fair-queueing"
    NO_SHARE_EXCHANGE = "no-share-exchange"
    NO_QUARANTINE = "no-quarantine"


class Admission(Protocol):
    """The interface of ``AdmissionQueue`` that an instance uses."""

    @property
    def member_use(self) -> UseMeter:
        """Cost per second by member."""

    def submit(self, now: float, request: AdmissionRequest) -> Admitted | Queued | Refused:
        """Decide on a new request."""

    def release(self, now: float, request_id: str, latency_s: float | None) -> None:
        """Release the concurrency of a finished request."""

    def tick(self, now: float) -> None:
        """Refuse requests that have been queued for too long."""

    def next_wake(self) -> float | None:
        """Return the time at which ``tick`` is due, or None."""

    def take_decisions(self) -> list[Decision]:
        """Return and clear the decisions on queued requests."""

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Replace the members' weights."""


@dataclass(slots=True, kw_only=True)
class Policies:
    """The policies of one instance.

    ``wait_for_all``: whether a request fails if any of its leafs does not answer.
    ``connection_priority``: whether calls wait for a connection in order of their kind's priority.
    """

    router: Router
    hedging: HedgePolicy
    retries: RetryBudget
    admission: Admission
    suspects: CrashSuspects | None
    exchange: ShareExchange | None
    wait_for_all: bool
    connection_priority: bool


@dataclass(slots=True, kw_only=True)
class RandomRouter:
    """Chooses servers at random; the router of the naive variant."""

    random: Random

    def choose(
        self, now: float, candidates: tuple[str, ...], tried: Collection[str] = ()  # noqa: ARG002
    ) -> str | None:
        """Return a random candidate that was not tried yet, or None."""
        untried = [server for server in candidates if server not in tried]
        return self.random.choice(untried) if untried else None

    def on_dispatch(self, now: float, server: str) -> None:
        """Do nothing."""

    def on_result(self, now: float, server: str, result: object, latency_s: float) -> None:
        """Do nothing."""

    def on_load(self, now: float, server: str, load: object) -> None:
        """Do nothing."""


class RouterWithoutEjection(OwnObservationRouter):
    """The shipped router without ejection of failing servers."""

    def ejected(self, now: float, candidates: tuple[str, ...]) -> frozenset[str]:  # noqa: ARG002
        """Return an empty set."""
        return frozenset()


class RouterWithoutSlowStart(OwnObservationRouter):
    """The shipped router without slow start."""

    def score(self, now: float, server: str, median_latency_s: float) -> float:
        """Clear the slow start of a server, then score it."""
        self.pace.forget(server)
        return super().score(now, server, median_latency_s)


@dataclass(slots=True, kw_only=True)
class FifoAdmission:
    """FIFO queue under a fixed concurrency limit; requests wait until their deadline."""

    limit: float
    waiting: deque[AdmissionRequest] = field(default_factory=deque)
    running: dict[str, float] = field(default_factory=dict)
    in_flight: float = 0.0
    decisions: list[Decision] = field(default_factory=list)
    member_use: UseMeter = field(default_factory=UseMeter)

    def submit(
        self, now: float, request: AdmissionRequest  # noqa: ARG002
    ) -> Admitted | Queued | Refused:
        """Admit a request within the limit, else queue it, or refuse it if the queue is full."""
        if not self.waiting and self.in_flight + request.cost <= self.limit:
            return self.admit(request)
        if len(self.waiting) >= QUEUE_LIMIT:
            return self.refuse(request)
        self.waiting.append(request)
        return Queued(request_id=request.request_id)

    def release(self, now: float, request_id: str, latency_s: float | None) -> None:  # noqa: ARG002
        """Admit the next requests in order of arrival, and refuse the expired ones."""
        self.in_flight -= self.running.pop(request_id)
        while self.waiting and (
            not self.running or self.in_flight + self.waiting[0].cost <= self.limit
        ):
            request = self.waiting.popleft()
            late = request.deadline <= now
            self.decisions.append(self.refuse(request) if late else self.admit(request))

    def admit(self, request: AdmissionRequest) -> Admitted:
        """Count a request as running."""
        self.running[request.request_id] = request.cost
        self.in_flight += request.cost
        return Admitted(request_id=request.request_id)

    def refuse(self, request: AdmissionRequest) -> Refused:
        """Refuse a request."""
        failure = RequestFailure(
            kind=FailureKind.QUEUE_FULL, outcome=Outcome.NOT_RUN, detail="queue full"
        )
        return Refused(request_id=request.request_id, failure=failure)

    def tick(self, now: float) -> None:
        """Do nothing."""

    def next_wake(self) -> float | None:
        """Return None."""
        return None

    def take_decisions(self) -> list[Decision]:
        """Return and clear the decisions on queued requests."""
        taken, self.decisions = self.decisions, []
        return taken

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Do nothing."""


class RewritingAdmission(AdmissionQueue):
    """The shipped queue, but requests are rewritten to disable one of its mechanisms."""

    def submit(self, now: float, request: AdmissionRequest) -> Admitted | Queued | Refused:
        """Submit the rewritten request."""
        return super().submit(now, self.rewrite(request))

    def rewrite(self, request: AdmissionRequest) -> AdmissionRequest:
        """Return the request as the queue should see it."""
        return request


class AdmissionWithoutKinds(RewritingAdmission):
    """Gives all kinds the same priority and weight."""

    def rewrite(self, request: AdmissionRequest) -> AdmissionRequest:
        """Set the kind of every request to listing."""
        return replace(request, kind=RequestKind.LISTING)


class AdmissionWithoutMembers(RewritingAdmission):
    """Treats all members as one, so that requests of a kind are served first in, first out."""

    def rewrite(self, request: AdmissionRequest) -> AdmissionRequest:
        """Set the same member for every request."""
        return replace(request, member="all")


class AdmissionWithoutEarlyRefusal(RewritingAdmission):
    """Keeps requests in the queue until their deadline."""

    def rewrite(self, request: AdmissionRequest) -> AdmissionRequest:
        """Extend the deadline so that the permitted wait ends at the true deadline."""
        allowed_s = (request.deadline - request.arrived_at) / QUEUE_WAIT_FRACTION_MAX
        return replace(request, deadline=request.arrived_at + allowed_s)


ADMISSION_CLASSES = {
    Variant.NO_KIND_PRIORITY: AdmissionWithoutKinds,
    Variant.NO_FAIR_QUEUEING: AdmissionWithoutMembers,
    Variant.NO_EARLY_REFUSAL: AdmissionWithoutEarlyRefusal,
}


def policies(variant: Variant, size: ServiceSize, random: Random) -> Policies:
    """Create the policies of one instance."""
    naive = variant in (Variant.NAIVE, Variant.ROUND_ROBIN)
    return Policies(
        router=_router(variant, random),
        hedging=(
            NoHedging()
            if naive or variant is Variant.NO_HEDGING
            else BudgetedHedging(budget=HEDGE_BUDGET)
        ),
        retries=(
            RetryBudget(ratio=0.0, tokens=0.0)
            if variant in (Variant.NAIVE, Variant.NO_RETRIES)
            else RetryBudget(ratio=RETRY_BUDGET)
        ),
        admission=_admission(variant, size),
        suspects=None if naive or variant is Variant.NO_QUARANTINE else CrashSuspects(),
        exchange=(
            None
            if naive or variant is Variant.NO_SHARE_EXCHANGE
            else ShareExchange(members=tuple(MemberShare(member=m, weight=1.0) for m in MEMBERS))
        ),
        wait_for_all=variant is Variant.NAIVE,
        connection_priority=not naive and variant is not Variant.NO_KIND_PRIORITY,
    )


def _router(variant: Variant, random: Random) -> Router:
    match variant:
        case Variant.NAIVE:
            return RandomRouter(random=random)
        case Variant.ROUND_ROBIN | Variant.NO_OWN_OBSERVATION:
            return RoundRobinRouter()
        case Variant.NO_EJECTION:
            return RouterWithoutEjection(random=random)
        case Variant.TWO_CHOICES:
            return OwnObservationRouter(random=random, choices=2)
        case Variant.OUTLIER_EJECTION:
            return OwnObservationRouter(random=random, outlier_factor=3.0)
        case Variant.NO_SLOW_START:
            return RouterWithoutSlowStart(random=random)
        case _:
            return OwnObservationRouter(random=random)


def _admission(variant: Variant, size: ServiceSize) -> Admission:
    share = size.slots * size.servers / INSTANCES
    if variant is Variant.NAIVE:
        return FifoAdmission(limit=float("inf"))
    if variant is Variant.ROUND_ROBIN:
        return FifoAdmission(limit=2 * share)
    fixed = variant is Variant.NO_ADAPTIVE_LIMIT
    return ADMISSION_CLASSES.get(variant, AdmissionQueue)(
        limit=ConcurrencyLimit(
            limit=2 * share if fixed else 4 * share,
            target_s=TARGET_LATENCY_FRACTION * min(DEADLINE_S.values()),
            floor=2 * share if fixed else share,
            ceiling=2 * share if fixed else 32 * share,
        ),
        queue_limit=QUEUE_LIMIT,
        priorities=PRIORITY,
        kind_weights=KIND_WEIGHT,
        weights=dict.fromkeys(MEMBERS, 1.0),
    )
