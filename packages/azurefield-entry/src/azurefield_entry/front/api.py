"""Paths of the callers' API: checks a request and then runs it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct
from result import Err, Ok, Result

from azurefield.model import RequestKind
from azurefield_entry.front.bodies import read_body
from azurefield_entry.front.problems import problem_response
from azurefield_entry.front.run import (
    FrontContext,
    RequestRun,
    ResponseResult,
    correct_refusal_outcome,
)
from azurefield_entry.front.state import FrontState
from azurefield_entry.front.validation import check_request

if TYPE_CHECKING:
    from aiohttp import web

    from azurefield.failures import RequestFailure
    from azurefield_entry.front.arrival import Arrival

BOOKINGS_PATH = "bookings"
TICKETS_PATH = "tickets"
KIND_OF_PATH = {
    "listing": RequestKind.LISTING,
    "urgent": RequestKind.URGENT,
    "lookup": RequestKind.LOOKUP,
    BOOKINGS_PATH: RequestKind.BOOKING,
    TICKETS_PATH: RequestKind.BOOKING,
}


class CallersApi(Struct, kw_only=True):
    """Answers requests to ``/v1/services/{service}/{path}``."""

    state: FrontState
    context: FrontContext

    async def answer(
        self, request: web.Request, arrival: Arrival, *, service: str, path: str
    ) -> web.Response:
        """Answer one request; the answer to a failed one is a problem document."""
        self.context.activity.begin(arrival.request_id)
        try:
            result = await self.check_and_run(request, arrival, service, path)
        finally:
            self.context.activity.end(arrival.request_id)
        match result:
            case Ok(response):
                return response
            case Err(failure):
                self.context.metrics.refusals.labels(failure.kind, failure.outcome).inc()
                return problem_response(failure, request_id=arrival.caller_id)

    async def check_and_run(
        self, request: web.Request, arrival: Arrival, service: str, path: str
    ) -> ResponseResult:
        """Check the request, then run it."""
        match await self.check(request, arrival, service, path):
            case Err(failure):
                if path == BOOKINGS_PATH:
                    failure = await correct_refusal_outcome(self.context.kernel, request, failure)
                return Err(failure)
            case Ok(run):
                pass
        if path == TICKETS_PATH:
            return await run.issue_ticket()
        if path == BOOKINGS_PATH:
            return await run.run_booking(request)
        return await run.run_query()

    async def check(
        self, request: web.Request, arrival: Arrival, service: str, path: str
    ) -> Result[RequestRun, RequestFailure]:
        """Check path and headers of a request and read its body, which is decoded later."""
        if arrival.failure is not None:
            return Err(arrival.failure)
        match self.state.configuration_in_force().and_then(
            lambda configuration: check_request(
                configuration,
                service=service,
                kind=KIND_OF_PATH[path],
                headers=request.headers,
            )
        ):
            case Err(failure):
                return Err(failure)
            case Ok(parameters):
                pass
        deadline = arrival.at + parameters.deadline_ms / 1000
        body = await read_body(request, deadline=deadline)
        return body.map(
            lambda content: RequestRun(
                context=self.context,
                arrival=arrival,
                parameters=parameters,
                deadline=deadline,
                body=content,
            )
        )
