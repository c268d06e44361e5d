"""Actions on the configuration store, and the events that answer them.

Exactly one event answers each action: one that its docstring names, or ``StoreFailed``.
"""

from __future__ import annotations

from msgspec import Struct

from azurefield.configuration.records import ChangeRecord, ConfigHead


class ReadHead(Struct, kw_only=True, frozen=True):
    """Read the head, not before ``at``; answered by ``HeadSeen`` or ``HeadMissing``."""

    at: float


class ReadRecord(Struct, kw_only=True, frozen=True):
    """Read a change record; answered by ``RecordFetched``."""

    change_id: str


class ReadDocument(Struct, kw_only=True, frozen=True):
    """Read a service document; answered by ``DocumentFetched``."""

    digest: str


class PutDocument(Struct, kw_only=True, frozen=True):
    """Create a document unless its key exists; answered by ``DocumentWritten`` in both cases."""

    digest: str
    text: str


class PutRecord(Struct, kw_only=True, frozen=True):
    """Create a change record unless its key exists; answered by ``RecordWritten`` in both cases."""

    record: ChangeRecord


class CompareAndSwapHead(Struct, kw_only=True, frozen=True):
    """Replace the head if its revision is the expected one, or create it if that is None.

    Answered by ``HeadWritten`` or ``HeadConflict``.
    """

    head: ConfigHead
    expected_revision: int | None


StoreAction = ReadHead | ReadRecord | ReadDocument | PutDocument | PutRecord | CompareAndSwapHead


class HeadSeen(Struct, kw_only=True, frozen=True):
    """The head as the store holds it."""

    version: int
    digest: str
    change_id: str
    revision: int

    @property
    def head(self) -> ConfigHead:
        """The stored value without its revision."""
        return ConfigHead(version=self.version, digest=self.digest, change_id=self.change_id)


class HeadMissing(Struct, kw_only=True, frozen=True):
    """The store answered that it has no head."""


class RecordFetched(Struct, kw_only=True, frozen=True):
    """A change record, or None if the store has none or it can't be decoded."""

    change_id: str
    record: ChangeRecord | None


class DocumentFetched(Struct, kw_only=True, frozen=True):
    """The text of a document, or None if the store has none."""

    digest: str
    text: str | None


class DocumentWritten(Struct, kw_only=True, frozen=True):
    """The document is in the store."""

    digest: str


class RecordWritten(Struct, kw_only=True, frozen=True):
    """The change record is in the store."""

    change_id: str


class HeadWritten(Struct, kw_only=True, frozen=True):
    """The head was replaced or created, and has this revision now."""

    revision: int


class HeadConflict(Struct, kw_only=True, frozen=True):
    """The head was not replaced because it has another revision than the expected one."""


class StoreFailed(Struct, kw_only=True, frozen=True):
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
