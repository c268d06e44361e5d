"""What calls get that wait for too few connections to a server, on virtual time."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

import pytest

from azurefield.floor_credits import FloorCredits
from azurefield.sharing import FLOOR_FRACTION, RequestClass, SharedQueue

CONNECTIONS = 4
CALL_S = 0.05
CAPACITY_PER_S = CONNECTIONS / CALL_S
# A call that waits for longer fails; a quarter of the latency goal.
WAIT_MAX_S = 0.06
URGENT = tuple(RequestClass(priority=0, workspace=f"urgent{number}") for number in range(3))
PATIENT = tuple(RequestClass(priority=1, workspace=f"patient{number}") for number in range(4))
GREEDY = RequestClass(priority=0, workspace="greedy")
CLASSES = (*URGENT, *PATIENT, GREEDY)
# Normal load is 0.6 of the capacity; the burst of an urgent workspace alone is 2.5 of it.
NORMAL_PER_S = 6.0
BURST_PER_S = 200.0
BURST = (5.0, 65.0)
END_S = 70.0


@dataclass(slots=True, kw_only=True)
class Server:
    """Calls to one server that wait for its connections.

    :param queued: calls by number, with their class and the time of their arrival
    :param waited: how long each failed call has waited
    """

    queue: SharedQueue[int]
    free: int = CONNECTIONS
    ends: list[float] = field(default_factory=list)
    queued: dict[int, tuple[RequestClass, float]] = field(default_factory=dict)
    expiring: deque[int] = field(default_factory=deque)
    asked: Counter[tuple[int, RequestClass]] = field(default_factory=Counter)
    served: Counter[tuple[int, RequestClass]] = field(default_factory=Counter)
    waited: list[float] = field(default_factory=list)

    def advance(self, now: float) -> None:
        """Let calls end or give up until a time."""
        while True:
            ends = self.ends[0] if self.ends else now
            gives_up = self.queued[self.expiring[0]][1] + WAIT_MAX_S if self.expiring else now
            if min(ends, gives_up) >= now:
                return
            if ends <= gives_up:
                heappop(self.ends)
                self.free += 1
                self.grant(ends)
            else:
                self.give_up(gives_up)

    def offer(self, now: float, number: int, one: RequestClass) -> None:
        """Let a call wait for a connection."""
        self.asked[int(now), one] += 1
        self.queue.push(one, number)
        self.queued[number] = (one, now)
        self.expiring.append(number)
        self.grant(now)

    def grant(self, now: float) -> None:
        """Give the free connections to the calls that are next."""
        while self.free and (number := self.queue.first(now)) is not None:
            assert self.queue.pop(now) == number
            one, _ = self.queued.pop(number)
            self.expiring.remove(number)
            self.served[int(now), one] += 1
            self.free -= 1
            heappush(self.ends, now + CALL_S)

    def give_up(self, now: float) -> None:
        """Let the call that has waited longest fail."""
        number = self.expiring.popleft()
        one, arrived_at = self.queued.pop(number)
        assert self.queue.remove(one, number)
        self.waited.append(now - arrived_at)

    def ratio(self, classes: tuple[RequestClass, ...], begin: float, end: float) -> float:
        """Return the served share of the calls of some classes in a time."""
        seconds = range(int(begin), int(end))
        asked = sum(self.asked[second, one] for second in seconds for one in classes)
        return sum(self.served[second, one] for second in seconds for one in classes) / asked


def arrivals_of(
    random: Random, one: RequestClass, per_s: float, begin: float, end: float
) -> list[tuple[float, RequestClass]]:
    """Draw the times of a class's calls."""
    arrivals: list[tuple[float, RequestClass]] = []
    at = begin + random.expovariate(per_s)
    while at < end:
        arrivals.append((at, one))
        at += random.expovariate(per_s)
    return arrivals


def simulate(seed: int, fraction: float, burst_per_s: float = BURST_PER_S) -> Server:
    """Simulate normal load, with a burst of one urgent workspace."""
    server = Server(queue=SharedQueue(floors=FloorCredits(fraction=fraction)))
    random = Random(seed)
    arrivals = [
        arrival for one in CLASSES for arrival in arrivals_of(random, one, NORMAL_PER_S, 0.0, END_S)
    ]
    if burst_per_s:
        arrivals += arrivals_of(random, GREEDY, burst_per_s, *BURST)
    for number, (at, one) in enumerate(sorted(arrivals, key=lambda arrival: arrival[0])):
        server.advance(at)
        server.offer(at, number, one)
    return server


def starved(server: Server) -> list[str]:
    """List the workspaces that the burst leaves with less than a quarter of what all get."""
    all_get = server.ratio(CLASSES, *BURST)
    return [one.workspace for one in CLASSES if server.ratio((one,), *BURST) < all_get / 4]


@pytest.mark.parametrize("seed", range(5))
def test_no_workspace_starves_behind_a_higher_priority(seed: int) -> None:
    """Guards against a priority whose calls all fail for as long as a higher one asks for all."""
    server = simulate(seed, FLOOR_FRACTION)
    assert starved(server) == []
    assert server.ratio(URGENT, *BURST) >= 0.9
    assert max(server.waited) <= WAIT_MAX_S + 1e-9


@pytest.mark.parametrize("seed", range(5))
def test_the_floor_neither_swings_nor_outlasts_the_burst(seed: int) -> None:
    """Guards against a class that is served in turns of seconds, and a slow recovery."""
    server = simulate(seed, FLOOR_FRACTION)
    seconds = range(int(BURST[0]) + 1, int(BURST[1]))
    rates = [sum(server.served[second, one] for one in CLASSES) for second in seconds]
    assert min(rates) >= 0.9 * CAPACITY_PER_S
    assert all(server.ratio(PATIENT, second, second + 3) > 0 for second in seconds[:-3])
    after = (BURST[1] + 1.0, END_S)
    calm = simulate(seed, FLOOR_FRACTION, burst_per_s=0.0).ratio(CLASSES, *after)
    assert server.ratio(CLASSES, *after) == pytest.approx(calm, abs=0.01)


@pytest.mark.parametrize("seed", range(5))
def test_the_same_check_finds_a_queue_without_floors(seed: int) -> None:
    """Guards against a check that a queue by strict priority would pass."""
    assert {*starved(simulate(seed, 0.0))} >= {one.workspace for one in PATIENT}
