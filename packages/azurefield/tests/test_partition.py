from __future__ import annotations

from random import Random

import pytest

from azurefield.directory import Directory, RegisteredServer, RegisteredState
from azurefield.partition import (
    FAILED_SERVERS_MIN,
    FAILURE_AGE_MAX_S,
    PROBES_TO_RETURN_MAX,
    RECENT_S,
    RETURN_S,
    PartitionDetector,
    choose_probes,
)


@pytest.mark.parametrize(
    ("failures", "servers", "suspected"),
    [
        pytest.param([(0.0, "a"), (0.1, "b"), (0.2, "c")], 30, True, id="several-servers"),
        pytest.param([(0.0, "a"), (0.1, "a"), (0.2, "a")], 30, False, id="one-server"),
        pytest.param([(0.0, "a")], 1, True, id="the-only-server"),
        pytest.param([], 30, False, id="no-failure"),
        pytest.param([], 0, False, id="no-server-known"),
        pytest.param([(-FAILURE_AGE_MAX_S, "a"), (0.1, "b"), (0.2, "c")], 30, False, id="long-ago"),
    ],
)
def test_failed_connections_to_several_servers_lead_to_a_verification(
    failures: list[tuple[float, str]], servers: int, *, suspected: bool
) -> None:
    """Guards against a partition that is noticed late, and against checks for each crash."""
    detector = PartitionDetector()
    for at, server in failures:
        detector.on_open_failed(at, server)
    assert detector.suspected(0.2, servers) is suspected


def test_one_accepted_connection_ends_the_suspicion() -> None:
    """Guards against a service that is down as a whole and is taken for an own partition."""
    detector = PartitionDetector()
    for number in range(10):
        detector.on_open_failed(0.0, f"s{number}")
    detector.on_opened()
    assert not detector.suspected(0.0, 30)


def test_only_a_verification_begins_a_partition() -> None:
    """Guards against requests that are passed on because some servers are down."""
    detector = PartitionDetector()
    for number in range(FAILED_SERVERS_MIN):
        detector.on_open_failed(0.0, f"s{number}")
    assert not detector.on_verified(0.5, reached=True)
    assert not detector.partitioned
    assert not detector.suspected(0.5, 30), "the failures before it no longer count"
    assert detector.on_verified(1.0, reached=False)
    assert detector.partitioned
    assert detector.own_fraction(1.0) == 0.0


def begin(detector: PartitionDetector, at: float) -> None:
    assert detector.on_verified(at, reached=False)


def probes_until_end(detector: PartitionDetector, at: float) -> int:
    """Probe successfully until the partition ends; return how many probes that took."""
    count = 1
    while not detector.on_probed(at, reached=True):
        count += 1
    return count


def test_requests_return_gradually_after_a_partition() -> None:
    """Guards against a herd of connections when a partition ends."""
    detector = PartitionDetector()
    begin(detector, 0.0)
    assert not detector.on_probed(5.0, reached=False)
    assert probes_until_end(detector, 10.0) == 1
    assert detector.own_fraction(10.0) == 0.0
    assert detector.own_fraction(10.0 + RETURN_S / 2) == pytest.approx(0.5)
    assert detector.own_fraction(10.0 + RETURN_S) == 1.0
    assert PartitionDetector().own_fraction(0.0) == 1.0


def test_partitions_in_series_take_more_probes_to_end() -> None:
    """Guards against an instance that takes requests back in each gap of a flapping link."""
    detector = PartitionDetector()
    counts = []
    at = 0.0
    for _ in range(5):
        begin(detector, at)
        counts.append(probes_until_end(detector, at + 1.0))
        at += 2.0
    assert counts == [1, 2, PROBES_TO_RETURN_MAX, PROBES_TO_RETURN_MAX, PROBES_TO_RETURN_MAX]
    begin(detector, at + RECENT_S)
    assert probes_until_end(detector, at + RECENT_S) == 1


def test_a_failed_probe_starts_the_count_again() -> None:
    """Guards against a link that works for moments only."""
    detector = PartitionDetector()
    begin(detector, 0.0)
    probes_until_end(detector, 1.0)
    begin(detector, 2.0)
    assert not detector.on_probed(3.0, reached=True)
    assert not detector.on_probed(3.5, reached=False)
    assert not detector.on_probed(4.0, reached=True)
    assert detector.on_probed(4.5, reached=True)


@pytest.mark.parametrize(
    ("services", "count", "chosen_services"),
    [
        pytest.param({"a": 3, "b": 3, "c": 3}, 3, 3, id="one-of-each-service"),
        pytest.param({"a": 3}, 2, 1, id="a-single-service"),
        pytest.param({"a": 1}, 5, 1, id="fewer-servers-than-wanted"),
        pytest.param({}, 5, 0, id="no-server"),
    ],
)
def test_probes_go_to_servers_of_many_services(
    services: dict[str, int], count: int, chosen_services: int
) -> None:
    """Guards against a service that is down and is probed only."""
    directory = Directory()
    for service, number in services.items():
        for index in range(number):
            directory.on_entry(
                RegisteredServer(
                    server=f"{service}{index}",
                    service=service,
                    address="192.0.2.1:80",
                    availability_zone="one",
                    state=RegisteredState.LIVE,
                )
            )
    chosen = choose_probes(Random(1), directory, count)
    assert len(chosen) == len(set(chosen)) == min(count, sum(services.values()))
    assert len({server[0] for server in chosen}) == chosen_services
