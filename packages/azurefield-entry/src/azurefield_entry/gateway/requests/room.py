"""Room for the calls of running requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from logbook import Logger
from msgspec import Struct, field
from result import Err, Ok, Result

from azurefield.call_limit import CallLimit
from azurefield.failures import FailureKind, RequestFailure
from azurefield.routes import Route, ShardSet
from azurefield_entry.clock import now
from azurefield_entry.gateway import policies
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.requests.outcomes import refusal
from azurefield_entry.log_limit import LineLimit

if TYPE_CHECKING:
    from azurefield_entry.gateway.ports import GatewayRequest

log = Logger("gateway")


class RequestRoom(Struct, kw_only=True):
    """Refuses requests over many shards while those that run need too many calls together."""

    metrics: GatewayMetrics
    limit: CallLimit = field(default_factory=lambda: CallLimit(calls_max=policies.CALLS_MAX))
    lines: LineLimit = field(default_factory=lambda: LineLimit(lines_per_s=1.0))

    def take(self, request: GatewayRequest, route: Route) -> Result[int, RequestFailure]:
        """Take room for a request; return its calls, which have to be passed to ``limit.end``."""
        calls = len(route.services) if isinstance(route.target, ShardSet) else 1
        if self.limit.begin(calls):
            return Ok(calls)
        self.metrics.callers.limited.labels("calls").inc()
        if self.lines.allow(now()):
            log.warning(
                "Request id={} is refused: the running requests need {} calls already.",
                request.request_id,
                self.limit.calls,
            )
        return Err(refusal(FailureKind.QUEUE_FULL, "running requests hold too much memory"))
