"""Interface of request admission, as ``front`` uses it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from msgspec import Struct

from azurefield.model import RequestKind, ServiceConfig

if TYPE_CHECKING:
    from collections.abc import Mapping

    from result import Result

    from azurefield.failures import RequestFailure
    from azurefield.model import Configuration
    from azurefield_entry.messages import PeerInfo, QueryCost

UseByService = dict[str, dict[str, float]]


class PendingRequest(Struct, kw_only=True, frozen=True):
    """A valid request that waits for admission; its times are of the event loop's clock."""

    request_id: str
    config: ServiceConfig
    member: str
    kind: RequestKind
    arrived_at: float
    deadline: float


class Admission(Protocol):
    """Decides when a request may run, if at all."""

    async def submit(self, pending: PendingRequest) -> Result[None, RequestFailure]:
        """Wait until the request may run.

        Cancelling ``submit`` withdraws the request. After ``Ok`` the caller must call ``release``
        exactly once.
        """

    def release(self, request_id: str, query_cost: QueryCost | None = None) -> None:
        """Record that an admitted request has ended, with what it cost if that is known."""

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply a new configuration; waiting and running requests are kept."""

    def set_peers(self, peers: tuple[PeerInfo, ...]) -> None:
        """Set the other instances, which share the backend servers' slots."""

    def on_peer_use(
        self, now: float, instance: str, use: Mapping[str, Mapping[str, float]]
    ) -> None:
        """Record the cost per second of each member on another instance, by service."""

    def exchange_shares(self, now: float) -> UseByService:
        """Adjust the members' weights to their use on all instances.

        :return: the cost per second of each member on this instance, by service
        """
