from __future__ import annotations

from random import Random

import pytest

from azurefield.call_result import CallResult
from azurefield.routing import (
    EJECTION_BASE_S,
    OwnObservationRouter,
    RoundRobinRouter,
    Router,
)
from azurefield.server_pace import EVEN_RISE_S
from azurefield.server_view import BACKOFF_BASE_S, BACKOFF_MAX_S

LEAF = ("a", "b", "c")


def call(router: Router, now: float, latency_s: dict[str, float]) -> str:
    """Make one call and report its end before the next call, so that none is outstanding."""
    server = router.choose(now, LEAF)
    assert server is not None
    router.on_dispatch(now, server)
    router.on_result(now, server, CallResult.ANSWERED, latency_s[server])
    return server


def share(router: Router, server: str, latency_s: dict[str, float], start: float = 0.0) -> float:
    """Make 1,000 calls; return the fraction of them that a server got."""
    chosen = [call(router, start + index * 0.01, latency_s) for index in range(1000)]
    return chosen.count(server) / len(chosen)


def fail(router: OwnObservationRouter, now: float, server: str, count: int = 3) -> None:
    """Report failed calls to a server; the default count is enough to eject it."""
    for _ in range(count):
        router.on_dispatch(now, server)
        router.on_result(now, server, CallResult.FAILED, 0.001)


@pytest.mark.parametrize(
    ("router", "most", "least"),
    [
        (OwnObservationRouter(random=Random(1)), 0.05, 0.0),
        (RoundRobinRouter(), 0.34, 0.33),
    ],
    ids=["own-observation", "round-robin"],
)
def test_a_server_slowed_tenfold_loses_its_calls_only_with_own_observations(
    router: Router, most: float, least: float
) -> None:
    """Guards against a router that ignores latencies and sends a slow server its full share."""
    latency_s = {"a": 0.1, "b": 0.01, "c": 0.01}
    assert least <= share(router, "a", latency_s) <= most


def test_a_slowed_server_gets_calls_again_after_it_recovered() -> None:
    """Guards against a server that gets no calls any more after it was slow once.

    Without calls, its latency estimate would never be updated.
    """
    router = OwnObservationRouter(random=Random(2))
    share(router, "a", {"a": 0.1, "b": 0.01, "c": 0.01})
    assert share(router, "a", dict.fromkeys(LEAF, 0.01), start=60.0) > 0.2


@pytest.mark.parametrize(
    ("failing", "left"),
    [(("a",), {"b", "c"}), (("a", "b"), {"b", "c"}), (LEAF, {"b", "c"})],
    ids=["one-of-three", "two-of-three", "all-three"],
)
def test_ejection_takes_at_most_a_third_of_a_leaf(failing: tuple[str, ...], left: set[str]) -> None:
    """Guards against ejecting all servers of a leaf.

    They may all fail for a common cause, and the leaf would then have no server left.
    """
    router = OwnObservationRouter(random=Random(3))
    for server in failing:
        fail(router, 0.0, server)
    uncapped = {server for server in LEAF if router.view(server).ejected_until <= 0.1}
    assert len(uncapped) == 3 - len(failing)
    assert {router.choose(0.1, LEAF) for _ in range(200)} == left


def test_the_cap_counts_the_whole_leaf_when_some_servers_were_tried() -> None:
    """Guards against a hedge that goes to an ejected server.

    If the maximum fraction were applied to the two untried servers only, none could be ejected.
    """
    router = OwnObservationRouter(random=Random(4))
    fail(router, 0.0, "a")
    assert {router.choose(0.1, LEAF, tried={"b"}) for _ in range(100)} == {"c"}


def test_an_ejected_server_returns_slowly_and_is_ejected_longer_the_next_time() -> None:
    """Guards against a new server that gets its full share at once, and against flapping."""
    router = OwnObservationRouter(random=Random(5))
    latency_s = dict.fromkeys(LEAF, 0.01)
    share(router, "a", latency_s)
    fail(router, 10.0, "a")
    assert share(router, "a", latency_s, start=10.0 - 10.0 + EJECTION_BASE_S) == 0.0
    early = [call(router, 10.01 + EJECTION_BASE_S, latency_s) for _ in range(1000)].count("a")
    late = [call(router, 10.01 + EJECTION_BASE_S + EVEN_RISE_S, latency_s) for _ in range(1000)]
    assert early < 150
    assert late.count("a") > 200
    fail(router, 20.0, "a")
    assert router.view("a").ejected_until == 20.0 + 2 * EJECTION_BASE_S


def test_a_slow_server_is_noticed_though_all_its_calls_are_hedged_and_cancelled() -> None:
    """Guards against observing only answered calls.

    A slow call that is hedged is cancelled when the hedge answers first, so that a slow server
    would never get a latency.
    """
    router = OwnObservationRouter(random=Random(7))
    chosen = []
    for index in range(300):
        now = index * 0.01
        server = router.choose(now, LEAF)
        assert server is not None
        chosen.append(server)
        router.on_dispatch(now, server)
        result = CallResult.CANCELLED if server == "a" else CallResult.ANSWERED
        router.on_result(now, server, result, 0.05 if server == "a" else 0.01)
    assert chosen.count("a") <= 0.05 * len(chosen)


def test_a_server_whose_call_failed_gets_no_work_for_a_while() -> None:
    """Guards against sending call after call to a server that is down."""
    router = OwnObservationRouter(random=Random(6))
    fail(router, 0.0, "a", count=1)
    fail(router, 0.0, "b", count=1)
    assert {router.choose(BACKOFF_BASE_S / 2, LEAF) for _ in range(30)} == {"c"}
    assert router.choose(BACKOFF_BASE_S / 2, ("a", "b")) is not None
    assert {router.choose(BACKOFF_BASE_S * 1.5, LEAF) for _ in range(60)} == set(LEAF)


def test_each_further_failure_doubles_the_backoff_and_an_answer_resets_it() -> None:
    """Guards against a constant backoff: a server that is down would get a call every 0.1 s."""
    router = OwnObservationRouter(random=Random(7))
    now = 0.0
    backoffs_s = []
    for _ in range(8):
        fail(router, now, "a", count=1)
        backoffs_s.append(router.view("a").backoff_until - now)
        now = router.view("a").backoff_until
    assert backoffs_s[:3] == pytest.approx([BACKOFF_BASE_S, 2 * BACKOFF_BASE_S, 4 * BACKOFF_BASE_S])
    assert max(backoffs_s) == pytest.approx(BACKOFF_MAX_S)
    router.on_dispatch(now, "a")
    router.on_result(now, "a", CallResult.ANSWERED, 0.01)
    fail(router, now, "a", count=1)
    assert router.view("a").backoff_until == pytest.approx(now + BACKOFF_BASE_S)


def test_a_server_that_stalls_gets_no_work_until_it_answers() -> None:
    """Guards against sending calls to a stalled server while other servers are free."""
    router = OwnObservationRouter(random=Random(8))
    share(router, "a", dict.fromkeys(LEAF, 0.01))
    router.on_dispatch(20.0, "a")
    assert {router.choose(20.1, LEAF) for _ in range(60)} == {"b", "c"}
    router.on_result(20.1, "a", CallResult.ANSWERED, 0.1)
    assert router.is_responsive(20.1, "a", 0.01)


def test_a_call_cancelled_after_a_long_wait_starts_a_backoff() -> None:
    """Guards against a stalled server that looks idle.

    Once its calls were cancelled, none is outstanding, and only the backoff keeps calls away.
    """
    router = OwnObservationRouter(random=Random(9))
    share(router, "a", dict.fromkeys(LEAF, 0.01))
    router.on_dispatch(20.0, "a")
    router.on_result(20.1, "a", CallResult.CANCELLED, 0.1)
    assert not router.is_responsive(20.1, "a", 0.01)


@pytest.mark.parametrize(
    ("failure_cost_s", "least", "most"), [(1.0, 0.0, 0.1), (0.0, 0.1, 1.0)], ids=["on", "off"]
)
def test_a_server_that_loses_part_of_its_answers_gets_few_calls(
    failure_cost_s: float, least: float, most: float
) -> None:
    """Guards against using up the retry budget on a server that loses part of its answers."""
    router = OwnObservationRouter(random=Random(10), failure_cost_s=failure_cost_s)
    lossy = Random(11)
    chosen = []
    for index in range(1000):
        now = index * 0.2
        server = router.choose(now, LEAF)
        assert server is not None
        chosen.append(server)
        router.on_dispatch(now, server)
        lost = server == "a" and lossy.random() < 0.4
        result = CallResult.FAILED if lost else CallResult.ANSWERED
        router.on_result(now, server, result, 0.01)
    assert least <= chosen.count("a") / len(chosen) <= most
