"""Types shared by all packages: requests, snapshots, shard maps and the configuration."""

from __future__ import annotations

from enum import StrEnum
from zlib import crc32

from msgspec import Struct, field

HASH_SLOTS = 65_536


class RequestKind(StrEnum):
    """Kind of a request; it determines deadline, priority and idempotency."""

    LISTING = "listing"
    URGENT = "urgent"
    LOOKUP = "lookup"
    BOOKING = "booking"

    @property
    def idempotent(self) -> bool:
        """Whether a call of this kind may be sent to a backend server more than once."""
        return self is not RequestKind.BOOKING

    @property
    def partial(self) -> bool:
        """Whether an answer that lacks some leafs is useful to the caller."""
        return self in (RequestKind.LISTING, RequestKind.URGENT)


class Outcome(StrEnum):
    """Whether a failed request was executed on backend servers, as far as that is certain."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class Snapshot(Struct, kw_only=True, frozen=True, order=True):
    """One version of the index under one version of the shard map."""

    index_version: int
    map_version: int


class LeafRange(Struct, kw_only=True, frozen=True):
    """The hash slots, both ends included, whose records a leaf holds."""

    leaf: str
    first_slot: int
    last_slot: int


class ShardMap(Struct, kw_only=True, frozen=True):
    """Assignment of the hash slots to leafs.

    >>> shard_map = even_shard_map(version=1, leafs=("a", "b"))
    >>> shard_map.leafs
    ('a', 'b')
    >>> shard_map.leaf_of("some key") in shard_map.leafs
    True
    """

    version: int
    ranges: tuple[LeafRange, ...]

    @property
    def leafs(self) -> tuple[str, ...]:
        """The leafs of this map, in slot order, each once."""
        return tuple(dict.fromkeys(entry.leaf for entry in self.ranges))

    def leaf_of(self, key: str) -> str | None:
        """Find the leaf that owns a record key.

        :return: the leaf, or None if the map leaves the key's slot unassigned
        """
        slot = slot_of(key)
        for entry in self.ranges:
            if entry.first_slot <= slot <= entry.last_slot:
                return entry.leaf
        return None


def slot_of(key: str) -> int:
    """Map a record key to its hash slot, 0 to ``HASH_SLOTS - 1``."""
    return crc32(key.encode()) % HASH_SLOTS


def even_shard_map(*, version: int, leafs: tuple[str, ...]) -> ShardMap:
    """Divide the hash slots evenly among leafs."""
    bounds = [HASH_SLOTS * index // len(leafs) for index in range(len(leafs) + 1)]
    ranges = tuple(
        LeafRange(leaf=leaf, first_slot=bounds[index], last_slot=bounds[index + 1] - 1)
        for index, leaf in enumerate(leafs)
    )
    return ShardMap(version=version, ranges=ranges)


class BackendServer(Struct, kw_only=True, frozen=True):
    """One replica process that holds one or more leafs of a service.

    ``address`` is ``host:port``. ``connection_limit`` and ``slots`` limit its connections and its
    concurrent calls, each summed over all instances. ``connect_cost_ms`` is the time that it spends
    on each new connection.
    """

    name: str
    address: str
    availability_zone: str
    connection_limit: int
    slots: int
    connect_cost_ms: float


class MemberShare(Struct, kw_only=True, frozen=True):
    """A member's weight in fair queueing and its cap as a fraction of the capacity."""

    member: str
    weight: float
    cap: float = 1.0


class KindPolicy(Struct, kw_only=True, frozen=True):
    """Deadlines, priority (0 is served first) and weight of one request kind."""

    kind: RequestKind
    deadline_ms: int
    max_deadline_ms: int
    priority: int
    weight: float = 1.0


class ServiceConfig(Struct, kw_only=True, frozen=True):
    """Configuration of one service, as stored in its service document.

    ``hedge_budget`` and ``retry_budget`` are the numbers of hedges and retries allowed per first
    call. ``queue_limit`` is the number of requests that may wait on each instance.
    """

    name: str
    backend_servers: tuple[BackendServer, ...]
    members: tuple[MemberShare, ...]
    kinds: tuple[KindPolicy, ...]
    hedge_budget: float = 0.05
    retry_budget: float = 0.1
    queue_limit: int = 256

    def kind(self, kind: RequestKind) -> KindPolicy | None:
        """Return the policy of a kind, or None if the service does not offer it."""
        return next((policy for policy in self.kinds if policy.kind is kind), None)

    def member(self, name: str) -> MemberShare | None:
        """Return the share of a member, or None if it may not use the service."""
        return next((share for share in self.members if share.member == name), None)


class Configuration(Struct, kw_only=True, frozen=True):
    """The services of one accepted configuration version."""

    version: int
    services: dict[str, ServiceConfig] = field(default_factory=dict)
