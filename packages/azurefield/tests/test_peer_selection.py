from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from azurefield.call_result import CallResult
from azurefield.coordinators import InstanceProfile
from azurefield.peer_selection import AVOID_S, PeerChoice, PeerSelection
from azurefield.routing import OwnObservationRouter

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


def chosen_name(choice: PeerChoice | None) -> str | None:
    return None if choice is None else choice.instance


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
    assert {chosen_name(peers.choose(0.0, profiles, tried)) for _ in range(20)} == chosen


def test_an_instance_that_refused_is_avoided_for_a_while() -> None:
    """Guards against requests that ask each partitioned instance of the zone in turn."""
    peers = selection()
    peers.on_refused(0.0, "a")
    assert peers.choose(0.5, [profile("a")]) is None
    assert chosen_name(peers.choose(AVOID_S, [profile("a")])) == "a"
    peers.on_refused(0.0, "a")
    peers.on_refused(0.0, "a", 0.1)
    peers.retain_only({"b"})
    assert not peers.avoided_until
    assert not peers.late_until


@pytest.mark.parametrize(
    ("refused", "late", "tried", "chosen"),
    [
        pytest.param((), (), (), ({"a", "b"}, False), id="two-are-left"),
        pytest.param((), (), ("a",), ({"b"}, True), id="one-was-asked"),
        pytest.param(("a",), (), (), ({"b"}, True), id="one-has-refused"),
        pytest.param((), ("a",), (), ({"b"}, False), id="one-is-late"),
        pytest.param((), ("a", "b"), (), ({"a", "b"}, True), id="both-are-late"),
        pytest.param(("a",), ("b",), (), ({"b"}, True), id="the-one-left-is-late"),
    ],
)
def test_an_instance_that_was_late_is_chosen_when_no_other_is_left(
    refused: tuple[str, ...],
    late: tuple[str, ...],
    tried: tuple[str, ...],
    chosen: tuple[set[str], bool],
) -> None:
    """Guards against requests that are rejected because the only usable instance was late."""
    peers = selection()
    for instance in refused:
        peers.on_refused(0.0, instance)
    for instance in late:
        peers.on_refused(0.0, instance, 0.2)
    choices = [peers.choose(0.1, [profile("a"), profile("b")], tried) for _ in range(20)]
    names, only = chosen
    assert {chosen_name(choice) for choice in choices} == names
    assert {choice.only for choice in choices if choice is not None} == {only}


def test_requests_spill_over_to_other_zones_when_the_own_zone_is_busy() -> None:
    """Guards against one instance that gets the requests of all partitioned ones of its zone."""
    peers = selection()
    profiles = [profile("a"), profile("b", "z2")]
    for name in ("a", "b"):
        peers.router.on_dispatch(0.0, name)
        peers.router.on_result(0.05, name, CallResult.ANSWERED, 0.05)
    chosen: Counter[str | None] = Counter()
    for _ in range(10):
        next_one = chosen_name(peers.choose(0.06, profiles))
        assert next_one is not None
        peers.router.on_dispatch(0.06, next_one)
        chosen[next_one] += 1
    assert chosen["a"] > chosen["b"] > 0
