"""The choice of a server by the load that servers report, on virtual time."""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest
from msgspec.structs import replace

from azurefield.call_result import CallResult
from azurefield.routing import OwnObservationRouter
from azurefield.server_load import LATENCY_FACTOR_MAX, REPORT_AGE_MAX_S, ServerLoad, parse_load
from azurefield.server_view import ServerView

SLOTS = 4
WORK_S = 0.02
# A disturbed machine is this much slower for a part of each period.
SLOWNESS, SLOW_SHARE, PERIOD_S = 2.5, 0.2, 0.6
END_S = 60.0
GOAL_S = 3 * WORK_S
IDLE = ServerLoad(running=0, waiting=0, slots=SLOTS)


@pytest.mark.parametrize(
    ("written", "expected"),
    [
        (None, None),
        ("", None),
        ("3", None),
        ("3,0", None),
        ("3,0,0", None),
        ("3,0,8,0", None),
        ("3,0,8,1,1", None),
        ("-3,0,8", None),
        ("3.5,0,8", None),
        ("3,0,8,nan", None),
        ("9999999,0,8", None),
        ("\u0663,0,8", None),
        ("3,0,8", ServerLoad(running=3, waiting=0, slots=8)),
        (" 3 , 2 , 8 , 250 ", ServerLoad(running=3, waiting=2, slots=8, slowness=2.5)),
    ],
)
def test_only_a_whole_report_counts(written: str | None, expected: ServerLoad | None) -> None:
    """Guards against a malformed report that stops the process or misleads the choice."""
    assert parse_load(written) == expected


@pytest.mark.parametrize(
    ("age_s", "chosen"),
    [(0.0, "free"), (0.9 * REPORT_AGE_MAX_S, "full"), (REPORT_AGE_MAX_S, "full"), (9.0, "full")],
)
def test_an_old_report_gives_way_to_own_observations(age_s: float, chosen: str) -> None:
    """Guards against a choice by a load that has passed."""
    router = OwnObservationRouter(random=Random(1))
    for server, latency_s in (("full", 0.010), ("free", 0.013)):
        router.on_dispatch(0.0, server)
        router.on_result(latency_s, server, CallResult.ANSWERED, latency_s)
    router.on_load(0.5, "full", IDLE)
    router.on_load(1.0, "full", replace(IDLE, running=4, waiting=3))
    assert router.choose(1.0 + age_s, ("full", "free")) == chosen


@pytest.mark.parametrize("slowness", [1e-3, 1e6])
def test_no_report_makes_a_server_unlimited_or_useless(slowness: float) -> None:
    """Guards against one forged report that takes a server's calls, or gives it all."""
    view = ServerView()
    assert view.latency_factor(0.0) == 1.0
    view.on_load(0.0, IDLE)
    view.on_load(0.0, replace(IDLE, slowness=slowness))
    assert 1 / LATENCY_FACTOR_MAX <= view.latency_factor(0.0) <= LATENCY_FACTOR_MAX


@dataclass(slots=True, kw_only=True)
class Server:
    """A server with slots and a queue; its machine is slow for a part of each period."""

    phase_s: float
    disturbed: bool
    running: int = 0
    queue: list[tuple[float, int]] = field(default_factory=list)

    def slowness(self, now: float) -> float:
        slow = (now + self.phase_s) % PERIOD_S < SLOW_SHARE * PERIOD_S
        return SLOWNESS if self.disturbed and slow else 1.0

    def load(self, now: float) -> ServerLoad:
        waiting = len(self.queue)
        slowness = self.slowness(now)
        return ServerLoad(running=self.running, waiting=waiting, slots=SLOTS, slowness=slowness)


def late_share(*, per_s: float, instances: int, reports: bool, disturbed: bool, seed: int) -> float:
    """Return the share of calls that are answered after the goal.

    :param per_s: calls of all instances, to three servers
    """
    random, order = Random(seed), count()
    servers = {
        f"s{number}": Server(phase_s=random.random() * PERIOD_S, disturbed=disturbed)
        for number in range(3)
    }
    routers = [OwnObservationRouter(random=Random(seed + number)) for number in range(instances)]
    events: list[tuple[float, int, str, tuple[int, str, float]]] = []
    heappush(events, (0.0, next(order), "arrives", (0, "", 0.0)))
    late = answered = 0

    def begin(now: float, name: str, call: tuple[float, int]) -> None:
        servers[name].running += 1
        work_s = WORK_S * random.uniform(0.5, 1.5) * servers[name].slowness(now)
        heappush(events, (now + work_s, next(order), "ends", (call[1], name, call[0])))

    while events[0][0] < END_S:
        now, _, kind, (number, name, sent_at) = heappop(events)
        if kind == "arrives":
            number = random.randrange(instances)
            chosen = routers[number].choose(now, tuple(servers))
            assert chosen is not None
            routers[number].on_dispatch(now, chosen)
            if servers[chosen].running < SLOTS:
                begin(now, chosen, (now, number))
            else:
                servers[chosen].queue.append((now, number))
            heappush(events, (now + random.expovariate(per_s), next(order), kind, (0, "", 0.0)))
            continue
        server = servers[name]
        server.running -= 1
        if server.queue:
            begin(now, name, server.queue.pop(0))
        if reports:
            routers[number].on_load(now, name, server.load(now))
        routers[number].on_result(now, name, CallResult.ANSWERED, now - sent_at)
        answered += 1
        late += now - sent_at > GOAL_S
    return late / answered


@pytest.mark.parametrize("instances", [1, 6, 30])
@pytest.mark.parametrize("per_s", [250, 400])
def test_fewer_calls_are_late_with_reports_while_machines_are_disturbed(
    per_s: float, instances: int
) -> None:
    """Guards against reports that lead calls to disturbed servers, or all to the same server."""
    without, reported = (
        sum(
            late_share(per_s=per_s, instances=instances, reports=reports, disturbed=True, seed=seed)
            for seed in range(2)
        )
        for reports in (False, True)
    )
    assert reported < without


@pytest.mark.parametrize("instances", [1, 6, 30])
def test_reports_cost_undisturbed_callers_nothing(instances: int) -> None:
    """Guards against a choice that swings between servers with the reports."""
    assert late_share(per_s=400, instances=instances, reports=True, disturbed=False, seed=1) < 0.01
