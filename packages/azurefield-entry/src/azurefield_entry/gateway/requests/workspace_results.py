"""Counts how the requests of each workspace end, where its callers are connected."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from msgspec import Struct, field
from result import Err, Ok

from azurefield.failures import FailureKind, RequestFailure
from azurefield.merge import MergedParts
from azurefield.model import Outcome
from azurefield.served_ratio import ServedRatios
from azurefield_entry.clock import now
from azurefield_entry.gateway.metrics import GatewayMetrics

if TYPE_CHECKING:
    from azurefield.workspaces import Workspace
    from azurefield_entry.gateway.requests.running import RequestResult

# Workspaces that have label values of their own; all others share one.
LABELLED_MAX = 100
OTHER_LABEL = "other"


class WorkspaceResult(StrEnum):
    """How a request of a workspace ended; a refused one has not run."""

    SERVED = "served"
    OVER_QUOTA = "over_quota"
    REFUSED = "refused"
    FAILED = "failed"


class WorkspaceResults(Struct, kw_only=True):
    """Counts requests by workspace and result, with a bounded number of label values."""

    metrics: GatewayMetrics
    ratios: ServedRatios = field(default_factory=ServedRatios)
    labelled: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.metrics.worst_workspaces.set_function(lambda: self.ratios.worst(now()))

    def record(self, workspace: Workspace | None, result: RequestResult) -> None:
        """Count a request; nothing that lies beyond its workspace's quota is owed."""
        if workspace is None:
            return
        ended = result_of(result)
        self.metrics.workspace_requests.labels(self.label(workspace.name), ended).inc()
        if ended is not WorkspaceResult.OVER_QUOTA:
            self.ratios.record(now(), workspace.name, served=ended is WorkspaceResult.SERVED)

    def label(self, name: str) -> str:
        """Return the label value of a workspace."""
        if len(self.labelled) < LABELLED_MAX:
            self.labelled.add(name)
        return name if name in self.labelled else OTHER_LABEL


def result_of(result: RequestResult) -> WorkspaceResult:
    """Classify the result of a request."""
    match result:
        case Ok(answer) if isinstance(answer, MergedParts) or answer.success:
            return WorkspaceResult.SERVED
        case Err(RequestFailure(kind=FailureKind.QUOTA_EXCEEDED)):
            return WorkspaceResult.OVER_QUOTA
        case Err(RequestFailure(outcome=Outcome.NOT_RUN)):
            return WorkspaceResult.REFUSED
    return WorkspaceResult.FAILED
