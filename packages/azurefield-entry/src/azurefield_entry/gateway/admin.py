"""The service ``admin`` of the gateway: metrics and explanations for on-call engineers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web
from logbook import Logger
from msgspec import Struct
from prometheus_client import generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST
from result import Err, Ok

from azurefield.explanation import EXPLAIN_PATH, ExplainQuery, Explanation
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.kernel import Stop
from azurefield_entry.listener import listen

if TYPE_CHECKING:
    from azurefield_entry.kernel import Kernel, Mailbox

CLOSE_TIMEOUT_S = 0.2
METRICS_PATH = "/metrics"
log = Logger("admin")


class GatewayAdmin(Struct, kw_only=True):
    """Serves the Prometheus metrics of the process, and explains where a request would go.

    :param address: ``host:port``
    """

    address: str
    metrics: GatewayMetrics
    explain: Callable[[ExplainQuery], Awaitable[Explanation]]

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:  # noqa: ARG002
        """Serve until ``Stop``."""
        runner = web.ServerRunner(
            web.Server(self.answer, access_log=None), shutdown_timeout=CLOSE_TIMEOUT_S
        )
        if await listen(runner, self.address, mailbox) is not None:
            log.info("Listening on {}.", self.address)
        while not isinstance(await mailbox.receive(), Stop):
            pass
        await runner.cleanup()

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer the paths of this service; any other path gets 404."""
        if request.path == EXPLAIN_PATH:
            return await self.answer_explain(request)
        if request.path != METRICS_PATH:
            return web.Response(status=404)
        return web.Response(
            body=generate_latest(self.metrics.registry),
            headers={"Content-Type": CONTENT_TYPE_LATEST},
        )

    async def answer_explain(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer with an ``Explanation`` in JSON; 400 if the parameters can't be used."""
        if request.method != "GET":
            return web.Response(status=405, headers={"Allow": "GET"})
        match ExplainQuery.parse(request.query):
            case Err(problem):
                return web.Response(status=400, text=problem)
            case Ok(query):
                explanation = await self.explain(query)
        return web.Response(body=msgspec.json.encode(explanation), content_type="application/json")
