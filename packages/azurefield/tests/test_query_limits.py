"""Limits of a fan-out: attempts, non-idempotent requests, early answers and rate limits."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from typing import TYPE_CHECKING, Any

import pytest
from result import Err, Ok

from azurefield.failures import FailureKind, LeafFailure, LeafFailureReason
from azurefield.hedging import NoHedging
from azurefield.leaf_progress import CallStage
from azurefield.merge import MergedParts, Part, SingleAnswer, TopRecordsMerge
from azurefield.model import Outcome, Snapshot
from azurefield.query import RESEND_DELAY_S, FanOut
from azurefield.query_actions import CancelLeafCall, Finished, SendLeafCall, WakeAt
from azurefield.retry import RetryBudget, WindowedBudget
from azurefield.routing import RoundRobinRouter

if TYPE_CHECKING:
    from azurefield.merge import MergePolicy
    from azurefield.query_actions import Action
    from azurefield.snapshot import Holding

LOST = LeafFailure(reason=LeafFailureReason.CONNECTION_LOST, outcome=Outcome.MAY_HAVE_RUN)
SHED = LeafFailure(reason=LeafFailureReason.SHEDDING, outcome=Outcome.NOT_RUN)
UNREACHABLE = LeafFailure(reason=LeafFailureReason.CONNECT_FAILED, outcome=Outcome.NOT_RUN)
DENIED = LeafFailure(reason=LeafFailureReason.RATE_LIMITED, outcome=Outcome.NOT_RUN)
LIMITED = ("s1", "s2", "s3")
TOP = TopRecordsMerge(top=3, coverage_min=0.5, record_bytes=2)


@dataclass(slots=True, kw_only=True, frozen=True)
class SameHolders:
    """Returns the same servers for every leaf."""

    names: tuple[str, ...] = ("s1", "s2", "s3", "s4")

    def holders(self, now: float, holding: Holding) -> tuple[str, ...]:  # noqa: ARG002
        return self.names


class EarlyHedge(NoHedging):
    """Hedges every call after 10 ms, without a budget."""

    def delay_s(self, leaf: str) -> float | None:  # noqa: ARG002
        return 0.01

    def try_spend(self, now: float, leaf: str) -> bool:  # noqa: ARG002
        return True


def fan_out(
    merge: MergePolicy[Any, Any], leafs: tuple[str, ...], **options: Any
) -> FanOut[Any, Any]:
    """Build a fan-out without hedging; ``options`` replace or add fields."""
    fields: dict[str, Any] = {
        "hedging": NoHedging(),
        "retries": RetryBudget(ratio=0.1),
        "holders": SameHolders(),
    }
    fields |= options
    return FanOut(
        request_id="r",
        merge=merge,
        snapshot=Snapshot(index_version=1, map_version=1),
        leafs=leafs,
        deadline=1.0,
        router=RoundRobinRouter(),
        **fields,
    )


def sent(actions: list[Action[Any]]) -> list[str]:
    """Return the ids of the calls that the actions send."""
    return [action.call_id for action in actions if isinstance(action, SendLeafCall)]


def result_of(actions: list[Action[Any]]) -> Any:
    """Return the result of the query, or None if the actions do not finish it."""
    results = [action.result for action in actions if isinstance(action, Finished)]
    return results[0] if results else None


@pytest.mark.parametrize(
    ("failure", "calls"),
    [(LOST, 2), (SHED, 4), (UNREACHABLE, 4)],
    ids=["may-have-run", "refused", "unreachable"],
)
def test_only_calls_that_may_have_run_count_as_attempts(failure: LeafFailure, calls: int) -> None:
    """Guards against a request that runs on more servers than its route allows.

    Refused and unsent calls did not run, so they must not use up the attempts either.
    """
    query = fan_out(SingleAnswer(), ("leaf",), attempts_max=2)
    pending = sent(query.start(0.0))
    count = 0
    result = None
    while pending:
        count += 1
        actions = query.on_failure(0.01 * count, pending.pop(), failure)
        pending += sent(actions)
        result = result_of(actions) or result
    assert count == calls
    expected = Outcome.NOT_RUN if failure.outcome is Outcome.NOT_RUN else Outcome.MAY_HAVE_RUN
    result = result or result_of(query.on_tick(1.0))
    assert isinstance(result, Err)
    assert result.err_value.outcome is expected


@pytest.mark.parametrize(
    ("failure", "tokens", "again"),
    [(SHED, 9.0, True), (SHED, 1.0, False), (UNREACHABLE, 0.0, True)],
    ids=["refused", "refused-without-budget", "unreachable"],
)
def test_a_leaf_whose_servers_all_refused_is_called_again_after_a_delay(
    failure: LeafFailure, tokens: float, again: bool
) -> None:
    """Guards against a request that fails long before its deadline because of a brief overload."""
    retries = RetryBudget(ratio=0.0, tokens=tokens)
    holders = SameHolders(names=("s1", "s2"))
    query = fan_out(SingleAnswer(), ("leaf",), retries=retries, holders=holders)
    pending = sent(query.start(0.0))
    while pending:
        pending = sent(query.on_failure(0.1, pending.pop(), failure))
    actions = query.on_tick(0.1 + RESEND_DELAY_S)
    assert bool(sent(actions)) is again
    assert (result_of(actions) is None) is again


def test_first_calls_get_the_earlier_deadline_and_the_last_attempt_the_full_one() -> None:
    """Guards against overloaded servers that answer expired calls before new ones.

    First calls get a deadline soon after ``answer_by``, and the last attempt gets the query's.
    """
    query = fan_out(
        TOP,
        ("a",),
        attempts_max=2,
        answer_by=0.1,
        first_deadline=0.12,
        hedging=EarlyHedge(),
    )
    deadlines = [a.deadline for a in query.start(0.0) if isinstance(a, SendLeafCall)]
    deadlines += [a.deadline for a in query.on_tick(0.02) if isinstance(a, SendLeafCall)]
    assert deadlines == [0.12, 1.0]


@pytest.mark.parametrize(("ratio", "expected"), [(0.2, 1.0), (1.0, 0.12)])
def test_a_call_gets_the_earlier_deadline_only_if_the_budget_allows_another(
    ratio: float, expected: float
) -> None:
    """Guards against losing a slow shard although the caller would have waited.

    A call that is dropped at the earlier deadline needs another one, which the budget must allow.
    """
    query = fan_out(
        SingleAnswer(),
        ("leaf",),
        attempts_max=2,
        answer_by=0.1,
        first_deadline=0.12,
        retries=WindowedBudget(ratio=ratio, window_s=10.0),
    )
    deadlines = [a.deadline for a in query.start(0.0) if isinstance(a, SendLeafCall)]
    assert deadlines == [expected]


def test_hedges_count_as_attempts() -> None:
    """Guards against exceeding the attempts of the route with a hedge and a retry."""
    query = fan_out(SingleAnswer(), ("leaf",), attempts_max=2, hedging=EarlyHedge())
    first = sent(query.start(0.0))
    second = sent(query.on_tick(0.01))
    assert len(first + second) == 2
    assert sent(query.on_failure(0.02, first[0], LOST)) == []
    assert sent(query.on_failure(0.03, second[0], LOST)) == []


@pytest.mark.parametrize(
    ("failure", "again"), [(LOST, 0), (SHED, 1)], ids=["may-have-run", "refused"]
)
def test_a_request_that_may_not_be_repeated_is_sent_again_only_if_it_was_not_run(
    failure: LeafFailure, again: int
) -> None:
    """Guards against running a request twice that is not idempotent."""
    query = fan_out(
        SingleAnswer(), ("leaf",), idempotent=False, attempts_max=3, hedging=EarlyHedge()
    )
    (call,) = sent(query.start(0.0))
    assert sent(query.on_tick(0.5)) == []
    assert len(sent(query.on_failure(0.6, call, failure))) == again


def test_an_early_answer_waits_for_enough_leafs_and_for_its_time() -> None:
    """Guards against a listing that waits for one slow shard until its answer is useless."""
    query = fan_out(TOP, ("a", "b", "c"), answer_by=0.1)
    calls = sent(query.start(0.0))
    query.on_answer(0.02, calls[0], Part(proof="p0", body=b"aa"))
    actions = query.on_answer(0.03, calls[1], Part(proof="p1", body=b"bb"))
    assert [action.at for action in actions if isinstance(action, WakeAt)] == [0.1]
    actions = query.on_tick(0.1)
    assert [type(action) for action in actions] == [CancelLeafCall, Finished]
    assert result_of(actions) == Ok(MergedParts(proofs=("p0", "p1"), missing=1, body=b"bbaa"))


def test_a_late_answer_is_given_as_soon_as_enough_leafs_have_answered() -> None:
    """Guards against delaying an answer that is complete enough once ``answer_by`` has passed."""
    query = fan_out(TOP, ("a", "b", "c"), answer_by=0.1)
    calls = sent(query.start(0.0))
    query.on_answer(0.02, calls[0], Part(proof="p0", body=b"aa"))
    assert result_of(query.on_tick(0.1)) is None
    actions = query.on_answer(0.3, calls[2], Part(proof="p2", body=b"cc"))
    assert result_of(actions) == Ok(MergedParts(proofs=("p0", "p2"), missing=1, body=b"ccaa"))


def test_a_call_that_is_pending_at_the_deadline_may_have_run() -> None:
    """Guards against the outcome 'not run' for a call that was sent and not answered."""
    query = fan_out(TOP, ("a", "b", "c"))
    query.start(0.0)
    result = result_of(query.on_tick(1.0))
    assert isinstance(result, Err)
    assert result.err_value.outcome is Outcome.MAY_HAVE_RUN


@pytest.mark.parametrize("stage", [CallStage.WAITING, CallStage.CONNECTING])
@pytest.mark.parametrize(
    ("failures", "retry_after_s"),
    [([], 1.0), ([DENIED], 0.1)],
    ids=["first-call", "after-a-denied-call"],
)
def test_a_call_that_still_waits_at_the_deadline_has_not_run(
    failures: list[LeafFailure], retry_after_s: float, stage: CallStage
) -> None:
    """Guards against a request that counts as run although none of its calls was sent."""
    query = fan_out(SingleAnswer(), ("a",))
    [call_id] = sent(query.start(0.0))
    for failure in failures:
        [call_id] = sent(query.on_failure(0.1, call_id, failure))
    query.set_stage(call_id, stage)
    result = result_of(query.on_tick(1.0))
    assert isinstance(result, Err)
    assert result.err_value.outcome is Outcome.NOT_RUN
    assert result.err_value.retry_after_s == pytest.approx(retry_after_s)


def test_a_call_that_was_sent_after_a_wait_may_have_run() -> None:
    """Guards against the outcome 'not run' for a call whose wait has ended."""
    query = fan_out(SingleAnswer(), ("a",))
    [call_id] = sent(query.start(0.0))
    query.set_stage(call_id, CallStage.WAITING)
    query.set_stage(call_id, CallStage.SENT)
    result = result_of(query.on_tick(1.0))
    assert isinstance(result, Err)
    assert result.err_value.outcome is Outcome.MAY_HAVE_RUN


def test_a_query_whose_deadline_has_passed_sends_nothing() -> None:
    """Guards against calls whose answers nobody waits for, and a false "may have run"."""
    query = fan_out(SingleAnswer(), ("leaf",))
    actions = query.start(1.0)
    assert sent(actions) == []
    result = result_of(actions)
    assert result.err_value.kind is FailureKind.DEADLINE_EXCEEDED
    assert result.err_value.outcome is Outcome.NOT_RUN


THREE_QUARTERS = TopRecordsMerge(top=4, coverage_min=0.75, record_bytes=16)
FOUR = ("a", "b", "c", "d")


def test_a_query_that_can_t_reach_its_coverage_ends_at_once() -> None:
    """Guards against a caller that waits for answers which can't be enough any more."""
    query = fan_out(THREE_QUARTERS, FOUR, attempts_max=1)
    calls = sent(query.start(0.0))
    assert result_of(query.on_failure(0.1, calls[0], LOST)) is None
    result = result_of(query.on_failure(0.1, calls[1], LOST))
    assert result.err_value.outcome is Outcome.MAY_HAVE_RUN
    assert query.finished


class SomeHolders(SameHolders):
    """Only the leafs ``a`` and ``b`` have servers."""

    def holders(self, now: float, holding: Holding) -> tuple[str, ...]:
        return super().holders(now, holding) if holding.leaf in ("a", "b") else ()


def test_a_query_for_which_too_few_leafs_have_servers_is_refused_as_not_run() -> None:
    """Guards against work on servers, and a wait, for a query that surely can't be served."""
    query = fan_out(THREE_QUARTERS, FOUR, holders=SomeHolders())
    actions = query.start(0.0)
    assert sent(actions) == []
    result = result_of(actions)
    assert result.err_value.outcome is Outcome.NOT_RUN
    assert result.err_value.retry_after_s


@dataclass(slots=True, kw_only=True)
class Limits:
    """When each server opens; the others are open."""

    opens: dict[str, float] = field(default_factory=dict)

    def opens_at(self, server: str) -> float:
        return self.opens.get(server, -inf)


def limited(limits: Limits, leafs: tuple[str, ...] = ("a",), **options: Any) -> FanOut[Any, Any]:
    """Build a fan-out over servers with rate limits; it may not send any retry."""
    fields: dict[str, Any] = {"merge": SingleAnswer(), "holders": SameHolders(names=LIMITED)}
    retries = WindowedBudget(ratio=0.0, window_s=10.0)
    return fan_out(leafs=leafs, limits=limits, retries=retries, **(fields | options))


def calls(actions: list[Action[Any]]) -> list[SendLeafCall]:
    """Return the calls that the actions send."""
    return [action for action in actions if isinstance(action, SendLeafCall)]


@pytest.mark.parametrize(
    ("opens", "server", "start_by"),
    [
        pytest.param({}, None, 0.0, id="all-open"),
        pytest.param({"s1": 0.3, "s2": 0.2}, "s3", 0.75, id="one-open"),
        pytest.param({"s1": 0.3, "s2": 0.2, "s3": 0.4}, "s2", 0.75, id="none-open"),
    ],
)
def test_a_call_waits_for_quota_only_if_no_other_server_is_open(
    opens: dict[str, float], server: str | None, start_by: float
) -> None:
    """Guards against calls that queue for a limited server beside one that could run them."""
    [call] = calls(limited(Limits(opens=opens)).start(0.0))
    assert server in (None, call.server)
    assert call.start_by == pytest.approx(start_by)


def test_a_denied_call_goes_to_another_server_without_spending_the_budget() -> None:
    """Guards against a limit on one server that uses up the retries of its service."""
    limits = Limits()
    query = limited(limits)
    [first] = calls(query.start(0.0))
    limits.opens[first.server] = 0.5
    actions = query.on_failure(0.01, first.call_id, DENIED)
    [second] = calls(actions)
    assert second.server != first.server
    assert result_of(query.on_answer(0.1, second.call_id, "answer")) == Ok("answer")


def test_a_call_that_was_denied_everywhere_is_sent_when_a_server_opens() -> None:
    """Guards against polling of servers whose quota is used up."""
    limits = Limits(opens={"s2": 0.4, "s3": 0.6})
    query = limited(limits)
    actions = query.start(0.0)
    for opens_at in (0.5, 0.4, 0.6):
        [call] = calls(actions)
        limits.opens[call.server] = opens_at
        actions = query.on_failure(0.01, call.call_id, DENIED)
    assert not calls(actions)
    [wake] = [action.at for action in actions if isinstance(action, WakeAt)]
    assert wake == pytest.approx(0.4)
    [resent] = calls(query.on_tick(0.4))
    assert resent.server == "s2"


@pytest.mark.parametrize(("opens_at", "sent_again"), [(0.7, True), (0.76, False), (0.99, False)])
def test_a_call_that_was_denied_waits_for_quota_no_longer_than_any_other(
    opens_at: float, *, sent_again: bool
) -> None:
    """Guards against a call that is sent so late that its answer misses the deadline."""
    limits = Limits(opens={"s2": inf, "s3": inf})
    query = limited(limits)
    [call] = calls(query.start(0.0))
    assert call.start_by == pytest.approx(0.75)
    limits.opens[call.server] = opens_at
    actions = query.on_failure(0.01, call.call_id, DENIED)
    if sent_again:
        [resent] = calls(query.on_tick(opens_at))
        assert resent.start_by == pytest.approx(0.75)
    else:
        result = result_of(actions)
        assert isinstance(result, Err)
        assert result.err_value.outcome is Outcome.NOT_RUN
        assert result.err_value.retry_after_s == pytest.approx(opens_at - 0.01)


@pytest.mark.parametrize(
    ("opens", "retry_after_s"),
    [({"s1": 3.0, "s2": 2.5, "s3": 4.0}, 2.5), ({"s1": 1.01, "s2": 1.2, "s3": 1.02}, 1.01)],
)
def test_a_request_without_quota_in_time_is_rejected_at_once_with_the_time_to_come_back(
    opens: dict[str, float], retry_after_s: float
) -> None:
    """Guards against requests that are held until their deadline, or get no time to retry."""
    result = result_of(limited(Limits(opens=opens)).start(0.0))
    assert isinstance(result, Err)
    assert result.err_value.outcome is Outcome.NOT_RUN
    assert result.err_value.retry_after_s == pytest.approx(retry_after_s)


def test_a_hedge_never_waits_for_quota() -> None:
    """Guards against hedges that take tokens from first calls."""
    query = limited(Limits(opens={"s2": 0.5, "s3": 0.5}), hedging=EarlyHedge())
    assert len(calls(query.start(0.0))) == 1
    assert not calls(query.on_tick(0.05))


def test_a_limited_shard_does_not_hold_up_a_query_that_is_complete_enough() -> None:
    """Guards against a whole listing that waits for one shard whose servers are all limited."""
    merge = TopRecordsMerge(top=2, coverage_min=0.5, record_bytes=2)
    limits = Limits()
    query = limited(limits, ("a", "b"), merge=merge, answer_by=0.2)
    first, second = calls(query.start(0.0))
    query.on_answer(0.05, first.call_id, Part(proof="p", body=b"xx"))
    limits.opens = dict.fromkeys(LIMITED, 5.0)
    result = result_of(query.on_failure(0.06, second.call_id, DENIED))
    assert result == Ok(MergedParts(proofs=("p",), missing=1, body=b"xx"))


SHARDS = tuple("abcdef")
MANY = TopRecordsMerge(top=3, coverage_min=0.5, record_bytes=2)


def lose(query: FanOut[Any, Any], actions: list[Action[Any]]) -> list[str]:
    """Lose each call that the actions send; return the calls that are sent in turn."""
    return [
        again for call_id in sent(actions) for again in sent(query.on_failure(0.01, call_id, LOST))
    ]


def test_a_query_that_ends_its_servers_does_not_end_as_many_again() -> None:
    """Guards against the retries of a query under which a server of each shard has ended."""
    query = fan_out(MANY, SHARDS, retries=RetryBudget(ratio=1.0))
    retries = lose(query, query.start(0.0))
    assert len(retries) == 3, "two were sent before enough calls were lost, and one trial"
    ended = [query.on_failure(0.02, call_id, LOST) for call_id in retries]
    (second_trial,) = sent(ended[-1])
    assert isinstance(result_of(query.on_failure(0.03, second_trial, LOST)), Err), "at once"
    assert query.calls_sent == len(SHARDS) + 4


def test_a_query_that_lost_calls_by_chance_is_answered_whole() -> None:
    """Guards against a listing that stays incomplete after several servers have crashed."""
    query = fan_out(MANY, SHARDS, retries=RetryBudget(ratio=1.0))
    retries = lose(query, query.start(0.0))
    released = [
        again
        for call_id in retries
        for again in sent(query.on_answer(0.03, call_id, Part(proof=call_id, body=b"aa")))
    ]
    assert len(released) == 3
    results = [
        result_of(query.on_answer(0.05, call_id, Part(proof=call_id, body=b"bb")))
        for call_id in released
    ]
    assert isinstance(results[-1], Ok)
    assert results[-1].ok_value.missing == 0
