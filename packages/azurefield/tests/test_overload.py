from __future__ import annotations

import pytest

from azurefield.overload import RUNNING_MAX, LoopLag


@pytest.mark.parametrize(
    ("intervals", "overloaded"),
    [
        ([0.1] * 10, False),
        ([0.11, 0.14, 0.12], False),
        ([0.1, 0.3], True),
        ([0.1, 4.0], True),
        ([0.1, 4.0, 0.1], True),
        ([0.1, 4.0] + [0.1] * 6, False),
    ],
    ids=["punctual", "busy", "overloaded", "suspended", "right-after", "recovered"],
)
def test_a_late_event_loop_shows_overload(intervals: list[float], overloaded: bool) -> None:
    """Guards against a slow process that accepts work which others could do."""
    lag, now = LoopLag(interval_s=0.1), 0.0
    lag.on_tick(now)
    for interval in intervals:
        now += interval
        lag.on_tick(now)
    assert lag.overloaded(now) is overloaded


def test_a_tick_that_is_overdue_counts_before_it_comes() -> None:
    """Guards against work accepted right after a suspension, before the first tick."""
    lag = LoopLag(interval_s=0.1)
    lag.on_tick(0.0)
    assert not lag.overloaded(0.15)
    assert lag.overloaded(3.0)


@pytest.mark.parametrize("late_s", [0.0, 0.1, 0.11, 0.2, 0.5, 10.0])
def test_an_overload_is_over_after_the_time_that_was_expected(late_s: float) -> None:
    """Guards against an instance that is asked too early, or long after it has recovered."""
    lag = LoopLag(interval_s=0.1)
    lag.on_tick(0.0)
    now = lag.interval_s + late_s
    lag.on_tick(now)
    recovered_at = now + lag.recovery_s(now)
    while lag.overloaded(now):
        assert now < recovered_at - 0.01
        now += lag.interval_s
        lag.on_tick(now)
    assert now == pytest.approx(recovered_at)


@pytest.mark.parametrize(
    ("late_s", "left_s", "in_time"),
    [(0.0, 0.0, True), (0.2, 0.41, True), (0.2, 0.39, False), (10.0, 1.0, False)],
)
def test_work_is_in_time_if_two_late_steps_fit(late_s: float, left_s: float, in_time: bool) -> None:
    """Guards against work that is accepted although it can't end in time, or rejected too early."""
    lag = LoopLag(interval_s=0.1)
    lag.on_tick(0.0)
    now = lag.interval_s + late_s
    lag.on_tick(now)
    assert lag.accepts_necessary(now, left_s, RUNNING_MAX) is in_time


@pytest.mark.parametrize(
    ("late_s", "lasting"),
    [
        ([0.3], False),
        ([0.3, 0.0], False),
        ([0.3, 0.15], True),
        ([0.3, 0.15, 0.0], False),
        ([0.3, 0.15, 0.0, 0.0, 0.0], False),
        ([0.3, 0.15] + [0.06] * 4, False),
        ([0.15, 0.0, 0.0, 0.15], False),
    ],
    ids=["once", "then-punctual", "twice", "passed", "recovered", "busy-again", "apart"],
)
def test_an_overload_that_lasts_gets_little_more_work(
    late_s: list[float], *, lasting: bool
) -> None:
    """Guards against callers of a busy instance that wait behind the requests of others."""
    lag, now = LoopLag(interval_s=0.1), 0.0
    lag.on_tick(now)
    for late in late_s:
        now += lag.interval_s + late
        lag.on_tick(now)
    assert lag.accepts_necessary(now, 10.0, RUNNING_MAX) is not lasting
    assert lag.accepts_necessary(now, 10.0, RUNNING_MAX - 1)
    assert lag.overloaded(now) or not lasting
