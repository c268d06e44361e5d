"""Actions on the configuration store, and the events that answer them.

Exactly one event answers each action: one that its docstring names, or ``StoreFailed``.
"""

from __future__ import annotations

from dataclasses import dataclass

from azurefield.configuration.records import ChangeRecord, ConfigHead


@dataclass(slots=True, kw_only=True, frozen=True)
class ReadHead:
    """Read the head, not before ``at``; answered by ``HeadSeen`` or ``HeadMissing``."""

    at: float


@dataclass(slots=True, kw_only=True, frozen=True)
class ReadRecord:
    """Read a change record; answered by ``RecordFetched``."""

    change_id: str


@dataclass(slots=True, kw_only=True, frozen=True)
class ReadDocument:
    """Read a service document; answered by ``DocumentFetched``."""

    digest: str


@dataclass(slots=True, kw_only=True, frozen=True)
class PutDocument:
    """Create a document unless its key exists; answered by ``DocumentWritten`` in both cases."""

    digest: str
    text: str


@dataclass(slots=True, kw_only=True, frozen=True)
class PutRecord:
    """Create a change record unless its key exists; answered by ``RecordWritten`` in both cases."""

    record: ChangeRecord


@dataclass(slots=True, kw_only=True, frozen=True)
class CompareAndSwapHead:
    """Replace the head if its revision is the expected one, or create it if that is None.

    Answered by ``HeadWritten`` or ``HeadConflict``.
    """

    head: ConfigHead
    expected_revision: int | None


StoreAction = ReadHead | ReadRecord | ReadDocument | PutDocument | PutRecord | CompareAndSwapHead


@dataclass(slots=True, kw_only=True, frozen=True)
class HeadSeen:
    """The head as the store holds it."""

    version: int
    digest: str
    change_id: str
    revision: int

    @property
    def head(self) -> ConfigHead:
        """The stored value without its revision."""
        return ConfigHead(version=self.version, digest=self.digest, change_id=self.change_id)


@dataclass(slots=True, kw_only=True, frozen=True)
class HeadMissing:
    """The store answered that it has no head."""


@dataclass(slots=True, kw_only=True, frozen=True)
class RecordFetched:
    """A change record, or None if the store has none or it can't be decoded."""

    change_id: str
    record: ChangeRecord | None


@dataclass(slots=True, kw_only=True, frozen=True)
class DocumentFetched:
    """The text of a document, or None if the store has none."""

    digest: str
    text: str | None


@dataclass(slots=True, kw_only=True, frozen=True)
class DocumentWritten:
    """The document is in the store."""

    digest: str


@dataclass(slots=True, kw_only=True, frozen=True)
class RecordWritten:
    """The change record is in the store."""

    change_id: str


@dataclass(slots=True, kw_only=True, frozen=True)
class HeadWritten:
    """The head was replaced or created, and has this revision now."""

    revision: int


@dataclass(slots=True, kw_only=True, frozen=True)
class HeadConflict:
    """The head was not replaced because it has another revision than the expected one."""


@dataclass(slots=True, kw_only=True, frozen=True)
class StoreFailed:
    """An action failed; ``may_be_applied`` is False only if it is certain that it had no effect."""

    action: StoreAction
    may_be_applied: bool
    detail: str


StoreEvent = (
    HeadSeen
    | HeadMissing
    | RecordFetched
    | DocumentFetched
    | DocumentWritten
    | RecordWritten
    | HeadWritten
    | HeadConflict
    | StoreFailed
)
