"""Admission control: concurrency limit, deadlines, priority of kinds and fair shares of members."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct, field

from azurefield.concurrency_limit import ConcurrencyLimit
from azurefield.failures import FailureKind, RequestFailure
from azurefield.fairness import FairQueue, UseMeter
from azurefield.model import Outcome, RequestKind

# A waiting request is refused after this fraction of its deadline. The refusal must reach the
# caller within a tenth of it; the difference allows for late timers and the transfer.
QUEUE_WAIT_FRACTION_MAX = 0.08
# When a request has waited for this fraction of its allowed wait, kinds that already use more than
# their weight are passed over.
LONG_WAIT_FRACTION = 0.5
# Requests of a kind leave capacity under the limit for this many requests of each recently used
# kind of a higher weight, because urgent requests rarely have time to wait.
KIND_HEADROOM_REQUESTS = 3.0
KIND_HEADROOM_FRACTION_MAX = 0.5  # Of the limit.
# A greedy member may use only this fraction of the limit.
GREEDY_LIMIT_FRACTION = 0.5
# Requests that must not wait may exceed the limit by this factor, at a slightly higher latency.
# These are the requests of a kind if no kind of a higher weight was recently used and, while a
# member is greedy, all requests of the other members.
LIMIT_OVERSHOOT_FACTOR = 1.5
# A member is greedy if its recent demand exceeds its share by this factor and its recent use is
# above its share. Its requests are then served after all others, whatever their kind.
GREEDY_DEMAND_FACTOR = 1.5
# Demand reacts within a fraction of a second, while use is smoothed over a longer time. Use alone
# would classify members as greedy by chance.
MEMBER_DEMAND_WINDOW_S = 0.5
MEMBER_USE_WINDOW_S = 3.0
SERVICE_TIME_EWMA_WEIGHT = 0.05
# A service is considered overloaded for this long after a request had to wait or was refused.
OVERLOAD_MEMORY_S = 1.0


class AdmissionRequest(Struct, kw_only=True, frozen=True):
    """A request to be admitted; ``cost`` is the number of leaf calls it needs."""

    request_id: str
    member: str
    kind: RequestKind
    arrived_at: float
    deadline: float
    cost: float = 1.0

    @property
    def wait_until(self) -> float:
        """The time at which the request is refused if it is still waiting."""
        return self.arrived_at + QUEUE_WAIT_FRACTION_MAX * (self.deadline - self.arrived_at)


class Admitted(Struct, kw_only=True, frozen=True):
    """The request may run now; ``release`` must be called when it ends."""

    request_id: str


class Queued(Struct, kw_only=True, frozen=True):
    """The request is waiting; a later ``Admitted`` or ``Refused`` decides on it."""

    request_id: str


class Refused(Struct, kw_only=True, frozen=True):
    """The request was not run and will not be run."""

    request_id: str
    failure: RequestFailure


Decision = Admitted | Refused


class AdmissionQueue(Struct, kw_only=True):
    """Decides which requests of one service run now, wait or are refused.

    ``submit`` decides on a new request and ``release`` records the end of an admitted one. Both can
    also decide on waiting requests, so after each call the owner applies all decisions that
    ``take_decisions`` returns. ``tick`` refuses requests that have waited too long; it is due at
    ``next_wake``. ``cancel`` removes a request whose caller disconnected. Each refusal has the
    outcome ``NOT_RUN``.

    ``priorities`` gives the priority of each kind, 0 first, and ``kind_weights`` limits its effect:
    a kind that uses more than its weight is passed over when a request of another kind has waited
    for half of its allowed wait.
    """

    limit: ConcurrencyLimit
    queue_limit: int
    priorities: Mapping[RequestKind, int]
    kind_weights: Mapping[RequestKind, float]
    weights: Mapping[str, float]
    caps: Mapping[str, float] = field(default_factory=dict)
    queues: dict[RequestKind, FairQueue[AdmissionRequest]] = field(default_factory=dict)
    running: dict[str, tuple[float, AdmissionRequest]] = field(default_factory=dict)
    in_flight: float = 0.0
    kind_use: UseMeter = field(default_factory=UseMeter)
    kind_cost: dict[RequestKind, float] = field(default_factory=dict)
    member_use: UseMeter = field(default_factory=lambda: UseMeter(window_s=MEMBER_USE_WINDOW_S))
    member_demand: UseMeter = field(
        default_factory=lambda: UseMeter(window_s=MEMBER_DEMAND_WINDOW_S)
    )
    service_time_s: float | None = None
    overloaded_at: float = float("-inf")
    decisions: list[Decision] = field(default_factory=list)

    def submit(self, now: float, request: AdmissionRequest) -> Admitted | Queued | Refused:
        """Admit, queue or refuse a new request."""
        self.member_demand.add(now, request.member, request.cost)
        queue = self.queue(request.kind)
        greedy = self.greedy(now)
        if not self.queued and self.fits(request, self.limit_for(request, greedy)):
            queue.charge(now, request.member, request.cost)
            self.admit(now, request)
            return Admitted(request_id=request.request_id)
        self.overloaded_at = now
        wait_s = self.expected_wait_s(request, greedy)
        too_late = now + wait_s + (self.service_time_s or 0.0) > request.deadline
        if too_late or now + wait_s > request.wait_until or now >= request.wait_until:
            return self.refuse(FailureKind.DEADLINE_UNREACHABLE, request, wait_s)
        queue.push(request.member, request.cost, request)
        if self.queued > self.queue_limit:
            evicted = self.evict()
            if evicted == request:
                return self.refuse(FailureKind.QUEUE_FULL, request, wait_s)
            if evicted is not None:
                self.decisions.append(self.refuse(FailureKind.QUEUE_FULL, evicted, wait_s))
        self.admit_next(now)
        if request.request_id in self.running:
            self.decisions.remove(Admitted(request_id=request.request_id))
            return Admitted(request_id=request.request_id)
        return Queued(request_id=request.request_id)

    def release(self, now: float, request_id: str, latency_s: float | None) -> None:
        """Record the end of an admitted request and admit the next ones.

        :param latency_s: median latency of its leaf calls; None if it does not reflect the load
        """
        if request_id not in self.running:
            return
        admitted_at, request = self.running.pop(request_id)
        if latency_s is not None:
            overloaded = now - self.overloaded_at <= OVERLOAD_MEMORY_S
            in_use = overloaded or self.in_flight >= 0.5 * self.limit.limit
            self.limit.observe(latency_s, in_use=in_use)
            elapsed_s = now - admitted_at
            average_s = elapsed_s if self.service_time_s is None else self.service_time_s
            self.service_time_s = average_s + SERVICE_TIME_EWMA_WEIGHT * (elapsed_s - average_s)
        self.in_flight -= request.cost
        self.admit_next(now)

    def cancel(self, now: float, request: AdmissionRequest) -> None:
        """Remove a waiting or running request whose caller disconnected."""
        if self.queue(request.kind).remove(request.member, request):
            self.admit_next(now)
        else:
            self.release(now, request.request_id, None)

    def tick(self, now: float) -> None:
        """Refuse the requests that have waited too long."""
        for queue in self.queues.values():
            for request in [item for item in queue.items() if item.wait_until <= now]:
                queue.remove(request.member, request)
                wait_s = now - request.arrived_at
                self.decisions.append(
                    self.refuse(FailureKind.DEADLINE_UNREACHABLE, request, wait_s)
                )
        self.admit_next(now)

    def next_wake(self) -> float | None:
        """Return when ``tick`` is due, or None if no request is waiting."""
        return min(
            (item.wait_until for queue in self.queues.values() for item in queue.items()),
            default=None,
        )

    def take_decisions(self) -> list[Decision]:
        """Return and clear the decisions made on waiting requests since the last call."""
        taken, self.decisions = self.decisions, []
        return taken

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Replace the members' weights, for instance with those of ``ShareExchange``."""
        self.weights = weights
        for queue in self.queues.values():
            queue.weights = weights

    @property
    def queued(self) -> int:
        """The number of waiting requests."""
        return sum(len(queue) for queue in self.queues.values())

    def queue(self, kind: RequestKind) -> FairQueue[AdmissionRequest]:
        """Return the queue of a kind."""
        if kind not in self.queues:
            self.queues[kind] = FairQueue(weights=self.weights, caps=self.caps)
        return self.queues[kind]

    def fits(self, request: AdmissionRequest, limit: float) -> bool:
        """Whether the request fits under a limit. One request may always run."""
        return not self.running or self.in_flight + request.cost <= limit

    def limit_for(self, request: AdmissionRequest, greedy: frozenset[str]) -> float:
        """Return the limit that applies to a request; the rest is reserved for others.

        Capacity is reserved for each recently used kind of a higher weight, and for the other
        members while one is greedy.
        """
        limit, own_weight = self.limit.limit, self.kind_weight(request.kind)
        heavier_costs = [
            cost
            for kind, cost in self.kind_cost.items()
            if kind in self.kind_use.rates and self.kind_weight(kind) > own_weight
        ]
        if request.member in greedy:
            limit *= GREEDY_LIMIT_FRACTION
        elif greedy or not heavier_costs:
            return limit * LIMIT_OVERSHOOT_FACTOR
        reserved = min(
            KIND_HEADROOM_REQUESTS * sum(heavier_costs),
            KIND_HEADROOM_FRACTION_MAX * self.limit.limit,
        )
        return min(limit, self.limit.limit - reserved)

    def expected_wait_s(self, request: AdmissionRequest, greedy: frozenset[str]) -> float:
        """Estimate how long a request would wait, from the cost that is served before it."""
        if self.service_time_s is None:
            return 0.0
        skipped = frozenset() if request.member in greedy else greedy
        own = self.queue(request.kind).cost_ahead(request.member, skipped) + request.cost
        # Kinds of a higher priority are served first, but only up to their weights.
        prior, prior_weight = 0.0, 0.0
        for kind, queue in self.queues.items():
            if len(queue) and self.priority(kind) < self.priority(request.kind):
                prior += sum(item.cost for item in queue.items() if item.member not in skipped)
                prior_weight += self.kind_weight(kind)
        ahead = own + min(prior, own * prior_weight / self.kind_weight(request.kind))
        limit = self.limit_for(request, greedy)
        return (
            max(0.0, ahead - max(0.0, limit - self.in_flight))
            * self.service_time_s
            / self.limit.limit
        )

    def admit_next(self, now: float) -> None:
        """Admit waiting requests while they fit under the limit."""
        while self.queued:
            greedy = self.greedy(now)
            request = self.next_request(now, greedy)
            if request is None:
                return
            self.queue(request.kind).remove(request.member, request)
            self.queue(request.kind).charge(now, request.member, request.cost)
            self.admit(now, request)
            self.decisions.append(Admitted(request_id=request.request_id))

    def next_request(self, now: float, greedy: frozenset[str]) -> AdmissionRequest | None:
        """Choose the next request, or None if it does not fit.

        A request that does not fit blocks those behind it, since they could starve it otherwise.
        """
        waiting = self.heads(now, greedy) or self.heads(now, frozenset())
        chosen = self.choose_by_priority_and_weight(now, waiting)
        limit = self.limit_for(chosen, greedy)
        if chosen is not waiting[0]:
            limit = LIMIT_OVERSHOOT_FACTOR * self.limit.limit
        return chosen if self.fits(chosen, limit) else None

    def heads(self, now: float, skipped: frozenset[str]) -> list[AdmissionRequest]:
        """List the first waiting request of each kind by priority, except of skipped members."""
        heads = (queue.peek(now, skipped) for queue in self.queues.values() if len(queue))
        return sorted(
            (head for head in heads if head is not None), key=lambda head: self.priority(head.kind)
        )

    def greedy(self, now: float) -> frozenset[str]:
        """Return the members whose demand far exceeds their share and whose use exceeds it."""
        demand = self.member_demand.shares(now)
        use = self.member_use.shares(now)
        weight_sum = sum(self.weight(member) for member in demand)
        return frozenset(
            member
            for member, share in demand.items()
            if use.get(member, 0.0) > min(self.weight(member) / weight_sum, self.cap(member))
            and share > GREEDY_DEMAND_FACTOR * self.weight(member) / weight_sum
        )

    def weight(self, member: str) -> float:
        """Return the weight of a member; an unlisted member has weight 1."""
        return max(self.weights.get(member, 1.0), 1e-6)

    def cap(self, member: str) -> float:
        """Return the fraction of the capacity that a member may use while others wait."""
        return self.caps.get(member, 1.0)

    def admit(self, now: float, request: AdmissionRequest) -> None:
        """Count a request as running."""
        self.running[request.request_id] = (now, request)
        self.in_flight += request.cost
        self.kind_cost[request.kind] = request.cost
        self.kind_use.add(now, request.kind, request.cost)
        self.member_use.add(now, request.member, request.cost)

    def choose_by_priority_and_weight(
        self, now: float, waiting: list[AdmissionRequest]
    ) -> AdmissionRequest:
        """Choose the first by priority; pass over kinds above their weight if others wait long."""
        if len(waiting) > 1 and any(self.has_long_wait(now, head.kind) for head in waiting[1:]):
            shares = self.kind_use.shares(now)
            weight_sum = sum(self.kind_weight(head.kind) for head in waiting)
            for head in waiting:
                share = self.kind_weight(head.kind) / weight_sum
                if shares.get(head.kind, 0.0) <= share:
                    return head
        return waiting[0]

    def has_long_wait(self, now: float, kind: RequestKind) -> bool:
        """Whether a request of the kind has waited for half of its allowed wait."""
        return any(
            now - item.arrived_at >= LONG_WAIT_FRACTION * (item.wait_until - item.arrived_at)
            for item in self.queue(kind).heads()
        )

    def evict(self) -> AdmissionRequest | None:
        """Remove and return the waiting request that would be served last."""
        last = max((kind for kind, queue in self.queues.items() if len(queue)), key=self.priority)
        return self.queue(last).evict()

    def kind_weight(self, kind: RequestKind) -> float:
        """Return the weight of a kind."""
        return self.kind_weights.get(kind, 1.0)

    def priority(self, kind: RequestKind) -> int:
        """Return the priority of a kind, 0 first; an unlisted kind comes last."""
        return self.priorities.get(kind, len(self.priorities))

    def refuse(self, kind: FailureKind, request: AdmissionRequest, wait_s: float) -> Refused:
        """Build the refusal of a request."""
        failure = RequestFailure(
            kind=kind,
            outcome=Outcome.NOT_RUN,
            detail=f"{self.queued} requests wait, expected wait {wait_s * 1000:.0f} ms",
            retry_after_s=1.0,
        )
        return Refused(request_id=request.request_id, failure=failure)
