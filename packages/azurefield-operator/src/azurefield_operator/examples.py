"""Example questionnaires with the sizes of the current users."""

from __future__ import annotations

from enum import StrEnum
from functools import partial
from itertools import count
from typing import TYPE_CHECKING

from azurefield.model import RequestKind
from azurefield_operator.questionnaire import (
    BackendServerAnswer,
    CallerAnswer,
    Questionnaire,
    RequestAnswer,
    ServiceAnswer,
    Team,
    Urgency,
)

if TYPE_CHECKING:
    from collections.abc import Iterator


class ExampleName(StrEnum):
    """The examples by name."""

    MINIMAL = "minimal"
    GULF = "gulf"
    CERAFIAMMA = "cerafiamma"


LISTING = RequestAnswer(
    kind=RequestKind.LISTING, deadline_ms=500, max_deadline_ms=2000, urgency=Urgency.BACKGROUND
)
URGENT = RequestAnswer(
    kind=RequestKind.URGENT, deadline_ms=200, max_deadline_ms=1000, urgency=Urgency.IMMEDIATE
)
LOOKUP = RequestAnswer(
    kind=RequestKind.LOOKUP, deadline_ms=250, max_deadline_ms=1000, urgency=Urgency.NORMAL
)
BOOKING = RequestAnswer(
    kind=RequestKind.BOOKING, deadline_ms=1000, max_deadline_ms=5000, urgency=Urgency.IMMEDIATE
)


def example(name: ExampleName) -> Questionnaire:
    """Build an example; its addresses are placeholders from a private range."""
    match name:
        case ExampleName.MINIMAL:
            return minimal()
        case ExampleName.GULF:
            return gulf()
        case ExampleName.CERAFIAMMA:
            return cerafiamma()


def addresses() -> Iterator[str]:
    """Yield distinct private addresses."""
    for number in count(1):
        yield f"10.40.{number // 250}.{number % 250 + 1}:8400"


def build_service(
    name: str,
    record_type: str,
    *,
    zones: tuple[str, ...],
    free_addresses: Iterator[str],
    sizes: tuple[int, int, int, float],
    callers: tuple[CallerAnswer, ...],
    requests: tuple[RequestAnswer, ...],
) -> ServiceAnswer:
    """Build a service with one backend server per leaf and availability zone.

    The users have not stated how many replicas a leaf has; one per availability zone is assumed.

    :param sizes: leafs, slots, connection limit and cost of a connection in milliseconds
    """
    leafs, slots, connection_limit, connection_cost_ms = sizes
    servers = tuple(
        BackendServerAnswer(
            name=f"{name}-{leaf}-{zone.lower()}",
            address=next(free_addresses),
            availability_zone=zone,
        )
        for leaf in range(1, leafs + 1)
        for zone in zones
    )
    return ServiceAnswer(
        name=name,
        record_type=record_type,
        leafs=leafs,
        slots=slots,
        connection_limit=connection_limit,
        connection_cost_ms=connection_cost_ms,
        backend_servers=servers,
        callers=callers,
        requests=requests,
    )


def minimal() -> Questionnaire:
    """Build a questionnaire with one small service."""
    zones = ("zone-a",)
    catalogue = build_service(
        "catalogue",
        "catalogue entry",
        zones=zones,
        free_addresses=addresses(),
        sizes=(2, 4, 32, 1.0),
        callers=(CallerAnswer(name="web"),),
        requests=(LISTING, LOOKUP),
    )
    team = Team(name="Example team", contact="team@example.org")
    return Questionnaire(team=team, availability_zones=zones, services=(catalogue,))


def gulf() -> Questionnaire:
    """Build the questionnaire of the dispatch association."""
    zones, free_addresses = ("Tampico", "Altamira", "Tuxpan"), addresses()
    pilots = CallerAnswer(name="pilots", weight=3.0)
    agents = CallerAnswer(name="port-agents", weight=2.0, cap=0.8)
    offices = CallerAnswer(name="billing-offices", cap=0.4)
    all_kinds = (LISTING, URGENT, LOOKUP, BOOKING)

    add_service = partial(build_service, zones=zones, free_addresses=free_addresses)
    services = [
        add_service(
            f"dispatch-{n:02}",
            "barge berth",
            sizes=(3, 3, 30, 6.0),
            callers=(pilots, agents),
            requests=all_kinds,
        )
        for n in range(1, 11)
    ]
    services += [
        add_service(
            f"billing-{n:02}",
            "cargo manifest",
            sizes=(3, 3, 30, 6.0),
            callers=(agents, offices),
            requests=(LISTING, LOOKUP),
        )
        for n in range(1, 16)
    ]
    services.append(
        add_service(
            "port-agent-desk",
            "port call",
            sizes=(8, 4, 100, 1.0),
            callers=(agents, pilots),
            requests=all_kinds,
        )
    )
    services.append(
        add_service(
            "tide-notice",
            "tide notice",
            sizes=(4, 4, 100, 1.0),
            callers=(pilots, agents),
            requests=(URGENT, LOOKUP),
        )
    )
    team = Team(name="Gulf dispatch association", contact="dispatch@gulf.example")
    return Questionnaire(team=team, availability_zones=zones, services=tuple(services))


def cerafiamma() -> Questionnaire:
    """Build the questionnaire of the refill wholesaler."""
    zones, free_addresses = ("Bergamo", "Lecco", "Sondrio"), addresses()
    shops = CallerAnswer(name="shops", weight=3.0)
    parishes = CallerAnswer(name="parishes", weight=2.0, cap=0.6)
    traders = CallerAnswer(name="traders", weight=2.0, cap=0.7)
    all_kinds = (LISTING, URGENT, LOOKUP, BOOKING)

    add_service = partial(
        build_service, zones=zones, free_addresses=free_addresses, requests=all_kinds
    )
    services = [
        add_service(
            f"shop-counter-{n:02}", "refill stock", sizes=(3, 2, 25, 6.0), callers=(shops, traders)
        )
        for n in range(1, 11)
    ]
    services += [
        add_service(
            f"sacristan-{n:02}", "refill order", sizes=(3, 2, 25, 6.0), callers=(parishes, shops)
        )
        for n in range(1, 16)
    ]
    services.append(
        add_service("wholesale-portal", "pallet", sizes=(8, 2, 35, 1.0), callers=(traders, shops))
    )
    services.append(
        add_service("florist-reorder", "reorder", sizes=(4, 2, 35, 1.0), callers=(shops, traders))
    )
    team = Team(name="Cerafiamma", contact="rete@cerafiamma.example")
    return Questionnaire(team=team, availability_zones=zones, services=tuple(services))
