"""Routes of one configuration version: which request goes to which services, and how."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True, frozen=True)
class SingleService:
    """All requests go to one service."""

    service: str


@dataclass(slots=True, kw_only=True, frozen=True)
class WeightedServices:
    """Each request goes to one of several services, in proportion to their weights."""

    weights: tuple[tuple[str, float], ...]


@dataclass(slots=True, kw_only=True, frozen=True)
class ShardSet:
    """Each request goes to all services, which are shards of one index.

    :param top: how many records the answer holds at most
    :param coverage_min: the share of the shards that an answer must hold, 0 to 1
    """

    shards: tuple[str, ...]
    top: int
    coverage_min: float


Target = SingleService | WeightedServices | ShardSet


@dataclass(slots=True, kw_only=True, frozen=True)
class Route:
    """How the requests of one host and path prefix are handled.

    :param idempotent: whether a request may run more than once
    :param timeout_s: the longest time that a request may be kept waiting
    :param goal_s: the time within which an answer is worth most; None if there is no such time
    :param attempts_max: on how many servers of a service one request may run at most
    :param priority: rank among the routes, 0 first
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


@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceLimits:
    """What one server of a service accepts.

    :param connections_max: open connections from all callers together
    """

    connections_max: int


@dataclass(slots=True, kw_only=True, frozen=True)
class CallerLimits:
    """What a caller may send, and how long a connection may be idle."""

    header_bytes_max: int = 16_384
    body_bytes_max: int = 1_048_576
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


@dataclass(slots=True, kw_only=True)
class RouteTable:
    """All routes of one version, found by host and longest prefix.

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

    @classmethod
    def build(
        cls,
        *,
        version: int,
        routes: list[Route],
        services: dict[str, ServiceLimits],
        limits: CallerLimits,
    ) -> RouteTable:
        """Index the routes of a version."""
        table = cls(version=version, services=services, limits=limits)
        for route in routes:
            table.by_host.setdefault(route.host.lower(), {})[route.prefix] = route
        return table

    @property
    def routes(self) -> tuple[Route, ...]:
        """All routes."""
        return tuple(route for by_prefix in self.by_host.values() for route in by_prefix.values())

    def match(self, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix of a request target, if there is one.

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


@dataclass(slots=True, kw_only=True)
class WeightedTurns:
    """Deals requests to the services of a weighted route by smooth weighted round robin.

    Each instance keeps the proportions of its own requests, so all of them together keep them.
    """

    credits: dict[str, dict[str, float]] = field(default_factory=dict)

    def choose(self, route: str, weights: tuple[tuple[str, float], ...]) -> str | None:
        """Return the service of the next request; None if no weight is positive."""
        credit = self.credits.setdefault(route, {})
        if credit.keys() != {service for service, _ in weights}:
            credit.clear()
            credit.update((service, 0.0) for service, _ in weights)
        total = sum(weight for _, weight in weights if weight > 0)
        if total <= 0:
            return None
        for service, weight in weights:
            credit[service] += max(0.0, weight)
        chosen = max(weights, key=lambda entry: (entry[1] > 0, credit[entry[0]]))[0]
        credit[chosen] -= total
        return chosen

    def forget_except(self, routes: frozenset[str]) -> None:
        """Drop the state of routes that are no longer configured."""
        self.credits = {name: credit for name, credit in self.credits.items() if name in routes}
