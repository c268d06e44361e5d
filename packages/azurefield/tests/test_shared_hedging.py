from __future__ import annotations

import pytest

from azurefield.hedging import QUANTILE_CALLS_MIN, LeafLatencies, SharedDelayHedging
from azurefield.retry import WindowedBudget

RECENT_CALLS = 128
SHARDS = 36


def hedging(*, initial_delay_s: float | None = None) -> SharedDelayHedging:
    return SharedDelayHedging(
        latencies=LeafLatencies(quantile=0.75, recent_calls=RECENT_CALLS),
        budget=WindowedBudget(ratio=0.2, window_s=10.0),
        initial_delay_s=initial_delay_s,
    )


def test_the_slowest_answers_of_each_request_do_not_make_all_servers_slow() -> None:
    """Guards against hedging that stops although only single shards are slow.

    The answers of a request arrive in order of latency. Too short a window would then hold only
    slow ones and look as if all servers were slow.
    """
    policy = hedging()
    for _ in range(20):
        for number in range(SHARDS):
            policy.observe("s", 0.02 + 0.002 * number)
    assert policy.delay_s("s") == pytest.approx(0.02 + 0.002 * 0.75 * SHARDS, abs=0.005)
    for _ in range(RECENT_CALLS):
        policy.observe("s", 0.2)
    assert policy.delay_s("s") is None, "all servers are slow"


@pytest.mark.parametrize("initial_delay_s", [None, 0.06])
def test_the_first_requests_of_a_process_are_hedged_too(initial_delay_s: float | None) -> None:
    """Guards against first requests that wait for a stalled server without being hedged."""
    policy = hedging(initial_delay_s=initial_delay_s)
    assert policy.delay_s("s") == initial_delay_s
    for _ in range(QUANTILE_CALLS_MIN):
        policy.observe("s", 0.02)
    assert policy.delay_s("s") == 0.02
