"""State of the instance as ``front`` sees it: configuration, readiness and drain."""

from __future__ import annotations

from msgspec import Struct, field
from result import Err, Ok, Result

from azurefield.failures import FailureKind, RequestFailure
from azurefield.model import Configuration, Outcome

NOT_READY_RETRY_AFTER_S = 1.0


class FrontState(Struct, kw_only=True):
    """Decides whether the instance accepts requests.

    ``not_ready`` maps each part of the instance that is not ready to the reason.
    """

    configuration: Configuration | None = None
    not_ready: dict[str, str] = field(default_factory=dict)
    draining: bool = False

    def set_readiness(self, part: str, *, ready: bool, reason: str) -> None:
        """Record whether a part of the instance is ready."""
        if ready:
            self.not_ready.pop(part, None)
        else:
            self.not_ready[part] = reason

    def configuration_in_force(self) -> Result[Configuration, RequestFailure]:
        """Return the configuration in force, or a failure if the instance is not ready."""
        if self.configuration is None:
            return Err(not_ready("no configuration is in force yet"))
        if self.not_ready:
            reasons = (f"{part}: {reason}" for part, reason in sorted(self.not_ready.items()))
            return Err(not_ready("; ".join(reasons)))
        return Ok(self.configuration)

    def longest_deadline_s(self) -> float:
        """Return the longest deadline that a running request can have."""
        services = self.configuration.services.values() if self.configuration else ()
        longest_ms = max(
            (policy.max_deadline_ms for service in services for policy in service.kinds), default=0
        )
        return longest_ms / 1000


def not_ready(detail: str) -> RequestFailure:
    """Return the failure of a request that arrives while the instance is not ready."""
    return RequestFailure(
        kind=FailureKind.NOT_READY,
        outcome=Outcome.NOT_RUN,
        detail=detail,
        retry_after_s=NOT_READY_RETRY_AFTER_S,
    )
