"""What servers say of themselves in their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from logbook import Logger
from msgspec import Struct
from result import Ok, Result

from azurefield.directory import Directory
from azurefield.routing import OwnObservationRouter
from azurefield_entry.clock import now
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.quotas.server_quotas import ServerQuotas

if TYPE_CHECKING:
    from azurefield.failures import LeafFailure
    from azurefield_entry.gateway.ports import OpaqueAnswer

log = Logger("gateway")


class ServerReports(Struct, kw_only=True):
    """Records the rate limits and the load that servers report."""

    directory: Directory
    quotas: ServerQuotas
    router: OwnObservationRouter
    metrics: GatewayMetrics

    def record_limit(
        self, server: str, result: Result[OpaqueAnswer, LeafFailure], sent_at: float
    ) -> None:
        """Record what an answer says of the rate limit of its server."""
        limits = self.quotas.limits
        answer = result.ok_value if isinstance(result, Ok) else result.err_value
        if answer.limit_per_s is None:
            return
        if limits.on_answer(now(), server, answer.limit_per_s, sent_at):
            if server in limits.known:
                log.info(
                    "Server {} takes {} requests/s from all instances.", server, answer.limit_per_s
                )
            else:
                log.info("Server {} no longer names a limit.", server)
                entry = self.directory.servers.get(server)
                if entry is not None:
                    self.quotas.on_limit_ended(entry)
            self.metrics.limited_servers.set(len(limits.known))

    def record_load(
        self, ended_at: float, server: str, result: Result[OpaqueAnswer, LeafFailure]
    ) -> None:
        """Record the load that a server has reported in its answer."""
        answer = result.ok_value if isinstance(result, Ok) else result.err_value
        if answer.load is not None:
            self.metrics.load_reports.inc()
            self.router.on_load(ended_at, server, answer.load)
