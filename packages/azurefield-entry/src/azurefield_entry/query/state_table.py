"""Routing state of all services, updated by configuration changes and status probes."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from msgspec import Struct, field

from azurefield_entry.messages import (
    ConfigurationChanged,
    LeavingServersChanged,
    StatusProbeMissed,
    StatusReceived,
)
from azurefield_entry.metrics import Metrics
from azurefield_entry.query.state import ServiceState, new_state, update_state

if TYPE_CHECKING:
    from azurefield.model import Configuration


class StateTable(Struct, kw_only=True):
    """The state of each service by name."""

    metrics: Metrics
    random: Random
    states: dict[str, ServiceState] = field(default_factory=dict)
    leaving: frozenset[str] = frozenset()

    def handle(self, now: float, message: object) -> None:
        """Handle a message about backend servers or the configuration."""
        match message:
            case StatusReceived(service=service, report=report):
                if service in self.states:
                    self.states[service].on_status(now, report)
                    self.count_ejection(self.states[service], report.server)
            case StatusProbeMissed(service=service, server=server, unreachable=unreachable):
                if service in self.states:
                    self.states[service].on_probe_missed(now, server, unreachable=unreachable)
                    self.count_ejection(self.states[service], server)
            case LeavingServersChanged(servers=servers):
                self.leaving = servers
                for state in self.states.values():
                    state.set_leaving(now, servers)
            case ConfigurationChanged(configuration=configuration):
                self.set_configuration(configuration)

    def count_ejection(self, state: ServiceState, server: str) -> None:
        """Count a new ejection; none is missed, since each outlasts the time between two probes."""
        if state.record_ejection(server):
            self.metrics.ejections.labels(state.config.name, server).inc()

    def set_configuration(self, configuration: Configuration) -> None:
        """Add, update and remove services; running queries keep the state they started with."""
        for name in self.states.keys() - configuration.services.keys():
            del self.states[name]
        for name, config in configuration.services.items():
            if name in self.states:
                update_state(self.states[name], config)
            else:
                self.states[name] = new_state(config, leaving=self.leaving, random=self.random)
