"""The service ``edge``: refuses requests of callers at once while this process is too busy."""

from __future__ import annotations

import asyncio
from time import process_time
from typing import TYPE_CHECKING

from logbook import Logger
from msgspec import Struct, field

from azurefield.edge_admission import (
    TICK_INTERVAL_S,
    EdgeAdmission,
    EdgeRefusal,
    EdgeRefusalReason,
)
from azurefield.failures import FailureKind, RequestFailure
from azurefield.model import Outcome
from azurefield.sharing import RequestClass
from azurefield_entry.clock import now
from azurefield_entry.gateway.messages import RouteTableChanged, Tick
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.kernel import Stop, send_every
from azurefield_entry.log_limit import LineLimit

if TYPE_CHECKING:
    from azurefield.routes import Route
    from azurefield_entry.gateway.ports import GatewayRequest
    from azurefield_entry.kernel import Kernel, Mailbox

# Bounds the lines of refused requests, which a greedy workspace sends in any number.
REFUSED_LINES_PER_S = 5.0
DETAILS = {
    EdgeRefusalReason.SHARE: "the instance is busy, and the workspace's part is used up",
    EdgeRefusalReason.LATE: "the instance is too busy to answer in time",
}
log = Logger("edge")


class EdgeService(Struct, kw_only=True):
    """Decides on the requests of callers that have a workspace, before anything of them runs.

    It follows the event loop only while the configuration has workspaces.

    :param ticking: sends the ticks; None while the configuration has no workspaces
    """

    metrics: GatewayMetrics
    admission: EdgeAdmission = field(default_factory=EdgeAdmission)
    ticking: asyncio.Task[None] | None = None
    busy_lines: LineLimit = field(default_factory=lambda: LineLimit(lines_per_s=1.0))
    refused_lines: LineLimit = field(
        default_factory=lambda: LineLimit(lines_per_s=REFUSED_LINES_PER_S)
    )

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:  # noqa: ARG002
        """Follow the event loop until ``Stop``."""
        while True:
            match await mailbox.receive():
                case RouteTableChanged(table=table):
                    self.set_active(mailbox, active=table.workspaces is not None)
                case Tick() if self.ticking is not None:
                    self.on_tick(now(), process_time())
                case Stop():
                    break
        self.set_active(mailbox, active=False)

    def set_active(self, mailbox: Mailbox, *, active: bool) -> None:
        """Begin or end to follow the event loop."""
        if active and self.ticking is None:
            self.ticking = asyncio.create_task(send_every(mailbox, Tick(), TICK_INTERVAL_S))
        elif not active and self.ticking is not None:
            self.ticking.cancel()
            self.ticking = None
            self.admission = EdgeAdmission()

    def on_tick(self, ticked_at: float, used_s: float) -> None:
        """Divide the room for requests anew."""
        limited = self.admission.limiting
        self.admission.on_tick(ticked_at, used_s)
        if self.admission.limiting and not limited and self.busy_lines.allow(ticked_at):
            log.info(
                "Busy: {:.0f} requests/s of callers are accepted, shared by workspaces.",
                self.admission.shared.capacity_per_s,
            )

    def refuse(self, request: GatewayRequest, route: Route) -> RequestFailure | None:
        """Decide on a request of a caller.

        :return: why it is refused; None if it is accepted
        """
        if request.workspace is None:
            return None
        request_class = RequestClass.of(route.priority, request.workspace)
        deadline = request.deadline_on(route.timeout_s)
        refused = self.admission.refuse(now(), request_class, deadline)
        if refused is None:
            return None
        self.metrics.edge_refusals.labels(refused.reason).inc()
        self.log_refused(request, route, refused)
        return busy_failure(refused.reason, refused.retry_after_s)

    def preview(self, request: GatewayRequest, route: Route) -> RequestFailure | None:
        """Return why a request would be refused now; counts and logs nothing.

        :return: None if it would be accepted
        """
        if request.workspace is None:
            return None
        request_class = RequestClass.of(route.priority, request.workspace)
        deadline = request.deadline_on(route.timeout_s)
        reason = self.admission.reason_to_refuse(now(), request_class, deadline)
        return None if reason is None else busy_failure(reason)

    def log_refused(self, request: GatewayRequest, route: Route, refused: EdgeRefusal) -> None:
        """Log a refused request; a flood of them gets few lines."""
        if self.refused_lines.allow(now()):
            log.info(
                "Request id={} route={} workspace={} is refused while busy: {}, late_ms={:.0f}"
                " retry_after_ms={:.0f}.",
                request.request_id,
                route.name,
                request.workspace_name,
                refused.reason,
                refused.late_s * 1000,
                refused.retry_after_s * 1000,
            )


def busy_failure(reason: EdgeRefusalReason, retry_after_s: float | None = None) -> RequestFailure:
    """Build the failure of a request that is refused while this process is busy."""
    return RequestFailure(
        kind=FailureKind.QUEUE_FULL,
        outcome=Outcome.NOT_RUN,
        detail=DETAILS[reason],
        retry_after_s=retry_after_s,
    )
