"""Quotas of workspaces between instances: the sum, refusals, and issuers that are lost."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from functools import partial
from math import inf
from typing import TYPE_CHECKING

import pytest

from azurefield.failures import FailureKind
from azurefield.issuer_slots import SlotHold
from azurefield.quota import QuotaDenied, QuotaGranted
from azurefield.quota_shares import QuotaBounds, share_limit, share_slots
from azurefield.workspace_quota import QuotaNotIssued, ShareRequest, TokenDecision
from azurefield.workspaces import RequestQuota, Workspace
from azurefield_entry.clock import lease_now, now
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.peers.links import PeerLinks
from azurefield_entry.gateway.quotas import workspace_quotas
from azurefield_entry.gateway.quotas.issuer import QuotaIssuer
from azurefield_entry.gateway.quotas.workspace_quotas import WorkspaceQuotas
from azurefield_testkit.entry_support.gateway_parts import make_request
from azurefield_testkit.entry_support.peers import (
    QuotaInstance,
    running_peers,
    serve_quotas,
    view_of,
)

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager

    from azurefield_entry.gateway.peers.coordinator import CoordinatorService
    from azurefield_entry.gateway.peers.frames import FromPeer
    from azurefield_entry.gateway.quotas.frames import ShareAsked

NAMES = ("i1", "i2", "i3")
SLOTS = share_slots("w")
HOLDERS = dict(zip(SLOTS, NAMES, strict=True))
# So slow that no further token becomes due in a test.
QUOTA = RequestQuota(rate_per_s=0.001, burst=9.0)
BOUNDS = QuotaBounds(slack=1.0)
WORKSPACE = Workspace(name="w", quota=QUOTA)
GOAL_S = 10.0
# Longer than a request waits for its token on a route with a short goal.
HELD_UP_S = 0.1
LONG_AGO_S = 100_000.0


@dataclass(slots=True, kw_only=True)
class Instance(QuotaInstance[WorkspaceQuotas]):
    """One instance with its service for the others."""

    async def admit(self) -> FailureKind | None:
        failure = await self.quotas.admit(make_request(workspace=WORKSPACE), 1, GOAL_S)
        return None if failure is None else failure.kind


def build(name: str, addresses: dict[str, str]) -> Instance:
    quotas = WorkspaceQuotas(
        own=name, peers=PeerLinks(view=view_of(name, addresses)), metrics=GatewayMetrics()
    )
    quotas.set_bounds(BOUNDS)
    since = lease_now() - LONG_AGO_S
    hold = SlotHold(taken_at=since, filled_from=since)
    held = {slot: hold for slot, holder in HOLDERS.items() if holder == name}
    quotas.on_slots(HOLDERS, lease_now() + LONG_AGO_S, held)
    running = serve_quotas(addresses[name], QuotaIssuer(fraction=lambda _: 1.0), quotas.answer)
    return Instance(quotas=quotas, running=running)


def fleet() -> AbstractAsyncContextManager[dict[str, Instance]]:
    return running_peers(NAMES, build)


def tokens() -> int:
    """Return how many tokens all shares hold together while none becomes due."""
    limit = share_limit(QUOTA, BOUNDS)
    return limit.shares * int(limit.tokens_max)


async def test_instances_begin_with_different_shares() -> None:
    """Guards against one share that gets the first request of every instance."""
    first = set()
    for name in (f"i{number}" for number in range(20)):
        quotas = WorkspaceQuotas(
            own=name, peers=PeerLinks(view=view_of(name, {})), metrics=GatewayMetrics()
        )
        quota = RequestQuota(rate_per_s=9.0, burst=9.0)
        first.add(quotas.choice.slots(0.0, "w", quota, 1)[0])
    assert first == set(SLOTS)


@pytest.mark.parametrize("receivers", [("i1",), NAMES], ids=["one", "all"])
async def test_the_instances_together_admit_the_quota_and_no_more(
    receivers: tuple[str, ...],
) -> None:
    """Guards against a quota for each instance, and against one that few instances can use."""
    async with fleet() as instances:
        kinds = [
            await instances[receivers[number % len(receivers)]].admit()
            for number in range(tokens() + 5)
        ]
        assert kinds == [None] * tokens() + [FailureKind.QUOTA_EXCEEDED] * 5


async def test_an_issuer_that_was_suspended_for_longer_than_its_lease_issues_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against two issuers of a share, one of which was suspended with its clock."""
    async with fleet() as instances:
        quotas = instances["i1"].quotas
        slot = SLOTS[0]
        request = ShareRequest(slot=slot, workspace="w", quota=QUOTA, version=1)
        assert isinstance(await quotas.ask(request), QuotaGranted)
        woken_at = lease_now() + 2 * LONG_AGO_S
        monkeypatch.setattr(workspace_quotas, "lease_now", lambda: woken_at)
        assert isinstance(await quotas.ask(request), QuotaNotIssued)


async def test_a_refusal_beyond_the_quota_asks_no_instance_while_no_token_is_due() -> None:
    """Guards against a greedy workspace whose refusals keep the issuers busy."""
    async with fleet() as instances:
        while await instances["i1"].admit() is None:
            pass
        answered: list[object] = []
        for name in NAMES:
            instances[name].service.answer_share = answered.append  # type: ignore[assignment]
        failure = await instances["i1"].quotas.admit(make_request(workspace=WORKSPACE), 1, GOAL_S)
        assert failure is not None
        assert failure.retry_after_s is not None
        assert failure.retry_after_s > 0
        assert not answered


async def test_a_workspace_without_a_quota_needs_no_token() -> None:
    """Guards against a round trip for requests that nothing limits."""
    async with fleet() as instances:
        quotas = instances["i1"].quotas
        for workspace in (None, Workspace(name="free")):
            assert await quotas.admit(make_request(workspace=workspace), 1, GOAL_S) is None
        assert not quotas.peers.links


@pytest.mark.parametrize("fault", ["ended", "silent", "not_held"])
async def test_the_other_shares_are_asked_while_one_has_no_issuer(fault: str) -> None:
    """Guards against a workspace that gets nothing after one instance is lost."""
    async with fleet() as instances:
        lost = instances["i2"]
        if fault == "ended":
            await lost.stop()
        elif fault == "silent":
            lost.service.answer_share = partial(say_nothing, lost.service)
        else:
            lost.quotas.on_slots(HOLDERS, lease_now(), {})
        assert [await instances["i1"].admit() for _ in range(6)] == [None] * 6


def say_nothing(service: CoordinatorService, frame: ShareAsked) -> FromPeer:
    """Suspend the links of an instance, as if its process were suspended."""
    for link in service.links:
        link.writer.transport.pause_reading()  # type: ignore[attr-defined]
    raise asyncio.IncompleteReadError(partial=b"", expected=frame.number)


async def test_time_in_which_an_instance_did_not_run_is_no_silence_of_the_issuers() -> None:
    """Guards against refusals by an instance that was held up while the replies arrived."""
    async with fleet() as instances:
        quotas = instances["i1"].quotas
        quotas.holders = {slot: name for slot, name in HOLDERS.items() if name == "i2"}
        assert await instances["i1"].admit() is None
        asyncio.get_running_loop().call_soon(time.sleep, HELD_UP_S)
        assert await quotas.admit(make_request(workspace=WORKSPACE), 1, 0.0) is None


async def test_without_any_issuer_a_request_is_refused_as_not_run() -> None:
    """Guards against requests beyond the quota from an instance that is cut off."""
    async with fleet() as instances:
        quotas = instances["i1"].quotas
        quotas.on_slots({}, lease_now(), {})
        assert await instances["i1"].admit() is FailureKind.NOT_READY
        since = lease_now() - LONG_AGO_S
        hold = SlotHold(taken_at=since, filled_from=since)
        quotas.on_slots(HOLDERS, lease_now(), {SLOTS[0]: hold})
        await instances["i2"].stop()
        await instances["i3"].stop()
        assert await instances["i1"].admit() is FailureKind.NOT_READY


class CountingQuotas(WorkspaceQuotas):
    """Counts how often the shares are asked."""

    rounds: int = 0

    def share_requests(
        self, workspace: str, quota: RequestQuota, version: int
    ) -> list[ShareRequest]:
        self.rounds += 1
        return WorkspaceQuotas.share_requests(self, workspace, quota, version)


class AnsweringQuotas(CountingQuotas):
    """Takes the replies of the shares from a table, each after a time in seconds.

    :param granted_from: when the shares are asked for this time, and later, they grant at once
    """

    replies: dict[int, tuple[float, TokenDecision]]
    granted_from: float = inf

    async def ask(self, request: ShareRequest) -> TokenDecision:
        if self.rounds >= self.granted_from:
            return QuotaGranted(key=None)
        delay_s, decision = self.replies[request.slot]
        await asyncio.sleep(delay_s)
        return decision


def answering(*replies: tuple[float, TokenDecision]) -> AnsweringQuotas:
    """Build the quotas of an instance that holds no slot."""
    quotas = AnsweringQuotas(
        own="i0", peers=PeerLinks(view=view_of("i0", {})), metrics=GatewayMetrics()
    )
    quotas.set_bounds(BOUNDS)
    quotas.holders = HOLDERS
    # The first request begins with the second share.
    quotas.replies = dict(zip(SLOTS[1:] + SLOTS[:1], replies, strict=True))
    return quotas


EMPTY = QuotaDenied(key=None, wait_s=1.0)


@pytest.mark.parametrize(
    ("replies", "kind"),
    [
        ((EMPTY, EMPTY, EMPTY), FailureKind.QUOTA_EXCEEDED),
        ((EMPTY, QuotaNotIssued(), QuotaNotIssued()), FailureKind.NOT_READY),
        ((QuotaNotIssued(), EMPTY, EMPTY), FailureKind.NOT_READY),
    ],
    ids=["all-empty", "two-unreachable", "one-unreachable"],
)
async def test_a_quota_is_used_up_only_if_all_shares_are_empty(
    replies: tuple[TokenDecision, ...], kind: FailureKind
) -> None:
    """Guards against 429 below the quota while issuers can't be reached."""
    quotas = answering(*((0.0, reply) for reply in replies))
    failure = await quotas.admit(make_request(workspace=WORKSPACE), 1, GOAL_S)
    assert failure is not None
    assert failure.kind is kind


async def test_a_late_denial_of_one_share_does_not_make_the_next_one_silent() -> None:
    """Guards against issuers that are asked last although they had no time to reply."""
    wait_s = 10.0
    first_s = workspace_quotas.NEXT_SHARE_MAX_S + 0.002
    granted = QuotaGranted(key=None)
    quotas = answering((first_s, EMPTY), (0.015, EMPTY), (0.0, granted))
    requests = quotas.share_requests("w", QUOTA, 1)
    assert await quotas.ask_in_turn(requests, wait_s) == granted
    assert quotas.silent_until.keys() == {HOLDERS[requests[0].slot]}


@pytest.mark.parametrize(
    ("replied", "known_s", "kind"),
    [(True, 10.0, None), (False, 0.0, None), (False, 10.0, FailureKind.NOT_READY)],
    ids=["taking-over", "starting", "lost"],
)
async def test_shares_that_have_no_issuer_yet_are_asked_again(
    monkeypatch: pytest.MonkeyPatch, replied: bool, known_s: float, kind: FailureKind | None
) -> None:
    """Guards against 503 while restarted instances take their slots over, and idle waits.

    The clock stands still, so the first reply is never too late to ask again.
    """
    at = now()
    monkeypatch.setattr(workspace_quotas, "now", lambda: at)
    quotas = answering(*((0.0, QuotaNotIssued(replied=replied)) for _ in SLOTS))
    quotas.holders_since = at - known_s
    quotas.granted_from = 2
    failure = await quotas.admit(make_request(workspace=WORKSPACE), 1, 0.2)
    assert (None if failure is None else failure.kind) is kind
    assert quotas.rounds == (2 if kind is None else 1)


async def test_holders_that_issue_nothing_for_long_are_not_asked_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests that wait for nothing while all leases have ended."""
    passed_s = 0.0
    monkeypatch.setattr(workspace_quotas, "now", lambda: now() + passed_s)
    quotas = CountingQuotas(
        own="i0", peers=PeerLinks(view=view_of("i0", {})), metrics=GatewayMetrics()
    )
    quotas.set_bounds(BOUNDS)
    quotas.on_slots(dict.fromkeys(SLOTS, "i0"), lease_now(), {})
    asked_again = []
    for passed_s in (0.0, 2.0, 3.5, 5.0, 60.0):  # noqa: B007 - read by the clock
        rounds = quotas.rounds
        assert await quotas.admit(make_request(workspace=WORKSPACE), 1, 1.0) is not None
        asked_again.append(quotas.rounds > rounds + 1)
    assert asked_again == [True, True, False, False, True]


async def test_a_request_that_gets_no_issuer_is_refused_within_a_part_of_its_goal() -> None:
    """Guards against callers that are refused too late to be served elsewhere."""
    quotas = answering(*((0.0, QuotaNotIssued(replied=True)) for _ in SLOTS))
    quotas.holders_since = now()
    begun_at = now()
    assert await quotas.admit(make_request(workspace=WORKSPACE), 1, 0.4) is not None
    assert now() - begun_at >= 0.04
    assert quotas.rounds <= 0.2 * 0.4 / workspace_quotas.ASK_AGAIN_INTERVAL_S + 1
