"""Availability zones that the operator evacuates."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from azurefield.directory import Directory, RegisteredServer, RegisteredState
from azurefield.evacuations import LOST_REQUEST_HOLD_S, Evacuations
from azurefield.model import Snapshot
from azurefield.snapshot import Holding

if TYPE_CHECKING:
    from collections.abc import Collection

HOLDING = Holding(leaf="desk", snapshot=Snapshot(index_version=1, map_version=1))


def server(name: str, zone: str) -> RegisteredServer:
    return RegisteredServer(
        server=name,
        service="desk",
        address="192.0.2.1:80",
        availability_zone=zone,
        state=RegisteredState.LIVE,
    )


def make_directory(*zones: str, evacuations: type[Evacuations] = Evacuations) -> Directory:
    """Build a directory with one server in each zone, named after it."""
    directory = Directory(evacuations=evacuations())
    for zone in zones:
        directory.on_entry(server(zone, zone))
    return directory


@pytest.mark.parametrize(
    ("evacuated", "usable"),
    [("one", ("two",)), ("nowhere", ("one", "two"))],
    ids=["known-zone", "unknown-zone"],
)
def test_an_evacuated_zone_has_no_usable_server_until_the_request_is_removed(
    evacuated: str, usable: tuple[str, ...]
) -> None:
    """Guards against new work for an evacuated zone, and against a zone that never returns."""
    directory = make_directory("one", "two")
    assert directory.on_evacuation(evacuated) == {evacuated}
    assert directory.on_evacuation(evacuated) == frozenset()
    assert directory.holders(0.0, HOLDING) == usable
    assert directory.on_evacuation_removed(evacuated) == {evacuated}
    assert set(directory.holders(0.0, HOLDING)) == {"one", "two"}


def test_a_service_whose_servers_are_all_in_evacuated_zones_has_none() -> None:
    """Guards against an exception to the operator's request when nothing else is left."""
    directory = make_directory("one", "two")
    directory.on_evacuations_listed(0.0, {"one", "two"})
    assert directory.holders(0.0, HOLDING) == ()


def test_a_server_that_registers_in_an_evacuated_zone_is_not_used() -> None:
    """Guards against checking only the servers that are known when the request comes."""
    directory = Directory()
    directory.on_evacuation("one")
    directory.on_entry(server("s1", "one"))
    assert directory.holders(0.0, HOLDING) == ()
    assert directory.is_evacuated("s1")


def list_without_request(
    kind: type[Evacuations], after_outage: bool, evacuated_until: float
) -> None:
    """List no request for an evacuated zone, and assert until when it stays evacuated."""
    directory = make_directory("one", evacuations=kind)
    directory.on_evacuation("one")
    if after_outage:
        directory.on_outage_end(0.0)
    directory.on_evacuations_listed(0.0, ())
    assert directory.is_evacuated("one") is after_outage
    directory.expire_evacuations(evacuated_until - 0.1)
    assert directory.is_evacuated("one") is after_outage
    directory.expire_evacuations(evacuated_until)
    assert directory.holders(0.0, HOLDING) == ("one",)
    directory.on_evacuation("one")
    directory.expire_evacuations(evacuated_until + 100.0)
    assert directory.is_evacuated("one"), "written again"


@pytest.mark.parametrize(
    ("after_outage", "evacuated_until"),
    [(False, 0.0), (True, LOST_REQUEST_HOLD_S)],
    ids=["removed", "store-may-have-lost-it"],
)
def test_a_listing_without_the_request_ends_it_unless_the_store_may_have_lost_it(
    after_outage: bool, evacuated_until: float
) -> None:
    """Guards against calls to an evacuated zone after the store returned from an older copy."""
    list_without_request(Evacuations, after_outage, evacuated_until)


class TrustsEachListing(Evacuations):
    """Ends an evacuation although the store may have lost its request."""

    def on_listing(
        self, now: float, zones: Collection[str], *, may_lack_requests: bool  # noqa: ARG002
    ) -> frozenset[str]:
        return Evacuations.on_listing(self, now, zones, may_lack_requests=False)


class HoldsForEver(Evacuations):
    """Keeps a zone evacuated whose request is gone."""

    def expire(self, now: float) -> frozenset[str]:  # noqa: ARG002
        return frozenset()


class KeepsTheEnd(Evacuations):
    """Does not renew an evacuation that is written again."""

    def on_requested(self, zone: str) -> frozenset[str]:
        if zone in self.until:
            return frozenset()
        self.until[zone] = 2 * LOST_REQUEST_HOLD_S
        return frozenset({zone})


@pytest.mark.parametrize("weakened", [TrustsEachListing, HoldsForEver, KeepsTheEnd])
def test_the_same_check_finds_weakened_evacuations(weakened: type[Evacuations]) -> None:
    """Guards against a check that would pass without the decision."""
    with pytest.raises(AssertionError):
        list_without_request(weakened, after_outage=True, evacuated_until=LOST_REQUEST_HOLD_S)


def test_a_further_listing_does_not_end_an_evacuation_that_the_store_may_have_lost() -> None:
    """Guards against a hold that ends with the next listing, before the request can be written."""
    directory = make_directory("one", "two")
    directory.on_evacuation("one")
    directory.on_outage_end(0.0)
    directory.on_evacuations_listed(0.0, ())
    second_at = 2.5
    directory.on_evacuations_listed(second_at, ())
    assert directory.is_evacuated("one")
    assert directory.expire_evacuations(LOST_REQUEST_HOLD_S) == {"one"}
    directory.on_evacuation("two")
    assert directory.on_evacuations_listed(LOST_REQUEST_HOLD_S, ()) == {"two"}
