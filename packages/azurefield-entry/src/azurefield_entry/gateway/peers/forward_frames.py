"""Frames between an instance that forwards a request and the one that runs it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok

from azurefield.failures import FailureKind, RequestFailure
from azurefield.http_status import is_final_status
from azurefield.merge import MergedParts
from azurefield.model import Outcome
from azurefield.workspaces import Workspace
from azurefield_entry.gateway.ports import GatewayRequest, OpaqueAnswer

if TYPE_CHECKING:
    from azurefield_entry.gateway.requests.running import RequestResult


class ForwardedRequest(msgspec.Struct, tag="request", frozen=True, kw_only=True):
    """A caller's request to run; clocks differ between instances, so times are durations.

    :param number: names the request in later frames of the same link
    :param version: the version of the route table that the request must be run under
    :param elapsed_s: time since the request arrived
    :param left_s: time until the caller stops waiting; None if it gave no deadline
    :param attempts_used: attempts that an earlier run may have made on a service
    :param workspace: the name of the request's workspace; None if it has none
    :param must_end_in_s: set if no other instance is asked after this one: the time until its
        deadline
    """

    number: int
    version: int
    request_id: str
    method: str
    host: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    elapsed_s: float
    left_s: float | None
    attempts_used: int = 0
    must_end_in_s: float | None = None
    workspace: str | None = None


class CancelRequest(msgspec.Struct, tag="cancel", frozen=True, kw_only=True):
    """The result of a request is no longer needed."""

    number: int


class RequestAccepted(msgspec.Struct, tag="accepted", frozen=True, kw_only=True):
    """The coordinator is about to run the request."""

    number: int


class RequestRefused(msgspec.Struct, tag="refused", frozen=True, kw_only=True):
    """The coordinator has not run the request and will not run it.

    :param retry_after_s: when it expects to accept requests again; None if it does not know
    :param no_room: whether only the memory for the body is missing
    """

    number: int
    detail: str
    retry_after_s: float | None = None
    no_room: bool = False


class RequestAnswered(msgspec.Struct, tag="answered", frozen=True, kw_only=True):
    """The result of a request: the merged parts."""

    number: int
    proofs: tuple[str, ...]
    missing: int
    body: bytes


class RequestServed(msgspec.Struct, tag="served", frozen=True, kw_only=True):
    """The result of a request: the answer of a single server."""

    number: int
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    proof: str | None


class RequestFailed(msgspec.Struct, tag="failed", frozen=True, kw_only=True):
    """The result of a request: why it failed."""

    number: int
    kind: FailureKind
    outcome: Outcome
    detail: str
    retry_after_s: float | None = None


ToCoordinator = ForwardedRequest | CancelRequest
FromCoordinator = RequestAccepted | RequestRefused | RequestAnswered | RequestServed | RequestFailed


def encode_request(
    number: int,
    version: int,
    request: GatewayRequest,
    now: float,
    *,
    must_end_in_s: float | None = None,
) -> ForwardedRequest:
    """Build the frame of a request."""
    return ForwardedRequest(
        number=number,
        version=version,
        request_id=request.request_id,
        method=request.method,
        host=request.host,
        target=request.target,
        headers=request.headers,
        body=request.body,
        elapsed_s=max(0.0, now - request.arrived_at),
        left_s=None if request.deadline is None else request.deadline - now,
        attempts_used=request.attempts_used,
        must_end_in_s=must_end_in_s,
        workspace=None if request.workspace is None else request.workspace.name,
    )


def decode_request(frame: ForwardedRequest, now: float) -> GatewayRequest:
    """Rebuild a request from its frame, with times of the coordinator's clock.

    Of its workspace only the name is known; the rest is in the coordinator's route table.
    """
    return GatewayRequest(
        request_id=frame.request_id,
        method=frame.method,
        host=frame.host,
        target=frame.target,
        headers=frame.headers,
        body=frame.body,
        arrived_at=now - frame.elapsed_s,
        deadline=None if frame.left_s is None else now + frame.left_s,
        attempts_used=frame.attempts_used,
        workspace=None if frame.workspace is None else Workspace(name=frame.workspace),
    )


ResultFrame = RequestAnswered | RequestServed | RequestFailed


def encode_result(number: int, result: RequestResult) -> ResultFrame:
    """Build the frame of a result."""
    match result:
        case Ok(MergedParts(proofs=proofs, missing=missing, body=body)):
            return RequestAnswered(number=number, proofs=proofs, missing=missing, body=body)
        case Ok(OpaqueAnswer() as answer):
            return RequestServed(
                number=number,
                status=answer.status,
                headers=answer.headers,
                body=answer.body,
                proof=answer.proof,
            )
        case Err(failure):
            return RequestFailed(
                number=number,
                kind=failure.kind,
                outcome=failure.outcome,
                detail=failure.detail,
                retry_after_s=failure.retry_after_s,
            )
    raise TypeError(f"{result!r} is no result")


def decode_result(frame: ResultFrame) -> RequestResult:
    """Rebuild a result from its frame."""
    match frame:
        case RequestAnswered(proofs=proofs, missing=missing, body=body):
            return Ok(MergedParts(proofs=proofs, missing=missing, body=body))
        case RequestServed(status=status) if not is_final_status(status):
            return Err(
                RequestFailure(
                    kind=FailureKind.LEAF_UNAVAILABLE,
                    outcome=Outcome.MAY_HAVE_RUN,
                    detail=f"status {status} is not a valid final HTTP status",
                )
            )
        case RequestServed():
            return Ok(
                OpaqueAnswer(
                    status=frame.status,
                    headers=frame.headers,
                    body=frame.body,
                    proof=frame.proof,
                )
            )
        case RequestFailed():
            return Err(
                RequestFailure(
                    kind=frame.kind,
                    outcome=frame.outcome,
                    detail=frame.detail,
                    retry_after_s=frame.retry_after_s,
                )
            )
