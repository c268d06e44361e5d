"""Executes the store actions of the configuration state machines on the key-value service."""

from __future__ import annotations

from msgspec import Struct
from result import Err, Ok

from azurefield.configuration import (
    HEAD_KEY,
    CompareAndSwapHead,
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
from azurefield_platform.failures import (
    KeyNotFound,
    ReadFailure,
    ReplyLost,
    RevisionConflict,
    WriteFailure,
)
from azurefield_platform.keyvalue import KeyValueStore, StoredValue

HeadEvent = HeadSeen | HeadMissing | StoreFailed


class ConfigurationStore(Struct, kw_only=True):
    """Access to the configuration keys of the key-value service."""

    client: KeyValueStore

    async def perform(self, action: StoreAction) -> StoreEvent:
        """Execute one action now and return its answer; the caller waits for ``ReadHead.at``."""
        match action:
            case ReadHead():
                return await self.read_head(action)
            case ReadRecord():
                return await self.read_record(action)
            case ReadDocument():
                return await self.read_document(action)
            case PutDocument():
                return await self.put_document(action)
            case PutRecord():
                return await self.put_record(action)
            case CompareAndSwapHead():
                return await self.swap_head(action)

    async def read_head(self, action: ReadHead) -> HeadEvent:
        """Read and decode the head."""
        match await self.client.get(HEAD_KEY):
            case Ok(stored):
                return decode_stored_head(action, stored)
            case Err(failure):
                return head_read_failure(action, failure)

    async def watch_head(self, after: int, wait_ms: int) -> HeadEvent | None:
        """Wait until the head has another revision than ``after``.

        :return: the new head, or None if nothing changed within ``wait_ms``
        """
        match await self.client.watch(HEAD_KEY, after, wait_ms):
            case Ok(stored):
                return None if stored is None else decode_stored_head(ReadHead(at=0.0), stored)
            case Err(failure):
                return head_read_failure(ReadHead(at=0.0), failure)

    async def read_record(self, action: ReadRecord) -> StoreEvent:
        """Read a change record; one that can't be decoded is reported as missing."""
        match await self.client.get(record_key(action.change_id)):
            case Ok(stored):
                record = decode_record(stored.value).ok()
                return RecordFetched(change_id=action.change_id, record=record)
            case Err(KeyNotFound()):
                return RecordFetched(change_id=action.change_id, record=None)
            case Err(failure):
                return store_failed(action, failure)

    async def read_document(self, action: ReadDocument) -> StoreEvent:
        """Read the text of a document."""
        match await self.client.get(document_key(action.digest)):
            case Ok(stored):
                return DocumentFetched(digest=action.digest, text=stored.value)
            case Err(KeyNotFound()):
                return DocumentFetched(digest=action.digest, text=None)
            case Err(failure):
                return store_failed(action, failure)

    async def put_document(self, action: PutDocument) -> StoreEvent:
        """Create a document; an existing one has the same content, since its key is its digest."""
        match await self.client.put(document_key(action.digest), action.text, None):
            case Ok(_) | Err(RevisionConflict()):
                return DocumentWritten(digest=action.digest)
            case Err(failure):
                return store_failed(action, failure)

    async def put_record(self, action: PutRecord) -> StoreEvent:
        """Create a change record; an existing one was written by an earlier attempt."""
        change_id = action.record.change_id
        match await self.client.put(record_key(change_id), encode(action.record), None):
            case Ok(_) | Err(RevisionConflict()):
                return RecordWritten(change_id=change_id)
            case Err(failure):
                return store_failed(action, failure)

    async def swap_head(self, action: CompareAndSwapHead) -> StoreEvent:
        """Replace the head if its revision is the expected one."""
        match await self.client.put(HEAD_KEY, encode(action.head), action.expected_revision):
            case Ok(revision):
                return HeadWritten(revision=revision)
            case Err(RevisionConflict()):
                return HeadConflict()
            case Err(failure):
                return store_failed(action, failure)


def head_read_failure(action: ReadHead, failure: ReadFailure) -> HeadEvent:
    """Distinguish a missing head from one that could not be read."""
    if isinstance(failure, KeyNotFound):
        return HeadMissing()
    return store_failed(action, failure)


def decode_stored_head(action: ReadHead, stored: StoredValue) -> HeadEvent:
    """Decode a stored head; one that can't be decoded is a failure, not a missing head."""
    match decode_head(stored.value):
        case Err(failure):
            detail = f"{failure.what}: {failure.problem}"
            return StoreFailed(action=action, may_be_applied=False, detail=detail)
        case Ok(head):
            return HeadSeen(
                version=head.version,
                digest=head.digest,
                change_id=head.change_id,
                revision=stored.revision,
            )


def store_failed(action: StoreAction, failure: ReadFailure | WriteFailure) -> StoreFailed:
    """Build the event that reports a failed call to a state machine."""
    detail = getattr(failure, "detail", type(failure).__name__)
    may_be_applied = isinstance(failure, ReplyLost)
    return StoreFailed(action=action, may_be_applied=may_be_applied, detail=detail)
