"""Actions that a query returns to its owner."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

from result import Result

from azurefield.failures import RequestFailure
from azurefield.model import Snapshot

R = TypeVar("R")


@dataclass(slots=True, kw_only=True, frozen=True)
class SendLeafCall:
    """Send one call; its answer or failure must be passed back with the same ``call_id``.

    :param start_by: latest time until which the call may wait for quota of a server with a limit
    """

    call_id: str
    leaf: str
    server: str
    snapshot: Snapshot
    deadline: float
    start_by: float = float("inf")


@dataclass(slots=True, kw_only=True, frozen=True)
class CancelLeafCall:
    """Cancel a pending call and close its connection; later events of the call are ignored."""

    call_id: str
    server: str


@dataclass(slots=True, kw_only=True, frozen=True)
class WakeAt:
    """Call ``on_tick`` at this time; it replaces an earlier wake-up."""

    at: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Finished(Generic[R]):
    """The query ended; it returns no further actions."""

    result: Result[R, RequestFailure]


Action = SendLeafCall | CancelLeafCall | WakeAt | Finished[R]
