"""Routes of one configuration version: the services and limits that apply to each request."""

from __future__ import annotations

from msgspec import Struct, field
from msgspec.structs import replace

from azurefield.workspaces import Workspace, WorkspaceKeys


class SingleService(Struct, kw_only=True, frozen=True):
    """All requests go to one service."""

    service: str


class WeightedServices(Struct, kw_only=True, frozen=True):
    """Each request goes to one of several services, in proportion to their weights."""

    weights: tuple[tuple[str, float], ...]


class ShardSet(Struct, kw_only=True, frozen=True):
    """Each request goes to all services, which are shards of one index.

    :param top: the maximum number of records in the answer
    :param coverage_min: the fraction of the shards that an answer must cover, 0 to 1
    """

    shards: tuple[str, ...]
    top: int
    coverage_min: float


Target = SingleService | WeightedServices | ShardSet


class Route(Struct, kw_only=True, frozen=True):
    """How the requests of one host and path prefix are handled.

    :param idempotent: whether a request may run more than once
    :param timeout_s: the maximum time from the arrival of a request to its answer
    :param goal_s: the target latency, after which an answer is worth less; None without a target
    :param attempts_max: the maximum number of servers of a service on which one request may run
    :param priority: priority among the routes, 0 first
    :param public: whether requests need no key of a workspace
    :param allowed_regions: the regions that requests may run in; None for any
    """

    name: str
    host: str
    prefix: str
    target: Target
    idempotent: bool
    timeout_s: float
    goal_s: float | None = None
    attempts_max: int = 1
    priority: int = 0
    public: bool = False
    allowed_regions: frozenset[str] | None = None

    @property
    def services(self) -> tuple[str, ...]:
        """The services that requests of this route may reach."""
        match self.target:
            case SingleService(service=service):
                return (service,)
            case WeightedServices(weights=weights):
                return tuple(service for service, _ in weights)
            case ShardSet(shards=shards):
                return shards


class ServiceLimits(Struct, kw_only=True, frozen=True):
    """The limits of one server of a service.

    :param connections_max: the maximum number of open connections from all callers together
    :param warmup_duration_s: how long it warms up after a start
    :param warmup_rate_per_s: requests per second that it takes from all instances together while it
        warms up; 0 for any number
    """

    connections_max: int
    warmup_duration_s: float = 0.0
    warmup_rate_per_s: float = 0.0


class CallerLimits(Struct, kw_only=True, frozen=True):
    """The limits on the requests and connections of callers."""

    header_bytes_max: int = 16_384
    body_bytes_max: int = 1_048_576
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


class RouteTable(Struct, kw_only=True):
    """All routes of one version, found by host and longest prefix, and its workspaces.

    :param workspaces: None if the version has no workspaces, so that no request needs a key
    :param route_priorities: the different priorities of the routes, the first one first

    >>> route = Route(name="r", host="a", prefix="/x/", target=SingleService(service="s"),
    ...               idempotent=True, timeout_s=1.0)
    >>> table = RouteTable.build(version=1, routes=[route], services={}, limits=CallerLimits())
    >>> table.match("A:80", "/x/1?q=/").name, table.match("a", "/y/")
    ('r', None)
    """

    version: int
    services: dict[str, ServiceLimits]
    limits: CallerLimits
    by_host: dict[str, dict[str, Route]] = field(default_factory=dict)
    workspaces: WorkspaceKeys | None = None
    route_priorities: tuple[int, ...] = ()

    @classmethod
    def build(
        cls,
        *,
        version: int,
        routes: list[Route],
        services: dict[str, ServiceLimits],
        limits: CallerLimits,
        workspaces: WorkspaceKeys | None = None,
    ) -> RouteTable:
        """Build the table of a version, indexed by host and prefix."""
        table = cls(
            version=version,
            services=services,
            limits=limits,
            workspaces=workspaces,
            route_priorities=tuple(sorted({route.priority for route in routes})),
        )
        for route in routes:
            table.by_host.setdefault(route.host.lower(), {})[route.prefix] = route
        return table

    @property
    def routes(self) -> tuple[Route, ...]:
        """All routes."""
        return tuple(route for by_prefix in self.by_host.values() for route in by_prefix.values())

    def match(self, host: str, target: str) -> Route | None:
        """Return the route whose prefix is the longest match of a request target, or None.

        Every prefix ends with a slash, so only the parts of the path up to a slash are looked up.
        """
        by_prefix = self.by_host.get(host.partition(":")[0].lower())
        if by_prefix is None:
            return None
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    @property
    def has_quotas(self) -> bool:
        """Whether any workspace has a quota."""
        if self.workspaces is None:
            return False
        return any(workspace.quota for workspace in self.workspaces.by_name.values())

    def for_workspace(self, route: Route, workspace: Workspace | None) -> Route:
        """Return a route as it applies to a workspace's requests, with their rank and regions.

        The priority of the workspace decides first, that of the route among equal ones. Without
        workspaces, the route is unchanged.
        """
        if self.workspaces is None:
            return route
        priority = None if workspace is None else workspace.priority
        first = route.priority if priority is None else priority
        second = self.route_priorities.index(route.priority)
        regions = None if workspace is None else workspace.allowed_regions
        return replace(
            route,
            priority=first * len(self.route_priorities) + second,
            allowed_regions=in_both(route.allowed_regions, regions),
        )

    def region_bounds(self, route: Route) -> frozenset[frozenset[str]]:
        """Return the different sets of regions that the requests of a route may run in."""
        workspaces = frozenset() if self.workspaces is None else self.workspaces.region_bounds
        bounds = {in_both(route.allowed_regions, bound) for bound in (None, *workspaces)}
        return frozenset(bound for bound in bounds if bound is not None)


def in_both(first: frozenset[str] | None, second: frozenset[str] | None) -> frozenset[str] | None:
    """Return the regions that two bounds allow; None stands for any region.

    >>> in_both(frozenset({"eu"}), None), in_both(frozenset({"eu"}), frozenset({"us"}))
    (frozenset({'eu'}), frozenset())
    """
    if first is None or second is None:
        return second if first is None else first
    return first & second


class WeightedRoundRobin(Struct, kw_only=True):
    """Distributes the requests of weighted routes by smooth weighted round robin.

    Each instance keeps the proportions for its own requests, so the sum over all instances keeps
    them too.
    """

    credits: dict[str, dict[str, float]] = field(default_factory=dict)

    def choose(self, route: str, weights: tuple[tuple[str, float], ...]) -> str | None:
        """Return the service for the next request, or None if no weight is positive."""
        credit = self.credits[route] = self.credits_of(route, weights)
        chosen = self.next(route, weights)
        if chosen is None:
            return None
        for service, weight in weights:
            credit[service] += max(0.0, weight)
        credit[chosen] -= sum(weight for _, weight in weights if weight > 0)
        return chosen

    def next(self, route: str, weights: tuple[tuple[str, float], ...]) -> str | None:
        """Return what ``choose`` returns next; changes nothing."""
        if not any(weight > 0 for _, weight in weights):
            return None
        credit = self.credits_of(route, weights)
        return max(weights, key=lambda entry: (entry[1] > 0, credit[entry[0]] + entry[1]))[0]

    def credits_of(self, route: str, weights: tuple[tuple[str, float], ...]) -> dict[str, float]:
        """Return the credits of a route's services; all are 0 if its services have changed."""
        services = [service for service, _ in weights]
        known = self.credits.get(route, {})
        return known if known.keys() == set(services) else dict.fromkeys(services, 0.0)

    def retain_only(self, routes: frozenset[str]) -> None:
        """Remove the state of routes that are no longer configured."""
        self.credits = {name: credit for name, credit in self.credits.items() if name in routes}
