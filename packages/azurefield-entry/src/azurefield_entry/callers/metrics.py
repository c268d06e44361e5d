"""Metrics of the connections of callers."""

from __future__ import annotations

from dataclasses import dataclass, field

from prometheus_client import CollectorRegistry, Counter, Gauge


@dataclass(slots=True, kw_only=True)
class CallerMetrics:
    """Metrics of what all callers together hold.

    :param prefix: of their names
    :param limited: what was refused, closed or delayed, by the limit
    :param connections: how many connections are open
    """

    registry: CollectorRegistry = field(default_factory=CollectorRegistry)
    prefix: str = "azurefield"
    limited: Counter = field(init=False)
    connections: Gauge = field(init=False)

    def __post_init__(self) -> None:
        self.limited = Counter(
            f"{self.prefix}_callers_limited",
            "What was refused, closed or delayed because of what all callers together hold.",
            ("limit",),
            registry=self.registry,
        )
        self.connections = Gauge(
            f"{self.prefix}_caller_connections",
            "Open connections of callers.",
            registry=self.registry,
        )
