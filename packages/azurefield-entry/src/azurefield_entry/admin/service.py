"""Service ``admin``: health, metrics and status for operators and the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from aiohttp import web
from logbook import Logger
from msgspec import Struct
from prometheus_client import generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from azurefield_entry.admin.status import InstanceStatus
from azurefield_entry.kernel import BeginDrain, Stop
from azurefield_entry.listener import listen
from azurefield_entry.messages import (
    ConfigurationChanged,
    PeersChanged,
    ReadinessChanged,
)
from azurefield_entry.metrics import Metrics

if TYPE_CHECKING:
    from azurefield_entry.kernel import Kernel, Mailbox

CLOSE_TIMEOUT_S = 1.0
log = Logger("admin")


class AdminService(Struct, kw_only=True):
    """Serves the health, metrics and status of the instance; ``address`` is ``host:port``."""

    address: str
    metrics: Metrics
    status: InstanceStatus

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:  # noqa: ARG002
        """Listen and handle messages until ``Stop``."""
        runner = web.AppRunner(
            self.application(), access_log=None, shutdown_timeout=CLOSE_TIMEOUT_S
        )
        if await listen(runner, self.address, mailbox) is not None:
            log.info("Listening on {}.", self.address)
        while True:
            message = await mailbox.receive()
            if isinstance(message, Stop):
                break
            self.handle(message)
        await runner.cleanup()

    def handle(self, message: object) -> None:
        """Update the status and metrics from a message; log changes of readiness."""
        ready_before = self.status.ready
        match message:
            case ConfigurationChanged(configuration=configuration, digest=digest):
                self.status.version, self.status.digest = configuration.version, digest
                self.metrics.version_in_force.set(configuration.version)
                log.info("Configuration version {} is in force.", configuration.version)
            case ReadinessChanged(part=part, ready=ready, reason=reason):
                self.status.parts[part] = (ready, reason)
            case PeersChanged(peers=peers):
                self.status.peers = peers
            case BeginDrain():
                self.status.draining = True
        if self.status.ready != ready_before:
            log.info(
                "Ready." if self.status.ready else f"Not ready: {self.status.not_ready_reason()}."
            )

    def application(self) -> web.Application:
        """Build the routes of the admin listener."""
        application = web.Application()
        application.router.add_get("/livez", self.livez)
        application.router.add_get("/readyz", self.readyz)
        application.router.add_get("/metrics", self.show_metrics)
        application.router.add_get("/v1/status", self.show_status)
        return application

    async def livez(self, _request: web.Request) -> web.Response:
        """Answer 200 while the process runs."""
        return _json_response({"live": True})

    async def readyz(self, _request: web.Request) -> web.Response:
        """Answer 200 if the balancer may send requests, else 503 with the reason."""
        if self.status.ready:
            return _json_response({"ready": True})
        return _json_response(
            {"ready": False, "reason": self.status.not_ready_reason()}, status=503
        )

    async def show_metrics(self, _request: web.Request) -> web.Response:
        """Answer with all metrics in Prometheus' text format."""
        return web.Response(
            body=generate_latest(self.metrics.registry),
            headers={"Content-Type": CONTENT_TYPE_LATEST},
        )

    async def show_status(self, _request: web.Request) -> web.Response:
        """Answer with the state of the instance."""
        return _json_response(self.status.describe())


def _json_response(body: dict[str, Any], *, status: int = 200) -> web.Response:
    return web.Response(
        status=status, body=msgspec.json.encode(body), content_type="application/json"
    )
