"""Variants: the policies of one instance, as shipped, naive, or with one mechanism off."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from enum import StrEnum
from random import Random
from typing import TYPE_CHECKING, Protocol

from azurefield.admission import (
    QUEUE_WAIT_FRACTION_MAX,
    AdmissionQueue,
    AdmissionRequest,
    Admitted,
    ConcurrencyLimit,
    Decision,
    Queued,
    Refused,
)
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
# The target latency of leaf calls as a part of the shortest deadline.
TARGET_FRACTION = 0.25


class Variant(StrEnum):
    """What is measured against what."""

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
    """The part of ``AdmissionQueue`` that an instance calls."""

    @property
    def member_use(self) -> UseMeter:
        """Cost per second by member."""

    def submit(self, now: float, request: AdmissionRequest) -> Admitted | Queued | Refused:
        """Decide on a new request."""

    def release(self, now: float, request_id: str, latency_s: float | None) -> None:
        """Note the end of a request."""

    def tick(self, now: float) -> None:
        """Refuse requests that waited too long."""

    def next_wake(self) -> float | None:
        """Return when ``tick`` is due."""

    def take_decisions(self) -> list[Decision]:
        """Return the decisions on waiting requests."""

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Replace the members' weights."""


@dataclass(slots=True, kw_only=True)
class Policies:
    """The policies of one instance."""

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
    """Takes any candidate; the router of the naive version."""

    random: Random

    def choose(
        self, now: float, candidates: tuple[str, ...], tried: Collection[str] = ()  # noqa: ARG002
    ) -> str | None:
        """Return a random candidate."""
        untried = [server for server in candidates if server not in tried]
        return self.random.choice(untried) if untried else None

    def on_dispatch(self, now: float, server: str) -> None:
        """Do nothing."""

    def on_result(self, now: float, server: str, result: object, latency_s: float) -> None:
        """Do nothing."""


class WithoutEjection(OwnObservationRouter):
    """Own observations without ejection."""

    def ejected(self, now: float, candidates: tuple[str, ...]) -> frozenset[str]:  # noqa: ARG002
        """Return no server."""
        return frozenset()


class WithoutSlowStart(OwnObservationRouter):
    """Own observations without slow start."""

    def score(self, now: float, server: str, median_latency_s: float) -> float:
        """Forget the slow start before the server is judged."""
        self.view(server).slow_start_from = float("-inf")
        return super().score(now, server, median_latency_s)


@dataclass(slots=True, kw_only=True)
class FifoAdmission:
    """First in, first out under a fixed limit; requests wait until their deadline."""

    limit: float
    waiting: deque[AdmissionRequest] = field(default_factory=deque)
    running: dict[str, float] = field(default_factory=dict)
    in_flight: float = 0.0
    decisions: list[Decision] = field(default_factory=list)
    member_use: UseMeter = field(default_factory=UseMeter)

    def submit(
        self, now: float, request: AdmissionRequest  # noqa: ARG002
    ) -> Admitted | Queued | Refused:
        """Admit while there is room, else queue while the queue has room."""
        if not self.waiting and self.in_flight + request.cost <= self.limit:
            return self.admit(request)
        if len(self.waiting) >= QUEUE_LIMIT:
            return self.refuse(request)
        self.waiting.append(request)
        return Queued(request_id=request.request_id)

    def release(self, now: float, request_id: str, latency_s: float | None) -> None:  # noqa: ARG002
        """Admit the next requests in order of arrival."""
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
        """Return the decisions on waiting requests."""
        taken, self.decisions = self.decisions, []
        return taken

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Do nothing."""


class BlindAdmission(AdmissionQueue):
    """The shipped queue that is told nothing of members, kinds or the true deadline."""

    def submit(self, now: float, request: AdmissionRequest) -> Admitted | Queued | Refused:
        """Hide what the variant must not use."""
        return super().submit(now, self.hide(request))

    def hide(self, request: AdmissionRequest) -> AdmissionRequest:
        """Return the request as the variant sees it."""
        return request


class WithoutKinds(BlindAdmission):
    """Treats all kinds alike."""

    def hide(self, request: AdmissionRequest) -> AdmissionRequest:
        """Make every request a listing."""
        return replace(request, kind=RequestKind.LISTING)


class WithoutMembers(BlindAdmission):
    """Treats all members as one: first in, first out within a kind."""

    def hide(self, request: AdmissionRequest) -> AdmissionRequest:
        """Make every request one of the same member."""
        return replace(request, member="all")


class WithoutEarlyRefusal(BlindAdmission):
    """Lets requests wait until their deadline."""

    def hide(self, request: AdmissionRequest) -> AdmissionRequest:
        """Stretch the deadline so that the allowed wait lasts until the true one."""
        allowed_s = (request.deadline - request.arrived_at) / QUEUE_WAIT_FRACTION_MAX
        return replace(request, deadline=request.arrived_at + allowed_s)


ADMISSIONS = {
    Variant.NO_KIND_PRIORITY: WithoutKinds,
    Variant.NO_FAIR_QUEUEING: WithoutMembers,
    Variant.NO_EARLY_REFUSAL: WithoutEarlyRefusal,
}


def policies(variant: Variant, size: ServiceSize, random: Random) -> Policies:
    """Build the policies of one instance."""
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
            return WithoutEjection(random=random)
        case Variant.TWO_CHOICES:
            return OwnObservationRouter(random=random, choices=2)
        case Variant.OUTLIER_EJECTION:
            return OwnObservationRouter(random=random, outlier_factor=3.0)
        case Variant.NO_SLOW_START:
            return WithoutSlowStart(random=random)
        case _:
            return OwnObservationRouter(random=random)


def _admission(variant: Variant, size: ServiceSize) -> Admission:
    share = size.slots * size.servers / INSTANCES
    if variant is Variant.NAIVE:
        return FifoAdmission(limit=float("inf"))
    if variant is Variant.ROUND_ROBIN:
        return FifoAdmission(limit=2 * share)
    fixed = variant is Variant.NO_ADAPTIVE_LIMIT
    return ADMISSIONS.get(variant, AdmissionQueue)(
        limit=ConcurrencyLimit(
            limit=2 * share if fixed else 4 * share,
            target_s=TARGET_FRACTION * min(DEADLINE_S.values()),
            floor=2 * share if fixed else share,
            ceiling=2 * share if fixed else 32 * share,
        ),
        queue_limit=QUEUE_LIMIT,
        priorities=PRIORITY,
        kind_weights=KIND_WEIGHT,
        weights=dict.fromkeys(MEMBERS, 1.0),
    )
