"""The memory that connections hold together, under random sequences of events."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from azurefield.held_memory import HeldMemory

LIMIT_BYTES = 1000
CONNECTIONS = st.integers(0, 9)
SIZES = st.integers(0, 600)
EVENTS = st.one_of(
    st.tuples(st.just("hold"), CONNECTIONS, SIZES),
    st.tuples(st.just("use"), CONNECTIONS, SIZES),
    st.tuples(st.sampled_from(("release", "end_use")), CONNECTIONS, st.just(0)),
)


@given(events=st.lists(EVENTS, max_size=60))
def test_what_is_held_stays_within_the_limit_and_only_the_largest_gives_up(
    events: list[tuple[str, int, int]],
) -> None:
    """Guards against bytes that are counted twice, never released, or taken from small holders."""
    memory: HeldMemory[int] = HeldMemory(limit_bytes=LIMIT_BYTES)
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
