"""Events and actions of ``ConfigAdoption``."""

from __future__ import annotations

from dataclasses import dataclass

from azurefield.configuration.records import ChangeRecord
from azurefield.configuration.store import StoreAction, StoreEvent
from azurefield.model import Configuration


@dataclass(slots=True, kw_only=True, frozen=True)
class PeerVersionSeen:
    """A peer's heartbeat names the version that it has in force."""

    instance: str
    version: int
    digest: str


@dataclass(slots=True, kw_only=True, frozen=True)
class PeerOffered:
    """A peer's answer to ``FetchFromPeer``; documents by digest."""

    instance: str
    record: ChangeRecord
    documents: dict[str, str]


@dataclass(slots=True, kw_only=True, frozen=True)
class PeerLost:
    """The link to a peer is down, so its version can't be fetched from it."""

    instance: str


@dataclass(slots=True, kw_only=True, frozen=True)
class StoreUnavailable:
    """A watch of the head failed; a failed action is reported by ``StoreFailed`` instead."""

    detail: str


AdoptionEvent = StoreEvent | PeerVersionSeen | PeerOffered | PeerLost | StoreUnavailable


@dataclass(slots=True, kw_only=True, frozen=True)
class FetchFromPeer:
    """Request a version from a peer; it answers with ``PeerOffered`` or not at all."""

    instance: str
    version: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Adopt:
    """Put a configuration in force; ``digest`` is that of its change record."""

    configuration: Configuration
    digest: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Rejected:
    """A fetched version was not adopted because its content is missing, invalid or altered."""

    version: int
    source: str
    problem: str


@dataclass(slots=True, kw_only=True, frozen=True)
class VersionConflict:
    """The store or a peer has another digest for the version in force, which is kept."""

    version: int
    source: str


AdoptionAction = StoreAction | FetchFromPeer | Adopt | Rejected | VersionConflict
