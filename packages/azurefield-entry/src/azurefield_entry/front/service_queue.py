"""Admission queue of one service, with its timer and the futures of the waiting requests."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from azurefield.admission import (
    AdmissionQueue,
    AdmissionRequest,
    Admitted,
    Decision,
    Queued,
)
from azurefield.concurrency_limit import ConcurrencyLimit
from azurefield.failures import RequestFailure
from azurefield.fairness import ShareExchange
from azurefield.model import ServiceConfig
from azurefield_entry.metrics import Metrics

if TYPE_CHECKING:
    from azurefield_entry.front.admission import PendingRequest
    from azurefield_entry.messages import QueryCost

# Target latency of a request's leaf calls, as a fraction of the shortest deadline. The wait for
# admission takes less than a tenth; the rest is left for the slowest leaf and for a retry.
LATENCY_TARGET_FRACTION = 0.25
# Start and maximum of the concurrency limit, as multiples of this instance's share of the slots.
# They exceed the share, since a slot is idle while an answer is in transit and other instances
# rarely use their whole share at the same time.
CONCURRENCY_START_FACTOR = 4.0
CONCURRENCY_MAX_FACTOR = 32.0
TIMER_RESOLUTION_S = 0.001  # Timers of the event loop are no finer and may fire this early.

AdmissionResult = Result[None, RequestFailure]


@dataclass(slots=True, kw_only=True)
class ServiceQueue:
    """Connects the requests of one service to its ``AdmissionQueue`` and delivers its decisions.

    ``instances`` is the number of instances that share the slots of the backend servers. ``leafs``
    is the number of leaf calls of a listing, as the last query reported it.
    """

    config: ServiceConfig
    instances: int
    metrics: Metrics
    leafs: int = 1
    queue: AdmissionQueue = field(init=False)
    exchange: ShareExchange = field(init=False)
    waiting: dict[str, asyncio.Future[AdmissionResult]] = field(default_factory=dict)
    timer: asyncio.TimerHandle | None = None
    timer_at: float = float("inf")

    def __post_init__(self) -> None:
        share = self.slots_share()
        self.leafs = estimate_leafs(self.config)
        self.exchange = ShareExchange(members=self.config.members)
        self.queue = AdmissionQueue(
            limit=ConcurrencyLimit(limit=CONCURRENCY_START_FACTOR * share, target_s=0.0),
            queue_limit=self.config.queue_limit,
            priorities={},
            kind_weights={},
            weights={},
        )
        self.update(self.config, self.instances)

    def update(self, config: ServiceConfig, instances: int) -> None:
        """Apply the configuration and instance count; waiting and running requests are kept."""
        if config.members != self.config.members or not self.queue.weights:
            self.exchange.members = config.members
            self.queue.set_weights({share.member: share.weight for share in config.members})
        self.config, self.instances = config, instances
        self.queue.queue_limit = config.queue_limit
        self.queue.priorities = {policy.kind: policy.priority for policy in config.kinds}
        self.queue.kind_weights = {policy.kind: policy.weight for policy in config.kinds}
        self.queue.caps = {share.member: share.cap for share in config.members}
        for fair_queue in self.queue.queues.values():
            fair_queue.caps = self.queue.caps
        self.update_limit()

    def update_limit(self) -> None:
        """Set the bounds of the concurrency limit from this instance's share of the slots."""
        share, limit = self.slots_share(), self.queue.limit
        limit.floor, limit.ceiling = share, CONCURRENCY_MAX_FACTOR * share
        limit.limit = min(limit.ceiling, max(limit.floor, limit.limit))
        shortest_ms = min((policy.deadline_ms for policy in self.config.kinds), default=1)
        limit.target_s = LATENCY_TARGET_FRACTION * shortest_ms / 1000

    def slots_share(self) -> float:
        """Return this instance's share of the service's slots, at least one."""
        slots = sum(server.slots for server in self.config.backend_servers)
        return max(1.0, slots / self.instances)

    async def submit(self, pending: PendingRequest) -> AdmissionResult:
        """Wait until the request may run or is refused."""
        loop = asyncio.get_running_loop()
        request = AdmissionRequest(
            request_id=pending.request_id,
            member=pending.member,
            kind=pending.kind,
            arrived_at=pending.arrived_at,
            deadline=pending.deadline,
            cost=float(self.leafs if pending.kind.partial else 1),
        )
        decision = self.queue.submit(loop.time(), request)
        if not isinstance(decision, Queued):
            self.deliver_decisions()
            return self.to_result(decision)
        future: asyncio.Future[AdmissionResult] = loop.create_future()
        self.waiting[request.request_id] = future
        self.set_timer(request.wait_until)
        self.deliver_decisions()
        try:
            result = await future
        except asyncio.CancelledError:
            self.waiting.pop(request.request_id, None)
            self.queue.cancel(loop.time(), request)
            self.deliver_decisions()
            self.count_result("withdrawn")
            raise
        self.observe_wait(pending)
        return result

    def release(self, request_id: str, query_cost: QueryCost | None) -> None:
        """Record the end of an admitted request and admit the next ones."""
        latency_s = None if query_cost is None else query_cost.leaf_latency_s
        if query_cost is not None and query_cost.leafs_total is not None:
            self.leafs = query_cost.leafs_total
        self.queue.release(asyncio.get_running_loop().time(), request_id, latency_s)
        self.metrics.admission_limit.labels(self.config.name).set(self.queue.limit.limit)
        self.deliver_decisions()

    def deliver_decisions(self) -> None:
        """Pass the queue's decisions to the waiting requests."""
        for decision in self.queue.take_decisions():
            future = self.waiting.pop(decision.request_id, None)
            if future is not None and not future.done():
                future.set_result(self.to_result(decision))
        self.metrics.admission_queue.labels(self.config.name).set(self.queue.queued)

    def to_result(self, decision: Decision) -> AdmissionResult:
        """Count a decision and turn it into the result of a request."""
        if isinstance(decision, Admitted):
            self.count_result("admitted")
            return Ok(None)
        self.count_result(decision.failure.kind)
        return Err(decision.failure)

    def set_timer(self, at: float) -> None:
        """Set the timer for the next refusal unless it is already set for an earlier time."""
        if at >= self.timer_at:
            return
        if self.timer is not None:
            self.timer.cancel()
        loop = asyncio.get_running_loop()
        self.timer_at = at
        self.timer = loop.call_at(max(at, loop.time() + TIMER_RESOLUTION_S), self.on_timer)

    def on_timer(self) -> None:
        """Refuse the requests that have waited too long."""
        self.timer, self.timer_at = None, float("inf")
        self.queue.tick(asyncio.get_running_loop().time())
        self.deliver_decisions()
        next_wake = self.queue.next_wake()
        if next_wake is not None:
            self.set_timer(next_wake)

    def exchange_shares(self, now: float) -> dict[str, float]:
        """Adjust the members' weights.

        :return: the members' use on this instance
        """
        self.queue.member_use.decay(now)
        use = dict(self.queue.member_use.rates)
        self.queue.set_weights(self.exchange.weights(now, use))
        return use

    @property
    def idle(self) -> bool:
        """Whether no request waits or runs."""
        return not self.waiting and not self.queue.running

    def observe_wait(self, pending: PendingRequest) -> None:
        """Record how long a request waited for admission."""
        waited_s = asyncio.get_running_loop().time() - pending.arrived_at
        self.metrics.admission_wait_seconds.labels(self.config.name, pending.kind).observe(waited_s)

    def count_result(self, result: str) -> None:
        """Count a result of admission."""
        self.metrics.admissions.labels(self.config.name, result).inc()


def estimate_leafs(config: ServiceConfig) -> int:
    """Estimate the number of leafs until a query reports it.

    Each leaf is assumed to have one replica per availability zone.
    """
    zones = {server.availability_zone for server in config.backend_servers}
    return max(1, len(config.backend_servers) // max(1, len(zones)))
