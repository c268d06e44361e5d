from __future__ import annotations

from azurefield.instances import RunningInstances

GRACE_S = 12.0


def listed(*names: str) -> RunningInstances:
    instances = RunningInstances(own="e1", grace_s=GRACE_S)
    instances.on_listing(0.0, names)
    return instances


def test_an_instance_that_is_not_listed_counts_itself() -> None:
    """Guards against a limit that is divided without this instance, and exceeded by its share."""
    instances = RunningInstances(own="e1", grace_s=GRACE_S)
    assert (instances.known, len(instances)) == (False, 1)
    assert (listed("e2").known, len(listed("e2"))) == (True, 2)


def test_entries_that_ended_at_once_do_not_raise_the_shares_of_those_that_run() -> None:
    """Guards against exceeded limits after the store has lost the entries of running instances.

    If these instances no longer counted, each of them would take a larger share at once.
    """
    instances = listed("e1", "e2", "e3")
    instances.on_listing(5.0, ())
    assert len(instances) == 3
    instances.on_listed("e2")
    assert not instances.expire(5.0 + GRACE_S - 0.1)
    assert instances.expire(5.0 + GRACE_S)
    assert len(instances) == 2


def test_an_entry_that_is_removed_twice_does_not_count_for_longer() -> None:
    """Guards against a grace period that starts again with each listing without the entry."""
    instances = listed("e1", "e2")
    instances.on_removed(1.0, "e2")
    instances.on_listing(5.0, ("e1",))
    assert instances.expire(1.0 + GRACE_S)
    assert len(instances) == 1
