"""The operator's questionnaire; ``docs/questionnaire.md`` documents its JSON form.

``check`` prints the descriptions of the types as the allowed values.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated

from msgspec import Meta

from azurefield.model import HASH_SLOTS, RequestKind

DEADLINE_MS_MAX = 60_000

Text = Annotated[
    str, Meta(min_length=1, max_length=200, description="a text of 1 to 200 characters")
]
Name = Annotated[
    str,
    Meta(
        pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$",
        description="1 to 64 letters, digits, '.', '_' or '-', beginning with a letter or digit",
    ),
]
Address = Annotated[
    str,
    Meta(
        pattern=r"^([0-9]{1,3}(\.[0-9]{1,3}){3}|\[[0-9a-fA-F:.]+\]):[0-9]{1,5}$",
        description="an IP address and a port, such as 192.0.2.7:8080 or [2001:db8::7]:8080",
    ),
]
LeafCount = Annotated[
    int, Meta(ge=1, le=HASH_SLOTS, description=f"a whole number from 1 to {HASH_SLOTS}")
]
Count = Annotated[int, Meta(ge=1, le=100_000, description="a whole number from 1 to 100000")]
CostMs = Annotated[float, Meta(ge=0, le=10_000, description="a number from 0 to 10000 (ms)")]
DeadlineMs = Annotated[
    int, Meta(ge=1, le=DEADLINE_MS_MAX, description=f"a whole number from 1 to {DEADLINE_MS_MAX}")
]
Weight = Annotated[
    float, Meta(gt=0, le=1_000_000, description="a number above 0 and at most 1000000")
]
Cap = Annotated[float, Meta(gt=0, le=1, description="a number above 0 and at most 1")]
Budget = Annotated[float, Meta(ge=0, le=1, description="a number from 0 to 1")]
Kind = Annotated[RequestKind, Meta(description="one of " + ", ".join(RequestKind))]


class Urgency(StrEnum):
    """How urgent the requests of a kind are; generation maps this to a priority and a weight."""

    IMMEDIATE = "immediate"
    NORMAL = "normal"
    BACKGROUND = "background"


UrgencyAnswer = Annotated[Urgency, Meta(description="one of " + ", ".join(Urgency))]


@dataclass(slots=True, kw_only=True, frozen=True)
class Team:
    """The team that is responsible for the questionnaire."""

    name: Text
    contact: Text


@dataclass(slots=True, kw_only=True, frozen=True)
class BackendServerAnswer:
    """One backend server."""

    name: Name
    address: Address
    availability_zone: Name


@dataclass(slots=True, kw_only=True, frozen=True)
class CallerAnswer:
    """One member that may use a service."""

    name: Name
    weight: Weight = 1.0
    cap: Cap = 1.0


@dataclass(slots=True, kw_only=True, frozen=True)
class RequestAnswer:
    """One request kind that a service offers."""

    kind: Kind
    deadline_ms: DeadlineMs
    max_deadline_ms: DeadlineMs
    urgency: UrgencyAnswer


@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceAnswer:
    """One service; slots, limit and cost of connections apply to each backend server."""

    name: Name
    record_type: Text
    leafs: LeafCount
    slots: Count
    connection_limit: Count
    connection_cost_ms: CostMs
    backend_servers: Annotated[tuple[BackendServerAnswer, ...], Meta(min_length=1)]
    callers: Annotated[tuple[CallerAnswer, ...], Meta(min_length=1)]
    requests: Annotated[tuple[RequestAnswer, ...], Meta(min_length=1)]
    hedge_budget: Budget = 0.05
    retry_budget: Budget = 0.1


@dataclass(slots=True, kw_only=True, frozen=True)
class Questionnaire:
    """All answers of one team."""

    team: Team
    availability_zones: Annotated[tuple[Name, ...], Meta(min_length=1)]
    services: Annotated[tuple[ServiceAnswer, ...], Meta(min_length=1)]
