"""Typed failures of leaf calls and requests.

Every failure that a caller can see is a ``RequestFailure``. Its outcome claims no more about the
execution of the request than is certain.
"""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct

from azurefield.model import Outcome
from azurefield.server_load import ServerLoad


class LeafFailureReason(StrEnum):
    """Why a leaf call failed; also the reason that a partial answer states for a missing leaf."""

    NO_SERVER = "no_server"
    CONNECT_FAILED = "connect_failed"
    CONNECTION_LOST = "connection_lost"
    TIMEOUT = "timeout"
    DRAINING = "draining"
    SHEDDING = "shedding"
    VERSION_MISSING = "version_missing"
    WRONG_LEAF = "wrong_leaf"
    WRONG_SERVER = "wrong_server"
    SNAPSHOT_MISMATCH = "snapshot_mismatch"
    IDENTITY_MISMATCH = "identity_mismatch"
    TRUNCATED = "truncated"
    MALFORMED = "malformed"
    SERVER_ERROR = "server_error"
    CANCELLED = "cancelled"
    NO_CAPACITY = "no_capacity"
    RATE_LIMITED = "rate_limited"
    EVACUATED = "evacuated"
    OUTSIDE_REGIONS = "outside_regions"


# No byte of such a call reached a server.
NEVER_SENT_REASONS = frozenset(
    {
        LeafFailureReason.CONNECT_FAILED,
        LeafFailureReason.NO_CAPACITY,
        LeafFailureReason.RATE_LIMITED,
        LeafFailureReason.EVACUATED,
        LeafFailureReason.OUTSIDE_REGIONS,
    }
)


class LeafFailure(Struct, kw_only=True, frozen=True):
    """A leaf call that failed.

    ``outcome`` is ``NOT_RUN`` only if no byte of the request can have reached the backend server,
    or if the server answered that it did not run the call. ``limit_per_s`` is the limit, in
    requests per second, that such an answer named; None if it named none. ``load`` is the load that
    the server reported in it.
    """

    reason: LeafFailureReason
    outcome: Outcome
    detail: str = ""
    limit_per_s: float | None = None
    load: ServerLoad | None = None


class FailureKind(StrEnum):
    """The problem types of the caller's API; ``docs/api.md`` lists status and meaning of each."""

    MALFORMED_REQUEST = "malformed-request"
    BODY_TOO_LARGE = "body-too-large"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_MEMBER = "unknown-member"
    UNAUTHORIZED = "unauthorized"
    QUOTA_EXCEEDED = "quota-exceeded"
    KIND_NOT_OFFERED = "kind-not-offered"
    INVALID_DEADLINE = "invalid-deadline"
    QUEUE_FULL = "queue-full"
    DEADLINE_UNREACHABLE = "deadline-unreachable"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    NO_SNAPSHOT = "no-snapshot"
    LEAF_UNAVAILABLE = "leaf-unavailable"
    NOT_READY = "not-ready"
    SHUTTING_DOWN = "shutting-down"
    TICKET_REQUIRED = "ticket-required"
    TICKET_INVALID = "ticket-invalid"
    TICKET_BODY_MISMATCH = "ticket-body-mismatch"
    OUTCOME_UNKNOWN = "outcome-unknown"
    BOOKING_FAILED = "booking-failed"
    REQUEST_CRASHES_SERVERS = "request-crashes-servers"
    INTERNAL = "internal"


class RequestFailure(Struct, kw_only=True, frozen=True):
    """Why a request failed, and whether it may have been executed.

    ``field`` and ``allowed`` name the invalid input and what is allowed there. ``retry_after_s`` is
    None if a retry is useless.
    """

    kind: FailureKind
    outcome: Outcome
    detail: str
    field: str | None = None
    allowed: str | None = None
    retry_after_s: float | None = None


class ChangeConflict(Struct, kw_only=True, frozen=True):
    """Another change was accepted first, so this change is not and never will be in force.

    The fields describe the other change; ``operator`` is None if its record can't be read.
    """

    change_id: str
    operator: str | None
    version: int


class StoreBehind(Struct, kw_only=True, frozen=True):
    """The store holds an older version than an instance has in force, so no change is accepted."""

    store_version: int
    version_in_force: int


class ChangeNotAccepted(Struct, kw_only=True, frozen=True):
    """The store could not be used before the deadline; the change is certainly not accepted."""

    detail: str


class ChangeOutcomeUnknown(Struct, kw_only=True, frozen=True):
    """It is unknown whether the change is accepted.

    The reply to the compare-and-swap of the head was lost, and reading the store did not show in
    time whether it was applied.
    """

    change_id: str
    detail: str


ChangeFailure = ChangeConflict | StoreBehind | ChangeNotAccepted | ChangeOutcomeUnknown
