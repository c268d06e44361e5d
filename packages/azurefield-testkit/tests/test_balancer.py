from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from aiohttp import ClientSession, web

from azurefield_testkit.balancer import Balancer, Target
from azurefield_testkit.stand_in import Listener
from azurefield_testkit.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@dataclass(slots=True, kw_only=True)
class FakeInstance:
    """Stand-in for an entry instance: it reports readiness and keeps the bodies it receives."""

    name: str
    ready: bool = True
    resets_connections: bool = False
    bodies: list[bytes] = field(default_factory=list)
    listener: Listener = field(init=False)

    def __post_init__(self) -> None:
        app = web.Application()
        app.router.add_get("/readyz", self.on_ready)
        app.router.add_post("/{path:.*}", self.on_post)
        self.listener = Listener(app=app)

    async def on_ready(self, _request: web.Request) -> web.Response:
        return web.Response(status=200 if self.ready else 503)

    async def on_post(self, request: web.Request) -> web.Response:
        self.bodies.append(await request.read())
        if self.resets_connections and request.transport is not None:
            request.transport.abort()
        return web.Response(text=self.name)


@asynccontextmanager
async def running(*instances: FakeInstance) -> AsyncIterator[tuple[Balancer, ClientSession]]:
    addresses = [await instance.listener.start() for instance in instances]
    targets = tuple(Target(address=address, admin_address=address) for address in addresses)
    balancer = Balancer(targets=targets)
    session = ClientSession(f"http://{await balancer.start()}")
    try:
        await wait_until(lambda: len(balancer.ready) == len(instances), "all instances ready")
        yield balancer, session
    finally:
        await session.close()
        await balancer.stop()
        for instance in instances:
            await instance.listener.stop()


async def post(session: ClientSession) -> tuple[int, str]:
    async with session.post("/v1/x", data=b"body") as answer:
        return answer.status, await answer.text()


async def test_requests_are_balanced_over_the_ready_instances_only() -> None:
    """Guards against requests to an instance that is not ready."""
    first, second = FakeInstance(name="first"), FakeInstance(name="second")
    async with running(first, second) as (balancer, session):
        assert {await post(session) for _ in range(4)} == {(200, "first"), (200, "second")}
        second.ready = False
        await wait_until(lambda: len(balancer.ready) == 1, "one instance left")
        assert {await post(session) for _ in range(4)} == {(200, "first")}


async def test_a_post_that_an_instance_received_is_not_sent_again() -> None:
    """Guards against bookings that the balancer duplicates when an instance breaks a connection."""
    instances = FakeInstance(name="first", resets_connections=True), FakeInstance(
        name="second", resets_connections=True
    )
    async with running(*instances) as (_, session):
        status, _ = await post(session)
        assert status == 502
        assert sum(len(instance.bodies) for instance in instances) == 1


async def test_a_post_goes_to_another_instance_when_the_connection_was_refused() -> None:
    """Guards against failed requests while the balancer still lists a stopped instance as ready."""
    first, second = FakeInstance(name="first"), FakeInstance(name="second")
    async with running(first, second) as (_, session):
        await first.listener.stop()
        assert {await post(session) for _ in range(2)} == {(200, "second")}
