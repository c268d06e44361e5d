from __future__ import annotations

from dataclasses import replace

import pytest

from azurefield.directory import (
    REMOVED_ENTRY_MEMORY_S,
    REREGISTRATION_GRACE_S,
    RETURNED_ENTRY_HOLD_S,
    Directory,
    DirectoryChangeKind,
    RegisteredServer,
    RegisteredState,
)
from azurefield.model import Snapshot
from azurefield.snapshot import Holding

SERVER = RegisteredServer(
    server="s1",
    service="desk",
    address="192.0.2.1:80",
    availability_zone="one",
    state=RegisteredState.LIVE,
    incarnation="1",
)


def usable(directory: Directory, service: str = "desk") -> tuple[str, ...]:
    snapshot = Snapshot(index_version=1, map_version=1)
    return directory.holders(0.0, Holding(leaf=service, snapshot=snapshot))


def changes(directory: Directory, entry: RegisteredServer) -> list[DirectoryChangeKind]:
    return [change.change for change in directory.on_entry(entry)]


def test_a_leaving_server_gets_no_new_work_at_once() -> None:
    """Guards against new work for a server that has registered as leaving."""
    directory = Directory()
    assert changes(directory, SERVER) == [DirectoryChangeKind.STARTED]
    assert usable(directory) == ("s1",)
    assert changes(directory, replace(SERVER, state=RegisteredState.LEAVING)) == [
        DirectoryChangeKind.LEAVING
    ]
    assert usable(directory) == ()


@pytest.mark.parametrize(
    ("entry", "expected"),
    [
        (SERVER, []),
        (replace(SERVER, warmup_s=1.0), [DirectoryChangeKind.UPDATED]),
        (replace(SERVER, incarnation="2"), [DirectoryChangeKind.STARTED]),
        (replace(SERVER, address="192.0.2.2:80"), [DirectoryChangeKind.STARTED]),
    ],
    ids=["same", "updated", "restarted", "moved"],
)
def test_a_start_under_the_same_name_is_a_start(
    entry: RegisteredServer, expected: list[DirectoryChangeKind]
) -> None:
    """Guards against a restarted or moved server that keeps the routing state of its last start."""
    directory = Directory()
    directory.on_entry(SERVER)
    assert changes(directory, entry) == expected


def test_an_entry_that_moves_to_another_service_leaves_the_first() -> None:
    """Guards against requests for one service that are sent to a server of another."""
    directory = Directory()
    directory.on_entry(SERVER)
    directory.on_entry(replace(SERVER, service="other"))
    assert (usable(directory), usable(directory, "other")) == ((), ("s1",))


def test_a_removed_entry_ends_the_use_of_a_server_in_normal_times() -> None:
    """Guards against calls to a server that has deregistered."""
    directory = Directory()
    directory.on_entry(SERVER)
    assert [c.change for c in directory.on_removed(1.0, "s1")] == [DirectoryChangeKind.GONE]
    assert usable(directory) == ()
    assert directory.on_removed(1.0, "unknown") == []


def test_entries_that_lapsed_in_an_outage_have_time_to_come_back() -> None:
    """Guards against an outage of the store after which no server is usable.

    Entries expire when they can't be renewed, so a store that comes back may list none of them.
    """
    directory = Directory()
    directory.on_entry(SERVER)
    directory.on_entry(replace(SERVER, server="s2"))
    directory.on_outage_end(10.0)
    listed = directory.on_listing(10.0, {})
    assert [c.change for c in listed] == [
        DirectoryChangeKind.UNCONFIRMED,
        DirectoryChangeKind.UNCONFIRMED,
    ]
    assert usable(directory) == ("s1", "s2")
    directory.on_entry(SERVER)
    assert directory.expire(10.0 + REREGISTRATION_GRACE_S - 0.1) == []
    assert [c.server for c in directory.expire(10.0 + REREGISTRATION_GRACE_S)] == ["s2"]
    assert usable(directory) == ("s1",)


def test_a_leaving_server_is_dropped_at_once_even_after_an_outage() -> None:
    """Guards against a leaving server that is kept as if its entry had expired in an outage."""
    directory = Directory()
    directory.on_entry(replace(SERVER, state=RegisteredState.LEAVING))
    directory.on_outage_end(10.0)
    assert [c.change for c in directory.on_removed(10.0, "s1")] == [DirectoryChangeKind.GONE]


def test_a_server_whose_address_was_taken_over_is_unusable_until_its_entry_changes() -> None:
    """Guards against further calls to another server that has taken over the address."""
    directory = Directory()
    directory.on_entry(SERVER)
    assert directory.on_misdirected("s1")
    assert not directory.on_misdirected("s1")
    assert usable(directory) == ()
    directory.on_entry(replace(SERVER, address="192.0.2.9:80"))
    assert usable(directory) == ("s1",)


@pytest.mark.parametrize(
    ("later", "earlier"),
    [
        (
            replace(SERVER, started_ms=5, entry_number=8, state=RegisteredState.LEAVING),
            replace(SERVER, started_ms=5, entry_number=7),
        ),
        (
            replace(SERVER, started_ms=6, entry_number=1, incarnation="6", address="192.0.2.2:80"),
            replace(SERVER, started_ms=5, entry_number=9, incarnation="5"),
        ),
    ],
    ids=["same-start", "earlier-start"],
)
@pytest.mark.parametrize("removed_between", [False, True])
def test_an_entry_written_before_a_known_one_changes_nothing(
    later: RegisteredServer, earlier: RegisteredServer, removed_between: bool
) -> None:
    """Guards against a delayed entry that brings back a server which has left."""
    directory = Directory()
    directory.on_entry(later)
    if removed_between:
        directory.on_removed(1.0, "s1")
    before = dict(directory.servers)
    assert directory.on_entry(earlier) == []
    assert directory.servers == before


def test_a_server_whose_entry_lapsed_is_back_with_its_next_entry() -> None:
    """Guards against a server that is never used again after its entry was removed by mistake."""
    directory = Directory()
    directory.on_entry(replace(SERVER, started_ms=5, entry_number=8))
    directory.on_removed(1.0, "s1")
    assert changes(directory, replace(SERVER, started_ms=5, entry_number=9)) == [
        DirectoryChangeKind.STARTED
    ]
    assert usable(directory) == ("s1",)


def test_removed_servers_are_forgotten_after_a_while() -> None:
    """Guards against memory that grows with every server that ever ran."""
    directory = Directory()
    directory.on_entry(replace(SERVER, started_ms=5, entry_number=8))
    directory.on_removed(1.0, "s1")
    directory.expire(1.0 + REMOVED_ENTRY_MEMORY_S)
    assert directory.removed == {}


@pytest.mark.parametrize("entry_number", [7, 8], ids=["older", "same"])
@pytest.mark.parametrize("stays", [True, False])
def test_an_entry_from_a_restored_store_is_used_only_if_it_stays_listed(
    entry_number: int, stays: bool
) -> None:
    """Guards against a server that has left and is used again because the store went back."""
    directory = Directory()
    directory.on_entry(replace(SERVER, started_ms=5, entry_number=8))
    directory.on_removed(1.0, "s1")
    returned = replace(SERVER, started_ms=5, entry_number=entry_number)
    assert directory.on_listing(2.0, {"s1": returned}) == []
    assert directory.expire(2.1) == []
    assert usable(directory) == ()
    if not stays:
        directory.on_removed(5.0, "s1")
    directory.expire(2.1 + RETURNED_ENTRY_HOLD_S)
    assert usable(directory) == (("s1",) if stays else ())
