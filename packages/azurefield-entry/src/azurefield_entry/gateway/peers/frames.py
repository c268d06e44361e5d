"""All frames of a link between two instances, by direction."""

from __future__ import annotations

import msgspec

from azurefield_entry.gateway.crashes.frames import CrashReportFrame
from azurefield_entry.gateway.peers.forward_frames import FromCoordinator, ToCoordinator
from azurefield_entry.gateway.quotas.frames import FromIssuer, ToIssuer


class Heartbeat(msgspec.Struct, tag="heartbeat", frozen=True, kw_only=True):
    """The other instance still works on the requests of this link."""


FromPeer = FromCoordinator | FromIssuer | Heartbeat
ToPeer = ToCoordinator | ToIssuer | CrashReportFrame
FROM_PEER = msgspec.msgpack.Decoder[FromPeer](FromPeer)
TO_PEER = msgspec.msgpack.Decoder[ToPeer](ToPeer)
