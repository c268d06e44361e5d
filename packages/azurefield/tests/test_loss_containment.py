from __future__ import annotations

from azurefield.loss_containment import (
    LOST_SERVERS_MIN,
    LOST_TRIALS_MAX,
    LossContainment,
    RetryDecision,
)

LEAFS = [f"leaf{number}" for number in range(LOST_SERVERS_MIN + 3)]


def lose_all(containment: LossContainment) -> list[RetryDecision]:
    """Lose the first call of each leaf; return the decisions on the retries."""
    decisions = []
    for leaf in LEAFS:
        assert not containment.on_lost(leaf, f"{leaf}-server")
        decisions.append(containment.decide(leaf))
    return decisions


def test_after_several_lost_calls_one_retry_goes_first() -> None:
    """Guards against a query that ends a second server of each shard."""
    containment = LossContainment()
    decisions = lose_all(containment)
    assert decisions[: LOST_SERVERS_MIN - 1] == [RetryDecision.SEND] * (LOST_SERVERS_MIN - 1)
    assert decisions[LOST_SERVERS_MIN - 1 :] == [RetryDecision.SEND] + [RetryDecision.HOLD] * 3
    assert containment.active


def test_an_answer_releases_the_other_retries() -> None:
    """Guards against a listing that stays incomplete after ordinary crashes."""
    containment = LossContainment()
    lose_all(containment)
    assert containment.on_answered() == LEAFS[LOST_SERVERS_MIN:]
    assert not containment.active
    assert containment.decide(LEAFS[-1]) is RetryDecision.SEND


def test_lost_trials_give_up_the_other_retries() -> None:
    """Guards against retries that wait until the deadline, or end further servers."""
    containment = LossContainment()
    lose_all(containment)
    waiting = LEAFS[LOST_SERVERS_MIN:]
    for _ in range(LOST_TRIALS_MAX - 1):
        assert containment.trial is not None
        assert not containment.on_lost(containment.trial, "another")
        assert containment.on_gave_up(containment.trial) == [waiting.pop(0)]
    assert containment.trial is not None
    assert containment.on_lost(containment.trial, "another") == waiting
    assert containment.decide(LEAFS[-1]) is RetryDecision.GIVE_UP


def test_a_trial_that_finds_no_server_passes_to_the_next_leaf() -> None:
    """Guards against retries that wait for a leaf whose servers are all down."""
    containment = LossContainment()
    lose_all(containment)
    assert not containment.on_gave_up(LEAFS[0])
    assert containment.trial is not None
    assert containment.on_gave_up(containment.trial) == [LEAFS[LOST_SERVERS_MIN]]
    assert containment.trial == LEAFS[LOST_SERVERS_MIN]
