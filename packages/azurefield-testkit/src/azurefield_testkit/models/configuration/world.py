"""State of the configuration model: the store, the processes and the remaining faults."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import pairwise
from random import Random
from typing import TYPE_CHECKING, TypeAlias

from azurefield.configuration import (
    AcceptChange,
    CompareAndSwapHead,
    ConfigAdoption,
    FetchFromPeer,
    HeadMissing,
    HeadSeen,
    ReadHead,
    StoreAction,
)
from azurefield_testkit.models.state import deep_copy
from azurefield_testkit.store_model import StoreModel

if TYPE_CHECKING:
    from collections.abc import Callable

    from azurefield.configuration import StoreEvent


class NoDelay(Random):
    """Random source that draws no delays.

    It is pickled as a reference to ``NO_DELAY``, so that all copies of a state share one object.
    """

    def uniform(self, a: float, b: float) -> float:  # noqa: ARG002
        """Return the lower bound."""
        return a

    def __reduce__(self) -> str:
        return "NO_DELAY"


NO_DELAY = NoDelay()


@dataclass(slots=True, kw_only=True)
class OperatorProcess:
    """One operator's command.

    ``machine`` is None before the command starts, ``result`` is empty until it has ended.
    """

    machine: AcceptChange | None = None
    pending: list[StoreAction] = field(default_factory=list)
    result: str = ""


@dataclass(slots=True, kw_only=True)
class InstanceProcess:
    """One instance.

    ``watched`` is the head that its watch delivered last, ``adopted`` lists the version and digest
    of each configuration that it put in force since its start.
    """

    machine: ConfigAdoption
    pending: list[StoreAction | FetchFromPeer] = field(default_factory=list)
    watched: HeadSeen | HeadMissing | None = None
    adopted: list[tuple[int, str]] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class Faults:
    """How many faults of each kind may still happen."""

    lost_replies: int = 0
    lost_requests: int = 0
    late_writes: int = 0
    failures: int = 0
    rollbacks: int = 0
    restarts: int = 0


@dataclass(slots=True, kw_only=True)
class SystemState:
    """One state of the model.

    ``backup`` is the state that a restore of the store brings back; ``past_heads`` holds the
    identifiers of all changes that are or were the head.
    """

    store: StoreModel
    backup: StoreModel
    operators: list[OperatorProcess]
    instances: list[InstanceProcess]
    faults: Faults
    past_heads: set[str]
    problem: str | None = None

    def perform(self, action: StoreAction, fault: str = "none") -> StoreEvent:
        """Apply an action to the store and record which change is the head after it."""
        event = self.store.perform(action, fault)
        head = self.store.read_head()
        if isinstance(head, HeadSeen):
            self.past_heads.add(head.change_id)
        return event

    def apply_late(self, position: int) -> None:
        """Apply a late write, whose sender no longer waits for the reply."""
        self.perform(self.store.late_writes.pop(position))

    def roll_back(self) -> None:
        """Restore the store, including its revision counter, to the initial state."""
        self.faults.rollbacks -= 1
        self.store = deep_copy(self.backup)

    def check(self) -> None:
        """Set ``problem`` if the state violates a guarantee."""
        if self.store.violations:
            self.problem = self.store.violations[0]
        by_version: dict[int, str] = {}
        for instance in self.instances:
            versions = [version for version, _ in instance.adopted]
            if any(later <= earlier for earlier, later in pairwise(versions)):
                self.problem = f"an instance went through versions {versions}"
            for version, digest in instance.adopted:
                if by_version.setdefault(version, digest) != digest:
                    self.problem = f"two contents are in force as version {version}"
        for number, operator in enumerate(self.operators):
            accepted = f"by{number}" in self.past_heads
            if operator.result == "accepted" and not accepted:
                self.problem = f"operator {number} got 'accepted' for a change never accepted"
            if operator.result == "not accepted" and accepted:
                self.problem = (
                    f"operator {number} got 'not accepted' for a change that was accepted"
                )

    def convergence_violation(self) -> str | None:
        """Describe an instance or a store without the highest accepted version, or return None.

        This is a violation only in a state without further steps.
        """
        stored = self.store.version()
        highest = max([stored] + [instance.machine.version for instance in self.instances])
        for number, instance in enumerate(self.instances):
            if instance.machine.version != highest:
                return f"instance {number} never adopts version {highest}"
        if stored not in (0, highest):
            return f"version {highest} is never written back to the store"
        return None


# The label of a step and the function that applies it to a state.
Step: TypeAlias = "tuple[str, Callable[[SystemState], None]]"


def is_order_dependent(action: StoreAction | FetchFromPeer) -> bool:
    """Whether an action's result depends on its order among the steps of other processes."""
    return isinstance(action, ReadHead | CompareAndSwapHead | FetchFromPeer)
