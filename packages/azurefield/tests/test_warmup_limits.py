"""The rate of a server that warms up, summed over all instances."""

from __future__ import annotations

from random import Random

import pytest

from azurefield.directory import RegisteredServer, RegisteredState
from azurefield.quota import (
    QuotaGranted,
    QuotaQueue,
    QuotaRequest,
    rate_fraction,
)
from azurefield.routes import ServiceLimits
from azurefield.server_limits import NamedLimit
from azurefield.warmup_limits import WarmupBound, WarmupLimits

BOUND = WarmupBound(rate_factor=1.5, extra_requests=5.0)
LENGTH_S = 6.0


def server(warmup_s: float) -> RegisteredServer:
    return RegisteredServer(
        server="s1",
        service="desk",
        address="192.0.2.1:80",
        availability_zone="one",
        state=RegisteredState.LIVE,
        warmup_s=warmup_s,
    )


def make_limits(warmup_rate_per_s: float = 10.0, bound: WarmupBound | None = BOUND) -> WarmupLimits:
    service = ServiceLimits(
        connections_max=30, warmup_duration_s=3.0, warmup_rate_per_s=warmup_rate_per_s
    )
    return WarmupLimits(bound=bound, services={"desk": service})


@pytest.mark.parametrize(
    ("limits", "warmup_s", "limited"),
    [
        (make_limits(), 2.0, True),
        (make_limits(), 0.0, False),
        (make_limits(warmup_rate_per_s=0.0), 2.0, False),
        (make_limits(bound=None), 2.0, False),
        (WarmupLimits(bound=BOUND), 2.0, False),
    ],
    ids=["warming", "warm", "no-rate", "no-bound", "unknown-service"],
)
def test_a_server_is_limited_while_it_warms_up(
    limits: WarmupLimits, warmup_s: float, limited: bool
) -> None:
    """Guards against a limit where the operator asks for none, and against none where it does."""
    entry = server(warmup_s)
    limits.on_entry(0.0, entry)
    assert (limits.limit(1.9, entry) is not None) is limited
    assert limits.limit(2.0, entry) is None


def test_a_server_that_is_used_again_is_limited_though_its_entry_is_older() -> None:
    """Guards against a flood at the end of an evacuation, before the server's next entry."""
    limits, entry = make_limits(), server(0.0)
    limits.on_reopened(0.0, entry)
    assert not limits.on_entry(0.1, entry)
    assert limits.limit(2.9, entry) is not None
    assert limits.on_entry(3.0, server(1.0)), "it warms up again"


def test_an_entry_that_arrives_late_is_no_new_warm_up() -> None:
    """Guards against a server whose load begins to rise anew at the end of each warm-up."""
    limits = make_limits()
    assert limits.on_entry(0.0, server(3.0))
    assert not limits.on_entry(3.5, server(0.4)), "written before the end, relayed after it"
    assert not limits.on_entry(5.0, server(0.0))
    assert limits.on_entry(9.0, server(2.0))


def granted(queue: QuotaQueue, now: float, number: int, limit: NamedLimit, fraction: float) -> bool:
    request = QuotaRequest(key=number, server="s1", limit=limit, priority=0, start_by=now)
    decisions = queue.request(now, request, fraction=fraction)
    return any(isinstance(decision, QuotaGranted) for decision in decisions)


def most_in_a_second(limit: NamedLimit, instances: int, restart: bool, seed: int) -> int:
    """Ask two issuers for more than they have; return the most calls of any second.

    Half of the instances believe the first to be the issuer, the others the second. With
    ``restart``, the first loses its memory midway.
    """
    random = Random(seed)
    queues = [QuotaQueue(), QuotaQueue()]
    sent = []
    times = sorted(random.uniform(0.0, LENGTH_S) for _ in range(int(600 * LENGTH_S)))
    for number, now in enumerate(times):
        if restart and now > LENGTH_S / 2:
            queues[0], restart = QuotaQueue(), False
        rank = random.randrange(instances) % 2
        if granted(queues[rank], now, number, limit, rate_fraction(rank, instances)):
            sent.append(now)
    return max(sum(start <= at < start + 1.0 for at in sent) for start in sent)


@pytest.mark.parametrize("warmup_rate_per_s", [1.0, 5.0, 20.0, 80.0])
@pytest.mark.parametrize("instances", [1, 2, 85, 300])
@pytest.mark.parametrize("restart", [False, True], ids=["steady", "issuer-restarts"])
def test_the_sum_of_all_instances_stays_within_the_bound(
    warmup_rate_per_s: float, instances: int, restart: bool
) -> None:
    """Guards against a flood of a server that warms up, also while there are two issuers."""
    limits, entry = make_limits(warmup_rate_per_s), server(LENGTH_S)
    limits.on_entry(0.0, entry)
    limit = limits.limit(0.0, entry)
    assert limit is not None
    assert most_in_a_second(limit, instances, restart, 1) <= BOUND.requests_max(warmup_rate_per_s)


def test_tokens_at_the_whole_bound_would_exceed_it() -> None:
    """Guards against a test that does not find two issuers that each use the whole bound."""
    bound = BOUND.requests_max(20.0)
    whole = NamedLimit(per_s=bound, named_at=0.0)
    assert most_in_a_second(whole, 85, True, 1) > bound
