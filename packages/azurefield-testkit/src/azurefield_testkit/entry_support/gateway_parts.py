"""Requests, servers and a gateway service for tests, with the usual values."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

from azurefield.directory import RegisteredServer, RegisteredState
from azurefield.retry import WindowedBudget
from azurefield.routing import OwnObservationRouter
from azurefield_entry.clock import now
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.ports import GatewayRequest
from azurefield_entry.gateway.service import GatewayService
from azurefield_testkit.entry_support.scripted_server import PlainDialect

if TYPE_CHECKING:
    from azurefield_entry.gateway.ports import Item, LeafDialect

SERVICE = "desk"


def make_request(target: str = "/1", **changes: Any) -> GatewayRequest:
    """Build a request that arrives now and whose identity is its target."""
    fields: dict[str, Any] = {
        "request_id": target,
        "method": "GET",
        "host": "x",
        "target": target,
        "headers": (),
        "body": b"",
        "arrived_at": now(),
        "deadline": None,
    }
    return GatewayRequest(**fields | changes)


def make_server(address: str, name: str = "s1") -> RegisteredServer:
    """Build the entry of a server of ``SERVICE`` at ``host:port``."""
    return RegisteredServer(
        server=name,
        service=SERVICE,
        address=address,
        availability_zone="one",
        state=RegisteredState.LIVE,
    )


def make_gateway(
    *items: Item, dialect: LeafDialect | None = None, further_calls_allowance: float = 0.0
) -> GatewayService:
    """Build a gateway service that knows a listing of the store."""
    service = GatewayService(
        instance="i1",
        availability_zone="one",
        leaf_dialect=dialect or PlainDialect(),
        router=OwnObservationRouter(random=Random(1)),
        budget=WindowedBudget(ratio=0.2, window_s=10.0),
        metrics=GatewayMetrics(),
        further_calls_allowance=further_calls_allowance,
    )
    service.apply_listing(0.0, items)
    return service
