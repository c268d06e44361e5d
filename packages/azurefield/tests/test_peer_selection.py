from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from azurefield.coordinators import InstanceProfile
from azurefield.peer_selection import AVOID_S, PeerSelection
from azurefield.routing import CallResult, OwnObservationRouter

ADDRESS = "192.0.2.1:80"


def profile(name: str, zone: str = "z1", address: str | None = ADDRESS) -> InstanceProfile:
    return InstanceProfile(
        instance=name, availability_zone=zone, capacity=1.0, coordinator_address=address
    )


def selection() -> PeerSelection:
    return PeerSelection(
        own="own",
        own_zone="z1",
        router=OwnObservationRouter(random=Random(1)),
        other_zone_penalty_s=0.1,
    )


@pytest.mark.parametrize(
    ("profiles", "tried", "chosen"),
    [
        pytest.param([profile("own"), profile("a")], (), {"a"}, id="not-itself"),
        pytest.param([profile("a"), profile("b", "z2")], (), {"a"}, id="own-zone-first"),
        pytest.param([profile("a"), profile("b", "z2")], ("a",), {"b"}, id="then-other-zones"),
        pytest.param([profile("a", address=None)], (), {None}, id="no-address"),
        pytest.param([profile("own")], (), {None}, id="alone"),
        pytest.param([profile("a"), profile("b")], (), {"a", "b"}, id="spread"),
    ],
)
def test_the_nearest_instances_are_chosen(
    profiles: list[InstanceProfile], tried: tuple[str, ...], chosen: set[str | None]
) -> None:
    """Guards against requests that go to another zone, or back to the instance itself."""
    peers = selection()
    assert {peers.choose(0.0, profiles, tried) for _ in range(20)} == chosen


def test_an_instance_that_refused_is_avoided_for_a_while() -> None:
    """Guards against requests that ask each partitioned instance of the zone in turn."""
    peers = selection()
    peers.on_refused(0.0, "a")
    assert peers.choose(0.5, [profile("a")]) is None
    assert peers.choose(AVOID_S, [profile("a")]) == "a"
    peers.on_refused(0.0, "a")
    peers.retain_only({"b"})
    assert not peers.avoided_until


def test_requests_spill_over_to_other_zones_when_the_own_zone_is_busy() -> None:
    """Guards against one instance that gets the requests of all partitioned ones of its zone."""
    peers = selection()
    profiles = [profile("a"), profile("b", "z2")]
    for name in ("a", "b"):
        peers.router.on_dispatch(0.0, name)
        peers.router.on_result(0.05, name, CallResult.ANSWERED, 0.05)
    chosen: Counter[str | None] = Counter()
    for _ in range(10):
        next_one = peers.choose(0.06, profiles)
        assert next_one is not None
        peers.router.on_dispatch(0.06, next_one)
        chosen[next_one] += 1
    assert chosen["a"] > chosen["b"] > 0
