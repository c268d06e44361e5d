"""The memory that connections hold together, under random sequences of events."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefield.held_memory import HeldMemory

if TYPE_CHECKING:
    from collections.abc import Hashable

LIMIT_BYTES = 1000
CONNECTIONS = st.integers(0, 9)
SIZES = st.integers(0, 600)
EVENTS = st.one_of(
    st.tuples(st.just("hold"), CONNECTIONS, SIZES),
    st.tuples(st.just("use"), CONNECTIONS, SIZES),
    st.tuples(st.sampled_from(("release", "end_use")), CONNECTIONS, st.just(0)),
)


def apply(memory: HeldMemory[int], events: list[tuple[str, int, int]]) -> None:
    """Apply events, and assert after each that the bytes are counted and within the limit."""
    for event, connection, size in events:
        match event:
            case "hold":
                memory.hold(connection, size)
            case "use":
                room = sum(memory.in_use.values()) + size <= LIMIT_BYTES
                assert memory.use(connection, size) is room
            case "release":
                memory.release(connection)
            case "end_use":
                memory.end_use(connection)
        while (largest := memory.largest_above_limit()) is not None:
            assert memory.held[largest] == max(memory.held.values())
            memory.release(largest)
        assert memory.total_bytes == sum(memory.held.values()) + sum(memory.in_use.values())
        assert memory.total_bytes <= LIMIT_BYTES


@given(events=st.lists(EVENTS, max_size=60))
def test_what_is_held_stays_within_the_limit_and_only_the_largest_gives_up(
    events: list[tuple[str, int, int]],
) -> None:
    """Guards against bytes that are counted twice, never released, or taken from small holders."""
    apply(HeldMemory(limit_bytes=LIMIT_BYTES), events)


class SmallestGivesUp(HeldMemory[int]):
    """Takes the bytes of the connection that holds least."""

    def largest_above_limit(self) -> int | None:
        if HeldMemory.largest_above_limit(self) is None:
            return None
        return min(self.held, key=self.held.__getitem__)


class CountsEachPiece(HeldMemory[int]):
    """Counts what a connection holds again with each piece."""

    def hold(self, connection: int, held_bytes: int) -> None:
        self.total_bytes += held_bytes
        self.held[connection] = held_bytes


class UsesWithoutLimit(HeldMemory[int]):
    """Takes bodies into use whatever there is room for."""

    def use(self, user: Hashable, used_bytes: int) -> bool:
        self.limit_bytes += used_bytes
        return HeldMemory.use(self, user, used_bytes)


@pytest.mark.parametrize("weakened", [SmallestGivesUp, CountsEachPiece, UsesWithoutLimit])
def test_the_same_check_finds_a_weakened_memory(weakened: type[HeldMemory[int]]) -> None:
    """Guards against a check that would pass without the decision."""
    random = Random(1)
    kinds = ("hold", "use", "release", "end_use")
    events = [
        (random.choice(kinds), random.randrange(10), random.randrange(600)) for _ in range(500)
    ]
    apply(HeldMemory(limit_bytes=LIMIT_BYTES), events)
    with pytest.raises(AssertionError):
        apply(weakened(limit_bytes=LIMIT_BYTES), events)
