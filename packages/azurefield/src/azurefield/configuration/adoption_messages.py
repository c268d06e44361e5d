"""Events and actions of ``ConfigAdoption``."""

from __future__ import annotations

from msgspec import Struct

from azurefield.configuration.records import ChangeRecord
from azurefield.configuration.store import StoreAction, StoreEvent
from azurefield.model import Configuration


class PeerVersionSeen(Struct, kw_only=True, frozen=True):
    """A peer's heartbeat names the version that it has in force."""

    instance: str
    version: int
    digest: str


class PeerOffered(Struct, kw_only=True, frozen=True):
    """A peer's answer to ``FetchFromPeer``; documents by digest."""

    instance: str
    record: ChangeRecord
    documents: dict[str, str]


class PeerLost(Struct, kw_only=True, frozen=True):
    """The link to a peer is down, so its version can't be fetched from it."""

    instance: str


class StoreUnavailable(Struct, kw_only=True, frozen=True):
    """A watch of the head failed; a failed action is reported by ``StoreFailed`` instead."""

    detail: str


AdoptionEvent = StoreEvent | PeerVersionSeen | PeerOffered | PeerLost | StoreUnavailable


class FetchFromPeer(Struct, kw_only=True, frozen=True):
    """Request a version from a peer; it answers with ``PeerOffered`` or not at all."""

    instance: str
    version: int


class Adopt(Struct, kw_only=True, frozen=True):
    """Put a configuration in force; ``digest`` is that of its change record."""

    configuration: Configuration
    digest: str


class Rejected(Struct, kw_only=True, frozen=True):
    """A fetched version was not adopted because its content is missing, invalid or altered."""

    version: int
    source: str
    problem: str


class VersionConflict(Struct, kw_only=True, frozen=True):
    """The store or a peer has another digest for the version in force, which is kept."""

    version: int
    source: str


AdoptionAction = StoreAction | FetchFromPeer | Adopt | Rejected | VersionConflict
