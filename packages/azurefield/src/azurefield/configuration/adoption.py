"""State machine that decides which configuration is in force on one instance.

Only a higher version is adopted, from the store or from a peer, whichever has it first. A peer is a
safe source because a version that any instance has in force was accepted. If the store comes back
from an outage or a restore with a version older than the one in force, the instance writes the
version in force back.
"""

from __future__ import annotations

from random import Random

from msgspec import Struct, field
from result import Err, Ok

from azurefield.configuration.adoption_messages import (
    Adopt,
    AdoptionAction,
    AdoptionEvent,
    FetchFromPeer,
    PeerLost,
    PeerOffered,
    PeerVersionSeen,
    Rejected,
    StoreUnavailable,
    VersionConflict,
)
from azurefield.configuration.records import (
    ChangeRecord,
    ConfigHead,
    decode_configuration,
    digest_of,
)
from azurefield.configuration.store import (
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
    StoreEvent,
    StoreFailed,
)

FETCH_TIMEOUT_S = 5.0
RETRY_DELAY_S = 1.0
# All instances see an older store at about the same time, and one write-back is enough. Each waits
# for a random delay up to this before it writes.
WRITE_BACK_DELAY_MAX_S = 1.0
# Limit of the records kept for a write-back. They are small, and a store is rarely restored to a
# backup that lacks more changes than this.
RECORDS_KEPT_MAX = 64


class InForce(Struct, kw_only=True, frozen=True):
    """The change in force and the texts of its documents by digest, for peers and write-back."""

    head: ConfigHead
    record: ChangeRecord
    documents: dict[str, str]


class StoreFetch(Struct, kw_only=True):
    """A higher version that is being fetched from the store."""

    head: ConfigHead
    started_at: float
    record: ChangeRecord | None = None
    documents: dict[str, str] = field(default_factory=dict)
    missing: set[str] = field(default_factory=set)


class PeerFetch(Struct, kw_only=True):
    """A higher version that was requested from a peer."""

    instance: str
    version: int
    started_at: float


class WriteBack(Struct, kw_only=True):
    """A write-back of the version in force to a store that has an older version or none.

    ``expected_revision`` is the revision of the store's head, None if it has no head.
    ``unwritten`` holds digests of documents; ``unwritten_records`` holds change identities.
    """

    expected_revision: int | None
    unwritten: set[str]
    unwritten_records: set[str]
    started_at: float


class ConfigAdoption(Struct, kw_only=True):
    """Decides which configuration one instance has in force.

    The owner passes every event in order of time and calls ``on_tick`` about once a second. It also
    watches the head and passes ``HeadSeen`` or ``HeadMissing`` for each change of it.
    """

    rng: Random
    in_force: InForce | None = None
    # Adopted records, oldest first; a write-back also restores the audit trail from them.
    records: dict[str, ChangeRecord] = field(default_factory=dict)
    offers: dict[str, PeerVersionSeen] = field(default_factory=dict)
    store_fetch: StoreFetch | None = None
    peer_fetch: PeerFetch | None = None
    write_back: WriteBack | None = None
    write_back_due: float | None = None
    head_read_at: float | None = None

    @property
    def version(self) -> int:
        """The version in force; 0 if there is none, and the instance is then not ready."""
        return 0 if self.in_force is None else self.in_force.head.version

    @property
    def digest(self) -> str | None:
        """The digest of the change record in force."""
        return None if self.in_force is None else self.in_force.head.digest

    def on_event(self, now: float, event: AdoptionEvent) -> list[AdoptionAction]:
        """Handle an event of the store or of a peer."""
        match event:
            case PeerVersionSeen():
                return self.on_peer_version(now, event)
            case PeerOffered():
                return self.on_peer_offered(now, event)
            case PeerLost(instance=instance):
                return self.on_peer_lost(now, instance)
            case StoreUnavailable():
                return self.on_store_failure(now)
            case StoreFailed(action=action):
                if isinstance(action, ReadHead):
                    self.head_read_at = None
                return [*self.read_head(now, now + RETRY_DELAY_S), *self.on_store_failure(now)]
            case _:
                return self.on_store_event(now, event)

    def on_store_event(self, now: float, event: StoreEvent) -> list[AdoptionAction]:
        """Handle an answer of the store."""
        match event:
            case HeadSeen():
                self.head_read_at = None
                return self.on_head(now, event)
            case HeadMissing():
                self.head_read_at = None
                return self.on_older_store(now, revision=None)
            case RecordFetched():
                return self.on_record(now, event)
            case DocumentFetched():
                return self.on_document(now, event)
            case DocumentWritten(digest=digest):
                return self.on_document_written(digest)
            case RecordWritten(change_id=change_id):
                return self.on_record_written(change_id)
            case HeadWritten():
                self.write_back = None
                return []
            case HeadConflict():
                self.write_back = None
                return self.read_head(now, now)
            case _:
                return []

    def on_tick(self, now: float) -> list[AdoptionAction]:
        """Give up on actions that were not answered in time, and try again."""
        actions: list[AdoptionAction] = []
        if self.store_fetch is not None and now >= self.store_fetch.started_at + FETCH_TIMEOUT_S:
            self.store_fetch = None
            actions.extend(self.read_head(now, now))
        if self.write_back is not None and now >= self.write_back.started_at + FETCH_TIMEOUT_S:
            self.write_back = None
            actions.extend(self.read_head(now, now))
        if self.peer_fetch is not None and now >= self.peer_fetch.started_at + FETCH_TIMEOUT_S:
            self.offers.pop(self.peer_fetch.instance, None)
            self.peer_fetch = None
        return [*actions, *self.fetch_from_best_peer(now)]

    def read_head(self, now: float, at: float) -> list[AdoptionAction]:
        """Read the head unless a read is pending, so that several failures cause a single retry."""
        if self.head_read_at is not None and now < self.head_read_at + FETCH_TIMEOUT_S:
            return []
        self.head_read_at = at
        return [ReadHead(at=at)]

    def on_head(self, now: float, seen: HeadSeen) -> list[AdoptionAction]:
        """Compare the store's head with the version in force."""
        if seen.version < self.version:
            return self.on_older_store(now, seen.revision)
        self.write_back = None
        self.write_back_due = None
        if seen.version == self.version:
            differs = seen.digest != self.digest
            return [VersionConflict(version=seen.version, source="store")] if differs else []
        if self.store_fetch is not None and self.store_fetch.head == seen.head:
            return []
        self.store_fetch = StoreFetch(head=seen.head, started_at=now)
        return [ReadRecord(change_id=seen.change_id)]

    def on_record(self, now: float, event: RecordFetched) -> list[AdoptionAction]:
        """Fetch the documents that a new record references and the version in force lacks."""
        fetch = self.store_fetch
        if fetch is None or event.change_id != fetch.head.change_id:
            return []
        if event.record is None or event.record.head != fetch.head:
            return self.reject_store_fetch(
                now, fetch, "change record is missing or does not match the head"
            )
        fetch.record = event.record
        known = {} if self.in_force is None else self.in_force.documents
        wanted = set(event.record.services.values())
        fetch.documents = {digest: known[digest] for digest in wanted if digest in known}
        fetch.missing = wanted - set(fetch.documents)
        if not fetch.missing:
            return self.finish_store_fetch(now, fetch)
        return [ReadDocument(digest=digest) for digest in sorted(fetch.missing)]

    def on_document(self, now: float, event: DocumentFetched) -> list[AdoptionAction]:
        """Add a document to the version that is being fetched."""
        fetch = self.store_fetch
        if fetch is None or event.digest not in fetch.missing:
            return []
        if event.text is None or digest_of(event.text) != event.digest:
            return self.reject_store_fetch(
                now, fetch, "service document is missing or its digest differs"
            )
        fetch.documents[event.digest] = event.text
        fetch.missing.discard(event.digest)
        return [] if fetch.missing else self.finish_store_fetch(now, fetch)

    def finish_store_fetch(self, now: float, fetch: StoreFetch) -> list[AdoptionAction]:
        """Adopt the fetched version, now that it is complete."""
        if fetch.record is None:
            return []
        self.store_fetch = None
        return self.adopt(now, fetch.record, fetch.documents, "store")

    def reject_store_fetch(
        self, now: float, fetch: StoreFetch, problem: str
    ) -> list[AdoptionAction]:
        """Discard what was fetched; try the peers now and the store after a delay."""
        self.store_fetch = None
        rejected = Rejected(version=fetch.head.version, source="store", problem=problem)
        return [
            rejected,
            *self.read_head(now, now + RETRY_DELAY_S),
            *self.fetch_from_best_peer(now),
        ]

    def adopt(
        self, now: float, record: ChangeRecord, documents: dict[str, str], source: str
    ) -> list[AdoptionAction]:
        """Put a higher version in force if all its documents are valid."""
        if record.version <= self.version:
            return []
        match decode_configuration(record, documents):
            case Err(failure):
                problem = f"{failure.what}: {failure.problem}"
                rejected = Rejected(version=record.version, source=source, problem=problem)
                return [rejected, *self.read_head(now, now + RETRY_DELAY_S)]
            case Ok(configuration):
                pass
        head = record.head
        needed = {digest: documents[digest] for digest in record.services.values()}
        self.in_force = InForce(head=head, record=record, documents=needed)
        self.records[record.change_id] = record
        if len(self.records) > RECORDS_KEPT_MAX:
            del self.records[next(iter(self.records))]
        self.write_back = None
        self.write_back_due = None
        actions: list[AdoptionAction] = [Adopt(configuration=configuration, digest=head.digest)]
        if source != "store":
            # The store may hold an older version, and no other instance may be left to notice that
            # and write this version back. So the head is read now.
            actions.extend(self.read_head(now, now))
        return actions

    def on_peer_version(self, now: float, seen: PeerVersionSeen) -> list[AdoptionAction]:
        """Record the version that a peer has in force, and fetch it if it is higher."""
        self.offers[seen.instance] = seen
        if seen.version == self.version and seen.version > 0 and seen.digest != self.digest:
            return [VersionConflict(version=seen.version, source=seen.instance)]
        return self.fetch_from_best_peer(now)

    def fetch_from_best_peer(self, now: float) -> list[AdoptionAction]:
        """Fetch the highest version of the peers unless it is in force or being fetched."""
        best = max(self.offers.values(), key=lambda offer: offer.version, default=None)
        awaited = max(
            self.version,
            0 if self.store_fetch is None else self.store_fetch.head.version,
            0 if self.peer_fetch is None else self.peer_fetch.version,
        )
        if best is None or best.version <= awaited:
            return []
        self.peer_fetch = PeerFetch(instance=best.instance, version=best.version, started_at=now)
        return [FetchFromPeer(instance=best.instance, version=best.version)]

    def on_peer_offered(self, now: float, offered: PeerOffered) -> list[AdoptionAction]:
        """Adopt what a peer sent; its version may be higher than the requested one."""
        if self.peer_fetch is None or self.peer_fetch.instance != offered.instance:
            return []
        self.peer_fetch = None
        head = offered.record.head
        seen = self.offers.get(offered.instance)
        if seen is not None and seen.version == head.version and seen.digest != head.digest:
            del self.offers[offered.instance]
            problem = "digest of the change record differs from the one in the peer's heartbeat"
            return [Rejected(version=head.version, source=offered.instance, problem=problem)]
        actions = self.adopt(now, offered.record, offered.documents, offered.instance)
        if any(isinstance(action, Rejected) for action in actions):
            self.offers.pop(offered.instance, None)
        return [*actions, *self.fetch_from_best_peer(now)]

    def on_peer_lost(self, now: float, instance: str) -> list[AdoptionAction]:
        """Forget what a lost peer offered, and fetch from the next one."""
        self.offers.pop(instance, None)
        if self.peer_fetch is not None and self.peer_fetch.instance == instance:
            self.peer_fetch = None
        return self.fetch_from_best_peer(now)

    def on_store_failure(self, now: float) -> list[AdoptionAction]:
        """Abandon the fetch from the store and the write-back, and fetch from a peer."""
        self.store_fetch = None
        self.write_back = None
        return self.fetch_from_best_peer(now)

    def on_older_store(self, now: float, revision: int | None) -> list[AdoptionAction]:
        """Write back the version in force if the store is still older after a random delay."""
        in_force = self.in_force
        if in_force is None or self.write_back is not None:
            return []
        if self.write_back_due is None:
            self.write_back_due = now + self.rng.uniform(0.0, WRITE_BACK_DELAY_MAX_S)
        if now < self.write_back_due:
            return self.read_head(now, self.write_back_due)
        self.write_back_due = None
        self.write_back = WriteBack(
            expected_revision=revision,
            unwritten=set(in_force.documents),
            unwritten_records=set(self.records),
            started_at=now,
        )
        if not in_force.documents:
            return self.put_records()
        return [
            PutDocument(digest=digest, text=in_force.documents[digest])
            for digest in in_force.documents
        ]

    def put_records(self) -> list[AdoptionAction]:
        """Write back all kept records."""
        return [PutRecord(record=record) for record in self.records.values()]

    def on_document_written(self, digest: str) -> list[AdoptionAction]:
        """Write back the records once all documents are written."""
        if self.write_back is None or digest not in self.write_back.unwritten:
            return []
        self.write_back.unwritten.discard(digest)
        return [] if self.write_back.unwritten else self.put_records()

    def on_record_written(self, change_id: str) -> list[AdoptionAction]:
        """Write back the head once all records are written, if its revision is still the same."""
        in_force = self.in_force
        if self.write_back is None or in_force is None:
            return []
        if change_id not in self.write_back.unwritten_records:
            return []
        self.write_back.unwritten_records.discard(change_id)
        if self.write_back.unwritten_records:
            return []
        return [
            CompareAndSwapHead(
                head=in_force.head, expected_revision=self.write_back.expected_revision
            )
        ]
