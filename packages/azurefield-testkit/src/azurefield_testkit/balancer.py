"""Stand-in load balancer: HTTP with round robin over the ready entry instances."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

import defopt
import msgspec
import uvloop
from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    TCPConnector,
    web,
)
from result import Err, Ok

from azurefield_testkit.stand_in import Listener, abort, decode_control, run_until_stopped

READINESS_POLL_S = 0.25
READINESS_TIMEOUT_S = 1.0
REQUEST_TIMEOUT_S = 60.0
HOP_BY_HOP_HEADERS = frozenset({"connection", "keep-alive", "transfer-encoding", "te", "upgrade"})


class Target(msgspec.Struct, kw_only=True, frozen=True):
    """An entry instance's caller address and admin address."""

    address: str
    admin_address: str


class Control(msgspec.Struct, kw_only=True, frozen=True):
    """A control request that replaces the entry instances behind the balancer."""

    targets: tuple[Target, ...]


@dataclass(slots=True, kw_only=True)
class Balancer:
    """Forwards each request to the next ready instance.

    A request is sent to another instance only if the connection to the first one could not be
    opened, so that no byte of it was sent. Connections are not reused, since an instance can close
    an idle connection at the moment when the next request is sent on it.
    """

    targets: tuple[Target, ...] = ()
    ready: set[Target] = field(default_factory=set)
    next_index: int = 0
    forwarded: int = 0
    failed: int = 0
    session: ClientSession | None = None
    readiness_poller: asyncio.Task[None] | None = None
    listener: Listener = field(init=False)

    def __post_init__(self) -> None:
        """Register the routes."""
        app = web.Application(client_max_size=16 * 1024 * 1024)
        app.router.add_post("/balancer/control", self.on_control)
        app.router.add_get("/balancer/status", self.on_status)
        app.router.add_route("*", "/{path:.*}", self.on_request)
        self.listener = Listener(app=app)

    async def start(self, port: int = 0) -> str:
        """Start to listen and to poll the instances; returns the address."""
        self.session = ClientSession(
            connector=TCPConnector(force_close=True, limit=0), auto_decompress=False
        )
        self.readiness_poller = asyncio.create_task(self.poll_readiness())
        return await self.listener.start(port)

    async def stop(self) -> None:
        """Stop listening and polling, and close all connections."""
        await self.listener.stop()
        if self.readiness_poller is not None:
            self.readiness_poller.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.readiness_poller
        if self.session is not None:
            await self.session.close()

    async def poll_readiness(self) -> None:
        """Poll the readiness of all instances until cancelled."""
        while True:
            targets = self.targets
            answers = await asyncio.gather(*(self.is_ready(target) for target in targets))
            self.ready = {target for target, ready in zip(targets, answers, strict=True) if ready}
            await asyncio.sleep(READINESS_POLL_S)

    async def is_ready(self, target: Target) -> bool:
        """Whether an instance reports that it is ready for requests."""
        assert self.session is not None
        url = f"http://{target.admin_address}/readyz"
        try:
            async with self.session.get(
                url, timeout=ClientTimeout(total=READINESS_TIMEOUT_S)
            ) as answer:
                return answer.status == 200
        except (ClientError, TimeoutError):
            return False

    def candidates(self) -> list[Target]:
        """List the ready instances in round-robin order, beginning with the next one."""
        ready = [target for target in self.targets if target in self.ready]
        if not ready:
            return []
        self.next_index += 1
        start = self.next_index % len(ready)
        return ready[start:] + ready[:start]

    async def on_request(self, request: web.Request) -> web.StreamResponse:
        """Forward one request and stream the answer to the caller."""
        body = await request.read()
        for target in self.candidates():
            try:
                answer = await self.send(request, target, body)
            except ClientConnectorError:
                continue
            except (ClientError, TimeoutError):
                self.failed += 1
                return problem_response(502, "instance-lost")
            self.forwarded += 1
            return await self.stream_back(request, answer)
        self.failed += 1
        return problem_response(503, "no-instance")

    async def send(self, request: web.Request, target: Target, body: bytes) -> ClientResponse:
        """Send a request to one instance and wait for the headers of its answer."""
        assert self.session is not None
        headers = [
            (name, value)
            for name, value in request.headers.items()
            if name.lower() not in HOP_BY_HOP_HEADERS
        ]
        return await self.session.request(
            request.method,
            f"http://{target.address}{request.path_qs}",
            headers=headers,
            data=body,
            allow_redirects=False,
            timeout=ClientTimeout(total=REQUEST_TIMEOUT_S),
        )

    async def stream_back(self, request: web.Request, answer: ClientResponse) -> web.StreamResponse:
        """Copy an answer to the caller as it arrives.

        If the instance breaks off the answer, the connection of the caller is reset.
        """
        response = web.StreamResponse(status=answer.status)
        for name, value in answer.headers.items():
            if name.lower() not in HOP_BY_HOP_HEADERS:
                response.headers[name] = value
        try:
            await response.prepare(request)
            async for chunk in answer.content.iter_any():
                await response.write(chunk)
        except (ClientError, TimeoutError):
            self.failed += 1
            abort(request)
        finally:
            answer.close()
        return response

    async def on_control(self, request: web.Request) -> web.Response:
        """Replace the instances behind the balancer."""
        match decode_control(await request.read(), Control):
            case Err(problem):
                return web.json_response({"error": problem}, status=400)
            case Ok(control):
                self.targets = control.targets
                self.ready = {target for target in self.ready if target in control.targets}
        return web.json_response({})

    async def on_status(self, _request: web.Request) -> web.Response:
        """Return the ready instances and the counts."""
        body = {
            "ready": sorted(target.address for target in self.ready),
            "forwarded": self.forwarded,
            "failed": self.failed,
        }
        return web.json_response(body)


def problem_response(status: int, kind: str) -> web.Response:
    """Build an error answer of the balancer itself, which does not know a request's outcome."""
    body = {"type": kind, "title": kind, "status": status}
    return web.json_response(body, status=status, content_type="application/problem+json")


def parse_target(text: str) -> Target:
    """Parse ``CALLER_ADDRESS/ADMIN_ADDRESS``.

    >>> parse_target("127.0.0.1:1/127.0.0.1:2").admin_address
    '127.0.0.1:2'
    """
    address, _, admin_address = text.partition("/")
    return Target(address=address, admin_address=admin_address)


def serve(*, targets: str = "", port: int = 0) -> None:
    """Run the stand-in balancer as a process.

    :param targets: caller and admin address of each instance, ``A/B,C/D``
    :param port: loopback port, 0 for any free one
    """

    async def main() -> None:
        balancer = Balancer(targets=tuple(map(parse_target, filter(None, targets.split(",")))))
        await run_until_stopped(lambda: balancer.start(port), balancer.stop)

    uvloop.run(main())


if __name__ == "__main__":
    defopt.run(serve)
