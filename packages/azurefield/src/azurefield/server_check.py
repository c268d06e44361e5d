"""Whether a backend server is down, judged by new connections to it and to other servers.

A server that can't be reached may be down, or this instance may be partitioned from all servers.
Only a new connection to another server tells these apart: open connections may live on in a
partition while new ones are refused.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from msgspec import Struct

from azurefield.directory import RegisteredState

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence
    from random import Random

    from azurefield.directory import Directory

# Consecutive failed rounds before a server counts as down. The first one alone could fall into the
# last moment of a partition.
ROUNDS = 2
ROUND_INTERVAL_S = 0.1
CONTROLS_MAX = 3


class ServerState(StrEnum):
    """The state of a checked server; ``UNKNOWN`` if no other server could be reached either."""

    UP = "up"
    DOWN = "down"
    UNKNOWN = "unknown"


class CheckRound(Struct, kw_only=True, frozen=True):
    """One round of connections.

    :param reached: whether the checked server accepted one
    :param control_reached: whether any other server did, at the same time or right after
    """

    reached: bool
    control_reached: bool


def judge(rounds: Sequence[CheckRound]) -> ServerState | None:
    """Return the state of the checked server; None if another round is needed.

    >>> judge([CheckRound(reached=False, control_reached=True)] * 2)
    <ServerState.DOWN: 'down'>
    """
    if not rounds:
        return None
    if rounds[-1].reached:
        return ServerState.UP
    if not rounds[-1].control_reached:
        return ServerState.UNKNOWN
    return ServerState.DOWN if len(rounds) >= ROUNDS else None


def choose_controls(
    random: Random, directory: Directory, *, avoid: Collection[str], services: Collection[str]
) -> list[str]:
    """Choose servers to which connections are opened for comparison.

    :param avoid: servers that may be down themselves
    :param services: services whose servers are chosen only if there are no others
    """
    listed = [
        entry
        for entry in directory.servers.values()
        if entry.state is RegisteredState.LIVE and entry.server not in avoid
    ]
    random.shuffle(listed)
    listed.sort(key=lambda entry: entry.service in services)
    return [entry.server for entry in listed[:CONTROLS_MAX]]
