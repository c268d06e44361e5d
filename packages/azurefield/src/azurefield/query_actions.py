"""Actions that a query returns to its owner."""

from __future__ import annotations

from typing import Generic, TypeVar

from msgspec import Struct
from result import Result

from azurefield.failures import RequestFailure
from azurefield.model import Snapshot

R = TypeVar("R")


class SendLeafCall(Struct, kw_only=True, frozen=True):
    """Send one call; its answer or failure must be passed back with the same ``call_id``.

    :param start_by: latest time until which the call may wait for quota of a server with a limit
    """

    call_id: str
    leaf: str
    server: str
    snapshot: Snapshot
    deadline: float
    start_by: float = float("inf")


class CancelLeafCall(Struct, kw_only=True, frozen=True):
    """Cancel a pending call and close its connection; later events of the call are ignored."""

    call_id: str
    server: str


class WakeAt(Struct, kw_only=True, frozen=True):
    """Call ``on_tick`` at this time; it replaces an earlier wake-up."""

    at: float


class Finished(Struct, Generic[R], kw_only=True, frozen=True):
    """The query ended; it returns no further actions."""

    result: Result[R, RequestFailure]


Action = SendLeafCall | CancelLeafCall | WakeAt | Finished[R]
