from __future__ import annotations

from random import Random

import pytest

from azurefield.retry import CallBudget, RetryBudget, WindowedBudget

WINDOW_S = 10.0
RATIO = 0.2


def max_excess(budget: CallBudget, *, rate: float, seconds: float) -> float:
    """Spend whenever the budget allows it.

    :return: the largest excess of further calls in a window over the ratio of first calls
    """
    random = Random(3)
    first: list[float] = []
    further: list[float] = []
    now = 0.0
    while now < seconds:
        # The load alternates, so that credit saved at high load could be spent at low load.
        now += random.expovariate(rate if now % 20.0 < 10.0 else rate / 10.0)
        budget.on_first_attempt(now, "leaf")
        first.append(now)
        while budget.try_spend(now, "leaf"):
            further.append(now)
    return max(
        sum(end - WINDOW_S < at <= end for at in further)
        - RATIO
        * max(sum(end - lag - WINDOW_S < at <= end - lag for at in first) for lag in (0, 5, 10))
        for end in (index * 0.25 for index in range(int(seconds * 4)))
    )


def test_a_window_never_holds_more_further_calls_than_the_ratio_allows() -> None:
    """Guards against a burst of retries from saved credit.

    Summed over many instances, such bursts would exceed the limit on extra load.
    """
    budget = WindowedBudget(ratio=RATIO, window_s=WINDOW_S)
    assert max_excess(budget, rate=20.0, seconds=60.0) <= 1.0


def test_a_token_bucket_exceeds_the_ratio_of_a_window() -> None:
    """Guards against a check that can't fail: a token bucket that starts full exceeds the ratio."""
    assert max_excess(RetryBudget(ratio=RATIO), rate=20.0, seconds=60.0) > 5.0


@pytest.mark.parametrize(
    ("first_calls", "allowance", "expected"),
    [(0, 0.0, 0), (4, 0.0, 0), (5, 0.0, 1), (50, 0.0, 10), (0, 2.0, 2)],
    ids=["none", "too-few", "one", "ten", "allowance"],
)
def test_further_calls_follow_the_first_calls_of_the_window(
    first_calls: int, allowance: float, expected: int
) -> None:
    """Guards against a budget that can be spent without any first calls."""
    budget = WindowedBudget(ratio=RATIO, window_s=WINDOW_S, allowance=allowance)
    for _ in range(first_calls):
        budget.on_first_attempt(1.0, "leaf")
    assert sum(budget.try_spend(1.0, "leaf") for _ in range(100)) == expected


def test_first_calls_outside_the_window_do_not_count() -> None:
    """Guards against spending credit from a time of high load at a time of low load."""
    budget = WindowedBudget(ratio=RATIO, window_s=WINDOW_S)
    for _ in range(50):
        budget.on_first_attempt(0.0, "leaf")
    assert not budget.try_spend(WINDOW_S + 1.0, "leaf")


def test_leafs_have_budgets_of_their_own() -> None:
    """Guards against charging one leaf's retries to the first calls of other leafs."""
    budget = WindowedBudget(ratio=RATIO, window_s=WINDOW_S)
    for _ in range(50):
        budget.on_first_attempt(0.0, "busy")
    assert not budget.try_spend(0.0, "quiet")
    budget.retain_only(frozenset({"quiet"}))
    assert not budget.try_spend(0.0, "busy")


def test_the_share_of_further_calls_counts_the_allowance_of_each_leaf() -> None:
    """Guards against a wrong share of further calls.

    The hedge delay is derived from it, so that too many or too few calls would be hedged.
    """
    budget = WindowedBudget(ratio=RATIO, window_s=WINDOW_S, allowance=1.0)
    assert budget.share(0.0, ("a", "b")) == RATIO
    for leaf in ("a", "b"):
        for _ in range(10):
            budget.on_first_attempt(0.0, leaf)
    assert budget.share(0.0, ("a", "b")) == pytest.approx(RATIO + 0.1)
    assert budget.share(WINDOW_S + 1.0, ("a", "b")) == RATIO
