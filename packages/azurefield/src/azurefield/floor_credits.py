"""A floor of service for each class in a queue that serves other classes first."""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING

from msgspec import Struct, field

if TYPE_CHECKING:
    from collections.abc import Callable

# Time constant of the counts of items that had to wait.
ASKED_WINDOW_S = 0.5
# A class whose count is lower than this is forgotten.
ASKED_MIN = 0.01
# A class whose items come unevenly may be served this many in a row.
CREDIT_MAX = 4.0


class ClassKey(Struct, kw_only=True, frozen=True):
    """Identifies a class of queued items, whatever its weight."""

    priority: int
    workspace: str


class ClassUse(Struct, kw_only=True):
    """What a class asks and is owed.

    :param asked: its items that had to wait lately, each counting less with time
    :param credit: items that it is owed
    """

    asked: float = 0.0
    credit: float = 0.0


class FloorCredits(Struct, kw_only=True):
    """Keeps a fraction of an equal service for each class.

    Protects the classes that an overload of others would leave unserved for as long as it lasts.

    >>> first, second = (ClassKey(priority=number, workspace="a") for number in range(2))
    >>> credits = FloorCredits(fraction=0.5)
    >>> order = []
    >>> for step in range(8):
    ...     for key in (first, second):
    ...         credits.on_queued(key)
    ...     order.append(credits.overdue(lambda key: True) or first)
    ...     credits.on_served(0.0, order[-1])
    >>> [key.priority for key in order]
    [0, 0, 0, 0, 1, 0, 0, 0]

    :param fraction: the part of an equal service that each class keeps, 0 to 1
    :param uses: the classes that asked lately
    :param served_at: when the last item was served, in seconds; None before the first
    """

    fraction: float
    uses: dict[ClassKey, ClassUse] = field(default_factory=dict)
    served_at: float | None = None

    def on_queued(self, key: ClassKey) -> None:
        """Count an item that has to wait."""
        use = self.uses.get(key)
        if use is None:
            use = self.uses[key] = ClassUse()
        use.asked += 1.0

    def overdue(self, waits: Callable[[ClassKey], bool]) -> ClassKey | None:
        """Return the class that is served next, whatever its priority; None for the usual order.

        :param waits: whether an item of a class is queued
        """
        owed = [key for key, use in self.uses.items() if use.credit >= 1.0 and waits(key)]
        return max(owed, key=lambda key: self.uses[key].credit, default=None)

    def on_served(self, now: float, key: ClassKey) -> None:
        """Charge an item to its class, and credit all classes with their parts of it."""
        self.decay(now)
        total = sum(use.asked for use in self.uses.values())
        for use in self.uses.values():
            credit = use.credit + self.fraction * use.asked / total
            use.credit = min(CREDIT_MAX, credit)
        if key in self.uses:
            self.uses[key].credit = max(0.0, self.uses[key].credit - 1.0)

    def decay(self, now: float) -> None:
        """Lower the counts by the time since the last served item."""
        served_at, self.served_at = self.served_at, now
        if served_at is None or now <= served_at:
            return
        kept = exp((served_at - now) / ASKED_WINDOW_S)
        for use in self.uses.values():
            use.asked *= kept
        self.uses = {key: use for key, use in self.uses.items() if use.asked >= ASKED_MIN}
