"""Requests for quota between instances: granted, denied, withdrawn, and issuers that are lost."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import pytest

from azurefield.directory import RegisteredServer, RegisteredState
from azurefield.quota import DEPUTY_FRACTION, issuer_order
from azurefield.routes import ServiceLimits
from azurefield.server_limits import NO_LIMIT, NamedLimit, ServerLimits
from azurefield.warmup_limits import WarmupBound
from azurefield_entry.clock import now
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.peers.links import PeerLinks
from azurefield_entry.gateway.quotas.frames import ShareNotIssued
from azurefield_entry.gateway.quotas.server_quotas import ServerQuotas
from azurefield_testkit.entry_support.gateway_parts import make_gateway
from azurefield_testkit.entry_support.peers import (
    QuotaInstance,
    running_peers,
    serve_quotas,
    view_of,
)
from azurefield_testkit.waiting import wait_until

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager


NAMES = frozenset({"i1", "i2", "i3"})
SERVER = RegisteredServer(
    server="s1",
    service="desk",
    address="192.0.2.1:80",
    availability_zone="one",
    state=RegisteredState.LIVE,
)
FIRST, DEPUTY, LAST = issuer_order("desk", NAMES)
# Long enough that no further token becomes due in a test.
LIMIT_PER_S = 0.01


@dataclass(slots=True, kw_only=True)
class Instance(QuotaInstance[ServerQuotas]):
    """One instance with its service for the others."""

    async def acquire(self, wait_s: float = 0.0, priority: int = 1) -> bool:
        return await self.quotas.acquire(SERVER, priority, now() + wait_s)

    async def stop(self) -> None:
        self.quotas.close()
        await QuotaInstance.stop(self)


def build(name: str, addresses: dict[str, str]) -> Instance:
    limits = ServerLimits()
    limits.known["s1"] = NamedLimit(per_s=LIMIT_PER_S, named_at=now())
    quotas = ServerQuotas(
        own=name,
        limits=limits,
        peers=PeerLinks(view=view_of(name, addresses)),
        instances=lambda: NAMES,
        metrics=GatewayMetrics(),
    )
    running = serve_quotas(
        addresses[name], quotas.issuer, lambda frame: ShareNotIssued(number=frame.number)
    )
    return Instance(quotas=quotas, running=running)


def fleet() -> AbstractAsyncContextManager[dict[str, Instance]]:
    return running_peers(NAMES, build)


async def test_one_token_is_issued_for_all_instances() -> None:
    """Guards against instances that each have a token of their own."""
    async with fleet() as instances:
        granted = [await instances[name].acquire() for name in (LAST, FIRST, DEPUTY)]
        assert granted == [True, False, False]
        assert instances[DEPUTY].quotas.limits.opens_at("s1", 1) > now() + 1


async def test_a_server_without_a_limit_needs_no_token() -> None:
    """Guards against a round trip before each call to any server."""
    async with fleet() as instances:
        instances[LAST].quotas.limits.known.clear()
        assert [await instances[LAST].acquire() for _ in range(3)] == [True] * 3
        assert not instances[LAST].quotas.peers.links


def warm_up(instance: Instance) -> None:
    """Let an instance know that the server warms up, with a token each 4 s, and no named limit."""
    service = ServiceLimits(connections_max=30, warmup_duration_s=60.0, warmup_rate_per_s=0.5)
    instance.quotas.limits.known.clear()
    instance.quotas.warmups.bound = WarmupBound(rate_factor=1.0, extra_requests=0.0)
    instance.quotas.warmups.services = {"desk": service}
    instance.quotas.warmups.on_entry(now(), replace(SERVER, warmup_s=60.0))


async def test_the_first_call_to_a_server_that_warms_up_needs_a_token() -> None:
    """Guards against instances that each send a first call, as to a limit yet to be named."""
    async with fleet() as instances:
        for instance in instances.values():
            warm_up(instance)
        granted = [await instances[name].acquire() for name in (LAST, FIRST, DEPUTY)]
        assert granted == [True, False, False]


async def test_an_instance_that_reaches_no_issuer_does_not_call_a_server_that_warms_up() -> None:
    """Guards against many cut-off instances that each issue a first token to themselves."""
    async with fleet() as instances:
        warm_up(instances[LAST])
        for name in (FIRST, DEPUTY):
            instances[LAST].quotas.unreachable_until[name] = now() + 60.0
        assert not await instances[LAST].acquire()
        assert instances[LAST].quotas.limits.opens_at("s1", 1) > now()


async def test_an_instance_without_a_listing_issues_no_token_to_itself() -> None:
    """Guards against new instances that each take themselves for the only issuer."""
    service = make_gateway()
    service.listing_received = False
    quotas = service.quotas
    quotas.limits.known["s1"] = NamedLimit(per_s=LIMIT_PER_S, named_at=now())
    assert not await quotas.acquire(SERVER, 1, now())
    assert quotas.own_fraction("desk") == DEPUTY_FRACTION
    service.apply_listing(now(), ())
    assert await quotas.acquire(SERVER, 1, now())
    assert quotas.own_fraction("desk") == 1.0
    quotas.close()


async def test_a_call_waits_for_its_turn_and_leaves_the_queue_when_it_is_cancelled() -> None:
    """Guards against tokens for calls that were cancelled."""
    async with fleet() as instances:
        for instance in instances.values():
            instance.quotas.limits.known["s1"] = NamedLimit(per_s=2.0, named_at=now())
        assert await instances[LAST].acquire()
        cancelled = asyncio.create_task(instances[LAST].acquire(wait_s=20.0, priority=0))
        queue = instances[FIRST].quotas.issuer.queue
        await wait_until(lambda: bool(queue.server_of), "the request waits")
        cancelled.cancel()
        await wait_until(lambda: not queue.server_of, "the request is withdrawn")
        assert await instances[DEPUTY].acquire(wait_s=20.0)


@pytest.mark.parametrize("silent", [False, True], ids=["ended", "silent"])
async def test_the_deputy_issues_when_the_first_issuer_is_lost(silent: bool) -> None:
    """Guards against a limited server that gets nothing after one instance is lost."""
    async with fleet() as instances:
        first = instances[FIRST]
        if silent:
            first.service.quota_issuer = first.quotas.issuer = SilentIssuer()  # type: ignore[assignment]
        else:
            await first.stop()
        assert await instances[LAST].acquire()
        assert FIRST in instances[LAST].quotas.unreachable_until
        assert DEPUTY in instances[LAST].quotas.peers.links
        assert not await instances[LAST].acquire()


class SilentIssuer:
    """Never replies."""

    def ask(self, *args: object) -> None:
        """Ignore a request."""

    def withdraw(self, key: object) -> None:
        """Ignore a withdrawal."""

    def close(self) -> None:
        """Do nothing."""


async def test_the_links_of_an_instance_that_ends_leave_no_requests_behind() -> None:
    """Guards against tokens for the calls of an instance that was killed."""
    async with fleet() as instances:
        assert await instances[FIRST].acquire()
        waiting = asyncio.create_task(instances[LAST].acquire(wait_s=1000.0))
        queue = instances[FIRST].quotas.issuer.queue
        await wait_until(lambda: bool(queue.server_of), "the request waits")
        for link in instances[LAST].quotas.peers.links.values():
            link.writer.transport.abort()
        await wait_until(lambda: not queue.server_of, "the request is dropped")
        waiting.cancel()


async def test_the_end_of_a_limit_reaches_instances_that_wait_for_a_token() -> None:
    """Guards against calls that wait for quota of a server that takes any number again."""
    async with fleet() as instances:
        assert await instances[FIRST].acquire()
        waiting = asyncio.create_task(instances[LAST].acquire(wait_s=1000.0))
        queue = instances[FIRST].quotas.issuer.queue
        await wait_until(lambda: bool(queue.server_of), "the request waits")
        deputy = instances[DEPUTY].quotas
        deputy.limits.on_answer(now(), "s1", NO_LIMIT, now())
        deputy.on_limit_ended(SERVER)
        assert await waiting
        assert "s1" not in instances[LAST].quotas.limits.known
