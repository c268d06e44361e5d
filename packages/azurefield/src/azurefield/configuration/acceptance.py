"""State machine by which the operator's command gets one configuration change accepted.

The service documents and the change record are written first; they have no effect by themselves.
The compare-and-swap of the head then accepts the change and adds its record to the audit trail in
one step. If the reply of the compare-and-swap is lost, the machine reads the head and follows
the chain of change records back from it. The change was accepted if the chain contains its
identity.
"""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct, field
from result import Err, Ok, Result

from azurefield.configuration.records import ChangeRecord, ConfigHead, digest_of
from azurefield.configuration.store import (
    CompareAndSwapHead,
    DocumentWritten,
    HeadConflict,
    HeadMissing,
    HeadSeen,
    HeadWritten,
    PutDocument,
    PutRecord,
    ReadHead,
    ReadRecord,
    RecordFetched,
    RecordWritten,
    StoreAction,
    StoreEvent,
    StoreFailed,
)
from azurefield.failures import (
    ChangeConflict,
    ChangeFailure,
    ChangeNotAccepted,
    ChangeOutcomeUnknown,
    StoreBehind,
)

RETRY_DELAY_S = 0.2
RETRY_DELAY_MAX_S = 2.0
# Extra time after the deadline to find out whether a compare-and-swap without a reply was applied.
# An unknown outcome costs the operator more than the wait.
LOST_REPLY_EXTRA_S = 5.0


class Accepted(Struct, kw_only=True, frozen=True):
    """The change is accepted; a later change may have replaced it since."""

    version: int
    change_id: str


class AcceptanceEnded(Struct, kw_only=True, frozen=True):
    """The result of the acceptance; the machine ignores all later events."""

    result: Result[Accepted, ChangeFailure]


class RetryAt(Struct, kw_only=True, frozen=True):
    """Retry a failed action, not before ``at``."""

    at: float
    action: StoreAction


AcceptanceAction = StoreAction | RetryAt | AcceptanceEnded


class Step(StrEnum):
    """The step that the machine is waiting for."""

    READING_BASE = "reading_base"
    WRITING_DOCUMENTS = "writing_documents"
    WRITING_RECORD = "writing_record"
    SWAPPING_HEAD = "swapping_head"
    WALKING_CHAIN = "walking_chain"
    ENDED = "ended"


class AcceptChange(Struct, kw_only=True):
    """Acceptance of one change.

    :param change_id: unique identity, never used for another change
    :param documents: encoded service documents by service name
    :param expected_version: version that the change must be based on, None for any
    :param version_in_force: highest version that an instance reports, None if none answers
    :param deadline: time after which a failed action is not retried
    """

    change_id: str
    operator: str
    at: str
    documents: dict[str, str]
    deadline: float
    summary: str = ""
    expected_version: int | None = None
    version_in_force: int | None = None
    step: Step = Step.READING_BASE
    base: HeadSeen | None = None
    record: ChangeRecord | None = None
    unwritten: set[str] = field(default_factory=set)
    # The head whose chain of records is searched, and the oldest record of it that was read.
    searched_head: HeadSeen | None = None
    oldest_record: ChangeRecord | None = None
    # Whether a compare-and-swap whose reply was lost may have been applied.
    reply_lost: bool = False
    failures: int = 0

    @property
    def base_version(self) -> int:
        """Version of the head that the change replaces; 0 if there is none."""
        return 0 if self.base is None else self.base.version

    @property
    def final_deadline(self) -> float:
        """Time after which a failed action ends the acceptance."""
        return self.deadline + (LOST_REPLY_EXTRA_S if self.reply_lost else 0.0)

    def start(self, now: float) -> list[AcceptanceAction]:
        """Read the head that the change will replace."""
        return [ReadHead(at=now)]

    def on_event(self, now: float, event: StoreEvent) -> list[AcceptanceAction]:
        """Handle the answer of the store to an action."""
        if self.step is Step.ENDED:
            return []
        match event:
            case StoreFailed():
                return self.on_failure(now, event)
            case HeadSeen():
                return self.on_head(now, event)
            case HeadMissing():
                return self.on_head_missing(now)
            case RecordFetched():
                return self.on_record(event)
            case DocumentWritten(digest=digest):
                self.unwritten.discard(digest)
                return self.put_record_if_ready()
            case RecordWritten():
                return self.swap_head()
            case HeadWritten():
                return self.accept()
            case HeadConflict():
                return self.find_own_change(now)
            case _:
                return []

    def on_head(self, now: float, head: HeadSeen) -> list[AcceptanceAction]:
        """Use the head as the base of the change, or search the chain of a later head."""
        if self.step is not Step.READING_BASE:
            return self.search_chain(now, head)
        if self.version_in_force is not None and head.version < self.version_in_force:
            return self.end(
                Err(StoreBehind(store_version=head.version, version_in_force=self.version_in_force))
            )
        self.base = head
        return [ReadRecord(change_id=head.change_id)]

    def on_head_missing(self, now: float) -> list[AcceptanceAction]:
        """Start the first change ever, or detect that the store has lost its content."""
        if self.step is not Step.READING_BASE:
            if self.base is None:
                return self.swap_head()
            return self.on_store_rollback(now, store_version=0)
        if self.version_in_force is not None:
            behind = StoreBehind(store_version=0, version_in_force=self.version_in_force)
            return self.end(Err(behind))
        if self.expected_version not in (None, 0):
            return self.end(Err(ChangeConflict(change_id="", operator=None, version=0)))
        return self.write_documents(known=frozenset())

    def on_record(self, event: RecordFetched) -> list[AcceptanceAction]:
        """Handle the record of the base, or the next record of the chain."""
        if self.step is Step.WALKING_CHAIN:
            return self.on_chain_record(event)
        if self.step is not Step.READING_BASE or self.base is None:
            return []
        record = event.record
        if self.expected_version not in (None, self.base.version):
            return self.conflict(self.base, record)
        return self.write_documents(
            known=frozenset() if record is None else frozenset(record.services.values())
        )

    def write_documents(self, known: frozenset[str]) -> list[AcceptanceAction]:
        """Write the documents that the base does not reference."""
        services = {name: digest_of(text) for name, text in self.documents.items()}
        self.record = ChangeRecord(
            change_id=self.change_id,
            operator=self.operator,
            at=self.at,
            version=self.base_version + 1,
            previous_change_id=None if self.base is None else self.base.change_id,
            services=services,
            summary=self.summary,
        )
        self.step = Step.WRITING_DOCUMENTS
        texts = {digest_of(text): text for text in self.documents.values()}
        self.unwritten = set(texts) - known
        puts: list[AcceptanceAction] = [
            PutDocument(digest=digest, text=texts[digest]) for digest in sorted(self.unwritten)
        ]
        return puts or self.put_record_if_ready()

    def put_record_if_ready(self) -> list[AcceptanceAction]:
        """Write the record once all documents are in the store."""
        if self.unwritten or self.record is None or self.step is not Step.WRITING_DOCUMENTS:
            return []
        self.step = Step.WRITING_RECORD
        return [PutRecord(record=self.record)]

    def swap_head(self) -> list[AcceptanceAction]:
        """Replace the head if it is still the base, so that a retry can't be applied twice."""
        self.step = Step.SWAPPING_HEAD
        if self.record is None:
            return []
        expected = None if self.base is None else self.base.revision
        return [CompareAndSwapHead(head=self.record.head, expected_revision=expected)]

    def find_own_change(self, now: float) -> list[AcceptanceAction]:
        """Read the head again, to search the chain of records behind it for this change."""
        self.step = Step.WALKING_CHAIN
        return [ReadHead(at=now)]

    def search_chain(self, now: float, head: HeadSeen) -> list[AcceptanceAction]:
        """Search for this change at the head and in the records behind it.

        A head that still is the base is replaced again. A base that an instance has written back to
        the store has another revision; it is replaced too unless a reply was lost.
        """
        if head.change_id == self.change_id:
            return self.accept()
        if head.version > self.base_version:
            self.searched_head = head
            self.oldest_record = None
            return [ReadRecord(change_id=head.change_id)]
        base_rewritten = self.base is not None and head.head == self.base.head
        if head == self.base or (base_rewritten and not self.reply_lost):
            self.base = head
            return self.swap_head()
        return self.on_store_rollback(now, head.version)

    def on_chain_record(self, event: RecordFetched) -> list[AcceptanceAction]:
        """Check one record of the chain, and read the previous one until the base is reached."""
        head = self.searched_head
        record = event.record
        if head is None:
            return []
        newer = self.oldest_record
        if record is None or (newer is not None and record.version >= newer.version):
            return self.on_broken_chain(head)
        previous = record.previous_change_id
        if self.change_id in (record.change_id, previous):
            return self.accept()
        self.oldest_record = record
        if record.version > self.base_version + 1 and previous is not None:
            return [ReadRecord(change_id=previous)]
        return self.conflict(head, record)

    def on_broken_chain(self, head: HeadSeen) -> list[AcceptanceAction]:
        """End the search if a record between the head and the base can't be used.

        A head newer than the base proves a conflict, unless the compare-and-swap of this change may
        have been applied.
        """
        if self.reply_lost:
            return self.end_unknown(
                f"the chain of change records behind version {head.version} is broken or unreadable"
            )
        return self.conflict(head, self.oldest_record)

    def on_store_rollback(self, now: float, store_version: int) -> list[AcceptanceAction]:
        """Handle a head that is older than the base, or differs from it at the same version.

        If the compare-and-swap may have been applied before the store was rolled back, an instance
        may have adopted the change and will then write it back. So the head is read again until
        the final deadline.
        """
        if not self.reply_lost:
            behind = StoreBehind(
                store_version=store_version,
                version_in_force=max(self.base_version, self.version_in_force or 0),
            )
            return self.end(Err(behind))
        if now >= self.final_deadline:
            return self.end_unknown(f"the store went back to version {store_version}")
        return [ReadHead(at=now + RETRY_DELAY_MAX_S)]

    def on_failure(self, now: float, failed: StoreFailed) -> list[AcceptanceAction]:
        """Retry the action, or look for the change after a lost reply, or end at the deadline."""
        swapping = isinstance(failed.action, CompareAndSwapHead)
        self.reply_lost |= swapping and failed.may_be_applied
        if now >= self.final_deadline:
            if self.reply_lost:
                return self.end_unknown(failed.detail)
            return self.end(Err(ChangeNotAccepted(detail=failed.detail)))
        self.failures += 1
        delay_s = min(RETRY_DELAY_MAX_S, RETRY_DELAY_S * 2 ** min(self.failures - 1, 10))
        if swapping and self.reply_lost:
            self.step = Step.WALKING_CHAIN
            return [ReadHead(at=now + delay_s)]
        return [RetryAt(at=now + delay_s, action=failed.action)]

    def accept(self) -> list[AcceptanceAction]:
        """End with the result that the change is accepted."""
        accepted = Accepted(version=self.base_version + 1, change_id=self.change_id)
        return self.end(Ok(accepted))

    def conflict(
        self, head: ConfigHead | HeadSeen, winner: ChangeRecord | None
    ) -> list[AcceptanceAction]:
        """End with a conflict that names the change that was accepted instead."""
        if winner is None:
            failure = ChangeConflict(change_id=head.change_id, operator=None, version=head.version)
        else:
            failure = ChangeConflict(
                change_id=winner.change_id, operator=winner.operator, version=winner.version
            )
        return self.end(Err(failure))

    def end_unknown(self, detail: str) -> list[AcceptanceAction]:
        """End without knowing whether the change was accepted."""
        return self.end(Err(ChangeOutcomeUnknown(change_id=self.change_id, detail=detail)))

    def end(self, result: Result[Accepted, ChangeFailure]) -> list[AcceptanceAction]:
        """Emit the final result."""
        self.step = Step.ENDED
        return [AcceptanceEnded(result=result)]
