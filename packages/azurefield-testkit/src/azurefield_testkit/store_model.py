"""Model of the key-value service that holds the configuration, with injected faults."""

from __future__ import annotations

from dataclasses import dataclass, field

from azurefield.configuration import (
    HEAD_KEY,
    ChangeRecord,
    CompareAndSwapHead,
    ConfigHead,
    DocumentFetched,
    DocumentWritten,
    HeadConflict,
    HeadMissing,
    HeadSeen,
    HeadWritten,
    PutDocument,
    PutRecord,
    ReadDocument,
    ReadHead,
    ReadRecord,
    RecordFetched,
    RecordWritten,
    StoreAction,
    StoreEvent,
    StoreFailed,
    decode_head,
    decode_record,
    document_key,
    encode,
    record_key,
)
from azurefield.model import ServiceConfig


def document(name: str, queue_limit: int) -> str:
    """Encode a minimal service document; the queue limit makes documents differ."""
    return encode(
        ServiceConfig(name=name, backend_servers=(), members=(), kinds=(), queue_limit=queue_limit)
    )


@dataclass(slots=True, kw_only=True)
class StoreModel:
    """The configuration keys with their values and revisions.

    A restore of one of the ``backups`` replaces ``values`` only, so that no revision of the head is
    used twice. All other keys are created once and keep their first revision. ``late_writes`` are
    sent but not applied yet.
    """

    values: dict[str, tuple[str, int]] = field(default_factory=dict)
    backups: list[dict[str, tuple[str, int]]] = field(default_factory=lambda: [{}])
    head_revisions: int = 0
    down: bool = False
    late_writes: list[StoreAction] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)

    def perform(self, action: StoreAction, fault: str) -> StoreEvent:
        """Apply an action with a fault, and return the event that the caller observes.

        :param fault: ``unavailable`` or ``dropped`` (not applied), ``lost`` (applied, but the reply
            is lost), ``late`` (applied later), or any other word for no fault
        """
        if self.down or fault == "unavailable":
            return StoreFailed(action=action, may_be_applied=False, detail=fault)
        if fault == "lost":
            self.apply(action)
        if fault == "late":
            self.late_writes.append(action)
        if fault in ("lost", "late", "dropped"):
            return StoreFailed(action=action, may_be_applied=True, detail=fault)
        return self.apply(action)

    def apply(self, action: StoreAction) -> StoreEvent:
        """Apply an action immediately and without a fault."""
        match action:
            case ReadHead():
                return self.read_head()
            case ReadRecord(change_id=change_id):
                return RecordFetched(change_id=change_id, record=self.record(change_id))
            case ReadDocument(digest=digest):
                found = self.values.get(document_key(digest))
                return DocumentFetched(digest=digest, text=None if found is None else found[0])
            case PutDocument(digest=digest, text=text):
                self.create(document_key(digest), text)
                return DocumentWritten(digest=digest)
            case PutRecord(record=record):
                self.create(record_key(record.change_id), encode(record))
                return RecordWritten(change_id=record.change_id)
            case CompareAndSwapHead():
                return self.swap_head(action)

    def create(self, key: str, value: str) -> None:
        """Write a key unless it already exists."""
        self.values.setdefault(key, (value, 1))

    def write_head(self, head: ConfigHead) -> int:
        """Write the head under the next revision."""
        self.head_revisions += 1
        self.values[HEAD_KEY] = (encode(head), self.head_revisions)
        return self.head_revisions

    def read_head(self) -> HeadSeen | HeadMissing:
        """Read the head."""
        if HEAD_KEY not in self.values:
            return HeadMissing()
        text, revision = self.values[HEAD_KEY]
        head = decode_head(text).unwrap()
        return HeadSeen(
            version=head.version, digest=head.digest, change_id=head.change_id, revision=revision
        )

    def version(self) -> int:
        """Return the version of the head, 0 if there is none."""
        head = self.read_head()
        return head.version if isinstance(head, HeadSeen) else 0

    def record(self, change_id: str) -> ChangeRecord | None:
        """Read a change record."""
        found = self.values.get(record_key(change_id))
        return None if found is None else decode_record(found[0]).unwrap()

    def swap_head(self, action: CompareAndSwapHead) -> HeadWritten | HeadConflict:
        """Compare and swap the head; record a violation if its record or documents are missing."""
        found = self.values.get(HEAD_KEY)
        if action.expected_revision != (None if found is None else found[1]):
            return HeadConflict()
        record = self.record(action.head.change_id)
        if record is None or record.head != action.head:
            self.violations.append("head written before its change record")
        elif any(document_key(digest) not in self.values for digest in record.services.values()):
            self.violations.append("head written before its documents")
        return HeadWritten(revision=self.write_head(action.head))

    def chain(self) -> list[str]:
        """List the identifiers of all accepted changes, newest first."""
        head = self.read_head()
        change_id = head.change_id if isinstance(head, HeadSeen) else None
        found: list[str] = []
        while change_id is not None and (record := self.record(change_id)) is not None:
            found.append(change_id)
            change_id = record.previous_change_id
        return found

    def deliver_late(self) -> None:
        """Apply all late writes."""
        while self.late_writes:
            self.apply(self.late_writes.pop(0))
