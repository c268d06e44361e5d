"""What workspaces get of too little room, on virtual time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from math import inf
from random import Random

import pytest
from msgspec.structs import replace

from azurefield.overload import LAG_MAX_S, LoopLag
from azurefield.sharing import (
    FLOOR_FRACTION,
    RequestClass,
    SharedAdmission,
    SharedQueue,
    divide,
    fill_by_weight,
    weights_of,
)
from azurefield.workspaces import RequestQuota, Workspace

INTERVAL_S = 0.1
STEP_S = 0.002
# Requests per second that the process of the simulation runs in time.
CAPACITY_PER_S = 100.0
NORMAL = tuple(RequestClass(priority=number % 2, workspace=f"w{number}") for number in range(8))
GREEDY = RequestClass(priority=1, workspace="greedy")
# Normal load is 0.54 of the capacity; in the burst, the greedy workspace sends 40 times its usual.
NORMAL_PER_S = 6.0
BURST_PER_S = 240.0
BURST = (5.0, 45.0)
END_S = 50.0


@dataclass(slots=True, kw_only=True)
class Process:
    """A process whose event loop is as late as the work that it has accepted.

    :param shared: None for one that accepts all requests until it is late
    :param backlog_s: accepted work that is not done
    :param tick_at: when the event loop reaches its next tick, which was due at ``due_at``
    """

    shared: SharedAdmission | None
    lag: LoopLag = field(default_factory=lambda: LoopLag(interval_s=INTERVAL_S))
    backlog_s: float = 0.0
    due_at: float = 0.0
    tick_at: float | None = None
    late: dict[float, float] = field(default_factory=dict)
    refused_for_share: list[float] = field(default_factory=list)
    asked: Counter[tuple[int, RequestClass]] = field(default_factory=Counter)
    accepted: Counter[tuple[int, RequestClass]] = field(default_factory=Counter)

    def offer(self, now: float, one: RequestClass) -> None:
        """Offer a request, which is accepted or refused at once."""
        self.asked[int(now), one] += 1
        late = self.lag.overloaded(now)
        if not late if self.shared is None else self.shared.accepts(one, late=late):
            self.accepted[int(now), one] += 1
            self.backlog_s += 1 / CAPACITY_PER_S
        elif not late:
            self.refused_for_share.append(now)

    def work(self, now: float) -> None:
        """Work until the next step, and tick if that is reached."""
        if self.tick_at is None and now >= self.due_at:
            self.tick_at = now + self.backlog_s
        self.backlog_s = max(0.0, self.backlog_s - STEP_S)
        if self.tick_at is None or now < self.tick_at:
            return
        self.lag.on_tick(now)
        self.late[now] = self.lag.tick_late_s
        if self.shared is not None:
            self.shared.on_interval(now, self.lag.tick_late_s)
        self.due_at, self.tick_at = now + INTERVAL_S, None

    def served(self, one: RequestClass, begin: float, end: float) -> float:
        """Return the accepted share of a class's requests in a time."""
        seconds = range(int(begin), int(end))
        asked = sum(self.asked[second, one] for second in seconds)
        return sum(self.accepted[second, one] for second in seconds) / asked


def simulate(shared: SharedAdmission | None, seed: int) -> Process:
    """Simulate normal load with a burst of one workspace."""
    process, random = Process(shared=shared), Random(seed)
    for step in range(int(END_S / STEP_S)):
        now = step * STEP_S
        greedy_per_s = BURST_PER_S if BURST[0] <= now < BURST[1] else NORMAL_PER_S
        for one in (*NORMAL, GREEDY):
            asked = STEP_S * (greedy_per_s if one is GREEDY else NORMAL_PER_S)
            for _ in range(int(asked) + (random.random() < asked % 1.0)):
                process.offer(now, one)
        process.work(now)
    return process


@pytest.mark.parametrize("seed", range(5))
def test_a_greedy_workspace_costs_the_others_nothing_beyond_its_share(seed: int) -> None:
    """Guards against one workspace whose burst has the requests of all others refused."""
    shared = SharedAdmission()
    process = simulate(shared, seed)
    settled = BURST[0] + 2.0
    during = [process.served(one, settled, BURST[1]) for one in NORMAL]
    assert min(during) >= 0.9
    greedy = process.served(GREEDY, settled, BURST[1])
    # What the others leave of the capacity, and not much less.
    left = (CAPACITY_PER_S - len(NORMAL) * NORMAL_PER_S) / BURST_PER_S
    assert 0.6 * left <= greedy <= 1.1 * left
    for begin, end in ((0.0, BURST[0]), (BURST[1] + 2.0, END_S)):
        assert not any(begin <= at < end for at in process.refused_for_share)


@pytest.mark.parametrize("seed", range(5))
def test_the_accepted_load_does_not_swing(seed: int) -> None:
    """Guards against a process that accepts everything and then nothing in turn."""
    process = simulate(SharedAdmission(), seed)
    seconds = range(int(BURST[0]) + 2, int(BURST[1]))
    rates = [sum(process.accepted[second, one] for one in (*NORMAL, GREEDY)) for second in seconds]
    assert min(rates) >= 0.7 * CAPACITY_PER_S
    assert max(rates) <= 1.15 * CAPACITY_PER_S
    settled = [late for at, late in process.late.items() if BURST[0] + 2.0 <= at < BURST[1]]
    assert sum(late > LAG_MAX_S for late in settled) <= 0.05 * len(settled)


def test_the_same_burst_is_paid_by_all_workspaces_without_shares() -> None:
    """Guards against a simulation that would pass without the decision that it is to show."""
    process = simulate(None, seed=1)
    assert min(process.served(one, BURST[0] + 2.0, BURST[1]) for one in NORMAL) < 0.7


def accepted_beside_refusals(shared: SharedAdmission, *, late_s: float, length_s: float) -> int:
    """Offer a normal load of one class to a process that is late whatever it refuses."""
    accepted = 0
    begins_at = shared.interval_began_at or 0.0
    for step in range(int(length_s / INTERVAL_S)):
        accepted += sum(shared.accepts(GREEDY) for _ in range(5))
        shared.on_interval(begins_at + (step + 1) * INTERVAL_S, late_s)
    return accepted


def test_a_process_that_is_late_by_its_refusals_goes_on_and_recovers() -> None:
    """Guards against a capacity that falls to nothing, because refusing is work too."""
    shared = SharedAdmission()
    before = accepted_beside_refusals(shared, late_s=0.0, length_s=10.0)
    accepted_beside_refusals(shared, late_s=0.2, length_s=20.0)
    assert accepted_beside_refusals(shared, late_s=0.2, length_s=10.0) >= before / 20
    accepted_beside_refusals(shared, late_s=0.0, length_s=10.0)
    assert accepted_beside_refusals(shared, late_s=0.0, length_s=10.0) == before


A0, B0 = (RequestClass(priority=0, workspace=name) for name in "ab")
A1, B1 = (RequestClass(priority=1, workspace=name) for name in "ab")
HUGE = RequestClass(priority=0, workspace="huge", weight=1e300)
HEAVY = RequestClass(priority=0, workspace="heavy", weight=3.0)


Demand = Mapping[RequestClass, float]


@dataclass(slots=True, kw_only=True, frozen=True)
class RoomCase:
    """A capacity that is divided; all numbers are requests per second."""

    capacity: float
    demand: Demand
    expected: Demand


ROOM_CASES = {
    "enough": RoomCase(capacity=10.0, demand={A0: 4.0, B1: 6.0}, expected={A0: 4.0, B1: 6.0}),
    "priority-first": RoomCase(
        capacity=10.0, demand={A0: 10.0, B1: 10.0}, expected={A0: 8.5, B1: 1.5}
    ),
    "equal-weights": RoomCase(
        capacity=10.0, demand={A0: 90.0, B0: 10.0}, expected={A0: 5.0, B0: 5.0}
    ),
    "by-weight": RoomCase(
        capacity=12.0, demand={A0: 90.0, HEAVY: 90.0}, expected={A0: 3.0, HEAVY: 9.0}
    ),
    "asks-less-than-its-part": RoomCase(
        capacity=10.0, demand={A0: 90.0, B0: 1.0}, expected={A0: 9.0, B0: 1.0}
    ),
    "weights-far-apart": RoomCase(
        capacity=10.0, demand={A0: 9.0, HUGE: 9.0}, expected={A0: 1.5, HUGE: 8.5}
    ),
    "no-limit": RoomCase(capacity=inf, demand={A0: 90.0}, expected={A0: 90.0}),
    "nothing-asked": RoomCase(capacity=1.0, demand={}, expected={}),
}


@pytest.mark.parametrize("case", ROOM_CASES.values(), ids=ROOM_CASES)
def test_room_goes_by_priority_then_by_weight(case: RoomCase) -> None:
    """Guards against room that goes to those who ask most."""
    assert divide(case.capacity, case.demand) == pytest.approx(case.expected)


def divide_by_demand(capacity: float, demand: Demand) -> dict[RequestClass, float]:
    """Serve all classes alike."""
    served = min(1.0, capacity / (sum(demand.values()) or 1.0))
    return {one: served * asked for one, asked in demand.items()}


def divide_without_floor(capacity: float, demand: Demand) -> dict[RequestClass, float]:
    """Divide by priority and weight alone."""
    parts: dict[RequestClass, float] = {}
    for priority in sorted({one.priority for one in demand}):
        asked = {one: rate for one, rate in demand.items() if one.priority == priority}
        left = capacity - sum(parts.values())
        parts |= fill_by_weight(left, asked, weights_of(demand))
    return parts


def divide_without_weights(capacity: float, demand: Demand) -> dict[RequestClass, float]:
    """Divide as if all workspaces had the same weight."""
    equal = {replace(one, weight=1.0): one for one in demand}
    parts = divide(capacity, {same: demand[one] for same, one in equal.items()})
    return {equal[same]: part for same, part in parts.items()}


@pytest.mark.parametrize(
    "weakened", [divide_by_demand, divide_without_floor, divide_without_weights]
)
def test_the_same_cases_find_a_weakened_division(
    weakened: Callable[[float, Demand], dict[RequestClass, float]],
) -> None:
    """Guards against cases that would pass without the decision."""
    parts = [weakened(case.capacity, case.demand) for case in ROOM_CASES.values()]
    assert parts != [pytest.approx(case.expected) for case in ROOM_CASES.values()]


@pytest.mark.parametrize("seed", range(20))
def test_no_class_gets_less_than_its_floor_and_no_room_is_left_over(seed: int) -> None:
    """Guards against a workspace with a low priority that starves, and against idle room."""
    random = Random(seed)
    demand = {
        RequestClass(
            priority=random.randrange(4), workspace=f"w{number}", weight=random.uniform(0.1, 50.0)
        ): random.expovariate(0.2)
        for number in range(random.randrange(2, 60))
    }
    capacity = random.uniform(0.05, 0.95) * sum(demand.values())
    parts = divide(capacity, demand)
    assert sum(parts.values()) == pytest.approx(capacity)
    served = capacity / sum(demand.values())
    for one, asked in demand.items():
        assert 0.999 * FLOOR_FRACTION * served * asked <= parts[one] <= 1.001 * asked


@pytest.mark.parametrize("rates", [(), (7.0,), (20.0, 30.0)], ids=["none", "one", "several"])
def test_a_workspace_without_a_quota_gets_as_much_as_the_largest_quota(
    rates: tuple[float, ...],
) -> None:
    """Guards against an unlimited workspace that starves, and a queue that shares unlike divide."""
    classes = [RequestClass.of(0, Workspace(name="first")), RequestClass.of(0, None)]
    for rate in rates:
        quota = RequestQuota(rate_per_s=rate, burst=rate)
        classes.append(RequestClass.of(0, Workspace(name=f"w{rate}", quota=quota)))
    classes.append(RequestClass.of(0, Workspace(name="last")))
    room = 400
    parts = divide(room, dict.fromkeys(classes, 4.0 * room))
    queue: SharedQueue[RequestClass] = SharedQueue()
    for one in classes:
        for _ in range(room):
            queue.push(one, one)
    served = Counter(queue.pop(0.0) for _ in range(room))
    floor = FLOOR_FRACTION * room / len(classes)
    for one in classes:
        assert parts[one] >= floor
        assert served[one] == pytest.approx(max(floor, parts[one]), abs=2 + 0.02 * room)
    largest = max(parts[one] for one in classes)
    for one in (classes[0], classes[1], classes[-1]):
        assert parts[one] == pytest.approx(largest)
        assert served[one] == pytest.approx(max(served.values()), abs=1)


def test_a_queue_serves_workspaces_in_turn_whoever_came_first() -> None:
    """Guards against a workspace that waits behind all calls that another one has queued."""
    queue: SharedQueue[str] = SharedQueue()
    for number in range(50):
        queue.push(A1, f"a{number}")
    queue.push(B1, "b0")
    queue.push(B0, "urgent")
    assert queue.remove(A1, "a0")
    assert not queue.remove(A1, "a0")
    assert len(queue) == 51
    order = [queue.pop(0.0) for _ in range(4)]
    assert order[0] == "urgent"
    assert "b0" in order
    while queue.pop(0.0) is not None:
        pass
    assert (queue.first(0.0), queue.by_priority, queue.weights) == (None, {}, {})


def test_without_workspaces_a_queue_goes_by_priority_alone() -> None:
    """Guards against a floor in deployments whose configuration has no workspaces."""
    queue: SharedQueue[int] = SharedQueue()
    for _ in range(50):
        for priority in (0, 1):
            queue.push(RequestClass(priority=priority), priority)
    assert [queue.pop(0.0) for _ in range(100)] == [0] * 50 + [1] * 50
