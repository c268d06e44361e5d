"""Requests whose deadline passes while the connections for their calls are being opened."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, cast

import pytest
from msgspec.structs import replace
from result import Err, Ok

from azurefield.failures import LeafFailure, LeafFailureReason
from azurefield.model import Outcome
from azurefield.retry import WindowedBudget
from azurefield.routes import CallerLimits, Route, RouteTable, ServiceLimits, SingleService
from azurefield_entry.clock import now
from azurefield_entry.gateway.ports import (
    EvacuatedZone,
    EvacuationKey,
    InstanceEntry,
    Removed,
)
from azurefield_entry.gateway.requests.running import RunningRequest, SentCall, record_reply
from azurefield_entry.gateway.servers.connection import HttpLeafConnection
from azurefield_testkit.entry_support.gateway_parts import make_gateway, make_request, make_server
from azurefield_testkit.entry_support.scripted_server import ScriptedServer, listening
from azurefield_testkit.waiting import wait_until

if TYPE_CHECKING:
    from azurefield_entry.gateway.service import GatewayService

CONNECT_S = 0.15
DEADLINE_S = 0.05


@dataclass(slots=True, kw_only=True)
class CountingServer:
    """A server that answers each request, and counts connections and requests."""

    accepted: int = 0
    targets: list[str] = field(default_factory=list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.accepted += 1
        while head := await reader.read(65_536):
            self.targets.append(head.split()[1].decode())
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        writer.close()


def route(*, idempotent: bool) -> Route:
    return Route(
        name="r",
        host="x",
        prefix="/",
        target=SingleService(service="desk"),
        timeout_s=1.0,
        idempotent=idempotent,
    )


def gateway_to(address: str, *, idempotent: bool) -> GatewayService:
    services = {"desk": ServiceLimits(connections_max=30)}
    table = RouteTable.build(
        version=1, routes=[route(idempotent=idempotent)], services=services, limits=CallerLimits()
    )
    return make_gateway(table, make_server(address), InstanceEntry(instance="i1"))


@pytest.mark.parametrize("idempotent", [True, False], ids=["repeatable", "unsafe"])
async def test_a_request_whose_connection_opens_after_its_deadline_has_not_run(
    monkeypatch: pytest.MonkeyPatch, *, idempotent: bool
) -> None:
    """Guards against a call that counts as run while it connects, or is sent after its request."""
    connect = HttpLeafConnection.connect

    async def connect_late(connection: HttpLeafConnection) -> bool:
        await asyncio.sleep(CONNECT_S)
        return await connect(connection)

    monkeypatch.setattr(HttpLeafConnection, "connect", connect_late)
    server = CountingServer()
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
    service = gateway_to(address, idempotent=idempotent)
    result = await service.handle(make_request("/late", deadline=now() + DEADLINE_S))
    assert isinstance(result, Err)
    assert result.err_value.outcome is Outcome.NOT_RUN
    await asyncio.sleep(2 * CONNECT_S)
    assert isinstance(await service.handle(make_request("/next")), Ok)
    assert server.targets == ["/next"]
    assert server.accepted == 1, "the connection is kept"
    service.connections.retire_all()
    listener.close()


async def test_a_call_that_connects_when_its_zone_is_evacuated_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against calls to an evacuated zone that were waiting when the request came."""
    connect = HttpLeafConnection.connect
    connecting, resume = asyncio.Event(), asyncio.Event()

    async def connect_late(connection: HttpLeafConnection) -> bool:
        connecting.set()
        await resume.wait()
        return await connect(connection)

    monkeypatch.setattr(HttpLeafConnection, "connect", connect_late)
    server = CountingServer()
    async with listening(server) as address:
        service = gateway_to(address, idempotent=True)
        running = asyncio.create_task(service.handle(make_request("/1")))
        await connecting.wait()
        service.apply_change(now(), EvacuatedZone(zone="one"))
        resume.set()
        result = await running
        assert isinstance(result, Err)
        assert result.err_value.outcome is Outcome.NOT_RUN
        assert server.targets == []
        service.apply_change(now(), Removed(key=EvacuationKey(zone="one")))
        assert isinstance(await service.handle(make_request("/2")), Ok)
        service.connections.retire_all()


async def test_a_request_that_a_server_ran_may_have_run_at_the_begin_of_a_partition(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against "not run" for a request that ran while its next call is connecting."""
    connect = HttpLeafConnection.connect
    connects = 0

    async def connect_once(connection: HttpLeafConnection) -> bool:
        nonlocal connects
        connects += 1
        if connects > 1:
            await asyncio.sleep(DEADLINE_S + 1.0)
        return await connect(connection)

    monkeypatch.setattr(HttpLeafConnection, "connect", connect_once)
    monkeypatch.setattr(WindowedBudget, "try_spend", lambda *_, **__: True)
    server = ScriptedServer(script=[[b"garbage\r\n\r\n"]] * 2)
    async with listening(server) as first, listening(server) as second:
        desk = replace(route(idempotent=True), attempts_max=3)
        table = RouteTable.build(
            version=1,
            routes=[desk],
            services={"desk": ServiceLimits(connections_max=30)},
            limits=CallerLimits(),
        )
        service = make_gateway(
            table,
            make_server(first, "s1"),
            make_server(second, "s2"),
            InstanceEntry(instance="i1"),
            further_calls_allowance=50.0,
        )
        runner = service.dispatcher.runner
        request = make_request("/1", deadline=now() + 1.0)
        running = asyncio.create_task(runner.run(request, desk, 1))
        await wait_until(lambda: connects == 2, "the second call connects")
        runner.abandon_unreachable()
        result = await running
        assert isinstance(result, Err)
        assert result.err_value.outcome is Outcome.MAY_HAVE_RUN
        assert len(server.requests) == 1


@pytest.mark.parametrize(
    ("reason", "outcome", "may_have_run"),
    [
        (LeafFailureReason.MALFORMED, Outcome.MAY_HAVE_RUN, True),
        (LeafFailureReason.CONNECTION_LOST, Outcome.MAY_HAVE_RUN, True),
        (LeafFailureReason.SHEDDING, Outcome.NOT_RUN, False),
    ],
)
async def test_a_request_may_have_run_until_its_server_denies_it(
    reason: LeafFailureReason, outcome: Outcome, may_have_run: bool
) -> None:
    """Guards against a malformed answer that is forgotten while the next call connects."""
    running = RunningRequest(
        request=make_request("/1"),
        route=route(idempotent=True),
        version=1,
        digest="",
        fan_out=cast("Any", None),
        result_future=asyncio.get_running_loop().create_future(),
    )
    running.attempts["desk"] = 1
    running.sent_calls["c1"] = SentCall(server="s1", service="desk", sent_at=0.0)
    record_reply(running, "c1", Err(LeafFailure(reason=reason, outcome=outcome)))
    assert running.may_have_run is may_have_run
