"""Quota of a workspace: the sum over all instances in any window, and what calm callers get."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from azurefield.quota_shares import QuotaBounds, share_limit, share_slots
from azurefield.slot_lease import SlotLease
from azurefield.workspace_quota import ShareBucket, ShareChoice, ShareIssuer, ShareRequest
from azurefield.workspaces import RequestQuota
from azurefield_testkit.quota_faults import Fault, FaultKind, LimitChange, Restore
from azurefield_testkit.quota_fleet import QuotaFleet

if TYPE_CHECKING:
    from collections.abc import Mapping

    from azurefield.issuer_slots import SlotClaim, SlotHold

BOUNDS = QuotaBounds(window_s=5.0, overage=0.1, slack=20.0)
QUOTA = RequestQuota(rate_per_s=23.0, burst=23.0)
LOWER = RequestQuota(rate_per_s=6.0, burst=8.0)
BEGIN_S = 6.0
END_S = 40.0
KINDS = tuple(FaultKind)
LENGTHS_S = (0.2, 1.0, 3.0, 8.0, 20.0)
# Shorter than a window and than the lease, so that the same slots change hands several times.
SHORT_S = (0.2, 1.0)
# A process that is ended again and again takes its slots over ten times in a window.
REPEATS = 10
# Part of the restores that keep the leases of the copy.
KEEPS_LEASES = 0.5
REPEAT_S = 0.5


def most_in_window(runs: list[tuple[float, float]], window_s: float, since: float = 0.0) -> int:
    """Return the most requests that were both sent and run inside any window."""
    sent = sorted(run for run in runs if run[0] >= since)
    most = 0
    for first, (start, _) in enumerate(sent):
        inside = 0
        for begin, arrived in sent[first:]:
            if begin > start + window_s:
                break
            inside += arrived <= start + window_s
        most = max(most, inside)
    return most


def arrivals(random: Random, per_s: float, begin: float, end: float) -> list[float]:
    """Draw the times of a Poisson process."""
    times, at = [], begin + random.expovariate(per_s)
    while at < end:
        times.append(at)
        at += random.expovariate(per_s)
    return times


def bursts(random: Random, per_s: float) -> list[float]:
    """Draw load with pauses in which the buckets fill again."""
    times, at = [], BEGIN_S
    while at < END_S:
        pause_at = at + random.uniform(1.0, 7.0)
        times += arrivals(random, per_s, at, min(pause_at, END_S))
        at = pause_at + random.uniform(0.5, 4.0)
    return times


@dataclass(slots=True, kw_only=True, frozen=True)
class Simulation:
    """Parameters of one run.

    :param hit_together: how many issuers are hit by the same fault at once
    :param repeats: how often each fault comes, ``REPEAT_S`` apart
    :param restores: how often the store is restored from an older copy
    :param lowered_at: when a lower limit is accepted; None if it is not
    """

    seed: int
    instances: int
    receivers: int
    factor: float
    fault_count: int
    hit_together: int
    loss: float
    views_differ: bool = False
    kinds: tuple[FaultKind, ...] = KINDS
    lengths_s: tuple[float, ...] = LENGTHS_S
    repeats: int = 1
    restores: int = 0
    lowered_at: float | None = None

    def faults(self, random: Random, issuers: list[int]) -> list[Fault]:
        """Draw faults, most of them at issuers."""
        faults = []
        for _ in range(self.fault_count):
            kind, begin_s = random.choice(self.kinds), random.uniform(BEGIN_S, END_S)
            length_s = random.choice(self.lengths_s)
            anybody = [random.randrange(self.instances)]
            for instance in random.sample(
                issuers or anybody, min(self.hit_together, len(issuers) or 1)
            ):
                faults += [
                    Fault(kind=kind, instance=instance, begin_s=at, length_s=length_s)
                    for at in (begin_s + number * REPEAT_S for number in range(self.repeats))
                ]
        return faults

    def run(
        self,
        make_issuer: type[ShareIssuer] = ShareIssuer,
        make_lease: type[SlotLease] = SlotLease,
    ) -> QuotaFleet:
        """Run the fleet; the issuers before the faults are found by a run without any."""
        issuers = self.issuers()
        random = Random(self.seed)
        faults = self.faults(random, issuers)
        changes = []
        if self.lowered_at is not None:
            changes.append(LimitChange(at=self.lowered_at, version=1, quota=LOWER))
        restores = [
            Restore(
                at=random.uniform(2 * BEGIN_S, END_S),
                age_s=random.uniform(0.5, BEGIN_S),
                keeps_leases=random.random() < KEEPS_LEASES,
            )
            for _ in range(self.restores)
        ]
        fleet = QuotaFleet(
            random=random,
            instances=self.instances,
            bounds=BOUNDS,
            quota=QUOTA,
            faults=faults,
            restores=restores,
            changes=changes,
            loss=self.loss,
            views_differ=self.views_differ,
            clock_error=0.0004,
            lease_s=6.0,
            renew_interval_s=0.0,
            make_issuer=make_issuer,
            make_lease=make_lease,
        )
        receivers = random.sample(range(self.instances), min(self.receivers, self.instances))
        rate = self.factor * QUOTA.rate_per_s
        fleet.send_requests(bursts(random, rate), receivers)
        fleet.run(END_S + 5.0)
        return fleet

    def issuers(self) -> list[int]:
        """Return the instances that hold the workspace's slots in a calm fleet."""
        calm = QuotaFleet(
            random=Random(self.seed), instances=self.instances, bounds=BOUNDS, quota=QUOTA
        )
        calm.run(5.0)
        keys = calm.store.keys
        return sorted({int(keys[slot].instance[1:]) for slot in share_slots("w") if slot in keys})


SIMULATIONS = st.builds(
    Simulation,
    seed=st.integers(0, 10_000),
    instances=st.sampled_from([1, 2, 3, 7, 20, 79, 300]),
    receivers=st.sampled_from([1, 3, 40]),
    factor=st.sampled_from([1.0, 3.0, 6.0]),
    fault_count=st.integers(0, 14),
    kinds=st.sampled_from([KINDS, *((kind,) for kind in KINDS)]),
    lengths_s=st.sampled_from([LENGTHS_S, SHORT_S]),
    repeats=st.sampled_from([1, 1, REPEATS]),
    restores=st.sampled_from([0, 1, 3]),
    hit_together=st.integers(1, 3),
    loss=st.sampled_from([0.0, 0.02, 0.1]),
    views_differ=st.booleans(),
    lowered_at=st.sampled_from([None, 12.0]),
)


def excess(fleet: QuotaFleet, simulation: Simulation) -> float:
    """Return by how much the fullest window passes what is allowed; at most 0 if none does."""
    most = most_in_window(fleet.runs, BOUNDS.window_s)
    result = most - BOUNDS.requests_max(QUOTA)
    if simulation.lowered_at is not None:
        known_everywhere = simulation.lowered_at + 3.0 + BOUNDS.window_s
        most = most_in_window(fleet.runs, BOUNDS.window_s, since=known_everywhere)
        result = max(result, most - BOUNDS.requests_max(LOWER))
    return result


@settings(max_examples=40)
@given(simulation=SIMULATIONS)
def test_no_window_holds_more_requests_than_allowed_whatever_fails(simulation: Simulation) -> None:
    """Guards against a sum over all instances beyond the quota in any kind of trouble."""
    assert excess(simulation.run(), simulation) <= 0


class FullFromTheStart(ShareIssuer):
    """Begins each slot with a full bucket."""

    def new_bucket(self, request: ShareRequest) -> ShareBucket:
        bucket = ShareIssuer.new_bucket(self, request)
        bucket.tokens = bucket.limit.tokens_max
        return bucket


class WithoutLease(ShareIssuer):
    """Issues on after the end of its lease, until it knows of another holder."""

    def on_lease(
        self,
        now: float,
        lease_until: float,  # noqa: ARG002 - the fault
        held: Mapping[int, SlotHold],
    ) -> None:
        ShareIssuer.on_lease(self, now, float("inf"), held)

    def holds(self, now: float, slot: int) -> bool:  # noqa: ARG002 - the fault
        return slot in self.held


class WholeQuota(ShareIssuer):
    """Issues the whole quota for each share."""

    def new_bucket(self, request: ShareRequest) -> ShareBucket:
        bucket = ShareIssuer.new_bucket(self, request)
        whole = share_limit(request.quota, self.bounds)
        bucket.limit = type(whole)(
            shares=1, rate_per_s=3 * whole.rate_per_s, tokens_max=3 * whole.tokens_max
        )
        return bucket


class AlwaysStartTokens(SlotLease):
    """Gives start tokens to each process, also to one that follows another at once."""

    def new_hold(self, now: float, claim: SlotClaim) -> SlotHold:
        return replace(SlotLease.new_hold(self, now, claim), start_tokens=True)


class ClaimsAfterRestart(SlotLease):
    """Claims at once although the store may have forgotten a holder."""

    def may_claim(self, now: float, claim: SlotClaim) -> bool:  # noqa: ARG002 - the fault
        return True


class FilledWhileAnotherIssued(SlotLease):
    """Fills buckets for a window in which the process before may have issued."""

    def new_hold(self, now: float, claim: SlotClaim) -> SlotHold:
        hold = SlotLease.new_hold(self, now, claim)
        return replace(hold, filled_from=hold.filled_from - self.window_s)


@pytest.mark.parametrize(
    ("weakened", "kinds", "repeats"),
    [
        ({"make_issuer": FullFromTheStart}, (FaultKind.KILL,), 1),
        ({"make_issuer": WithoutLease}, (FaultKind.CUT_STORE,), 1),
        ({"make_issuer": WholeQuota}, KINDS, 1),
        ({"make_lease": AlwaysStartTokens}, (FaultKind.KILL,), REPEATS),
        ({"make_lease": FilledWhileAnotherIssued}, (FaultKind.KILL,), 1),
    ],
    ids=["full", "no-lease", "whole-quota", "always-start-tokens", "filled-too-early"],
)
def test_the_same_check_finds_a_weakened_issuer(
    weakened: dict[str, type], kinds: tuple[FaultKind, ...], repeats: int
) -> None:
    """Guards against a check that passes whatever the issuers do."""
    simulations = [
        Simulation(
            seed=seed,
            instances=7,
            receivers=40,
            factor=6.0,
            fault_count=14 if repeats == 1 else 4,
            hit_together=3,
            loss=0.0,
            kinds=kinds,
            lengths_s=SHORT_S if kinds == (FaultKind.KILL,) else LENGTHS_S,
            repeats=repeats,
        )
        for seed in range(6)
    ]
    assert all(excess(simulation.run(), simulation) <= 0 for simulation in simulations)
    assert any(excess(simulation.run(**weakened), simulation) > 0 for simulation in simulations)


def conforming(random: Random, quota: RequestQuota, begin: float, end: float) -> list[float]:
    """Draw requests that use all of a quota, in bursts and evenly, and never pass it."""
    times: list[float] = []
    at, tokens = begin, quota.burst
    while at < end:
        burst = random.randint(1, int(quota.burst))
        wait_s = max(0.0, burst - tokens) / quota.rate_per_s
        at += wait_s
        tokens = min(quota.burst, tokens + wait_s * quota.rate_per_s) - burst
        times += [at] * burst
    return times


@pytest.mark.parametrize("instances", [1, 2, 3, 79])
@pytest.mark.parametrize("receivers", [1, 3])
@pytest.mark.parametrize(
    "quota",
    [QUOTA, LOWER, RequestQuota(rate_per_s=400.0, burst=400.0)],
    ids=["usual", "low", "high"],
)
def test_in_calm_no_request_below_the_limit_is_refused(
    instances: int, receivers: int, quota: RequestQuota
) -> None:
    """Guards against shares that lie where a workspace's callers don't come."""
    random = Random(7)
    fleet = QuotaFleet(random=random, instances=instances, bounds=BOUNDS, quota=quota)
    used = random.sample(range(instances), min(receivers, instances))
    fleet.send_requests(conforming(random, quota, 16.0, 40.0), used)
    fleet.run(42.0)
    assert fleet.results.keys() == {"admitted"}


def test_a_new_version_of_the_limit_refuses_nobody_below_it() -> None:
    """Guards against buckets that begin empty at each change of the configuration."""
    random = Random(7)
    raised = RequestQuota(rate_per_s=46.0, burst=46.0)
    change = LimitChange(at=20.0, version=1, quota=raised, lag_s=0.0)
    fleet = QuotaFleet(random=random, instances=20, bounds=BOUNDS, quota=QUOTA, changes=[change])
    fleet.send_requests(arrivals(random, 14.0, 16.0, 20.0), [1, 2, 3])
    fleet.send_requests(arrivals(random, 28.0, 20.1, 30.0), [1, 2, 3])
    fleet.run(32.0)
    assert fleet.results.keys() == {"admitted"}


def deny_all(choice: ShareChoice, quota: RequestQuota, wait_s: float) -> list[ShareRequest]:
    """Deny a request of version 1 by all shares; return what they were asked."""
    requests = [
        ShareRequest(slot=slot, workspace="w", quota=quota, version=1)
        for slot in choice.slots(0.0, "w", quota, 1)
    ]
    for request in requests:
        choice.on_denied(0.0, request, wait_s)
    return requests


def test_a_denial_ends_with_the_version_that_it_was_given_under() -> None:
    """Guards against refusals for minutes after the limit of a slow workspace was raised."""
    choice = ShareChoice(bounds=BOUNDS)
    late = deny_all(choice, RequestQuota(rate_per_s=0.3, burst=1.0), wait_s=10.0)
    assert choice.slots(1.0, "w", QUOTA, 2), "a newer version"
    choice.on_denied(1.0, late[0], 10.0)
    assert len(choice.slots(1.0, "w", QUOTA, 2)) == len(late), "a late denial of the older one"


def test_refused_callers_return_at_the_rate_of_the_workspace() -> None:
    """Guards against refused callers that all return at once."""
    choice = ShareChoice(bounds=BOUNDS)
    deny_all(choice, QUOTA, wait_s=0.1)
    assert choice.slots(0.05, "w", QUOTA, 1) == []
    waits = [choice.retry_after_s(0.0, "w", QUOTA) for _ in range(50)]
    assert waits == pytest.approx([0.1 + number / QUOTA.rate_per_s for number in range(50)])


@pytest.mark.parametrize(
    ("quota", "bounds"),
    [
        (RequestQuota(rate_per_s=0.1, burst=0.0), QuotaBounds()),
        (RequestQuota(rate_per_s=1.0, burst=0.0), QuotaBounds()),
        (RequestQuota(rate_per_s=1.0, burst=1.0), QuotaBounds()),
        (RequestQuota(rate_per_s=1e6, burst=0.0), QuotaBounds(overage=0.1, slack=20.0)),
        (QUOTA, BOUNDS),
    ],
)
def test_the_shares_of_a_quota_allow_no_more_than_the_bounds(
    quota: RequestQuota, bounds: QuotaBounds
) -> None:
    """Guards against shares of small quotas that are rounded up."""
    limit = share_limit(quota, bounds)
    in_window = limit.rate_per_s * bounds.window_s + limit.tokens_max + limit.start_tokens
    assert limit.shares * in_window <= bounds.requests_max(quota)
    assert limit.tokens_max >= 1 or bounds.requests_max(quota) < 1


def test_a_refused_caller_never_returns_at_once() -> None:
    """Guards against a Retry-After of 0, sent when the next token is due just now."""
    choice = ShareChoice(bounds=BOUNDS)
    deny_all(choice, QUOTA, wait_s=0.1)
    assert choice.retry_after_s(0.0999, "w", QUOTA) >= 1 / QUOTA.rate_per_s


@pytest.mark.parametrize(
    ("make_lease", "holds"),
    [(SlotLease, True), (ClaimsAfterRestart, False)],
    ids=["as-built", "claims-at-once"],
)
@pytest.mark.parametrize("keeps_leases", [True, False], ids=["own-keys", "no-keys"])
def test_a_process_that_starts_after_a_restore_waits_for_forgotten_holders(
    keeps_leases: bool, make_lease: type[SlotLease], holds: bool
) -> None:
    """Guards against two issuers of a slot that was given away between the copy and the restore.

    The slots of some issuers go to others, which then can't reach the store; it forgets them, and
    the first ones start again.
    """
    lease_s, end_s = 20.0, 60.0
    simulation = Simulation(
        seed=3, instances=7, receivers=7, factor=6.0, fault_count=0, hit_together=3, loss=0.0
    )
    issuers = simulation.issuers()
    kills = [
        Fault(kind=FaultKind.KILL, instance=issuer, begin_s=10.0, length_s=25.0)
        for issuer in issuers
    ]
    cuts = [
        Fault(kind=FaultKind.CUT_STORE, instance=instance, begin_s=32.0, length_s=30.0)
        for instance in range(7)
        if instance not in issuers
    ]
    random = Random(3)
    fleet = QuotaFleet(
        random=random,
        instances=7,
        bounds=BOUNDS,
        quota=QUOTA,
        faults=kills + cuts,
        restores=[Restore(at=33.0, age_s=5.0, keeps_leases=keeps_leases)],
        lease_s=lease_s,
        make_lease=make_lease,
    )
    fleet.send_requests(arrivals(random, 140.0, 36.0, end_s), [*range(7)])
    fleet.run(end_s)
    most = most_in_window(fleet.runs, BOUNDS.window_s)
    assert (most <= BOUNDS.requests_max(QUOTA)) is holds
