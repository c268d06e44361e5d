"""How the memory and the descriptors of a gateway are divided."""

from __future__ import annotations

import os
import sys

import pytest
from msgspec.structs import replace

from azurefield_entry.callers.load import CallerLoad
from azurefield_entry.callers.memory_shares import BYTES_PER_MB, MemoryShares
from azurefield_entry.early_listener import FILE_DESCRIPTORS, backlog_for
from azurefield_entry.gateway.settings import GatewaySettings

SETTINGS = GatewaySettings(
    instance="n1",
    availability_zone="z",
    callers_address="127.0.0.1:1",
    readiness_address="127.0.0.1:2",
    admin_address=None,
    store_address="127.0.0.1:3",
    further_calls_ratio=0.2,
    further_calls_allowance=0.0,
    further_calls_window_s=10.0,
    stop_grace_s=6.0,
)
# The smallest limit for which the sum is stated; sites have 160 MB and more.
SMALLEST_MB = 120


@pytest.mark.parametrize("memory_mb", [SMALLEST_MB, 160, 200, 300, 552, 4000, 64_000])
@pytest.mark.parametrize("body_bytes_max", [1, 1_048_576, 100_000_000, sys.maxsize])
def test_all_that_callers_can_make_a_process_hold_is_within_its_memory(
    memory_mb: int, body_bytes_max: int
) -> None:
    """Guards against a share that grows, or one that nothing adds up.

    The limits of a configuration change none but the room for bodies: heads are counted there,
    however long they may be.
    """
    shares = MemoryShares(memory_bytes=memory_mb * BYTES_PER_MB)
    assert shares.sum_bytes <= shares.memory_bytes
    load = CallerLoad()
    load.set_limits(
        memory_bytes=shares.bodies_bytes,
        memory_max_bytes=shares.bodies_max_bytes,
        connections_max=shares.connections_max,
        large_buffers_max=shares.large_buffers_max,
        body_bytes_max=body_bytes_max,
    )
    assert load.memory.limit_bytes <= shares.bodies_max_bytes
    assert load.connections.limit == shares.connections_max
    assert load.large_buffers.limit == shares.large_buffers_max


@pytest.mark.parametrize(
    ("memory_mb", "descriptors_max", "bodies_bytes", "connections_max", "to_servers"),
    [
        pytest.param(552.0, 4100.0, 92_000_000, 1950, 975, id="half-of-the-sockets"),
        pytest.param(300.0, 4100.0, 50_000_000, 1499, 975, id="the-memory-of-a-site"),
        pytest.param(120.0, 4100.0, 20_000_000, 282, 975, id="a-small-memory"),
        pytest.param(30.0, 600.0, 8 * 1024 * 1024, 67, 100, id="one-answer-has-room"),
        pytest.param(300.0, 100.0, 50_000_000, 1, 0, id="fewer-descriptors-than-files-may-use"),
    ],
)
def test_the_limits_follow_from_memory_and_descriptors(
    memory_mb: float,
    descriptors_max: float,
    bodies_bytes: int,
    connections_max: int,
    to_servers: int,
) -> None:
    """Guards against limits that leave no room for servers, the store and other instances."""
    settings = replace(SETTINGS, memory_mb=memory_mb, descriptors_max=descriptors_max)
    assert settings.memory_shares.bodies_bytes == bodies_bytes
    assert settings.caller_connections_max == connections_max
    assert settings.server_connections_max == to_servers


@pytest.mark.parametrize("unset", [None, 0.0])
def test_the_limits_of_the_machine_apply_where_the_settings_name_none(unset: float | None) -> None:
    """Guards against no limit at all, or one of nothing."""
    settings = replace(SETTINGS, memory_mb=unset, descriptors_max=unset)
    machine_bytes = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    assert 0 < settings.memory_shares.bodies_bytes < machine_bytes
    assert 0 < settings.caller_connections_max < machine_bytes // 16_384


@pytest.mark.parametrize("descriptors_max", [600.0, 1024.0, 4100.0, 8192.0, 100_000.0])
@pytest.mark.parametrize("memory_mb", [SMALLEST_MB, 552.0, 64_000.0])
def test_all_sockets_together_are_within_the_descriptors(
    memory_mb: float, descriptors_max: float
) -> None:
    """Guards against shares of sockets that leave none for the store and other instances."""
    settings = replace(SETTINGS, memory_mb=memory_mb, descriptors_max=descriptors_max)
    used = settings.caller_connections_max + settings.server_connections_max
    left = descriptors_max - FILE_DESCRIPTORS - used - backlog_for(descriptors_max)
    assert left >= (descriptors_max - FILE_DESCRIPTORS) // 8
