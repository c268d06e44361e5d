"""Client of the entry instances' HTTP interface that records the result of each request."""

from __future__ import annotations

import time
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout

from azurefield.model import Outcome, RequestKind, Snapshot
from azurefield.snapshot import Record
from azurefield_testkit.history import ReceivedAnswer, RequestResult

if TYPE_CHECKING:
    from azurefield_testkit.history import SentRequest

# Longer than the deadlines of all requests that the tests and the demo send with a ``Caller``.
ANSWER_TIMEOUT_S = 10.0
PATHS = {
    RequestKind.LISTING: "listing",
    RequestKind.URGENT: "urgent",
    RequestKind.LOOKUP: "lookup",
    RequestKind.BOOKING: "bookings",
}


@dataclass(slots=True, kw_only=True, frozen=True)
class CoverageBody:
    """Coverage of a 200 answer."""

    leafs_total: int
    leafs_covered: int
    missing: tuple[dict[str, str], ...] = ()


@dataclass(slots=True, kw_only=True, frozen=True)
class AnswerBody:
    """A 200 answer to a listing, an urgent look-up or a look-up."""

    request_id: str
    service: str
    snapshot: Snapshot
    coverage: CoverageBody
    records: tuple[Record, ...]


@dataclass(slots=True, kw_only=True, frozen=True)
class ProblemBody:
    """The parts of an error answer that the checks use."""

    type: str = ""
    outcome: Outcome | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class Reply:
    """Status and body of one exchange; status 0 means that no complete answer arrived."""

    status: int
    body: bytes = b""


@dataclass(slots=True, kw_only=True)
class Caller:
    """Sends requests of one member; ``member`` must have a share in the services it calls."""

    session: ClientSession
    member: str

    async def exchange(
        self, address: str, path: str, body: dict[str, Any], headers: dict[str, str]
    ) -> Reply:
        """Send one POST, on a connection of its own, and read the answer."""
        try:
            async with self.session.post(
                f"http://{address}{path}",
                json=body,
                headers={"Azurefield-Member": self.member, "Connection": "close", **headers},
                timeout=ClientTimeout(total=ANSWER_TIMEOUT_S),
            ) as answer:
                return Reply(status=answer.status, body=await answer.read())
        except (ClientError, TimeoutError, OSError):
            return Reply(status=0)

    async def request_ticket(self, address: str, service: str) -> str | None:
        """Request a ticket; None if the instance issued none."""
        reply = await self.exchange(address, f"/v1/services/{service}/tickets", {}, {})
        if reply.status not in (200, 201):
            return None
        return str(msgspec.json.decode(reply.body)["ticket"])

    async def send(
        self,
        address: str,
        request: SentRequest,
        *,
        ticket: str = "",
        deadline_ms: int | None = None,
    ) -> RequestResult:
        """Send a request and return its result."""
        headers = {"X-Request-Id": request.request_id}
        if ticket:
            headers["Idempotency-Key"] = ticket
        if deadline_ms is not None:
            headers["Azurefield-Deadline-Ms"] = str(deadline_ms)
        path = f"/v1/services/{request.service}/{PATHS[request.kind]}"
        sent_at = time.time()
        reply = await self.exchange(address, path, request_body(request), headers)
        return parse_reply(request, sent_at, reply)


def request_body(request: SentRequest) -> dict[str, Any]:
    """Build the JSON body of a request."""
    if request.kind is RequestKind.BOOKING:
        return {"key": request.key, "payload": {"booking": request.booking}}
    if request.kind is RequestKind.LOOKUP:
        return {"key": request.key}
    return {"query": request.query, "limit": request.limit}


def parse_reply(request: SentRequest, sent_at: float, reply: Reply) -> RequestResult:
    """Parse the reply to a request.

    :raises msgspec.ValidationError: if a 200 answer does not match the schema of the interface
    """
    result = RequestResult(
        request=request, sent_at=sent_at, ended_at=time.time(), status=reply.status
    )
    if reply.status == 0:
        return result
    if reply.status != 200:
        try:
            problem = msgspec.json.decode(reply.body, type=ProblemBody)
        except msgspec.DecodeError:
            return result
        return replace(result, problem=problem.type.rpartition(":")[2], outcome=problem.outcome)
    if request.kind is RequestKind.BOOKING:
        return result
    body = msgspec.json.decode(reply.body, type=AnswerBody)
    answer = ReceivedAnswer(
        request_id=body.request_id,
        snapshot=body.snapshot,
        leafs_total=body.coverage.leafs_total,
        leafs_covered=body.coverage.leafs_covered,
        missing=tuple(entry["leaf"] for entry in body.coverage.missing),
        records=body.records,
    )
    return replace(result, answer=answer)
