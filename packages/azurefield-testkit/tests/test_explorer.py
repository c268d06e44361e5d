from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import pytest

from azurefield_testkit.explorer import explore

if TYPE_CHECKING:
    from collections.abc import Hashable


@dataclass(slots=True, kw_only=True)
class Counter:
    """Model that counts up to a limit, by one or by two; ``forbidden`` is a violation."""

    limit: int
    forbidden: int

    def initial(self) -> int:
        return 0

    def steps(self, state: int) -> list[tuple[str, int]]:
        return [(f"+{step}", state + step) for step in (1, 2) if state + step <= self.limit]

    def key(self, state: int) -> Hashable:
        return state

    def violation(self, state: int) -> str | None:
        return f"reached {state}" if state == self.forbidden else None


@pytest.mark.parametrize(
    ("forbidden", "violation", "trace", "complete"),
    [
        pytest.param(99, None, [], True, id="nothing-forbidden-is-reachable"),
        pytest.param(3, "reached 3", ["+1", "+2"], False, id="shortest-path-to-a-violation"),
    ],
)
def test_exploration_is_exhaustive_and_gives_the_shortest_trace(
    forbidden: int, violation: str | None, trace: list[str], complete: bool
) -> None:
    """Guards against an explorer that misses states and therefore reports no violation."""
    result = explore(Counter(limit=6, forbidden=forbidden))
    assert (result.violation, result.trace, result.complete) == (violation, trace, complete)
    assert not complete or (result.states, result.depth) == (7, 3)


def test_exploration_stops_at_the_limit_of_states_and_says_so() -> None:
    """Guards against a check that counts as complete although it stopped early."""
    result = explore(Counter(limit=1_000, forbidden=-1), max_states=10)
    assert (result.states, result.complete) == (10, False)
