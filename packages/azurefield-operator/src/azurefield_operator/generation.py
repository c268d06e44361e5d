"""Generates the configuration from a questionnaire; there is no other way to create one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from azurefield.configuration import VALUE_BYTES_MAX, encode
from azurefield.model import BackendServer, KindPolicy, MemberShare, RequestKind, ServiceConfig
from azurefield_operator.faults import Fault
from azurefield_operator.questionnaire import Urgency

if TYPE_CHECKING:
    from azurefield_operator.questionnaire import Questionnaire, RequestAnswer, ServiceAnswer


@dataclass(slots=True, kw_only=True, frozen=True)
class UrgencyPolicy:
    """The priority, of which 0 is served first, and the weight of requests of one urgency."""

    priority: int
    weight: float


URGENCY_POLICIES = {
    Urgency.IMMEDIATE: UrgencyPolicy(priority=0, weight=4.0),
    Urgency.NORMAL: UrgencyPolicy(priority=1, weight=2.0),
    Urgency.BACKGROUND: UrgencyPolicy(priority=2, weight=1.0),
}


def generate(questionnaire: Questionnaire) -> dict[str, ServiceConfig]:
    """Generate the configuration of all services.

    Lists are sorted, so that the order of the answers has no effect on the documents.
    """
    return {answer.name: generate_service(answer) for answer in questionnaire.services}


def generate_service(answer: ServiceAnswer) -> ServiceConfig:
    """Generate the configuration of one service."""
    servers = [
        BackendServer(
            name=server.name,
            address=server.address,
            availability_zone=server.availability_zone,
            connection_limit=answer.connection_limit,
            slots=answer.slots,
            connect_cost_ms=answer.connection_cost_ms,
        )
        for server in sorted(answer.backend_servers, key=lambda server: server.name)
    ]
    callers = sorted(answer.callers, key=lambda caller: caller.name)
    kinds = list(RequestKind)
    requests = sorted(answer.requests, key=lambda request: kinds.index(request.kind))
    return ServiceConfig(
        name=answer.name,
        backend_servers=tuple(servers),
        members=tuple(
            MemberShare(member=caller.name, weight=caller.weight, cap=caller.cap)
            for caller in callers
        ),
        kinds=tuple(generate_kind(request) for request in requests),
        hedge_budget=answer.hedge_budget,
        retry_budget=answer.retry_budget,
    )


def generate_kind(request: RequestAnswer) -> KindPolicy:
    """Generate the policy of one request kind."""
    policy = URGENCY_POLICIES[request.urgency]
    return KindPolicy(
        kind=request.kind,
        deadline_ms=request.deadline_ms,
        max_deadline_ms=request.max_deadline_ms,
        priority=policy.priority,
        weight=policy.weight,
    )


def size_faults(questionnaire: Questionnaire) -> list[Fault]:
    """List the services whose generated document is too large for the key-value service."""
    sizes = [len(encode(generate_service(answer)).encode()) for answer in questionnaire.services]
    return [
        Fault(
            path=f"services[{index}]",
            found=f"a generated document of {size} bytes",
            allowed=f"at most {VALUE_BYTES_MAX} bytes",
        )
        for index, size in enumerate(sizes)
        if size > VALUE_BYTES_MAX
    ]
