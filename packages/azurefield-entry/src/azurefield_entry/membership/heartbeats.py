"""Conversion between heartbeat frames and the heartbeats of the library."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from msgspec import Struct, field

from azurefield.membership import Heartbeat, InstanceState, KnownInstance
from azurefield_entry.peers.frames import HeartbeatFields, fields_dict
from azurefield_entry.peers.identity import Identity

if TYPE_CHECKING:
    from azurefield_entry.messages import ConfigurationChanged


class OwnReport(Struct, kw_only=True):
    """The state of this instance as its heartbeats report it, except for its ceilings."""

    identity: Identity
    state: InstanceState = InstanceState.LIVE
    version: int = 0
    digest: str = ""
    store_contact_at: float | None = None
    member_use: dict[str, dict[str, float]] = field(default_factory=dict)

    def on_configuration(self, changed: ConfigurationChanged) -> None:
        """Record the version and digest of the configuration in force."""
        self.version = changed.configuration.version
        self.digest = changed.digest

    def heartbeat_fields(
        self, now: float, sequence: int, ceilings: dict[str, int], known: dict[str, KnownInstance]
    ) -> dict[str, Any]:
        """Build the fields of one heartbeat frame."""
        age_s = None if self.store_contact_at is None else now - self.store_contact_at
        return fields_dict(
            HeartbeatFields(
                incarnation=self.identity.incarnation,
                sequence=sequence,
                peer_address=self.identity.peer_address,
                availability_zone=self.identity.availability_zone,
                state=self.state,
                version=self.version,
                digest=self.digest,
                store_age_ms=None if age_s is None else max(0, int(age_s * 1000)),
                known=known,
                ceilings=ceilings,
                member_use=self.member_use,
            )
        )


def to_heartbeat(instance: str, fields: HeartbeatFields) -> Heartbeat:
    """Convert the fields of a heartbeat frame from an instance."""
    return Heartbeat(
        instance=instance,
        incarnation=fields.incarnation,
        sequence=fields.sequence,
        peer_address=fields.peer_address,
        availability_zone=fields.availability_zone,
        state=fields.state,
        known=fields.known,
        ceilings=fields.ceilings,
    )
