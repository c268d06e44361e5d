"""Checks callers' headers against the configuration of the requested service."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from msgspec import Struct
from result import Err, Ok, Result

from azurefield.failures import FailureKind, RequestFailure
from azurefield.model import Configuration, KindPolicy, Outcome, RequestKind, ServiceConfig

if TYPE_CHECKING:
    from multidict import MultiMapping

MEMBER_HEADER = "Azurefield-Member"
DEADLINE_HEADER = "Azurefield-Deadline-Ms"
REQUEST_ID_HEADER = "X-Request-Id"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
TICKET_CHARS_MAX = 512
REQUEST_ID_PATTERN = re.compile(r"[!-~]{1,128}")
DEADLINE_PATTERN = re.compile(r"[0-9]{1,9}")


class RequestParameters(Struct, kw_only=True, frozen=True):
    """Parameters from the path and headers of a valid request."""

    config: ServiceConfig
    policy: KindPolicy
    member: str
    deadline_ms: int


def invalid_input(
    kind: FailureKind, detail: str, *, field: str | None = None, allowed: str | None = None
) -> RequestFailure:
    """Return the failure of a request with invalid input, which was not run."""
    return RequestFailure(
        kind=kind, outcome=Outcome.NOT_RUN, detail=detail, field=field, allowed=allowed
    )


def check_request_id(headers: MultiMapping[str]) -> Result[str | None, RequestFailure]:
    """Check the caller's request identity.

    :return: None if the caller gave none
    """
    values = headers.getall(REQUEST_ID_HEADER, [])
    if not values:
        return Ok(None)
    if len(values) == 1 and REQUEST_ID_PATTERN.fullmatch(values[0]):
        return Ok(values[0])
    return Err(
        invalid_input(
            FailureKind.MALFORMED_REQUEST,
            "the request identity is invalid",
            field=REQUEST_ID_HEADER,
            allowed="one value of 1 to 128 printable ASCII characters without spaces",
        )
    )


def check_request(
    configuration: Configuration,
    *,
    service: str,
    kind: RequestKind,
    headers: MultiMapping[str],
) -> Result[RequestParameters, RequestFailure]:
    """Check service, member, kind and deadline, in this order."""
    config = configuration.services.get(service)
    if config is None:
        return Err(
            invalid_input(
                FailureKind.UNKNOWN_SERVICE, f"there is no service {service}", field="service"
            )
        )
    member = single_header(headers, MEMBER_HEADER)
    if isinstance(member, Err):
        return member
    if config.member(member.ok_value) is None:
        detail = f"the member has no share of the service {service}"
        return Err(invalid_input(FailureKind.UNKNOWN_MEMBER, detail, field=MEMBER_HEADER))
    policy = config.kind(kind)
    if policy is None:
        return Err(
            invalid_input(
                FailureKind.KIND_NOT_OFFERED,
                f"the service {service} does not offer {kind}",
                field="kind",
                allowed=", ".join(entry.kind for entry in config.kinds),
            )
        )
    return check_deadline(headers, policy).map(
        lambda deadline_ms: RequestParameters(
            config=config, policy=policy, member=member.ok_value, deadline_ms=deadline_ms
        )
    )


def check_deadline(headers: MultiMapping[str], policy: KindPolicy) -> Result[int, RequestFailure]:
    """Return the deadline in ms: that of the caller or the default of the request's kind."""
    values = headers.getall(DEADLINE_HEADER, [])
    if not values:
        return Ok(policy.deadline_ms)
    if len(values) == 1 and DEADLINE_PATTERN.fullmatch(values[0]):
        deadline_ms = int(values[0])
        if 1 <= deadline_ms <= policy.max_deadline_ms:
            return Ok(deadline_ms)
    return Err(
        invalid_input(
            FailureKind.INVALID_DEADLINE,
            "the deadline is invalid",
            field=DEADLINE_HEADER,
            allowed=f"a whole number of ms, 1 to {policy.max_deadline_ms}",
        )
    )


def check_ticket(headers: MultiMapping[str]) -> Result[str, RequestFailure]:
    """Return the ticket of a booking after a check of its length; its issuer verifies it."""
    values = headers.getall(IDEMPOTENCY_KEY_HEADER, [])
    allowed = "one ticket from POST /v1/services/{service}/tickets"
    if not values:
        detail = "a booking needs a ticket"
        return Err(
            invalid_input(
                FailureKind.TICKET_REQUIRED, detail, field=IDEMPOTENCY_KEY_HEADER, allowed=allowed
            )
        )
    if len(values) > 1 or not 1 <= len(values[0]) <= TICKET_CHARS_MAX:
        detail = "the idempotency key is not a ticket"
        return Err(
            invalid_input(
                FailureKind.TICKET_INVALID, detail, field=IDEMPOTENCY_KEY_HEADER, allowed=allowed
            )
        )
    return Ok(values[0])


def single_header(headers: MultiMapping[str], name: str) -> Result[str, RequestFailure]:
    """Return the value of a required header, which must occur exactly once."""
    values = headers.getall(name, [])
    if len(values) == 1 and values[0]:
        return Ok(values[0])
    detail = "the header is missing" if not values else "the header must have one value"
    return Err(
        invalid_input(FailureKind.MALFORMED_REQUEST, detail, field=name, allowed="one value")
    )
