"""Previews of decisions name what the decisions then do, and change nothing."""

from __future__ import annotations

from collections.abc import Callable
from copy import deepcopy
from random import Random

import pytest

from azurefield.call_result import CallResult
from azurefield.issuer_slots import SlotHold
from azurefield.quota import QuotaDenied
from azurefield.quota_shares import share_slots
from azurefield.routes import WeightedRoundRobin
from azurefield.routing import OwnObservationRouter
from azurefield.server_pace import AdaptivePace, FixedRamp
from azurefield.workspace_quota import TOKENS_TO_GRANT, ShareChoice, ShareIssuer, ShareRequest
from azurefield.workspaces import RequestQuota

# Enough draws that each server that is chosen in one of a few hundred is seen.
DRAWS = 4000
NOW = 20.0
QUOTA = RequestQuota(rate_per_s=4.0, burst=6.0)

Possible = Callable[[OwnObservationRouter, tuple[str, ...]], frozenset[str]]


def possible(router: OwnObservationRouter, servers: tuple[str, ...]) -> frozenset[str]:
    """Name the servers that a call may go to."""
    median_s = router.median_latency_s(servers)
    eligible = router.eligible(NOW, servers, median_s)
    waits_s = {name: router.expected_wait_s(NOW, name, median_s) for name in eligible}
    return router.possible_choices(NOW, waits_s)


def all_eligible(router: OwnObservationRouter, servers: tuple[str, ...]) -> frozenset[str]:
    """Weakened: name servers that always lose the comparison, too."""
    return frozenset(router.eligible(NOW, servers, router.median_latency_s(servers)))


def only_the_best(router: OwnObservationRouter, servers: tuple[str, ...]) -> frozenset[str]:
    """Weakened: leave out ties, samples and the shares of rising servers."""
    median_s = router.median_latency_s(servers)
    eligible = router.eligible(NOW, servers, median_s)
    return frozenset({min(eligible, key=lambda name: router.expected_wait_s(NOW, name, median_s))})


def observed_router(seed: int) -> tuple[OwnObservationRouter, tuple[str, ...]]:
    """Build a router with random observations of a few servers."""
    random = Random(seed)
    router = OwnObservationRouter(
        random=Random(seed),
        failure_cost_s=1.0,
        pace=FixedRamp() if seed % 2 else AdaptivePace(),
    )
    servers = tuple(f"s{number}" for number in range(random.randint(1, 5)))
    for server in servers:
        router.set_wait_penalty(server, random.choice([0.0, 0.015]))
        if random.random() < 0.3:
            # Late enough that the share is large and each outcome of its draw is seen.
            router.on_restart(NOW - random.uniform(1.5, 4.0), server)
        for _ in range(random.randint(0, 4)):
            result = random.choice([CallResult.ANSWERED, CallResult.ANSWERED, CallResult.REFUSED])
            router.on_dispatch(NOW - 0.2, server)
            router.on_result(NOW - 0.1, server, result, random.uniform(0.01, 0.04))
        for _ in range(random.randint(0, 2)):
            router.on_dispatch(NOW - 0.001, server)
    return router, servers


def wrong_seeds(preview: Possible) -> list[int]:
    """List the seeds for which a preview differs from what is chosen."""
    wrong = []
    for seed in range(40):
        router, servers = observed_router(seed)
        named = preview(router, servers)
        if named != {router.choose(NOW, servers) for _ in range(DRAWS)}:
            wrong.append(seed)
    return wrong


def test_exactly_the_named_servers_are_chosen() -> None:
    """Guards against an explanation that names the wrong server or leaves one out."""
    assert not wrong_seeds(possible)


@pytest.mark.parametrize("weakened", [all_eligible, only_the_best])
def test_a_weakened_preview_is_found(weakened: Possible) -> None:
    """Guards against a comparison that would accept any preview."""
    assert wrong_seeds(weakened)


@pytest.mark.parametrize("seed", range(10))
def test_looking_at_servers_changes_no_observation(seed: int) -> None:
    """Guards against an explanation that moves a rise or the random numbers."""
    router, servers = observed_router(seed)
    before = deepcopy(router)
    possible(router, (*servers, "unknown"))
    assert router.random.getstate() == before.random.getstate()
    assert (router.views, router.pace) == (before.views, before.pace)


def test_the_next_weighted_service_is_named_in_advance() -> None:
    """Guards against an explanation that takes a turn of the round robin."""
    weighted, weights = WeightedRoundRobin(), (("a", 1.0), ("b", 2.5), ("c", 0.0))
    for _ in range(20):
        before = deepcopy(weighted)
        named = weighted.next("r", weights)
        assert weighted == before
        assert weighted.choose("r", weights) == named


def test_the_next_shares_and_their_tokens_are_named_in_advance() -> None:
    """Guards against an explanation that uses a turn or a token of a workspace."""
    slots = share_slots("w")
    issuer, choice = ShareIssuer(), ShareChoice()
    hold = SlotHold(taken_at=0.0, filled_from=0.0)
    issuer.on_lease(0.0, 100.0, dict.fromkeys(slots[:2], hold))
    for step in range(1, 40):
        now = 0.05 * step
        before = deepcopy((issuer, choice))
        state = choice.next_state(now, "w", step // 20)
        requests = [
            ShareRequest(slot=slot, workspace="w", quota=QUOTA, version=step // 20)
            for slot in slots
        ]
        tokens = [issuer.tokens(now, request) for request in requests]
        assert (issuer, choice) == before
        open_slots = [slot for slot in state.order(3) if not state.is_denied(now, slot)]
        assert choice.slots(now, "w", QUOTA, step // 20) == open_slots
        assert tokens[2] is None, "this instance does not issue it"
        decision = issuer.request(now, requests[step % 2])
        if isinstance(decision, QuotaDenied):
            choice.on_denied(now, requests[step % 2], decision.wait_s)
        left = issuer.buckets[slots[step % 2], "w"].tokens
        found = tokens[step % 2]
        assert found is not None
        assert left == pytest.approx(found - (found >= TOKENS_TO_GRANT))
