"""Quota of a server's rate limit: the sum over all instances, order of the calls, rejections."""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest

from azurefield.quota import (
    DEPUTY_FRACTION,
    QuotaDecision,
    QuotaDenied,
    QuotaGranted,
    QuotaQueue,
    QuotaRequest,
    issuer_order,
    rate_fraction,
)
from azurefield.server_limits import NO_LIMIT, NamedLimit

WINDOW_S = 4.0
LATENCY_S = 0.003


def request(
    key: int, *, limit: float = 2.0, named_at: float = 0.0, priority: int = 1, start_by: float
) -> QuotaRequest:
    return QuotaRequest(
        key=key,
        server="s",
        limit=NamedLimit(per_s=limit, named_at=named_at),
        priority=priority,
        start_by=start_by,
    )


def granted(decisions: list[QuotaDecision]) -> list[object]:
    return [decision.key for decision in decisions if isinstance(decision, QuotaGranted)]


def most_in_window(times: list[float]) -> int:
    return max((sum(start <= at < start + WINDOW_S for at in times) for start in times), default=0)


@dataclass(slots=True, kw_only=True)
class Fleet:
    """Instances that request quota from one issuer, on virtual time.

    :param demand: requests per second of each instance
    :param patience_s: how long a call may wait for a token
    :param frozen: from when to when an instance does not run
    """

    random: Random
    demand: dict[int, float]
    patience_s: float
    limit: float
    frozen: tuple[int, float, float] = (-1, 0.0, 0.0)
    queue: QuotaQueue = field(default_factory=QuotaQueue)
    sent_at: list[float] = field(default_factory=list)
    events: list[tuple[float, int, str, int]] = field(default_factory=list)
    numbers: count[int] = field(default_factory=count)
    instance_of: dict[int, int] = field(default_factory=dict)

    def awake_at(self, instance: int, at: float) -> float:
        """When an instance acts on what arrives at a time."""
        name, start, end = self.frozen
        return end if name == instance and start <= at < end else at

    def plan(self, at: float, kind: str, instance: int) -> None:
        heappush(self.events, (self.awake_at(instance, at), next(self.numbers), kind, instance))

    def apply(self, now: float, decisions: list[QuotaDecision]) -> None:
        for key in granted(decisions):
            assert isinstance(key, int)
            self.plan(now + LATENCY_S, "send", self.instance_of[key])

    def run(self, duration_s: float) -> None:
        for instance, rate in self.demand.items():
            self.plan(self.random.expovariate(rate), "call", instance)
        while self.events[0][0] < duration_s:
            wake = self.queue.next_wake()
            if wake is not None and wake <= self.events[0][0]:
                self.apply(wake, self.queue.on_tick(wake))
                continue
            now, number, kind, instance = heappop(self.events)
            if kind == "send":
                self.sent_at.append(now)
                continue
            self.instance_of[number] = instance
            ask = request(number, limit=self.limit, start_by=now + self.patience_s)
            self.apply(now, self.queue.request(now, ask))
            self.plan(now + self.random.expovariate(self.demand[instance]), "call", instance)


@pytest.mark.parametrize("instances", [6, 195])
@pytest.mark.parametrize("limit", [60.0, 13.7, 2.0, 0.5])
@pytest.mark.parametrize("load", ["even", "one"])
@pytest.mark.parametrize("patience_s", [0.0, 0.2])
def test_all_instances_together_keep_to_the_limit_and_use_it(
    instances: int, limit: float, load: str, patience_s: float
) -> None:
    """Guards against fixed shares: they overrun a low limit or leave most of it unused."""
    total = max(100.0, 2 * limit)
    rates = {0: total} if load == "one" else dict.fromkeys(range(instances), total / instances)
    fleet = Fleet(random=Random(5), demand=rates, patience_s=patience_s, limit=limit)
    fleet.run(60.0)
    assert most_in_window(fleet.sent_at) <= 1.5 * limit * WINDOW_S + 5
    assert len(fleet.sent_at) >= 0.9 * limit * 60.0


def test_an_instance_that_was_suspended_sends_no_burst() -> None:
    """Guards against shares that an instance keeps while it is suspended."""
    fleet = Fleet(
        random=Random(3),
        demand=dict.fromkeys(range(6), 20.0),
        patience_s=0.2,
        limit=10.0,
        frozen=(2, 5.0, 12.0),
    )
    fleet.run(30.0)
    assert most_in_window(fleet.sent_at) <= 1.5 * 10.0 * WINDOW_S + 5


def test_urgent_calls_overtake_and_among_equals_the_earliest_deadline_goes_first() -> None:
    """Guards against tokens that go to whoever asked first."""
    queue = QuotaQueue()
    assert granted(queue.request(0.0, request(0, start_by=9.0))) == [0]
    for key, priority, start_by in ((1, 2, 5.0), (2, 1, 8.0), (3, 1, 6.0), (4, 0, 9.0)):
        assert not queue.request(0.0, request(key, priority=priority, start_by=start_by))
    order = []
    while (wake := queue.next_wake()) is not None:
        order += granted(queue.on_tick(wake))
    assert order == [4, 3, 2, 1]


@pytest.mark.parametrize(
    ("waiting", "priority", "start_by", "wait_s"),
    [
        pytest.param(0, 1, 0.0, 0.5, id="no-patience"),
        pytest.param(3, 1, 1.6, 2.0, id="queue-too-long"),
        pytest.param(3, 1, 3.0, None, id="queue-short-enough"),
        pytest.param(3, 0, 1.0, None, id="overtakes"),
    ],
)
def test_a_call_that_gets_no_token_in_time_is_denied_at_once(
    waiting: int, priority: int, start_by: float, wait_s: float | None
) -> None:
    """Guards against calls that wait for a token until their deadline in vain."""
    queue = QuotaQueue()
    queue.request(0.0, request(0, start_by=0.0))
    for key in range(1, waiting + 1):
        # They have the earlier deadlines, so that they go first among equals.
        queue.request(0.0, request(key, start_by=0.5 * key))
    ask = request(99, priority=priority, start_by=start_by)
    decisions = queue.request(0.0, ask)
    if wait_s is None:
        assert not decisions
    else:
        [denied] = decisions
        assert isinstance(denied, QuotaDenied)
        assert denied.wait_s == pytest.approx(wait_s)


def test_the_limit_that_was_named_last_counts() -> None:
    """Guards against an instance with an old limit that changes the rate for all."""
    queue = QuotaQueue()
    queue.request(10.0, request(0, limit=2.0, named_at=9.0, start_by=10.0))
    queue.request(10.0, request(1, limit=50.0, named_at=3.0, start_by=10.0))
    assert queue.servers["s"].limit.per_s == 2.0
    queue.request(10.1, request(2, limit=4.0, named_at=10.05, start_by=10.1))
    assert queue.servers["s"].limit.per_s == 4.0


def test_the_end_of_a_limit_releases_the_waiting_calls() -> None:
    """Guards against a limit that binds the other instances after it has ended."""
    queue = QuotaQueue()
    for key in range(4):
        queue.request(0.0, request(key, start_by=9.0))
    ended = queue.on_limit(0.1, "s", NamedLimit(per_s=NO_LIMIT, named_at=0.1))
    assert ended == [QuotaGranted(key=key, limit_ended=True) for key in (1, 2, 3)]
    late = queue.request(0.2, request(9, named_at=0.05, start_by=0.2))
    assert late == [QuotaGranted(key=9, limit_ended=True)]
    renewed = queue.request(0.3, request(10, named_at=0.25, start_by=0.3))
    assert not any(isinstance(entry, QuotaGranted) and entry.limit_ended for entry in renewed)


def test_a_server_that_takes_nothing_is_probed() -> None:
    """Guards against a limit of zero that no instance ever finds to have ended."""
    fleet = Fleet(random=Random(1), demand={0: 50.0}, patience_s=0.1, limit=0.0)
    fleet.run(60.0)
    assert 5 <= len(fleet.sent_at) <= 15
    assert most_in_window(fleet.sent_at) <= 5


@pytest.mark.parametrize("instances", [2, 6, 195])
def test_two_views_of_the_fleet_do_not_double_the_limit(instances: int) -> None:
    """Guards against issuers that each issue the whole limit while instances join and leave."""
    total = sum(rate_fraction(rank, instances) for rank in range(instances))
    assert total <= 1.0 + DEPUTY_FRACTION + 0.1
    names = [f"i{number}" for number in range(instances)]
    order = issuer_order("desk", names)
    left = [name for name in names if name != order[0]]
    assert issuer_order("desk", left) == order[1:], "the deputy takes over"


def test_the_work_of_issuing_is_spread_over_the_instances() -> None:
    """Guards against one instance that issues the quota of all services."""
    names = [f"i{number}" for number in range(6)]
    first = [issuer_order(f"service-{number}", names)[0] for number in range(60)]
    assert set(first) == set(names)


def test_requests_that_were_withdrawn_get_no_token() -> None:
    """Guards against tokens that are spent on calls which no longer exist."""
    queue = QuotaQueue()
    for key in range(3):
        queue.request(0.0, request(key, start_by=9.0))
    queue.withdraw(1)
    wake = queue.next_wake()
    assert wake is not None
    assert granted(queue.on_tick(wake)) == [2]
    assert queue.next_wake() is None
    assert not queue.server_of
