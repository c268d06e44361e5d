"""Prometheus metrics of one process, in a registry of their own."""

from __future__ import annotations

from dataclasses import dataclass, field

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from azurefield_entry.callers.metrics import CallerMetrics

LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.03, 0.05, 0.066, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0)
COVERAGE_BUCKETS = (0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 1.0)


@dataclass(slots=True, kw_only=True)
class Metrics:
    """All metrics of the daemon; ``docs/OPERATIONS.md`` lists them."""

    registry: CollectorRegistry = field(default_factory=CollectorRegistry)
    request_seconds: Histogram = field(init=False)
    coverage: Histogram = field(init=False)
    requests: Counter = field(init=False)
    refusals: Counter = field(init=False)
    leaf_calls: Counter = field(init=False)
    hedges: Counter = field(init=False)
    retries: Counter = field(init=False)
    ejections: Counter = field(init=False)
    admissions: Counter = field(init=False)
    admission_wait_seconds: Histogram = field(init=False)
    admission_queue: Gauge = field(init=False)
    admission_limit: Gauge = field(init=False)
    convictions: Counter = field(init=False)
    connections_open: Gauge = field(init=False)
    probes_missed: Counter = field(init=False)
    version_in_force: Gauge = field(init=False)
    callers: CallerMetrics = field(init=False)

    def __post_init__(self) -> None:
        registry = self.registry
        self.request_seconds = Histogram(
            "azurefield_request_seconds",
            "Time from arrival to answer of a request.",
            ("service", "kind"),
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.coverage = Histogram(
            "azurefield_coverage_ratio",
            "Covered leafs of an answer as a fraction of the snapshot's leafs.",
            ("service", "kind"),
            buckets=COVERAGE_BUCKETS,
            registry=registry,
        )
        self.requests = _counter(registry, "requests", "Requests by status.", "kind", "status")
        self.refusals = _counter(
            registry,
            "refusals",
            "Requests without an answer, by problem type.",
            "reason",
            "outcome",
        )
        self.leaf_calls = _counter(
            registry, "leaf_calls", "Leaf calls by how they ended.", "service", "result"
        )
        self.hedges = _counter(registry, "hedges", "Second calls to slow leafs.", "service")
        self.retries = _counter(registry, "retries", "Calls after a failed one.", "service")
        self.ejections = _counter(
            registry, "ejections", "Backend servers ejected by routing.", "service", "server"
        )
        self.admissions = _counter(
            registry, "admissions", "Requests by how admission ended.", "service", "result"
        )
        self.admission_wait_seconds = Histogram(
            "azurefield_admission_wait_seconds",
            "Time from arrival to the decision on a request that had to wait.",
            ("service", "kind"),
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.admission_queue = Gauge(
            "azurefield_admission_queue",
            "Requests that wait for admission.",
            ("service",),
            registry=registry,
        )
        self.admission_limit = Gauge(
            "azurefield_admission_limit",
            "Leaf calls that admitted requests may need at the same time.",
            ("service",),
            registry=registry,
        )
        self.convictions = _counter(
            registry,
            "convictions",
            "Requests convicted of crashing servers, by source of the conviction.",
            "source",
        )
        self.connections_open = Gauge(
            "azurefield_connections_open",
            "Open connections to a backend server.",
            ("server",),
            registry=registry,
        )
        self.probes_missed = _counter(
            registry, "probes_missed", "Status probes without an answer.", "server"
        )
        self.version_in_force = Gauge(
            "azurefield_configuration_version", "Configuration version in force.", registry=registry
        )
        self.callers = CallerMetrics(registry=registry)


def _counter(registry: CollectorRegistry, name: str, text: str, *labels: str) -> Counter:
    return Counter(f"azurefield_{name}", text, labels, registry=registry)
