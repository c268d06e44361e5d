"""Generated records, which are the same in every process with the same service and seed."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, Any

from azurefield.snapshot import Record

if TYPE_CHECKING:
    from azurefield.model import ShardMap

GROUPS = ("north", "south", "east", "west")
# An index version lacks the keys whose number equals the version modulo this interval, so that
# consecutive versions hold different keys.
DROPPED_KEY_INTERVAL = 17


@dataclass(slots=True, kw_only=True)
class Dataset:
    """The records of one service at each index version.

    Every record holds its index version, so that a check detects an answer that mixes versions.
    ``count`` is the number of keys before an index version drops some of them.

    >>> dataset = Dataset(service="desk", seed=1, count=100)
    >>> len(dataset.records(1))
    94
    >>> dataset.records(1)[0].fields["index_version"]
    1
    """

    service: str
    seed: int
    count: int
    by_version: dict[int, tuple[Record, ...]] = field(default_factory=dict)

    def records(self, index_version: int) -> tuple[Record, ...]:
        """Return all records of an index version, ordered by descending rank, then by key."""
        if index_version not in self.by_version:
            self.by_version[index_version] = self.generate(index_version)
        return self.by_version[index_version]

    def generate(self, index_version: int) -> tuple[Record, ...]:
        """Generate the records of an index version from the seed."""
        rng = Random(f"{self.service}:{self.seed}:{index_version}")
        records = [
            Record(
                key=f"{self.service}-{number}",
                rank=round(rng.random(), 6),
                fields={
                    "group": GROUPS[number % len(GROUPS)],
                    "amount": rng.randrange(1, 1000),
                    "index_version": index_version,
                },
            )
            for number in range(self.count)
            if number % DROPPED_KEY_INTERVAL != index_version % DROPPED_KEY_INTERVAL
        ]
        return tuple(sorted(records, key=lambda record: (-record.rank, record.key)))

    def leaf_records(
        self, *, index_version: int, shard_map: ShardMap, leaf: str
    ) -> tuple[Record, ...]:
        """Return the records that a leaf owns under a shard map."""
        return tuple(
            record
            for record in self.records(index_version)
            if shard_map.leaf_of(record.key) == leaf
        )


def matches(record: Record, query: dict[str, Any]) -> bool:
    """Whether the record's fields equal all entries of the query; an empty query matches all."""
    return all(record.fields.get(name) == value for name, value in query.items())
