"""The share of its usual calls that a server gets after it has started or recovered."""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count, pairwise
from random import Random
from typing import TYPE_CHECKING

import pytest

from azurefield.call_result import FAILURE_RESULTS, CallResult, result_of
from azurefield.failures import LeafFailure, LeafFailureReason
from azurefield.model import Outcome
from azurefield.routing import OwnObservationRouter
from azurefield.server_pace import (
    DOUBLING_INTERVAL_S,
    EVEN_RISE_S,
    HOLD_S,
    SHARE_MIN,
    AdaptivePace,
    CompletedRise,
    FixedRamp,
    ServerPace,
)

if TYPE_CHECKING:
    from collections.abc import Callable

USUAL_S = 0.01
NO_CAPACITY = LeafFailure(reason=LeafFailureReason.NO_CAPACITY, outcome=Outcome.NOT_RUN)
LEAF = ("new", "w1", "w2")


def begin(at: float = 0.0) -> AdaptivePace:
    pace = AdaptivePace()
    pace.begin(0.0, "new", at)
    return pace


def answer(pace: ServerPace, now: float, latency_s: float = USUAL_S) -> None:
    pace.on_result(now, "new", CallResult.ANSWERED, latency_s, USUAL_S)


def test_good_answers_double_the_share_and_only_after_the_last_step_was_seen() -> None:
    """Guards against a server that is left idle, and against steps that overtake the answers."""
    pace = begin()
    shares = []
    for step in range(100):
        now = 0.01 * (step + 1)
        before = pace.share(now, "new")
        answer(pace, now)
        shares.append(pace.share(now, "new"))
        assert shares[-1] <= 2 * before
    assert shares[int(DOUBLING_INTERVAL_S / 0.01) - 2] < 1.5 * SHARE_MIN
    assert shares[-1] == 1.0


def test_without_answers_the_share_rises_as_the_fixed_ramp() -> None:
    """Guards against a server that never gets load from an instance with few calls."""
    pace, ramp = begin(), FixedRamp()
    ramp.begin(0.0, "new", 0.0)
    for step in range(60):
        now = EVEN_RISE_S * step / 50
        assert pace.share(now, "new") == pytest.approx(ramp.share(now, "new"), abs=SHARE_MIN)
    assert pace.share(EVEN_RISE_S, "new") == 1.0


@pytest.mark.parametrize(
    "result", [CallResult.REFUSED, CallResult.FAILED, CallResult.TIMED_OUT], ids=str
)
def test_a_call_that_fails_halves_the_share_for_a_while(result: CallResult) -> None:
    """Guards against a rise that goes on while the server is flooded, or that never resumes."""
    pace = begin()
    before = pace.share(2.0, "new")
    pace.on_result(2.0, "new", result, 0.001, USUAL_S)
    assert pace.share(2.0 + HOLD_S, "new") == pytest.approx(before / 2)
    assert pace.share(2.0 + 2 * HOLD_S, "new") > before / 2


def rises_no_faster_than_the_ramp(
    pace: type[AdaptivePace], result: CallResult, latency_s: float
) -> bool:
    """Whether good answers in turn with others of a kind leave the share at that of the ramp."""
    rising, ramp = pace(), FixedRamp()
    for each in (rising, ramp):
        each.begin(0.0, "new", 0.0)
    for step in range(200):
        rising.on_result(0.01 * (step + 1), "new", result, latency_s, USUAL_S)
        if result in FAILURE_RESULTS:
            answer(rising, 0.01 * (step + 1))
    return rising.share(2.0, "new") <= ramp.share(2.0, "new") + SHARE_MIN


@pytest.mark.parametrize("result", [CallResult.ANSWERED, CallResult.CANCELLED], ids=str)
def test_slow_answers_do_not_double_the_share(result: CallResult) -> None:
    """Guards against a slow server whose load rises as fast as that of a sound one."""
    assert rises_no_faster_than_the_ramp(AdaptivePace, result, 3 * USUAL_S)


def test_each_failure_makes_the_next_doubling_rarer() -> None:
    """Guards against a load that swings between too much and too little."""
    pace, doublings, before = begin(), [], SHARE_MIN
    for step in range(1200):
        now = 0.01 * (step + 1)
        answer(pace, now)
        share = pace.share(now, "new")
        if share > 1.5 * before:
            doublings.append(now)
            pace.on_result(now + 0.001, "new", CallResult.REFUSED, 0.0, USUAL_S)
        before = pace.share(now + 0.001, "new")
    pauses = [later - earlier for earlier, later in pairwise(doublings)]
    expected = [DOUBLING_INTERVAL_S * 2**number for number in (1, 2, 3)]
    assert pauses == pytest.approx(expected, abs=0.02)


@pytest.mark.parametrize(
    ("result", "now", "latency_s"),
    [
        (CallResult.NOT_SENT, 2.0, 0.0),
        (result_of(NO_CAPACITY), 2.0, 0.0),
        (CallResult.FAILED, 2.1, 0.2),
    ],
    ids=["not-sent", "no-connection-of-the-own-pool", "sent-before-the-last-change"],
)
def test_a_call_that_says_nothing_of_the_last_step_changes_nothing(
    result: CallResult, now: float, latency_s: float
) -> None:
    """Guards against several cuts for one overload."""
    pace = begin()
    pace.on_result(2.0, "new", CallResult.FAILED, 0.001, USUAL_S)
    before = pace.share(now, "new")
    pace.on_result(now, "new", result, latency_s, USUAL_S)
    assert pace.share(now, "new") == before


def test_a_completed_rise_is_reported_once_with_its_failures() -> None:
    """Guards against a log that does not tell a weak server from a sound one."""
    pace = begin(at=1.0)
    pace.on_result(2.0, "new", CallResult.REFUSED, 0.1, USUAL_S)
    assert pace.take_completed(2.0) == []
    (completed,) = pace.take_completed(1.0 + 2 * EVEN_RISE_S)
    assert completed == CompletedRise(server="new", took_s=2 * EVEN_RISE_S, failures=1)
    assert pace.take_completed(1.0 + 2 * EVEN_RISE_S) == []


@dataclass(slots=True, kw_only=True)
class Backend:
    """A server with slots and a queue; it takes ``factor`` times as long until ``slow_until``."""

    slots: int
    factor: float = 1.0
    slow_until: float = 0.0
    queue_max: int = 8
    free_at: list[float] = field(default_factory=list)

    def begin(self, now: float, work_s: float) -> float | None:
        """Take a call; return when it ends, or None if it is refused."""
        self.free_at = [at for at in self.free_at if at > now]
        if len(self.free_at) >= self.slots + self.queue_max:
            return None
        ahead = sorted(self.free_at)
        begins = now if len(ahead) < self.slots else ahead[len(ahead) - self.slots]
        ends = begins + work_s * (self.factor if begins < self.slow_until else 1.0)
        self.free_at.append(ends)
        return ends


@dataclass(slots=True, kw_only=True)
class Simulation:
    """What calls to three servers got, one of which has started at 0.

    :param share: of the calls in each quarter of a second, the part that the server got
    """

    share: list[float]
    refused: int
    late: int

    def full_at(self) -> float:
        """Return when the server first had three quarters of an equal part of the calls."""
        reached = [index for index, share in enumerate(self.share) if share >= 0.75 / 3]
        return 0.25 * min(reached, default=len(self.share))


def simulate(
    pace: type[AdaptivePace | FixedRamp],
    *,
    instances: int = 4,
    per_s: float = 400.0,
    slots: int = 4,
    factor: float = 1.6,
    slow_until: float = 3.0,
    seed: int = 1,
    crowd: int = 0,
    ejected: bool = False,
    length_s: float = 8.0,
) -> Simulation:
    """Send calls at random times from several instances with a router each.

    :param crowd: calls that come at once, 0.1 s after the start, beside the others
    """
    random = Random(seed)
    backends = {name: Backend(slots=slots) for name in LEAF}
    backends["new"].factor, backends["new"].slow_until = factor, slow_until
    routers = [OwnObservationRouter(random=random, pace=pace()) for _ in range(instances)]
    for router in routers:
        for name in LEAF[1:]:
            router.view(name).observe(0.0, USUAL_S)
        if ejected:
            router.eject(-1.0, "new")
        else:
            router.on_restart(0.0, "new")
    numbers = count()
    events: list[tuple[float, int, int, str, float]] = []
    for index in range(int(per_s * length_s) + crowd):
        at = random.uniform(0.0, length_s) if index >= crowd else 0.1
        heappush(events, (at, next(numbers), random.randrange(instances), "", 0.0))
    results: list[list[bool]] = [[] for _ in range(int(length_s * 4))]
    refused = late = 0
    while events:
        now, _, instance, server, sent_at = heappop(events)
        router = routers[instance]
        if server:
            router.on_result(now, server, CallResult.ANSWERED, now - sent_at)
            late += now - sent_at > 5 * USUAL_S
            continue
        chosen = router.choose(now, LEAF)
        assert chosen is not None
        router.on_dispatch(now, chosen)
        if now < length_s:
            results[int(4 * now)].append(chosen == "new")
        ends = backends[chosen].begin(now, random.uniform(0.5, 1.5) * USUAL_S)
        if ends is None:
            refused += 1
            router.on_result(now, chosen, CallResult.REFUSED, 0.0)
        else:
            heappush(events, (ends, next(numbers), instance, chosen, now))
    return Simulation(share=[sum(part) / len(part) for part in results], refused=refused, late=late)


@pytest.mark.parametrize(
    ("instances", "per_s", "factor"),
    [(4, 1000.0, 1.6), (85, 1000.0, 1.6), (4, 1150.0, 1.0)],
    ids=["warms-up", "warms-up-and-85-instances", "crowd-beyond-two-servers"],
)
def test_callers_are_refused_less_while_a_server_is_needed(
    instances: int, per_s: float, factor: float
) -> None:
    """Guards against a server that is left idle while the others refuse calls."""
    ramp, adaptive = (
        sum(
            simulate(
                pace, instances=instances, per_s=per_s, factor=factor, seed=seed, length_s=4
            ).refused
            for seed in range(3)
        )
        for pace in (FixedRamp, AdaptivePace)
    )
    assert adaptive < ramp


def test_a_server_that_recovered_has_its_full_share_soon() -> None:
    """Guards against a sound server that is left idle after its ejection."""
    recovered = simulate(AdaptivePace, ejected=True, factor=1.0, per_s=600.0, length_s=4.0)
    assert recovered.full_at() <= 1.0
    assert recovered.refused == 0


@pytest.mark.parametrize("instances", [1, 4, 85])
def test_a_server_that_stays_slow_gets_little(instances: int) -> None:
    """Guards against a pace that rises by time alone under a server that does not answer well."""
    slow = simulate(AdaptivePace, factor=10.0, slow_until=99.0, instances=instances)
    assert max(slow.share[4:]) < 0.1


def begins_with_little(pace: type[AdaptivePace], instances: int = 85) -> bool:
    """Whether a server that has started gets few calls at first."""
    begun = simulate(pace, instances=instances, per_s=1000.0, factor=4.0)
    return begun.share[0] < 0.5 / 3 and sum(begun.share[:4]) / 4 < 0.75 / 3


@pytest.mark.parametrize("instances", [1, 4, 85])
def test_all_instances_together_begin_with_little(instances: int) -> None:
    """Guards against a crowd of first calls from many instances that each send only a few."""
    assert begins_with_little(AdaptivePace, instances)


@pytest.mark.parametrize("per_s", [600.0, 1150.0], ids=["with-room", "at-the-limit"])
def test_the_load_does_not_swing(per_s: float) -> None:
    """Guards against instances that raise and cut the load of a server together."""
    settled = simulate(AdaptivePace, instances=20, per_s=per_s, length_s=10.0).share[16:]
    assert max(settled) - min(settled) < 0.2


class IgnoresSlowness(AdaptivePace):
    """Takes each answer for a good one."""

    def on_result(
        self,
        now: float,
        server: str,
        result: CallResult,
        latency_s: float,
        usual_s: float | None,  # noqa: ARG002
    ) -> None:
        AdaptivePace.on_result(self, now, server, result, latency_s, None)


class IgnoresFailures(AdaptivePace):
    """Counts only answers."""

    def on_result(
        self, now: float, server: str, result: CallResult, latency_s: float, usual_s: float | None
    ) -> None:
        if result is CallResult.ANSWERED:
            AdaptivePace.on_result(self, now, server, result, latency_s, usual_s)


class BeginsInFull(AdaptivePace):
    """Gives a server that has started its usual calls at once."""

    def begin(self, now: float, server: str, at: float) -> None:
        pass


@pytest.mark.parametrize(
    ("weakened", "check"),
    [
        (
            IgnoresSlowness,
            lambda pace: rises_no_faster_than_the_ramp(pace, CallResult.ANSWERED, 3 * USUAL_S),
        ),
        (
            IgnoresFailures,
            lambda pace: rises_no_faster_than_the_ramp(pace, CallResult.REFUSED, 0.001),
        ),
        (BeginsInFull, begins_with_little),
    ],
    ids=["slowness", "failures", "begin"],
)
def test_the_same_checks_find_a_weakened_pace(
    weakened: type[AdaptivePace], check: Callable[[type[AdaptivePace]], bool]
) -> None:
    """Guards against checks that would pass without the decision."""
    assert check(AdaptivePace)
    assert not check(weakened)
