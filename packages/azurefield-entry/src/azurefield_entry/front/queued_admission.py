"""Admission by one queue for each service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct, field

from azurefield_entry.front.service_queue import AdmissionResult, ServiceQueue
from azurefield_entry.metrics import Metrics

if TYPE_CHECKING:
    from collections.abc import Mapping

    from azurefield.model import Configuration, ServiceConfig
    from azurefield_entry.front.admission import PendingRequest, UseByService
    from azurefield_entry.messages import PeerInfo, QueryCost

# The use of members or services with longer names is not reported, since a heartbeat that contains
# such a name could not be sent.
REPORTED_NAME_CHARS_MAX = 128


class QueuedAdmission(Struct, kw_only=True):
    """Limits the running requests, queues the rest and refuses early what would be too late."""

    metrics: Metrics
    queues: dict[str, ServiceQueue] = field(default_factory=dict)
    service_of: dict[str, str] = field(default_factory=dict)
    instances: int = 1

    async def submit(self, pending: PendingRequest) -> AdmissionResult:
        """Wait until the request may run or is refused."""
        result = await self.queue_of(pending.config).submit(pending)
        if result.is_ok():
            self.service_of[pending.request_id] = pending.config.name
        return result

    def release(self, request_id: str, query_cost: QueryCost | None = None) -> None:
        """Record the end of an admitted request."""
        service = self.service_of.pop(request_id, None)
        if service is not None:
            self.queues[service].release(request_id, query_cost)

    def queue_of(self, config: ServiceConfig) -> ServiceQueue:
        """Return the queue of a service, which may just have left the configuration."""
        if config.name not in self.queues:
            self.queues[config.name] = ServiceQueue(
                config=config, instances=self.instances, metrics=self.metrics
            )
        return self.queues[config.name]

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply a new configuration; a removed service's queue is deleted once it is idle."""
        for name in self.queues.keys() - configuration.services.keys():
            if self.queues[name].idle:
                del self.queues[name]
        for config in configuration.services.values():
            self.queue_of(config).update(config, self.instances)

    def set_peers(self, peers: tuple[PeerInfo, ...]) -> None:
        """Share the slots with the other instances that are not leaving."""
        names = {peer.instance for peer in peers}
        self.instances = 1 + sum(not peer.leaving for peer in peers)
        for queue in self.queues.values():
            queue.update(queue.config, self.instances)
            for removed in queue.exchange.reports.keys() - names:
                queue.exchange.forget(removed)

    def on_peer_use(
        self, now: float, instance: str, use: Mapping[str, Mapping[str, float]]
    ) -> None:
        """Record the members' use on another instance."""
        for service, queue in self.queues.items():
            queue.exchange.on_report(now, instance, use.get(service, {}))

    def exchange_shares(self, now: float) -> UseByService:
        """Adjust the members' weights in all queues."""
        return {
            service: {
                member: rate
                for member, rate in use.items()
                if len(member) <= REPORTED_NAME_CHARS_MAX
            }
            for service, queue in self.queues.items()
            if (use := queue.exchange_shares(now)) and len(service) <= REPORTED_NAME_CHARS_MAX
        }
