from __future__ import annotations

import pytest

from azurefield.model import HASH_SLOTS, even_shard_map, slot_of


@pytest.mark.parametrize("count", [1, 3, 7, 1200], ids=lambda count: f"{count}-leafs")
def test_an_even_shard_map_assigns_every_slot_to_exactly_one_leaf(count: int) -> None:
    """Guards against gaps, which lose records, and overlaps, which return them twice."""
    shard_map = even_shard_map(version=1, leafs=tuple(f"leaf-{n}" for n in range(count)))
    covered = [
        slot for entry in shard_map.ranges for slot in range(entry.first_slot, entry.last_slot + 1)
    ]
    assert covered == list(range(HASH_SLOTS))


@pytest.mark.parametrize(
    "key", ["", "a", "clé", "x" * 10_000], ids=["empty", "short", "utf8", "long"]
)
def test_the_slot_of_any_key_is_within_the_map(key: str) -> None:
    """Guards against a key that no leaf of a complete map owns."""
    assert 0 <= slot_of(key) < HASH_SLOTS
