"""Scenarios: the demand of the callers and the faults of the backend servers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from azurefield.model import RequestKind
from azurefield_testkit.bench.sizes import INSTANCES, MEMBERS, REPLICAS, ServiceSize

if TYPE_CHECKING:
    from random import Random

# Loads are fractions of the capacity of the service.
STEADY_LOAD = 0.5
PEAK_LOAD = 5.0
PEAK_RAMP_S = 1.0
GREEDY_LOAD = 3.0
# Load of each member but the greedy one, below its share of a fifth of the capacity.
MODEST_LOAD = 0.15
# In ``GREEDY`` the callers of the last member reach only this many instances, as with long-lived
# connections.
STICKY_INSTANCES = 3
# Fraction of the backend servers that are slowed in each episode.
SLOWED_FRACTION = 0.1
SLOWED_FACTOR = 10.0
SLOWED_EPISODE_S = 3.0
STRAGGLING_FACTOR = 4.0
CRASHER_INTERVAL_S = 0.25
# Fingerprint of the request that crashes the servers on which it runs.
CRASHER = "crasher"


class ScenarioName(StrEnum):
    """The load or fault under which the policies are measured.

    In ``STRAGGLING`` all servers of one leaf are slow, in ``SLOWED`` some servers of all leafs.
    """

    STEADY = "steady"
    STRAGGLING = "straggling"
    SLOWED = "slowed"
    PEAK = "peak"
    GREEDY = "greedy"
    CRASHER = "crasher"
    ZONE_LOST = "zone-lost"


@dataclass(slots=True, kw_only=True, frozen=True)
class RunTimes:
    """Times of a run in seconds; faults and peaks last from ``fault_from`` to ``fault_until``."""

    fault_from: float = 4.0
    fault_until: float = 10.0
    end: float = 11.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Arrival:
    """One request of a caller that arrives at an entry instance at time ``at``."""

    at: float
    member: str
    kind: RequestKind
    instance: int
    leaf: int
    fingerprint: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Slowdown:
    """A period in which a backend server takes ``factor`` times as long for each call."""

    leaf: int
    replica: int
    start: float
    end: float
    factor: float


def member_load(name: ScenarioName, member: str, now: float, times: RunTimes) -> float:
    """Return a member's demand as a fraction of the capacity."""
    in_fault = times.fault_from <= now < times.fault_until
    if name is ScenarioName.GREEDY:
        greedy = GREEDY_LOAD if in_fault else MODEST_LOAD
        return greedy if member == MEMBERS[0] else MODEST_LOAD
    if name is ScenarioName.PEAK and in_fault:
        ramp_fraction = min(1.0, (now - times.fault_from) / PEAK_RAMP_S)
        return (STEADY_LOAD + (PEAK_LOAD - STEADY_LOAD) * ramp_fraction) / len(MEMBERS)
    return STEADY_LOAD / len(MEMBERS)


def draw_arrivals(
    name: ScenarioName, size: ServiceSize, times: RunTimes, random: Random
) -> list[Arrival]:
    """Draw the requests of one run.

    Arrivals are a Poisson process at each member's greatest load, thinned while its load is lower.
    """
    arrivals: list[Arrival] = []
    kinds, shares = zip(*size.shares.items(), strict=True)
    for member in MEMBERS:
        greedy = name is ScenarioName.GREEDY and member == MEMBERS[0]
        max_load = max(member_load(name, member, times.fault_until - 0.01, times), STEADY_LOAD / 5)
        max_load = max(max_load, GREEDY_LOAD if greedy else 0.0)
        sticky = name is ScenarioName.GREEDY and member == MEMBERS[-1]
        now = 0.0
        while (now := now + random.expovariate(max_load * size.capacity)) < times.end:
            if random.random() * max_load > member_load(name, member, now, times):
                continue
            arrivals.append(
                Arrival(
                    at=now,
                    member=member,
                    kind=random.choices(kinds, shares)[0],
                    instance=random.randrange(STICKY_INSTANCES if sticky else INSTANCES),
                    leaf=random.randrange(size.leafs),
                    fingerprint="",
                )
            )
    if name is ScenarioName.CRASHER:
        arrivals.extend(draw_crashing_arrivals(times, random))
    return sorted(arrivals, key=lambda arrival: arrival.at)


def draw_crashing_arrivals(times: RunTimes, random: Random) -> list[Arrival]:
    """Return the requests of a caller that keeps sending a listing that crashes servers."""
    count = int((times.fault_until - times.fault_from) / CRASHER_INTERVAL_S)
    return [
        Arrival(
            at=times.fault_from + index * CRASHER_INTERVAL_S,
            member=MEMBERS[0],
            kind=RequestKind.LISTING,
            instance=random.randrange(INSTANCES),
            leaf=0,
            fingerprint=CRASHER,
        )
        for index in range(count)
    ]


def draw_slowdowns(
    name: ScenarioName, size: ServiceSize, times: RunTimes, random: Random
) -> list[Slowdown]:
    """Draw which backend servers of one run are slow, and when."""
    if name is ScenarioName.STRAGGLING:
        leaf = random.randrange(size.leafs)
        return [
            Slowdown(
                leaf=leaf,
                replica=replica,
                start=times.fault_from,
                end=times.fault_until,
                factor=STRAGGLING_FACTOR,
            )
            for replica in range(REPLICAS)
        ]
    if name is not ScenarioName.SLOWED:
        return []
    slowdowns: list[Slowdown] = []
    start = times.fault_from
    while start < times.fault_until:
        end = min(start + SLOWED_EPISODE_S, times.fault_until)
        for index in random.sample(
            range(size.servers), max(1, int(size.servers * SLOWED_FRACTION))
        ):
            slowdowns.append(
                Slowdown(
                    leaf=index // REPLICAS,
                    replica=index % REPLICAS,
                    start=start,
                    end=end,
                    factor=SLOWED_FACTOR,
                )
            )
        start = end
    return slowdowns
