"""Late copies of refusals: a request that is sent again must not be answered by an earlier call."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import pytest
from result import Err, Ok, Result

from azurefield.failures import LeafFailure, LeafFailureReason
from azurefield.model import Outcome
from azurefield.routes import CallerLimits, Route, RouteTable, ServiceLimits, SingleService
from azurefield_entry.gateway.ports import (
    Headers,
    InstanceEntry,
    LeafCall,
    OpaqueAnswer,
)
from azurefield_testkit.entry_support.gateway_parts import make_gateway, make_request, make_server
from azurefield_testkit.entry_support.scripted_server import PlainDialect

if TYPE_CHECKING:
    from azurefield_entry.gateway.service import GatewayService

ROUTE = Route(
    name="order",
    host="x",
    prefix="/",
    target=SingleService(service="desk"),
    idempotent=False,
    timeout_s=2.0,
    attempts_max=2,
)


class RefusingDialect(PlainDialect):
    """The header ``Refused`` says that the server did not run the call."""

    def decode(
        self, call: LeafCall, status: int, headers: Headers, body: bytes, *, reused: bool
    ) -> Result[OpaqueAnswer, LeafFailure] | None:
        decoded = super().decode(call, status, headers, body, reused=reused)
        if decoded is not None and "Refused" in dict(headers):
            reason = LeafFailureReason.SHEDDING
            return Err(LeafFailure(reason=reason, outcome=Outcome.NOT_RUN))
        return decoded


def encode_answer(status: int, target: str, extra: str = "") -> bytes:
    return f"HTTP/1.1 {status} X\r\nId: {target}\r\n{extra}Content-Length: 0\r\n\r\n".encode()


@dataclass(slots=True, kw_only=True)
class RefusingServer:
    """Refuses each request once, and repeats the refusal in front of the next answer.

    :param ran: the targets of the requests that it has run
    """

    refused: set[str] = field(default_factory=set)
    ran: list[str] = field(default_factory=list)
    accepted: int = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        copy = b""
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split()[1].decode()
                writer.write(copy)
                copy = b""
                if target.startswith("/refused") and target not in self.refused:
                    self.refused.add(target)
                    copy = encode_answer(503, target, "Refused: 1\r\n")
                    writer.write(copy)
                    continue
                self.ran.append(target)
                await asyncio.sleep(0.01)
                writer.write(encode_answer(200, target))
        writer.close()


def gateway_to(address: str, connections_max: int) -> GatewayService:
    services = {"desk": ServiceLimits(connections_max=connections_max)}
    table = RouteTable.build(version=1, routes=[ROUTE], services=services, limits=CallerLimits())
    return make_gateway(
        table,
        make_server(address),
        InstanceEntry(instance="i1"),
        dialect=RefusingDialect(),
        further_calls_allowance=100.0,
    )


@pytest.mark.parametrize("count", [1, 3])
@pytest.mark.parametrize("connections_max", [1, 30], ids=["one-connection", "several"])
@pytest.mark.parametrize("others", [0, 3], ids=["alone", "beside-others"])
async def test_a_late_copy_of_a_refusal_does_not_answer_the_repeated_call(
    count: int, connections_max: int, others: int
) -> None:
    """Guards against a request that runs twice, or is refused after it has run."""
    server = RefusingServer()
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    service = gateway_to(f"127.0.0.1:{listener.sockets[0].getsockname()[1]}", connections_max)
    beside = [service.handle(make_request(f"/other{number}")) for number in range(others)]
    targets = [f"/refused{number}" for number in range(count)]
    results = await asyncio.gather(*(service.handle(make_request(t)) for t in targets), *beside)
    assert all(isinstance(result, Ok) for result in results), results
    assert sorted(t for t in server.ran if t.startswith("/refused")) == targets
    service.connections.retire_all()
    listener.close()


async def test_only_a_repeated_call_takes_another_connection() -> None:
    """Guards against a new connection for each refusal of an overloaded server."""
    server = RefusingServer()
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    service = gateway_to(f"127.0.0.1:{listener.sockets[0].getsockname()[1]}", 30)
    assert isinstance(await service.handle(make_request("/first")), Ok)
    assert isinstance(await service.handle(make_request("/refused")), Ok)
    assert server.accepted == 2
    for number in range(5):
        assert isinstance(await service.handle(make_request(f"/later{number}")), Ok)
    assert server.accepted == 2
    service.connections.retire_all()
    listener.close()
