"""A fan-out over servers with a rate limit: other servers first, then waiting, then rejection."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from typing import TYPE_CHECKING, Any

import pytest
from result import Err, Ok

from azurefield.failures import LeafFailure, LeafFailureReason
from azurefield.hedging import NoHedging
from azurefield.merge import MergedParts, Part, SingleAnswer, TopRecordsMerge
from azurefield.model import Outcome, Snapshot
from azurefield.query import FanOut
from azurefield.query_actions import Action, Finished, SendLeafCall, WakeAt
from azurefield.retry import WindowedBudget
from azurefield.routing import RoundRobinRouter

if TYPE_CHECKING:
    from azurefield.snapshot import Holding

DENIED = LeafFailure(reason=LeafFailureReason.RATE_LIMITED, outcome=Outcome.NOT_RUN)
NAMES = ("s1", "s2", "s3")


@dataclass(slots=True, kw_only=True)
class Limits:
    """When each server opens; the others are open."""

    opens: dict[str, float] = field(default_factory=dict)

    def opens_at(self, server: str) -> float:
        return self.opens.get(server, -inf)


class SameHolders:
    """Returns the same servers for every leaf."""

    def holders(self, now: float, holding: Holding) -> tuple[str, ...]:  # noqa: ARG002
        return NAMES


class EarlyHedge(NoHedging):
    """Hedges every call after 10 ms, without a budget."""

    def delay_s(self, leaf: str) -> float | None:  # noqa: ARG002
        return 0.01

    def try_spend(self, now: float, leaf: str) -> bool:  # noqa: ARG002
        return True


def fan_out(limits: Limits, leafs: tuple[str, ...] = ("a",), **options: Any) -> FanOut[Any, Any]:
    fields: dict[str, Any] = {"hedging": NoHedging(), "merge": SingleAnswer()} | options
    return FanOut(
        request_id="r",
        snapshot=Snapshot(index_version=1, map_version=1),
        leafs=leafs,
        deadline=1.0,
        router=RoundRobinRouter(),
        holders=SameHolders(),
        retries=WindowedBudget(ratio=0.0, window_s=10.0),
        limits=limits,
        **fields,
    )


def calls(actions: list[Action[Any]]) -> list[SendLeafCall]:
    return [action for action in actions if isinstance(action, SendLeafCall)]


def result_of(actions: list[Action[Any]]) -> Any:
    return next((action.result for action in actions if isinstance(action, Finished)), None)


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
    [call] = calls(fan_out(Limits(opens=opens)).start(0.0))
    assert server in (None, call.server)
    assert call.start_by == pytest.approx(start_by)


def test_a_denied_call_goes_to_another_server_without_spending_the_budget() -> None:
    """Guards against a limit on one server that uses up the retries of its service."""
    limits = Limits()
    query = fan_out(limits)
    [first] = calls(query.start(0.0))
    limits.opens[first.server] = 0.5
    actions = query.on_failure(0.01, first.call_id, DENIED)
    [second] = calls(actions)
    assert second.server != first.server
    assert result_of(query.on_answer(0.1, second.call_id, "answer")) == Ok("answer")


def test_a_call_that_was_denied_everywhere_is_sent_when_a_server_opens() -> None:
    """Guards against polling of servers whose quota is used up."""
    limits = Limits(opens={"s2": 0.4, "s3": 0.6})
    query = fan_out(limits)
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


@pytest.mark.parametrize(
    ("opens", "retry_after_s"),
    [({"s1": 3.0, "s2": 2.5, "s3": 4.0}, 2.5), ({"s1": 1.01, "s2": 1.2, "s3": 1.02}, 1.01)],
)
def test_a_request_without_quota_in_time_is_rejected_at_once_with_the_time_to_come_back(
    opens: dict[str, float], retry_after_s: float
) -> None:
    """Guards against requests that are held until their deadline, or told nothing useful."""
    result = result_of(fan_out(Limits(opens=opens)).start(0.0))
    assert isinstance(result, Err)
    assert result.err_value.outcome is Outcome.NOT_RUN
    assert result.err_value.retry_after_s == pytest.approx(retry_after_s)


def test_a_hedge_never_waits_for_quota() -> None:
    """Guards against hedges that take tokens from first calls."""
    query = fan_out(Limits(opens={"s2": 0.5, "s3": 0.5}), hedging=EarlyHedge())
    assert len(calls(query.start(0.0))) == 1
    assert not calls(query.on_tick(0.05))


def test_a_limited_shard_does_not_hold_up_a_query_that_is_complete_enough() -> None:
    """Guards against a whole listing that waits for one shard whose servers are all limited."""
    merge = TopRecordsMerge(top=2, coverage_min=0.5, record_bytes=2)
    limits = Limits()
    query = fan_out(limits, ("a", "b"), merge=merge, answer_by=0.2)
    first, second = calls(query.start(0.0))
    query.on_answer(0.05, first.call_id, Part(proof="p", body=b"xx"))
    limits.opens = dict.fromkeys(NAMES, 5.0)
    result = result_of(query.on_failure(0.06, second.call_id, DENIED))
    assert result == Ok(MergedParts(proofs=("p",), missing=1, body=b"xx"))
