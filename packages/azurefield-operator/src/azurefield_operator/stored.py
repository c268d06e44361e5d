"""Reads the configuration in force and the chain of changes from the store."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from azurefield.configuration import (
    ChangeRecord,
    ConfigHead,
    DocumentFetched,
    HeadMissing,
    HeadSeen,
    ReadDocument,
    ReadHead,
    ReadRecord,
    RecordFetched,
    StoreEvent,
    StoreFailed,
    decode_configuration,
)
from azurefield.model import Configuration
from azurefield_operator.outcome import CommandFailure, unavailable, unreadable

if TYPE_CHECKING:
    from azurefield_platform.configuration_store import ConfigurationStore

CONCURRENT_READS_MAX = 8


@dataclass(slots=True, kw_only=True, frozen=True)
class StoredConfiguration:
    """The accepted configuration with its change record.

    It has version 0 and no record if no change has been accepted yet.
    """

    configuration: Configuration
    record: ChangeRecord | None


@dataclass(slots=True, kw_only=True, frozen=True)
class AuditTrail:
    """Accepted changes, newest first; ``gap`` is the change whose record is missing."""

    records: list[ChangeRecord]
    gap: str | None = None


async def read_configuration(
    store: ConfigurationStore,
) -> Result[StoredConfiguration, CommandFailure]:
    """Read and check the configuration that the head names."""
    match await read_head(store):
        case Err(failure):
            return Err(failure)
        case Ok(None):
            return Ok(StoredConfiguration(configuration=Configuration(version=0), record=None))
        case Ok(head):
            pass
    assert head is not None
    match await store.perform(ReadRecord(change_id=head.change_id)):
        case RecordFetched(record=ChangeRecord() as record) if record.head == head:
            pass
        case RecordFetched():
            return Err(
                unreadable(f"change record {head.change_id} is missing or differs from the head")
            )
        case event:
            return Err(read_failure(event))
    match await read_documents(store, record):
        case Err(failure):
            return Err(failure)
        case Ok(documents):
            pass
    match decode_configuration(record, documents):
        case Err(problem):
            return Err(unreadable(f"{problem.what}: {problem.problem}"))
        case Ok(configuration):
            return Ok(StoredConfiguration(configuration=configuration, record=record))


async def read_head(store: ConfigurationStore) -> Result[ConfigHead | None, CommandFailure]:
    """Read the head; None if no change has been accepted yet."""
    match await store.perform(ReadHead(at=0.0)):
        case HeadSeen() as seen:
            return Ok(seen.head)
        case HeadMissing():
            return Ok(None)
        case event:
            return Err(read_failure(event))


async def read_documents(
    store: ConfigurationStore, record: ChangeRecord
) -> Result[dict[str, str], CommandFailure]:
    """Read the documents of a change, several at a time."""
    limit = asyncio.Semaphore(CONCURRENT_READS_MAX)

    async def read(digest: str) -> StoreEvent:
        async with limit:
            return await store.perform(ReadDocument(digest=digest))

    documents: dict[str, str] = {}
    for event in await asyncio.gather(*map(read, sorted(set(record.services.values())))):
        match event:
            case DocumentFetched(digest=digest, text=str() as text):
                documents[digest] = text
            case DocumentFetched(digest=digest):
                return Err(unreadable(f"service document {digest} is missing"))
            case _:
                return Err(read_failure(event))
    return Ok(documents)


async def read_audit_trail(
    store: ConfigurationStore, limit: int
) -> Result[AuditTrail, CommandFailure]:
    """Read the chain of change records, beginning at the head.

    :param limit: how many records to read at most
    """
    match await read_head(store):
        case Err(failure):
            return Err(failure)
        case Ok(head):
            change_id = None if head is None else head.change_id
    records: list[ChangeRecord] = []
    while change_id is not None and len(records) < limit:
        match await store.perform(ReadRecord(change_id=change_id)):
            case RecordFetched(record=ChangeRecord() as record):
                records.append(record)
                change_id = record.previous_change_id
            case RecordFetched():
                return Ok(AuditTrail(records=records, gap=change_id))
            case event:
                return Err(read_failure(event))
    return Ok(AuditTrail(records=records))


def read_failure(event: StoreEvent) -> CommandFailure:
    """Describe a failed read of the store."""
    detail = event.detail if isinstance(event, StoreFailed) else type(event).__name__
    return unavailable(f"the store can't be read ({detail})")
