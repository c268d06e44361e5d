"""Load generator: requests of all kinds from a seeded random source, recorded in a history."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from random import Random
from typing import TYPE_CHECKING, Any

import msgspec

from azurefield.model import Outcome, RequestKind
from azurefield_testkit.backend_state import BookingRun, CallWhileLeaving
from azurefield_testkit.caller import Caller
from azurefield_testkit.history import History, ObservedVersion, RequestResult, SentRequest
from azurefield_testkit.records import GROUPS
from azurefield_testkit.waiting import wait_until

if TYPE_CHECKING:
    from pathlib import Path

    from azurefield_testkit.processes import EntryInstance, Processes

BOOKING_ATTEMPTS_MAX = 4
LISTING_LIMIT = 40
VERSION_POLL_S = 0.1
RETRY_PAUSE_MAX_S = 0.1
KIND_WEIGHTS = {
    RequestKind.LISTING: 4,
    RequestKind.URGENT: 2,
    RequestKind.LOOKUP: 2,
    RequestKind.BOOKING: 3,
}


@dataclass(slots=True, kw_only=True)
class Load:
    """``workers`` concurrent callers that together send ``requests`` requests.

    ``addresses`` is called for each attempt, so that a run can change where requests go. A booking
    without a success is sent again with its ticket, ``BOOKING_ATTEMPTS_MAX`` times at most. As real
    callers do, the load also resends the share ``resend_share`` of the bookings that succeeded, and
    sends the share ``duplicate_share`` of all bookings twice at the same time.
    """

    caller: Caller
    history: History
    addresses: Callable[[], Sequence[str]]
    rng: Random
    requests: int = 200
    workers: int = 8
    deadline_ms: int | None = None
    name: str = "load"
    sent: int = 0
    stopped: bool = False
    resend_share: float = 0.3
    duplicate_share: float = 0.2
    results: list[RequestResult] = field(default_factory=list)

    async def run(self) -> None:
        """Send all requests."""
        await asyncio.gather(*(self.run_worker() for _ in range(self.workers)))

    async def wait_for_results(self, count: int) -> None:
        """Wait until this number of requests has a result."""
        await wait_until(lambda: len(self.results) >= count, f"{count} answers", limit_s=60.0)

    def stop(self) -> None:
        """Send no further requests; those already sent are completed."""
        self.stopped = True

    async def run_worker(self) -> None:
        """Send requests one after the other until the load has sent all or is stopped."""
        while self.sent < self.requests and not self.stopped:
            self.sent += 1
            request = self.draw_request(self.sent)
            if request.kind is RequestKind.BOOKING:
                await self.send_booking(request)
            else:
                self.record(await self.send(request))

    def draw_request(self, number: int) -> SentRequest:
        """Draw the next request."""
        service = self.rng.choice(sorted(self.history.services))
        kinds = list(KIND_WEIGHTS)
        kind = self.rng.choices(kinds, weights=[KIND_WEIGHTS[entry] for entry in kinds])[0]
        dataset = self.history.services[service].dataset
        request = SentRequest(request_id=f"{self.name}-{number}", service=service, kind=kind)
        if kind is RequestKind.BOOKING:
            booking = f"{self.name}-booking-{number}"
            return replace(request, booking=booking, key=self.draw_key(service, dataset.count))
        if kind is RequestKind.LOOKUP:
            return replace(request, key=self.draw_key(service, dataset.count))
        query = {} if self.rng.random() < 0.5 else {"group": self.rng.choice(GROUPS)}
        return replace(request, query=query, limit=LISTING_LIMIT)

    def draw_key(self, service: str, count: int) -> str:
        """Draw the key of a record; each index version lacks some of the keys."""
        return f"{service}-{self.rng.randrange(count)}"

    def record(self, result: RequestResult) -> RequestResult:
        """Add a result to the history."""
        self.results.append(result)
        self.history.results.append(result)
        return result

    async def send(self, request: SentRequest, ticket: str = "") -> RequestResult:
        """Send one request to a randomly chosen address."""
        address = self.rng.choice(list(self.addresses()))
        return await self.caller.send(address, request, ticket=ticket, deadline_ms=self.deadline_ms)

    async def send_booking(self, request: SentRequest) -> None:
        """Send one booking under one ticket, with the resends and duplicates of the load."""
        address = self.rng.choice(list(self.addresses()))
        ticket = await self.caller.request_ticket(address, request.service)
        if ticket is None:
            return
        if self.rng.random() < self.duplicate_share:
            duplicate = replace(request, request_id=f"{request.request_id}.twin")
            duplicate_task = asyncio.create_task(self.send(duplicate, ticket))
        else:
            duplicate_task = None
        for attempt in range(BOOKING_ATTEMPTS_MAX):
            numbered = replace(request, request_id=f"{request.request_id}.{attempt}")
            result = self.record(await self.send(numbered, ticket))
            if duplicate_task is not None:
                self.record(await duplicate_task)
                duplicate_task = None
            if result.status == 200 and self.rng.random() >= self.resend_share:
                return
            await asyncio.sleep(RETRY_PAUSE_MAX_S * self.rng.random())


async def record_versions(
    processes: Processes, entries: dict[str, EntryInstance], history: History
) -> None:
    """Record the configuration version of each ready instance until cancelled."""
    while True:
        for entry in list(entries.values()):
            status = await processes.get_json(entry.admin_address, "/v1/status")
            observed = None if status is None else parse_version(entry.name, status)
            if observed is not None:
                history.versions.append(observed)
        await asyncio.sleep(VERSION_POLL_S)


def parse_version(instance: str, status: dict[str, Any]) -> ObservedVersion | None:
    """Read the version in force from an instance's status; None if there is none."""
    version = status.get("configuration", {}).get("version")
    if not isinstance(version, int):
        return None
    incarnation = str(status.get("incarnation", ""))
    return ObservedVersion(
        instance=instance, incarnation=incarnation, at=time.time(), version=version
    )


def read_journals(directory: Path, history: History) -> None:
    """Add the journal files of all backend servers, including killed ones, to a history."""
    for path in sorted(directory.glob("*.journal")):
        for line in path.read_bytes().splitlines():
            entry = msgspec.json.decode(line, type=dict[str, Any])
            match entry.pop("type"):
                case "booking":
                    history.bookings.append(msgspec.convert(entry, BookingRun))
                case "call_while_leaving":
                    history.calls_while_leaving.append(msgspec.convert(entry, CallWhileLeaving))


def summarize(results: Sequence[RequestResult]) -> str:
    """Format the number of results by kind and outcome in one line."""
    counts: dict[str, int] = {}
    for entry in results:
        result = "ok" if entry.status == 200 else entry.problem or f"status {entry.status}"
        if entry.answer is not None and entry.answer.missing:
            result = "partial"
        name = f"{entry.request.kind} {result}"
        counts[name] = counts.get(name, 0) + 1
    return ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))


def cut_requests(results: Sequence[RequestResult]) -> list[RequestResult]:
    """List the requests that were cut off or failed with a server error of unknown outcome."""
    return [
        entry
        for entry in results
        if entry.status == 0 or (entry.status >= 500 and entry.outcome is not Outcome.NOT_RUN)
    ]
