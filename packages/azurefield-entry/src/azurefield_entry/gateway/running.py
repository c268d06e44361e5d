"""A request that has not ended, with its calls and what the log tells about it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from result import Result

from azurefield.failures import RequestFailure
from azurefield.merge import MergedParts
from azurefield.query import FanOut
from azurefield.routes import Route
from azurefield_entry.gateway.ports import GatewayRequest, OpaqueAnswer

if TYPE_CHECKING:
    from collections.abc import Callable


# The log of a request names at most this many of its calls.
CALLS_SHOWN_MAX = 40


@dataclass(slots=True, kw_only=True)
class ActiveCall:
    """A call whose task runs; ``sent`` once it has a connection."""

    task: asyncio.Task[None]
    sent: bool = False


@dataclass(slots=True, kw_only=True)
class RunningRequest:
    """A request under way.

    ``fan_out`` is one over opaque answers or over parts; both are driven alike. ``digest`` names
    the request whatever its identity, ``lost`` the servers whose connections broke.
    """

    request: GatewayRequest
    route: Route
    version: int
    digest: str
    fan_out: FanOut[Any, Any]
    ended: asyncio.Future[Result[OpaqueAnswer | MergedParts, RequestFailure]]
    calls: list[str] = field(default_factory=list)
    lost: set[str] = field(default_factory=set)
    wake_at: float | None = None
    wake_up: asyncio.TimerHandle | None = None

    def set_wake_up(self, at: float, wake: Callable[[RunningRequest], None]) -> None:
        """Set or replace the wake-up."""
        if self.wake_at == at:
            return
        self.clear_wake_up()
        self.wake_at = at
        self.wake_up = asyncio.get_running_loop().call_at(at, wake, self)

    def clear_wake_up(self) -> None:
        """Cancel the wake-up."""
        if self.wake_up is not None:
            self.wake_up.cancel()
        self.wake_up = self.wake_at = None

    def note_call(self, server: str, result: str, elapsed_s: float) -> None:
        """Keep the end of a call for the log."""
        if len(self.calls) < CALLS_SHOWN_MAX:
            self.calls.append(f"{server}:{result}:{elapsed_s * 1000:.0f}")
