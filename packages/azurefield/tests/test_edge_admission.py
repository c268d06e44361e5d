"""What callers get of a process that is too busy for all of them, on virtual time."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count, pairwise
from random import Random

import pytest

from azurefield.edge_admission import (
    RETURN_MIN_S,
    RETURN_SPREAD_S,
    TICK_INTERVAL_S,
    EdgeAdmission,
    EdgeRefusal,
    EdgeRefusalReason,
)
from azurefield.sharing import RequestClass, SharedAdmission

# Work of the process for a request, and for one that it refuses or whose deadline has passed.
WORK_S = 0.01
REFUSE_S = 0.0005
CAPACITY_PER_S = 1.0 / WORK_S
# Latency goals of the priorities.
GOALS_S = (0.4, 0.8)
DEADLINE_S = 1.5
URGENT = tuple(RequestClass(priority=0, workspace=f"urgent{number}") for number in range(4))
PATIENT = tuple(RequestClass(priority=1, workspace=f"patient{number}") for number in range(4))
GREEDY = RequestClass(priority=1, workspace="greedy")
CLASSES = (*URGENT, *PATIENT, GREEDY)
# Normal load is 0.54 of the capacity; the burst of one workspace alone is 2.4 of it.
NORMAL_PER_S = 6.0
BURST_PER_S = 240.0
BURST = (5.0, 45.0)
# What refusing the burst, with its returns, leaves of the capacity.
LEFT_PER_S = CAPACITY_PER_S * (1.0 - 1.2 * BURST_PER_S * REFUSE_S)
SETTLED_S = 5.0
END_S = 55.0


class AcceptsAll(EdgeAdmission):
    """Accepts requests that it can't serve."""

    def refuse(
        self, now: float, request_class: RequestClass, deadline: float  # noqa: ARG002
    ) -> EdgeRefusal | None:
        return None


class RefusesAlike(EdgeAdmission):
    """Refuses by arrival, whoever asks too much."""

    def refuse(
        self, now: float, request_class: RequestClass, deadline: float  # noqa: ARG002
    ) -> EdgeRefusal | None:
        return EdgeAdmission.refuse(self, now, URGENT[0], deadline)


@dataclass(slots=True, kw_only=True)
class Process:
    """A process that handles one request after the other; refused callers return once.

    :param free_at: when it has done what has arrived
    :param in_goal: requests served within the latency goal of their last attempt, by second
    :param ended: how many of them ended in each second
    :param refusals: when and how long after its arrival each refused request was answered
    :param pauses: when the process does not run, and for how long
    :param used_s: the processor time that it has used
    """

    admission: EdgeAdmission
    free_at: float = 0.0
    numbers: count[int] = field(default_factory=count)
    events: list[tuple[float, int, RequestClass | None, bool]] = field(default_factory=list)
    asked: Counter[tuple[int, RequestClass]] = field(default_factory=Counter)
    in_goal: Counter[tuple[int, RequestClass]] = field(default_factory=Counter)
    ended: Counter[int] = field(default_factory=Counter)
    refusals: list[tuple[float, float]] = field(default_factory=list)
    pauses: list[tuple[float, float]] = field(default_factory=list)
    used_s: float = 0.0

    def add(self, at: float, one: RequestClass | None, *, returned: bool = False) -> None:
        """Add a request, or a tick."""
        heappush(self.events, (at, next(self.numbers), one, returned))

    def run(self) -> None:
        """Handle all requests until the end."""
        self.add(0.0, None)
        while self.events and self.events[0][0] < END_S:
            due_at, _, one, returned = heappop(self.events)
            while self.pauses and self.pauses[0][0] <= due_at:
                begins_at, length_s = self.pauses.pop(0)
                self.free_at = max(self.free_at, begins_at + length_s)
            now = max(due_at, self.free_at)
            if one is not None:
                self.handle(due_at, now, one, returned=returned)
                continue
            self.admission.on_tick(now, self.used_s)
            self.add(now + TICK_INTERVAL_S, None)

    def handle(self, arrived_at: float, now: float, one: RequestClass, *, returned: bool) -> None:
        """Handle one request."""
        second = int(arrived_at)
        self.asked[second, one] += not returned
        refused = self.admission.refuse(now, one, now + DEADLINE_S)
        overdue = now > arrived_at + DEADLINE_S
        work_s = REFUSE_S if refused or overdue else WORK_S
        self.free_at = now + work_s
        self.used_s += work_s
        if refused is not None:
            self.refusals.append((now, now - arrived_at))
            if not returned:
                self.add(now + refused.retry_after_s, one, returned=True)
        elif self.free_at - arrived_at <= GOALS_S[one.priority]:
            self.in_goal[second, one] += 1
            self.ended[int(self.free_at)] += 1

    def ratio(self, classes: tuple[RequestClass, ...], begin: float, end: float) -> float:
        """Return the share of the requests of some classes that were served in a time."""
        seconds = range(int(begin), int(end))
        asked = sum(self.asked[second, one] for second in seconds for one in classes)
        return sum(self.in_goal[second, one] for second in seconds for one in classes) / asked


def simulate(admission: EdgeAdmission, seed: int, *, burst: bool = True) -> Process:
    """Simulate normal load, and a burst of one workspace or else a tenth of the load."""
    process, random = Process(admission=admission), Random(seed)
    per_s = NORMAL_PER_S if burst else NORMAL_PER_S / 10
    loads = [(one, per_s, 0.0, END_S) for one in CLASSES]
    if burst:
        loads.append((GREEDY, BURST_PER_S, *BURST))
    for one, rate, begin, end in loads:
        at = begin + random.expovariate(rate)
        while at < end:
            process.add(at, one)
            at += random.expovariate(rate)
    return process


def losers(process: Process) -> list[str]:
    """List the workspaces that lose by the burst of another one."""
    settled = (BURST[0] + SETTLED_S, BURST[1])
    return [one.workspace for one in CLASSES[:-1] if process.ratio((one,), *settled) < 0.9]


@pytest.mark.parametrize("seed", range(5))
def test_a_greedy_workspace_costs_the_others_nothing_beyond_its_share(seed: int) -> None:
    """Guards against callers that are all served too late, because all are accepted."""
    process = simulate(EdgeAdmission(), seed)
    process.run()
    assert losers(process) == []
    settled = (BURST[0] + SETTLED_S, BURST[1])
    all_get = process.ratio(CLASSES, *settled)
    assert process.ratio((GREEDY,), *settled) >= all_get / 4


@pytest.mark.parametrize("seed", range(5))
def test_refusals_come_at_once_and_end_with_the_burst(seed: int) -> None:
    """Guards against callers that wait for a refusal, and against a slow recovery or a swing."""
    process = simulate(EdgeAdmission(), seed)
    process.run()
    settled = [waited for at, waited in process.refusals if at >= BURST[0] + SETTLED_S]
    assert sum(waited <= GOALS_S[1] / 4 for waited in settled) >= 0.95 * len(settled)
    assert max(at for at, _ in process.refusals) <= BURST[1] + RETURN_SPREAD_S + 1.0
    assert process.ratio(CLASSES, BURST[1] + SETTLED_S, END_S - 1.0) >= 0.99
    seconds = range(int(BURST[0] + SETTLED_S), int(BURST[1]))
    assert min(process.ended[second] for second in seconds) >= 0.7 * LEFT_PER_S


@pytest.mark.parametrize(
    "pauses",
    [
        pytest.param([], id="none"),
        pytest.param([(at + 0.3, 0.15) for at in range(2, 50, 4)], id="of-the-interpreter"),
        pytest.param([(20.0, 2.0), (23.0, 2.0)], id="suspended"),
        pytest.param([(0.2 * step, 0.12) for step in range(250)], id="on-a-busy-machine"),
    ],
)
def test_in_calm_nothing_is_refused(pauses: list[tuple[float, float]]) -> None:
    """Guards against refusals by a process that is late for another reason than its load."""
    process = simulate(EdgeAdmission(), 1, burst=False)
    process.pauses = pauses
    process.run()
    assert process.refusals == []


@pytest.mark.parametrize("weakened", [AcceptsAll, RefusesAlike])
def test_the_same_check_finds_a_weakened_admission(weakened: type[EdgeAdmission]) -> None:
    """Guards against a check that would pass without the decision."""
    process = simulate(weakened(), 1)
    process.run()
    assert losers(process) != []


class IgnoresCause(EdgeAdmission):
    """Takes all lateness for its own load."""

    def on_tick(self, now: float, used_s: float) -> None:  # noqa: ARG002
        EdgeAdmission.on_tick(self, now, self.used_s + 1.0)


def test_the_calm_check_finds_an_admission_that_ignores_the_cause() -> None:
    """Guards against a calm in which nothing could be refused."""
    process = simulate(IgnoresCause(), 1, burst=False)
    process.pauses = [(0.2 * step, 0.12) for step in range(250)]
    process.run()
    assert process.refusals != []


LIMITED = SharedAdmission(capacity_per_s=10.0, parts={GREEDY: 5.0}, credits={GREEDY: 0.0})


def test_refused_callers_return_one_after_the_other() -> None:
    """Guards against callers that all return at the same moment."""
    admission = EdgeAdmission(shared=LIMITED)
    refused = [admission.refuse(10.0, GREEDY, 20.0) for _ in range(30)]
    returns = [one.retry_after_s for one in refused if one is not None]
    assert len(returns) == 30
    assert min(returns) == pytest.approx(RETURN_MIN_S)
    assert max(returns) <= RETURN_MIN_S + RETURN_SPREAD_S
    steps = [later - earlier for earlier, later in pairwise(returns)]
    assert sum(step == pytest.approx(1 / 5.0) for step in steps) >= 27


@pytest.mark.parametrize(
    ("ticks", "left_s", "reason"),
    [
        pytest.param([1.0], 0.2, None, id="late-once"),
        pytest.param([0.5, 0.5], 5.0, None, id="ends-in-time"),
        pytest.param([0.5, 0.5], 0.9, EdgeRefusalReason.LATE, id="deadline-would-pass"),
    ],
)
def test_a_request_that_surely_ends_too_late_is_refused(
    ticks: list[float], left_s: float, reason: EdgeRefusalReason | None
) -> None:
    """Guards against callers that wait for nothing, and against refusals after one pause."""
    admission, now = EdgeAdmission(), 0.0
    admission.on_tick(now, 0.0)
    for late_s in ticks:
        now += TICK_INTERVAL_S + late_s
        admission.on_tick(now, 0.0)
    refused = admission.refuse(now, GREEDY, now + left_s)
    assert (None if refused is None else refused.reason) is reason
