"""What the callers of a zone get while its coordinators are slow or silent, on virtual time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

import pytest

from azurefield.call_result import CallResult
from azurefield.coordinator_choice import CoordinatorChoice
from azurefield.coordinators import CoordinatorView, InstanceProfile
from azurefield.routing import OwnObservationRouter
from azurefield.server_view import BACKOFF_BASE_S

ZONES = ("a", "b", "c")
INSTANCES = 27
REQUESTS_PER_S = 1.5
RESULT_S = 0.075
SLOW_RESULT_S = 0.4
ACCEPT_WAIT_S = 0.058
TROUBLE_FROM_S, TROUBLE_UNTIL_S, END_S = 10.0, 15.0, 30.0


def choice(
    own: str, seed: int, kind: type[CoordinatorChoice] = CoordinatorChoice
) -> CoordinatorChoice:
    """The choice of a weak instance in a fleet with two strong instances a zone."""
    view = CoordinatorView(own=own)
    for zone in ZONES:
        names = [(f"{zone}-strong{number}", 20.0) for number in range(2)]
        for name, capacity in [*names, (own, 1.0)] if zone == "a" else names:
            view.on_profile(
                InstanceProfile(
                    instance=name,
                    availability_zone=zone,
                    capacity=capacity,
                    coordinator_address="192.0.2.1:1",
                )
            )
    return kind(view=view, router=OwnObservationRouter(random=Random(seed), failure_cost_s=1.0))


@dataclass(slots=True, kw_only=True)
class Simulation:
    """Instances of zone ``a`` forward requests, each to a coordinator of its choice.

    :param troubled: the coordinators that are slow, or silent, for a while
    :param sent: how many requests each coordinator got, by second
    """

    troubled: Collection[str]
    silent: bool
    kind: type[CoordinatorChoice] = CoordinatorChoice
    random: Random = field(default_factory=lambda: Random(1))
    sent: dict[int, Counter[str]] = field(default_factory=dict)

    def run(self) -> None:
        """Simulate all requests."""
        choices = [choice(f"a-weak{number}", number, self.kind) for number in range(INSTANCES)]
        events: list[tuple[float, int, int, tuple[str, CallResult, float] | None]] = []
        for number in range(INSTANCES):
            heappush(events, (self.random.expovariate(REQUESTS_PER_S), number, number, None))
        order = INSTANCES
        woken = False
        while events and events[0][0] < END_S:
            now, _, number, ended = heappop(events)
            if now >= TROUBLE_UNTIL_S and not woken:
                woken = True
                self.wake(choices)
            order += 2
            router = choices[number].router
            if ended is not None:
                router.on_result(now, *ended)
                if ended[1] is CallResult.FAILED:
                    choices[number].on_silent(now, ended[0])
                continue
            coordinator = choices[number].choose(now, ZONES)
            assert coordinator is not None
            router.on_dispatch(now, coordinator)
            self.sent.setdefault(int(now), Counter())[coordinator] += 1
            result, duration_s = self.result(now, coordinator)
            heappush(events, (now + duration_s, order, number, (coordinator, result, duration_s)))
            pause_s = self.random.expovariate(REQUESTS_PER_S)
            heappush(events, (now + pause_s, order + 1, number, None))

    def wake(self, choices: list[CoordinatorChoice]) -> None:
        """Let the silent coordinators answer what they got, at the end of the trouble."""
        if self.silent:
            for one in choices:
                for name in self.troubled:
                    one.on_heard(name)

    def result(self, now: float, coordinator: str) -> tuple[CallResult, float]:
        """Return how a request ends, and after how long."""
        usual_s = RESULT_S * self.random.uniform(0.7, 1.6)
        if coordinator not in self.troubled or not TROUBLE_FROM_S <= now < TROUBLE_UNTIL_S:
            return CallResult.ANSWERED, usual_s
        if self.silent:
            return CallResult.FAILED, ACCEPT_WAIT_S
        return CallResult.ANSWERED, SLOW_RESULT_S

    def share(self, coordinators: Collection[str], start: float, end: float) -> float:
        """Return the fraction of the requests that some coordinators got in a time."""
        counts = [self.sent.get(second, Counter()) for second in range(int(start), int(end))]
        got = sum(count[name] for count in counts for name in coordinators)
        return got / sum(count.total() for count in counts)


NEAREST = ("a-strong0", "a-strong1")
DISTANT = tuple(f"{zone}-strong{number}" for zone in "bc" for number in range(2))


def moves_within_the_zone(kind: type[CoordinatorChoice], *, silent: bool = True) -> bool:
    """Whether requests leave one coordinator in trouble for the others of its zone."""
    simulation = Simulation(troubled=NEAREST[:1], silent=silent, kind=kind)
    simulation.run()
    before = simulation.share(NEAREST[:1], 5.0, TROUBLE_FROM_S)
    beside = simulation.share(NEAREST[:1], TROUBLE_FROM_S + 2.0, TROUBLE_UNTIL_S)
    return before > 0.3 and beside < 0.15 and simulation.share(DISTANT, 0.0, END_S) == 0.0


def spreads_over_other_zones(kind: type[CoordinatorChoice]) -> bool:
    """Whether requests leave a zone just while none of its coordinators answers."""
    simulation = Simulation(troubled=NEAREST, silent=True, kind=kind)
    simulation.run()
    settled = (TROUBLE_FROM_S + 2.0, TROUBLE_UNTIL_S)
    return (
        simulation.share(DISTANT, 0.0, TROUBLE_FROM_S) == 0.0
        and simulation.share(NEAREST, *settled) < 0.25
        and all(0.1 < simulation.share([name], *settled) < 0.4 for name in DISTANT)
        and simulation.share(DISTANT, TROUBLE_UNTIL_S + 3.0, END_S) == 0.0
    )


@pytest.mark.parametrize("silent", [False, True], ids=["slow", "silent"])
def test_requests_move_away_from_one_coordinator_in_trouble_and_stay_in_the_zone(
    silent: bool,
) -> None:
    """Guards against an instance that keeps to a coordinator which answers late or not at all."""
    assert moves_within_the_zone(CoordinatorChoice, silent=silent)


def test_requests_spread_over_other_zones_while_no_coordinator_of_the_zone_answers() -> None:
    """Guards against a zone that fails as a whole, and against one instance that takes it all."""
    assert spreads_over_other_zones(CoordinatorChoice)


class ForgetsSilence(CoordinatorChoice):
    """Leaves it to the router when to avoid a coordinator that was silent."""

    def on_silent(self, now: float, coordinator: str) -> None:
        pass


class LeavesTheZoneEarly(CoordinatorChoice):
    """Asks other zones as soon as one coordinator of the nearest was silent."""

    def choose(self, now: float, zones: Collection[str], tried: Collection[str] = ()) -> str | None:
        if any(self.is_silent(now, name) for name in self.view.candidates(zones)):
            return self.router.choose(now, self.view.distant_candidates(zones))
        return CoordinatorChoice.choose(self, now, zones, tried)


@pytest.mark.parametrize(
    ("weakened", "check"),
    [
        (ForgetsSilence, spreads_over_other_zones),
        (LeavesTheZoneEarly, moves_within_the_zone),
    ],
)
def test_the_same_checks_find_a_weakened_choice(
    weakened: type[CoordinatorChoice], check: Callable[[type[CoordinatorChoice]], bool]
) -> None:
    """Guards against checks that would pass without the decision."""
    assert not check(weakened)


def test_the_instance_that_is_a_nearest_coordinator_runs_its_requests_itself() -> None:
    """Guards against a coordinator that forwards its requests to others."""
    assert choice("a-strong0", 1).choose(0.0, ZONES) is None


def test_a_coordinator_that_accepts_just_too_late_keeps_its_usual_backoff() -> None:
    """Guards against the next requests going to a coordinator that is heard but late."""
    weak = choice("a-weak0", 1)
    late = weak.choose(0.0, ZONES)
    assert late is not None
    weak.router.on_dispatch(0.0, late)
    weak.router.on_result(ACCEPT_WAIT_S, late, CallResult.FAILED, ACCEPT_WAIT_S)
    weak.on_silent(ACCEPT_WAIT_S, late)
    weak.on_heard(late)
    backoff_s = weak.router.view(late).backoff_until - ACCEPT_WAIT_S
    assert 0.5 * BACKOFF_BASE_S < backoff_s < 1.5 * BACKOFF_BASE_S
