"""Exhaustive breadth-first exploration of a small model; finds the shortest counterexample."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol, TypeVar

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterable

State = TypeVar("State")


class Model(Protocol[State]):
    """A transition system; states with the same key must have the same steps and violations."""

    def initial(self) -> State:
        """Return the initial state."""

    def steps(self, state: State) -> Iterable[tuple[str, State]]:
        """Return the label of each enabled step and the state after it."""

    def key(self, state: State) -> Hashable:
        """Return a value that is equal for equivalent states only."""

    def violation(self, state: State) -> str | None:
        """Return which invariant a state violates, or None."""


@dataclass(slots=True, kw_only=True)
class Exploration:
    """Result of an exploration.

    ``complete`` says whether all reachable states were visited; ``trace`` holds the labels of the
    shortest path to the first violation.
    """

    states: int = 0
    depth: int = 0
    complete: bool = False
    violation: str | None = None
    trace: list[str] = field(default_factory=list)


def explore(model: Model[State], *, max_states: int = 2_000_000) -> Exploration:
    """Visit all reachable states, or stop at the first violation or at ``max_states``."""
    result = Exploration()
    initial = model.initial()
    parents: dict[Hashable, tuple[Hashable, str] | None] = {model.key(initial): None}
    frontier = [initial]
    while frontier:
        next_frontier: list[State] = []
        for state in frontier:
            result.states += 1
            result.violation = model.violation(state)
            if result.violation is not None:
                result.trace = trace_to(model.key(state), parents)
                return result
            if result.states >= max_states:
                return result
            for label, successor in model.steps(state):
                key = model.key(successor)
                if key not in parents:
                    parents[key] = (model.key(state), label)
                    next_frontier.append(successor)
        frontier = next_frontier
        result.depth += bool(frontier)
    result.complete = True
    return result


def trace_to(key: Hashable, parents: dict[Hashable, tuple[Hashable, str] | None]) -> list[str]:
    """Return the labels of the steps that lead to a state."""
    labels = []
    step = parents[key]
    while step is not None:
        key, label = step
        labels.append(label)
        step = parents[key]
    return labels[::-1]
