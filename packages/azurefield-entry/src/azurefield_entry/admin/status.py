"""The status that an instance reports of itself."""

from __future__ import annotations

from typing import Any

from msgspec import Struct, field

from azurefield_entry.messages import PeerInfo

FRONT_PART = "front"


class InstanceStatus(Struct, kw_only=True):
    """State of the instance; ``parts`` holds readiness per part and the reason if it is not ready.

    The instance is ready when a configuration is in force, every part is ready and no planned stop
    has begun. The front is not ready until it listens.
    """

    instance: str
    incarnation: str
    availability_zone: str
    version: int | None = None
    digest: str | None = None
    draining: bool = False
    parts: dict[str, tuple[bool, str]] = field(
        default_factory=lambda: {FRONT_PART: (False, "starting")}
    )
    peers: tuple[PeerInfo, ...] = ()

    @property
    def ready(self) -> bool:
        """Whether the instance may be sent requests."""
        return (
            self.version is not None
            and not self.draining
            and all(ready for ready, _ in self.parts.values())
        )

    @property
    def state(self) -> str:
        """``starting``, or ``live`` or ``leaving`` as in the platform's instance list."""
        if self.draining:
            return "leaving"
        return "live" if self.ready else "starting"

    def not_ready_reason(self) -> str:
        """Return why the instance is not ready."""
        reasons = [f"{part}: {reason}" for part, (ready, reason) in self.parts.items() if not ready]
        if self.version is None:
            reasons.insert(0, "no configuration is in force")
        if self.draining:
            reasons.insert(0, "a planned stop has begun")
        return "; ".join(reasons)

    def describe(self) -> dict[str, Any]:
        """Build the body of ``/v1/status``."""
        return {
            "instance": self.instance,
            "incarnation": self.incarnation,
            "availability_zone": self.availability_zone,
            "state": self.state,
            "ready": self.ready,
            "configuration": {"version": self.version, "digest": self.digest},
            "parts": {
                part: {"ready": ready, "reason": reason}
                for part, (ready, reason) in self.parts.items()
            },
            "peers": self.peers,
        }
