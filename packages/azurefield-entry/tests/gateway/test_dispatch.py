"""Requests that run a second time, on another instance."""

from __future__ import annotations

from random import Random
from typing import Any, cast

import pytest
from msgspec.structs import replace

from azurefield.directory import Directory
from azurefield.model import Outcome
from azurefield.retry import WindowedBudget
from azurefield.routes import Route, SingleService
from azurefield.routing import OwnObservationRouter
from azurefield_entry.clock import now
from azurefield_entry.gateway.peers.forward_frames import decode_request, encode_request
from azurefield_entry.gateway.requests.dispatch import RequestDispatcher
from azurefield_entry.gateway.requests.planning import RequestPlanner
from azurefield_testkit.entry_support.gateway_parts import make_request

ROUTE = Route(
    name="r",
    host="x",
    prefix="/",
    target=SingleService(service="desk"),
    idempotent=True,
    timeout_s=2.0,
    attempts_max=2,
)


def dispatcher() -> RequestDispatcher:
    """Build one whose parts are not used."""
    unused = cast("Any", None)
    return RequestDispatcher(
        runner=unused,
        forwarding=unused,
        peers=unused,
        partition_watch=unused,
        contacts=unused,
        metrics=unused,
        random=Random(1),
    )


@pytest.mark.parametrize(
    ("attempts", "outcome", "idempotent", "left_s", "may_run"),
    [
        pytest.param(1, Outcome.MAY_HAVE_RUN, True, 1.0, True, id="an-attempt-is-left"),
        pytest.param(2, Outcome.MAY_HAVE_RUN, True, 1.0, False, id="no-attempt-is-left"),
        pytest.param(1, Outcome.MAY_HAVE_RUN, False, 1.0, False, id="not-idempotent"),
        pytest.param(0, Outcome.NOT_RUN, False, 1.0, True, id="not-idempotent-and-not-run"),
        pytest.param(0, Outcome.NOT_RUN, True, 0.0, False, id="no-time-left"),
    ],
)
async def test_a_request_runs_again_elsewhere_only_within_its_limits(
    attempts: int, outcome: Outcome, *, idempotent: bool, left_s: float, may_run: bool
) -> None:
    """Guards against a second run of what may run once, and more attempts than allowed."""
    route = replace(ROUTE, idempotent=idempotent)
    sent = make_request(deadline=now() + left_s)
    assert dispatcher().may_run_again(sent, route, attempts, outcome) is may_run


async def test_attempts_of_an_earlier_run_count_on_the_next_instance() -> None:
    """Guards against a request that runs on more servers because two instances ran it."""
    frame = encode_request(1, 7, make_request(attempts_used=1), now())
    planner = RequestPlanner(
        directory=Directory(),
        router=OwnObservationRouter(random=Random(1)),
        budget=WindowedBudget(ratio=0.2, window_s=10.0),
    )
    fan_out = planner.fan_out(now(), decode_request(frame, now()), ROUTE, 7)
    assert fan_out.attempts_max == 1
