"""Changes of the store, the division of limits, and requests that crash servers."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from dataclasses import replace as replace_entry
from typing import TYPE_CHECKING

import pytest
from msgspec.structs import replace
from result import Err, Ok

from azurefield.crash_evidence import ServerEnded
from azurefield.failures import FailureKind
from azurefield.model import Outcome
from azurefield.routes import CallerLimits, Route, RouteTable, ServiceLimits, SingleService
from azurefield_entry.clock import now
from azurefield_entry.gateway.messages import MetadataListed, WriteCrashReport
from azurefield_entry.gateway.policies import TICK_INTERVAL_S
from azurefield_entry.gateway.ports import (
    CrashReportEntry,
    InstanceEntry,
    LeafCall,
    Listing,
    Removed,
    ServerKey,
)
from azurefield_entry.kernel import Kernel, Mailbox, Stop
from azurefield_testkit.entry_support.gateway_parts import make_gateway, make_request, make_server
from azurefield_testkit.entry_support.scripted_server import (
    PlainDialect,
    ScriptedServer,
    listening,
)
from azurefield_testkit.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from azurefield_entry.gateway.service import GatewayService


def table(version: int, *, connections_max: int = 30, timeout_s: float = 0.5) -> RouteTable:
    route = Route(
        name="r",
        host="x",
        prefix="/",
        target=SingleService(service="desk"),
        idempotent=True,
        timeout_s=timeout_s,
        attempts_max=1,
    )
    services = {"desk": ServiceLimits(connections_max=connections_max)}
    return RouteTable.build(
        version=version, routes=[route], services=services, limits=CallerLimits()
    )


async def test_an_older_version_never_replaces_a_newer_one() -> None:
    """Guards against a configuration that reverts."""
    service = make_gateway(table(5))
    service.apply_change(0.0, table(4))
    assert service.table is not None
    assert service.table.version == 5
    service.apply_listing(0.0, (table(3),))
    assert service.table.version == 5
    service.apply_change(0.0, table(9))
    assert service.table.version == 9


@pytest.mark.parametrize(
    ("instances", "limit", "expected"), [(1, 30, 15), (2, 30, 10), (8, 26, 2), (40, 30, 1)]
)
async def test_connections_are_divided_among_the_instances(
    instances: int, limit: int, expected: int
) -> None:
    """Guards against instances that together open more connections than a server accepts."""
    known = [InstanceEntry(instance=f"i{number}") for number in range(1, instances + 1)]
    service = make_gateway(table(1, connections_max=limit), make_server("192.0.2.1:80"), *known)
    assert service.connections.ceiling("s1") == expected


async def test_the_allowance_of_further_calls_is_divided_among_the_instances() -> None:
    """Guards against instances that together exceed the allowance after entries are lost."""
    known = [InstanceEntry(instance=f"i{number}") for number in range(1, 5)]
    service = make_gateway()
    service.further_calls_allowance = 50.0
    service.divide_limits()
    assert service.budget.allowance == 0.0, "the other instances are not known yet"
    service.apply_listing(0.0, tuple(known))
    share = service.budget.allowance
    assert 2 * 4 * share <= 50.0, "two starts of each instance in one window must fit"
    assert share > 0.0
    service.apply_listing(1.0, ())
    assert service.budget.allowance == share


async def test_a_request_without_a_configuration_is_refused_as_not_run() -> None:
    """Guards against a 404 from an instance that has not loaded a configuration yet."""
    service = make_gateway()
    result = await service.handle(make_request("/1"))
    assert isinstance(result, Err)
    assert (result.err_value.kind, result.err_value.outcome) == (
        FailureKind.NOT_READY,
        Outcome.NOT_RUN,
    )
    assert result.err_value.retry_after_s


class BrokenDialect(PlainDialect):
    """Can't encode any call."""

    def encode(self, call: LeafCall, now: float) -> tuple[bytes, ...]:  # noqa: ARG002
        raise RuntimeError("unexpected")


async def test_an_unexpected_error_in_a_call_ends_its_request_at_once() -> None:
    """Guards against a request that waits until its deadline for a call that has ended."""
    async with listening(ScriptedServer(script=[[]])) as address:
        service = make_gateway(table(1), make_server(address))
        service.connections.dialect = BrokenDialect()
        async with asyncio.timeout(0.4):
            result = await service.handle(make_request("/1"))
    assert isinstance(result, Err)
    assert result.err_value.outcome is Outcome.MAY_HAVE_RUN


SLOW_ANSWER = [b"HTTP/1.1 200 OK\r\n"] + [b"Id: /1\r\n"] * 20 + [b"Content-Length: 0\r\n\r\n"]


@dataclass(slots=True, kw_only=True)
class HeldServer:
    """Answers one request once ``released`` is set.

    :param begun: set once the request has arrived
    """

    begun: asyncio.Event = field(default_factory=asyncio.Event)
    released: asyncio.Event = field(default_factory=asyncio.Event)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nId: /1\r\n")
        self.begun.set()
        await self.released.wait()
        writer.write(b"Content-Length: 0\r\n\r\n")
        await reader.read()
        writer.close()


async def test_a_server_whose_entry_lapses_keeps_its_running_calls() -> None:
    """Guards against work that is given up because its server was slow to report."""
    server = HeldServer()
    async with listening(server) as address:
        service = make_gateway(table(1, timeout_s=30.0), make_server(address))
        waiting = asyncio.create_task(service.handle(make_request("/1")))
        await server.begun.wait()
        service.apply_change(0.0, Removed(key=ServerKey(server="s1")))
        server.released.set()
        result = await waiting
    assert isinstance(result, Ok)


@asynccontextmanager
async def other_server(service: GatewayService) -> AsyncIterator[None]:
    """Run a server of another service, which is up."""
    async with listening(ScriptedServer(script=[])) as address:
        entry = replace_entry(make_server(address, "other"), service="other")
        service.apply_change(0.0, entry)
        yield


async def end_server(service: GatewayService, target: str) -> None:
    """Run a request whose server closes the connection and then refuses connections."""
    async with listening(ScriptedServer(script=[[b""]])) as address:
        service.apply_change(0.0, make_server(address))
        assert isinstance(await service.handle(make_request(target)), Err)
    await asyncio.gather(*service.crash_watch.tasks)
    service.apply_change(0.0, Removed(key=ServerKey(server="s1")))


def mailbox_of_metadata(service: GatewayService) -> Mailbox:
    """Register a mailbox in place of the service ``metadata``."""
    service.kernel = Kernel()
    mailbox = service.kernel.mailboxes["metadata"] = Mailbox(name="metadata")
    return mailbox


async def test_a_request_under_which_servers_end_is_refused_everywhere() -> None:
    """Guards against a request that ends one server after the other."""
    service = make_gateway(table(1))
    mailbox = mailbox_of_metadata(service)
    async with other_server(service):
        await end_server(service, "/bad")
    written = await mailbox.receive()
    assert isinstance(written, WriteCrashReport)
    report = written.report
    assert isinstance(report, ServerEnded)
    assert (report.server, report.suspect) == ("s1", False)
    for name in ("s2", "s3"):
        elsewhere = replace(report, server=name, run=name, suspect=True)
        service.apply_change(0.0, CrashReportEntry(report=elsewhere))
    result = await service.handle(make_request("/bad"))
    assert isinstance(result, Err)
    assert result.err_value.kind is FailureKind.REQUEST_CRASHES_SERVERS
    assert result.err_value.outcome is Outcome.MAY_HAVE_RUN


async def test_an_instance_that_reaches_no_server_reports_nothing() -> None:
    """Guards against an own partition that is reported as crashes of servers."""
    service = make_gateway(table(1))
    mailbox = mailbox_of_metadata(service)
    async with other_server(service):
        pass
    await end_server(service, "/harmless")
    assert not service.crash_watch.evidence.requests
    assert mailbox.queue.empty()


async def test_a_run_is_ended_when_its_request_is_refused() -> None:
    """Guards against calls that go on to further servers after the last report has arrived."""
    service = make_gateway(table(1))
    async with listening(ScriptedServer(script=[SLOW_ANSWER * 50])) as address:
        service.apply_change(0.0, make_server(address))
        running = asyncio.create_task(service.handle(make_request("/bad")))
        await asyncio.sleep(0.05)
        (digest,) = service.runner.running
        for name in ("s1", "s2", "s3"):
            report = ServerEnded(
                request=digest,
                service="desk",
                server=name,
                incarnation="",
                run=name,
                suspect=True,
            )
            service.apply_change(0.0, CrashReportEntry(report=report))
        async with asyncio.timeout(0.2):
            result = await running
    assert isinstance(result, Err)
    assert result.err_value.kind is FailureKind.REQUEST_CRASHES_SERVERS
    assert not service.runner.running


async def test_a_listing_counts_from_the_time_at_which_it_arrives() -> None:
    """Guards against a warm-up of a server that counts from the message before its entry."""
    service = make_gateway()
    mailbox = Mailbox(name="gateway")
    running = asyncio.create_task(service.run(Kernel(), mailbox))
    await asyncio.sleep(TICK_INTERVAL_S / 2)
    sent_at = now()
    listing = Listing(items=(table(1),), revision=1)
    mailbox.send(MetadataListed(listing=listing, after_outage=False))
    await wait_until(lambda: service.ready, "the listing is known")
    assert service.store_contact_at >= sent_at
    mailbox.send(Stop())
    await running


async def test_an_instance_is_ready_once_it_has_a_listing() -> None:
    """Guards against an instance that reports readiness before it knows the servers."""
    service = make_gateway()
    assert not service.ready
    listing = Listing(items=(table(1),), revision=1)
    message = MetadataListed(listing=listing, after_outage=True)
    service.record_store_contact(3.0, 0.0, after_outage=message.after_outage)
    service.apply_listing(3.0, message.listing.items)
    assert service.ready
    assert service.directory.confirmation_deadline > 3.0
