"""Wire format of backend servers: decodes and checks answers, refusals and status reports."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Struct
from result import Err, Ok, Result

from azurefield.failures import LeafFailure, LeafFailureReason
from azurefield.model import HASH_SLOTS, LeafRange, Outcome, RequestKind, ShardMap, Snapshot
from azurefield.snapshot import Holding, LeafAnswer, Record, ServerState, StatusReport

PATHS = {
    RequestKind.LISTING: "search",
    RequestKind.URGENT: "search",
    RequestKind.LOOKUP: "lookup",
    RequestKind.BOOKING: "book",
}
REFUSAL_REASONS = {
    "draining": LeafFailureReason.DRAINING,
    "shedding": LeafFailureReason.SHEDDING,
    "version_missing": LeafFailureReason.VERSION_MISSING,
    "wrong_leaf": LeafFailureReason.WRONG_LEAF,
    "deadline": LeafFailureReason.TIMEOUT,
}
Slot = Annotated[int, msgspec.Meta(ge=0, lt=HASH_SLOTS)]
Version = Annotated[int, msgspec.Meta(ge=0)]


class WireAnswer(Struct, kw_only=True, frozen=True):
    """Body of a 200 answer to a leaf call."""

    request_id: str
    leaf: str
    index_version: Version
    map_version: Version
    record_count: Annotated[int, msgspec.Meta(ge=0)]
    records: tuple[Record, ...]


class WireRefusal(Struct, kw_only=True, frozen=True):
    """Body of a 503 answer that says that the call was not run.

    ``request_id`` is checked if the server sends it.
    """

    outcome: Literal["not_run"]
    reason: str = ""
    request_id: str | None = None
    incarnation: str | None = None


class WireHolding(Struct, kw_only=True, frozen=True):
    """A leaf that a server holds at one snapshot."""

    leaf: str
    index_version: Version
    map_version: Version


class WireRange(Struct, kw_only=True, frozen=True):
    """Hash slots of one leaf, both ends included."""

    leaf: str
    first_slot: Slot
    last_slot: Slot


class WireMap(Struct, kw_only=True, frozen=True):
    """One shard map."""

    version: Version
    ranges: Annotated[tuple[WireRange, ...], msgspec.Meta(min_length=1)]


class WireStatus(Struct, kw_only=True, frozen=True):
    """Body of ``GET /status``."""

    server: str
    incarnation: str
    state: ServerState
    load: float
    holdings: tuple[WireHolding, ...]
    maps: tuple[WireMap, ...]


class FailedExchange(Struct, kw_only=True, frozen=True):
    """A failed exchange, with the server's incarnation if a refusal contained it.

    :param names_call: whether the answer names its call; behind one that does not, a late copy of
        it can't be told from the next answer
    """

    failure: LeafFailure
    incarnation: str | None = None
    names_call: bool = False


def decode_answer(body: bytes) -> Result[LeafAnswer, LeafFailure]:
    """Decode the body of a 200 answer."""
    try:
        wire = msgspec.json.decode(body, type=WireAnswer)
    except (ValueError, RecursionError) as error:
        return Err(_malformed(f"invalid answer: {error}"))
    return Ok(
        LeafAnswer(
            call_id=wire.request_id,
            leaf=wire.leaf,
            snapshot=Snapshot(index_version=wire.index_version, map_version=wire.map_version),
            record_count=wire.record_count,
            records=wire.records,
        )
    )


def decode_error(status: int, body: bytes, *, call_id: str) -> FailedExchange:
    """Decode an answer other than 200; only a well-formed 503 refusal counts as not run."""
    if status == 503:
        try:
            wire = msgspec.json.decode(body, type=WireRefusal)
        except (ValueError, RecursionError):
            return server_error(status)
        if wire.request_id not in (None, call_id):
            return FailedExchange(
                failure=_identity_mismatch(f"the refusal belongs to call {wire.request_id}")
            )
        reason = REFUSAL_REASONS.get(wire.reason, LeafFailureReason.SERVER_ERROR)
        failure = LeafFailure(
            reason=reason, outcome=Outcome.NOT_RUN, detail="the server refused the call"
        )
        return FailedExchange(
            failure=failure,
            incarnation=wire.incarnation,
            names_call=wire.request_id is not None,
        )
    return server_error(status)


def server_error(status: int) -> FailedExchange:
    """Return the failure of an HTTP status that does not say whether the call was run."""
    failure = LeafFailure(
        reason=LeafFailureReason.SERVER_ERROR,
        outcome=Outcome.MAY_HAVE_RUN,
        detail=f"HTTP status {status}",
    )
    return FailedExchange(failure=failure)


def decode_status(body: bytes, *, server: str) -> Result[StatusReport, LeafFailure]:
    """Decode a status report and check that it names the server that was probed."""
    try:
        wire = msgspec.json.decode(body, type=WireStatus)
    except (ValueError, RecursionError) as error:
        return Err(_malformed(f"invalid status report: {error}"))
    if wire.server != server:
        return Err(_identity_mismatch(f"the status report names server {wire.server}"))
    return Ok(
        StatusReport(
            server=wire.server,
            incarnation=wire.incarnation,
            state=wire.state,
            load=min(1.0, max(0.0, wire.load)),
            holdings=frozenset(_holding(entry) for entry in wire.holdings),
            maps=tuple(_shard_map(entry) for entry in wire.maps),
        )
    )


def _holding(wire: WireHolding) -> Holding:
    snapshot = Snapshot(index_version=wire.index_version, map_version=wire.map_version)
    return Holding(leaf=wire.leaf, snapshot=snapshot)


def _shard_map(wire: WireMap) -> ShardMap:
    ranges = (
        LeafRange(leaf=entry.leaf, first_slot=entry.first_slot, last_slot=entry.last_slot)
        for entry in wire.ranges
    )
    return ShardMap(version=wire.version, ranges=tuple(ranges))


def _malformed(detail: str) -> LeafFailure:
    return LeafFailure(
        reason=LeafFailureReason.MALFORMED, outcome=Outcome.MAY_HAVE_RUN, detail=detail
    )


def _identity_mismatch(detail: str) -> LeafFailure:
    return LeafFailure(
        reason=LeafFailureReason.IDENTITY_MISMATCH, outcome=Outcome.MAY_HAVE_RUN, detail=detail
    )
