from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from heapq import heappop, heappush

import pytest

from azurefield.admission import (
    AdmissionQueue,
    AdmissionRequest,
    Admitted,
    Decision,
    Queued,
    Refused,
)
from azurefield.concurrency_limit import ConcurrencyLimit
from azurefield.failures import FailureKind
from azurefield.model import Outcome, RequestKind

LISTING, URGENT = RequestKind.LISTING, RequestKind.URGENT
SERVICE_S = 0.01
SLOTS = 4


def queue_of(limit: float = SLOTS, queue_limit: int = 64) -> AdmissionQueue:
    return AdmissionQueue(
        limit=ConcurrencyLimit(limit=limit, ceiling=limit, target_s=1.0),
        queue_limit=queue_limit,
        priorities={URGENT: 0, LISTING: 1},
        kind_weights={URGENT: 3.0, LISTING: 1.0},
        weights={},
    )


@dataclass(slots=True, kw_only=True)
class Load:
    """Sends requests to a queue in virtual time; admitted ones run for a fixed service time."""

    queue: AdmissionQueue
    events: list[tuple[float, int, str]] = field(default_factory=list)
    requests: dict[str, AdmissionRequest] = field(default_factory=dict)
    served: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    delays: list[float] = field(default_factory=list)
    late: int = 0
    wake: float | None = None

    def send(self, *, member: str, kind: RequestKind, every_s: float, deadline_s: float) -> None:
        """Schedule requests at a fixed interval for two seconds."""
        for step in range(int(2.0 / every_s)):
            name = f"{member}.{kind}.{step}"
            self.requests[name] = AdmissionRequest(
                request_id=name,
                member=member,
                kind=kind,
                arrived_at=step * every_s,
                deadline=step * every_s + deadline_s,
            )
            heappush(self.events, (step * every_s, 0, name))

    def run(self) -> None:
        """Process all events in chronological order."""
        while self.events:
            now, event, name = heappop(self.events)
            if event == 0:
                decision = self.queue.submit(now, self.requests[name])
                if not isinstance(decision, Queued):
                    self.handle(now, decision)
            elif event == 1:
                self.queue.release(now, name, SERVICE_S)
            else:
                self.queue.tick(now)
            for other in self.queue.take_decisions():
                self.handle(now, other)
            previous_wake, self.wake = self.wake, self.queue.next_wake()
            if self.wake is not None and self.wake != previous_wake:
                heappush(self.events, (self.wake, 2, ""))

    def handle(self, now: float, decision: Decision) -> None:
        """Count a decision and schedule the end of an admitted request."""
        request = self.requests[decision.request_id]
        key = f"{request.member}.{request.kind}"
        if isinstance(decision, Admitted):
            heappush(self.events, (now + SERVICE_S, 1, decision.request_id))
            self.served[key] += 1
            self.late += now + SERVICE_S > request.deadline
        else:
            assert decision.failure.outcome is Outcome.NOT_RUN
            self.refused[key] += 1
            waited_s = now - request.arrived_at
            self.delays.append(waited_s / (request.deadline - request.arrived_at))


def test_at_five_times_the_capacity_the_servers_stay_busy_and_refusals_are_early() -> None:
    """Guards against a queue that grows without a limit at overload.

    Every request would then wait until its deadline has passed, and the servers' work be useless.
    """
    load = Load(queue=queue_of())
    load.send(member="m", kind=LISTING, every_s=SERVICE_S / SLOTS / 5, deadline_s=0.25)
    load.run()
    capacity = 2.0 / SERVICE_S * SLOTS
    assert load.served.total() >= 0.95 * capacity
    assert load.late == 0
    assert max(load.delays) <= 0.1


def test_urgent_requests_are_served_first_but_listings_get_their_weight() -> None:
    """Guards against strict priority, by which urgent requests starve listings at overload."""
    load = Load(queue=queue_of())
    for kind in (URGENT, LISTING):
        load.send(member="m", kind=kind, every_s=SERVICE_S / SLOTS / 2, deadline_s=0.25)
    load.run()
    assert load.served["m.listing"] == pytest.approx(0.25 * load.served.total(), rel=0.15)


def test_urgent_requests_within_their_weight_are_all_served_at_the_peak() -> None:
    """Guards against refusing urgent requests because listings have filled the limit."""
    load = Load(queue=queue_of())
    load.send(member="m", kind=URGENT, every_s=SERVICE_S / SLOTS * 2, deadline_s=0.25)
    load.send(member="m", kind=LISTING, every_s=SERVICE_S / SLOTS / 5, deadline_s=0.25)
    load.run()
    assert load.refused["m.urgent"] == 0
    assert load.refused["m.listing"] > 0


def test_a_greedy_member_does_not_displace_a_member_within_its_share() -> None:
    """Guards against a queue filled by one member, so that requests of others are refused."""
    load = Load(queue=queue_of(queue_limit=8))
    load.send(member="greedy", kind=LISTING, every_s=SERVICE_S / SLOTS / 10, deadline_s=1.0)
    load.send(member="small", kind=LISTING, every_s=SERVICE_S / SLOTS * 4, deadline_s=1.0)
    load.run()
    assert load.refused["small.listing"] <= 0.02 * load.served["small.listing"]


@pytest.mark.parametrize(
    ("deadline_s", "decision"),
    [(1.0, Queued), (0.02, Refused)],
    ids=["wait-fits", "wait-exceeds-a-tenth-of-the-deadline"],
)
def test_a_request_whose_wait_is_too_long_is_refused_at_once(
    deadline_s: float, decision: type
) -> None:
    """Guards against a late refusal of a request that could not be served in time anyway."""
    queue = queue_of(limit=1.0)
    for index in range(3):
        request = AdmissionRequest(
            request_id=str(index), member="m", kind=LISTING, arrived_at=0.0, deadline=10.0
        )
        queue.submit(0.0, request)
    queue.release(SERVICE_S, "0", SERVICE_S)
    late = AdmissionRequest(
        request_id="late",
        member="m",
        kind=LISTING,
        arrived_at=SERVICE_S,
        deadline=SERVICE_S + deadline_s,
    )
    answer = queue.submit(SERVICE_S, late)
    assert isinstance(answer, decision)
    if isinstance(answer, Refused):
        assert answer.failure.kind is FailureKind.DEADLINE_UNREACHABLE


@pytest.mark.parametrize(
    ("slots", "slow_leafs", "least", "most"),
    [(4, 0, 4.0, 16.0), (32, 0, 32.0, 128.0), (32, 1, 32.0, 128.0)],
    ids=["few-slots", "many-slots", "one-slow-leaf-of-three"],
)
def test_the_limit_follows_the_latency_of_the_backend_servers(
    slots: int, slow_leafs: int, least: float, most: float
) -> None:
    """Guards against a fixed limit, which overloads few servers or leaves many of them idle.

    One leaf that is slow on all its servers must not lower the limit for the other leafs.
    """
    limit = ConcurrencyLimit(limit=4.0, target_s=2 * SERVICE_S, floor=1.0)
    for request in range(5000):
        latency_s = SERVICE_S * max(1.0, limit.limit / slots)
        slow = request % 3 < slow_leafs
        limit.observe(10.0 if slow else latency_s, in_use=True)
    assert least <= limit.limit <= most


def test_the_limit_does_not_rise_while_it_is_not_used() -> None:
    """Guards against a limit that rises without being used and then admits an unlimited burst."""
    limit = ConcurrencyLimit(limit=4.0, target_s=2 * SERVICE_S)
    for _ in range(1000):
        limit.observe(SERVICE_S, in_use=False)
    assert limit.limit == 4.0


@pytest.mark.parametrize(
    ("kind", "member", "decision"),
    [(URGENT, "m", Admitted), (LISTING, "m", Queued)],
    ids=["urgent", "listing"],
)
def test_an_urgent_request_starts_at_once_though_listings_wait(
    kind: RequestKind, member: str, decision: type
) -> None:
    """Guards against an urgent request that queues behind listings although it fits the limit."""
    queue = queue_of()
    for index, other in enumerate((URGENT, LISTING, LISTING, LISTING, LISTING)):
        queue.submit(
            0.0,
            AdmissionRequest(
                request_id=str(index), member="m", kind=other, arrived_at=0.0, deadline=10.0
            ),
        )
    assert queue.queued > 0
    request = AdmissionRequest(
        request_id="new", member=member, kind=kind, arrived_at=0.0, deadline=10.0
    )
    assert isinstance(queue.submit(0.0, request), decision)


def test_cancelled_requests_free_their_place_whether_they_wait_or_run() -> None:
    """Guards against leaking queue entries and cost in flight when callers disconnect."""
    queue = queue_of(limit=1.0)
    requests = [
        AdmissionRequest(
            request_id=str(index), member="m", kind=LISTING, arrived_at=0.0, deadline=10.0
        )
        for index in range(3)
    ]
    for request in requests:
        queue.submit(0.0, request)
    queue.cancel(0.1, requests[1])
    queue.cancel(0.1, requests[0])
    assert queue.take_decisions() == [Admitted(request_id="2")]
    queue.release(0.2, "2", None)
    assert queue.in_flight == 0.0
    assert queue.next_wake() is None
