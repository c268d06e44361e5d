"""State that ``query`` keeps per service: holdings, routing, hedging and the retry budget."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct, field

from azurefield.hedging import BudgetedHedging
from azurefield.model import RequestKind, ServiceConfig
from azurefield.retry import RetryBudget
from azurefield.routing import OwnObservationRouter
from azurefield.snapshot import Holding, HoldingsTable
from azurefield_entry.query.policies import make_hedge_policy, make_router
from azurefield_entry.query.silent_servers import SilentServers

if TYPE_CHECKING:
    from random import Random

    from azurefield.model import Snapshot
    from azurefield.snapshot import StatusReport


class ServiceState(Struct, kw_only=True):
    """Routing state of one service; it is kept when the configuration changes."""

    config: ServiceConfig
    holdings: HoldingsTable
    router: OwnObservationRouter
    hedging: BudgetedHedging
    retries: RetryBudget
    leaving: frozenset[str] = frozenset()
    silent: SilentServers = field(default_factory=SilentServers)
    ejected_until: dict[str, float] = field(default_factory=dict)

    def priority(self, kind: RequestKind) -> int:
        """Return the priority of a kind's calls while they wait for a connection, 0 first."""
        policy = self.config.kind(kind)
        return policy.priority if policy is not None else 0

    def servers_of(
        self, now: float, leafs: tuple[str, ...], snapshot: Snapshot
    ) -> tuple[tuple[str, ...], ...]:
        """List the usable servers of each leaf."""
        return tuple(
            self.holdings.holders(now, Holding(leaf=leaf, snapshot=snapshot)) for leaf in leafs
        )

    def incarnation_of(self, server: str) -> str | None:
        """Return the last known incarnation of a server."""
        known = self.holdings.reports.get(server)
        return known[1].incarnation if known is not None else None

    def on_status(self, now: float, report: StatusReport) -> None:
        """Record an answered probe; a server that has restarted begins with slow start."""
        if self.incarnation_of(report.server) not in (None, report.incarnation):
            self.router.on_restart(now, report.server)
        self.holdings.report(now, report)
        self.silent.forget(report.server)
        self.update_excluded_servers(now)

    def on_probe_missed(self, now: float, server: str, *, unreachable: bool) -> None:
        """Record a probe without an answer."""
        self.silent.on_probe_missed(server, unreachable=unreachable)
        self.update_excluded_servers(now)

    def set_leaving(self, now: float, servers: frozenset[str]) -> None:
        """Set the servers that get no new calls because they are leaving."""
        self.leaving = servers
        self.update_excluded_servers(now)

    def update_excluded_servers(self, now: float) -> None:
        """Update which servers get no new calls."""
        silent = self.silent.excluded(now, self.holdings, self.leaving)
        self.holdings.set_excluded_servers(self.leaving | silent)

    def record_ejection(self, server: str) -> bool:
        """Record an ejection by the router.

        :return: whether it is new since the last call
        """
        until = self.router.view(server).ejected_until
        changed = until > self.ejected_until.get(server, float("-inf"))
        self.ejected_until[server] = until
        return changed

    def forget(self, server: str) -> None:
        """Remove a server that left the configuration."""
        self.holdings.forget(server)
        self.router.forget(server)
        self.silent.forget(server)
        self.ejected_until.pop(server, None)


def new_state(config: ServiceConfig, *, leaving: frozenset[str], random: Random) -> ServiceState:
    """Create the state of a service that was added to the configuration."""
    return ServiceState(
        config=config,
        holdings=HoldingsTable(unusable=leaving),
        router=make_router(random),
        hedging=make_hedge_policy(config),
        retries=RetryBudget(ratio=config.retry_budget),
        leaving=leaving,
    )


def update_state(state: ServiceState, config: ServiceConfig) -> None:
    """Apply a changed configuration of the service; observations of kept servers stay."""
    kept = {server.name for server in config.backend_servers}
    for server in state.config.backend_servers:
        if server.name not in kept:
            state.forget(server.name)
    state.hedging.budget = config.hedge_budget
    state.retries.ratio = config.retry_budget
    state.config = config
