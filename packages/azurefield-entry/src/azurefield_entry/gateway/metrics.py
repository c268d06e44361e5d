"""Prometheus metrics of a gateway process, in a registry of their own."""

from __future__ import annotations

from dataclasses import dataclass, field

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from azurefield_entry.callers.metrics import CallerMetrics
from azurefield_entry.metrics import LATENCY_BUCKETS_S


@dataclass(slots=True, kw_only=True)
class GatewayMetrics:
    """All metrics of the gateway; ``docs/OPERATIONS.md`` lists them."""

    registry: CollectorRegistry = field(default_factory=CollectorRegistry)
    requests: Counter = field(init=False)
    request_seconds: Histogram = field(init=False)
    key_lookups: Counter = field(init=False)
    workspace_requests: Counter = field(init=False)
    worst_workspaces: Gauge = field(init=False)
    share_refusals: Counter = field(init=False)
    floor_calls: Counter = field(init=False)
    edge_refusals: Counter = field(init=False)
    forwarded: Counter = field(init=False)
    forwarded_other_zone: Counter = field(init=False)
    other_zone_bytes: Counter = field(init=False)
    leaf_calls: Counter = field(init=False)
    connections_opened: Counter = field(init=False)
    stray_bytes: Counter = field(init=False)
    unnamed_answers: Counter = field(init=False)
    servers: Gauge = field(init=False)
    instances: Gauge = field(init=False)
    partitioned: Gauge = field(init=False)
    load_reports: Counter = field(init=False)
    limited_servers: Gauge = field(init=False)
    warming_servers: Gauge = field(init=False)
    completed_rises: Counter = field(init=False)
    evacuated_zones: Gauge = field(init=False)
    evacuated_calls: Counter = field(init=False)
    region_refusals: Counter = field(init=False)
    quota_requests: Counter = field(init=False)
    workspace_quota_requests: Counter = field(init=False)
    workspace_quota_repeats: Counter = field(init=False)
    issuer_slots: Gauge = field(init=False)
    known_issuer_slots: Gauge = field(init=False)
    issuer_slot_claims: Counter = field(init=False)
    servers_ended: Counter = field(init=False)
    version_in_force: Gauge = field(init=False)
    store_failures: Counter = field(init=False)
    store_contact_at: Gauge = field(init=False)
    store_restores: Counter = field(init=False)
    callers: CallerMetrics = field(init=False)
    task_failures: Counter = field(init=False)
    log_lines_dropped: Counter = field(init=False)

    def __post_init__(self) -> None:
        registry = self.registry
        self.requests = Counter(
            "azurefield_gateway_requests",
            "Requests by how they ended.",
            ("result",),
            registry=registry,
        )
        self.request_seconds = Histogram(
            "azurefield_gateway_request_seconds",
            "Time from arrival to answer, by priority.",
            ("priority",),
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.key_lookups = Counter(
            "azurefield_gateway_key_lookups",
            "Look-ups of a request's key by how they ended, while there are workspaces.",
            ("result",),
            registry=registry,
        )
        self.workspace_requests = Counter(
            "azurefield_gateway_workspace_requests",
            "Requests of callers of this instance by workspace and by how they ended.",
            ("workspace", "result"),
            registry=registry,
        )
        self.worst_workspaces = Gauge(
            "azurefield_gateway_worst_workspaces_served_ratio",
            "Served fraction of the requests of the worst-served tenth of workspaces.",
            registry=registry,
        )
        self.share_refusals = Counter(
            "azurefield_gateway_share_refusals",
            "Forwarded requests refused while busy, beyond their workspace's part.",
            registry=registry,
        )
        self.floor_calls = Counter(
            "azurefield_gateway_floor_calls",
            "Calls that went before others with precedence, for the floor of their class.",
            registry=registry,
        )
        self.edge_refusals = Counter(
            "azurefield_gateway_edge_refusals",
            "Requests of callers refused at once while this process was busy, by reason.",
            ("reason",),
            registry=registry,
        )
        self.forwarded = Counter(
            "azurefield_gateway_forwarded",
            "Requests forwarded to a coordinator by how that ended.",
            ("result",),
            registry=registry,
        )
        self.forwarded_other_zone = Counter(
            "azurefield_gateway_forwarded_other_zone",
            "Requests forwarded to an instance of another availability zone.",
            registry=registry,
        )
        self.other_zone_bytes = Counter(
            "azurefield_gateway_other_zone_bytes",
            "Bytes exchanged with other availability zones, both ways, by kind of traffic.",
            ("kind",),
            registry=registry,
        )
        self.leaf_calls = Counter(
            "azurefield_gateway_leaf_calls",
            "Calls to backend servers by how they ended.",
            ("result",),
            registry=registry,
        )
        self.connections_opened = Counter(
            "azurefield_gateway_connections_opened",
            "Connections opened to backend servers.",
            registry=registry,
        )
        self.stray_bytes = Counter(
            "azurefield_gateway_stray_bytes",
            "Connections closed because a backend server sent bytes that belong to no call.",
            registry=registry,
        )
        self.unnamed_answers = Counter(
            "azurefield_gateway_unnamed_answers",
            "Connections closed because an answer did not name its request.",
            registry=registry,
        )
        self.servers = Gauge(
            "azurefield_gateway_servers", "Backend servers known.", registry=registry
        )
        self.instances = Gauge(
            "azurefield_gateway_instances",
            "Running instances known, including this one.",
            registry=registry,
        )
        self.partitioned = Gauge(
            "azurefield_gateway_partitioned",
            "1 while this instance can reach no server, else 0.",
            registry=registry,
        )
        self.load_reports = Counter(
            "azurefield_gateway_load_reports",
            "Answers in which a backend server reported its load.",
            registry=registry,
        )
        self.limited_servers = Gauge(
            "azurefield_gateway_limited_servers",
            "Backend servers that name a limit of requests per second.",
            registry=registry,
        )
        self.warming_servers = Gauge(
            "azurefield_gateway_warming_servers",
            "Backend servers that warm up, where the platform bounds their requests.",
            registry=registry,
        )
        self.completed_rises = Counter(
            "azurefield_gateway_completed_rises",
            "Servers that got their usual calls again, by whether failures had cut them meanwhile.",
            ("result",),
            registry=registry,
        )
        self.evacuated_zones = Gauge(
            "azurefield_gateway_evacuated_zones",
            "Availability zones whose servers get no new calls at the operator's request.",
            registry=registry,
        )
        self.evacuated_calls = Counter(
            "azurefield_gateway_evacuated_calls",
            "Calls not sent because the zone of their server was evacuated while they waited.",
            registry=registry,
        )
        self.region_refusals = Counter(
            "azurefield_gateway_region_refusals",
            "Requests refused, and calls not sent, because no allowed region could run them.",
            ("what",),
            registry=registry,
        )
        self.quota_requests = Counter(
            "azurefield_gateway_quota_requests",
            "Requests of this instance for quota of limited servers by how they ended.",
            ("result",),
            registry=registry,
        )
        self.workspace_quota_requests = Counter(
            "azurefield_gateway_workspace_quota_requests",
            "Callers' requests of workspaces with a quota by the decision on them.",
            ("result",),
            registry=registry,
        )
        self.workspace_quota_repeats = Counter(
            "azurefield_gateway_workspace_quota_repeats",
            "Times that shares were asked again since they had no issuer yet.",
            registry=registry,
        )
        self.issuer_slots = Gauge(
            "azurefield_gateway_issuer_slots",
            "Issuer slots of workspaces' quotas that this instance holds.",
            registry=registry,
        )
        self.known_issuer_slots = Gauge(
            "azurefield_gateway_known_issuer_slots",
            "Issuer slots of workspaces' quotas whose holder this instance knows.",
            registry=registry,
        )
        self.issuer_slot_claims = Counter(
            "azurefield_gateway_issuer_slot_claims",
            "Issuer slots that this instance has claimed, by how their buckets begin.",
            ("begins",),
            registry=registry,
        )
        self.servers_ended = Counter(
            "azurefield_gateway_servers_ended",
            "Reports of all instances that a server ended while it ran a request.",
            registry=registry,
        )
        self.version_in_force = Gauge(
            "azurefield_gateway_configuration_version",
            "Configuration version in force.",
            registry=registry,
        )
        self.store_failures = Counter(
            "azurefield_gateway_store_failures",
            "Calls to the platform's store that failed.",
            registry=registry,
        )
        self.store_contact_at = Gauge(
            "azurefield_gateway_store_contact_seconds",
            "Time of the last answer of the store, on the process's monotonic clock.",
            registry=registry,
        )
        self.store_restores = Counter(
            "azurefield_gateway_store_restores",
            "Restores of the platform's store from an older copy that this process has noticed.",
            registry=registry,
        )
        self.callers = CallerMetrics(registry=registry, prefix="azurefield_gateway")
        self.task_failures = Counter(
            "azurefield_gateway_task_failures",
            "Background tasks that failed with an unexpected error.",
            registry=registry,
        )
        self.log_lines_dropped = Counter(
            "azurefield_gateway_log_lines_dropped",
            "Log lines dropped because there were too many or their reader was too slow.",
            registry=registry,
        )
