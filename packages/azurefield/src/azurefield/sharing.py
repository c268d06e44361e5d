"""Shares room that does not suffice: by priority, then fairly among workspaces."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from itertools import accumulate
from math import exp, inf
from typing import TYPE_CHECKING, Generic, TypeVar

from msgspec import Struct, field

from azurefield.fairness import FairQueue
from azurefield.floor_credits import ClassKey, FloorCredits

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from azurefield.workspaces import Workspace

# Fraction of an equal service that each class of requests keeps, whatever its priority.
FLOOR_FRACTION = 0.3
# Lateness of a tick at which the capacity for forwarded requests stays.
LATE_TARGET_S = 0.03
# By how much the capacity changes in an interval: in proportion to the distance from the target.
CAPACITY_GAIN = 0.05
CAPACITY_FALL_MAX = 0.05
# The room that is divided follows the lateness at once. Without this the load swings, since a
# backlog shows only in the intervals after the one that caused it.
ROOM_GAIN = 0.3
ROOM_FALL_MAX = 0.8
ROOM_RISE_MAX = 0.2
# A capacity that exceeds the demand by this factor is no limit any more.
UNLIMITED_FACTOR = 1.5
# Time constant of the averages of demand and accepted requests.
AVERAGE_S = 0.5
# A lower capacity, in requests per second, would accept too little to measure a recovery.
CAPACITY_MIN_PER_S = 1.0
# Nor does the room fall below this fraction of the recent peak of the accepted rate: the refusals
# themselves then make the process late, and less room would mean more of them.
ROOM_MIN_FRACTION = 0.1
# Time constant with which the peak of the accepted rate falls.
PEAK_S = 60.0
# Credit is kept for this time: a workspace whose requests come unevenly gets its part all the same.
CREDIT_MAX_S = 1.0
# A class that asks for less than this, in requests per second, is forgotten.
DEMAND_MIN_PER_S = 0.01
# Part of a class's demand that may be missing because of binary rounding.
ROUNDING_TOLERANCE = 1e-6

ItemT = TypeVar("ItemT")


class RequestClass(Struct, kw_only=True, frozen=True):
    """Requests that are treated alike.

    :param priority: 0 first
    :param workspace: empty for requests without a workspace
    :param weight: above 0; the workspace's weight among those of the same priority; None for the
        largest weight of the others
    """

    priority: int
    workspace: str = ""
    weight: float | None = 1.0

    @classmethod
    def of(cls, priority: int, workspace: Workspace | None) -> RequestClass:
        """Return the class of a workspace's requests; a quota's rate is its weight.

        Without a quota, nothing says that a workspace is entitled to less than another one.
        """
        if workspace is None:
            return cls(priority=priority, weight=None)
        weight = None if workspace.quota is None else workspace.quota.rate_per_s
        return cls(priority=priority, workspace=workspace.name, weight=weight)


class SharedQueue(Struct, Generic[ItemT], kw_only=True):
    """Queues items by priority, then by start-time fair queueing over workspaces, then by arrival.

    Once a workspace has queued items, each class keeps a floor: a class that was served less goes
    next, whatever its priority. Such an item is not charged to its workspace.

    >>> queue: SharedQueue[str] = SharedQueue()
    >>> for workspace, item in (("a", "a1"), ("a", "a2"), ("b", "b1")):
    ...     queue.push(RequestClass(priority=1, workspace=workspace), item)
    >>> queue.push(RequestClass(priority=0, workspace="a"), "urgent")
    >>> [queue.pop(0.0) for _ in range(4)]
    ['urgent', 'a1', 'b1', 'a2']

    :param on_out_of_turn: called for each item that the floor of its class has let go first
    """

    by_priority: dict[int, FairQueue[ItemT]] = field(default_factory=dict)
    weights: dict[str, float] = field(default_factory=dict)
    unweighted: set[str] = field(default_factory=set)
    largest_weight: float = 0.0
    floors: FloorCredits = field(default_factory=lambda: FloorCredits(fraction=FLOOR_FRACTION))
    on_out_of_turn: Callable[[], None] = lambda: None

    def __len__(self) -> int:
        return sum(len(queue) for queue in self.by_priority.values())

    def push(self, request_class: RequestClass, item: ItemT) -> None:
        """Queue an item behind the others of its class."""
        queue = self.by_priority.get(request_class.priority)
        if queue is None:
            queue = self.by_priority[request_class.priority] = FairQueue(weights=self.weights)
        self.set_weight(request_class.workspace, request_class.weight)
        queue.push(request_class.workspace, 1.0, item)
        if request_class.workspace or any(key.workspace for key in self.floors.uses):
            self.floors.on_queued(key_of(request_class))

    def set_weight(self, workspace: str, weight: float | None) -> None:
        """Set a workspace's weight; those without one follow the largest."""
        if weight is None:
            self.unweighted.add(workspace)
            self.weights[workspace] = self.largest_weight or 1.0
            return
        self.unweighted.discard(workspace)
        self.weights[workspace] = weight
        if weight > self.largest_weight:
            self.largest_weight = weight
            self.weights.update(dict.fromkeys(self.unweighted, weight))

    def first(self, now: float) -> ItemT | None:
        """Return the item that ``pop`` would remove; None if none is queued."""
        key = self.next_class(now)
        return None if key is None else self.by_priority[key.priority].head(key.workspace)

    def pop(self, now: float) -> ItemT | None:
        """Remove and return the next item; None if none is queued."""
        key = self.next_class(now)
        if key is None:
            return None
        queue = self.by_priority[key.priority]
        item = queue.head(key.workspace)
        if key == self.by_precedence(now):
            queue.pop(now)
        elif item is not None:
            queue.remove(key.workspace, item)
            self.on_out_of_turn()
        self.floors.on_served(now, key)
        self.forget_empty(key.priority)
        return item

    def next_class(self, now: float) -> ClassKey | None:
        """Return the class whose first item is next; None if none is queued."""
        return self.floors.overdue(self.waits) or self.by_precedence(now)

    def by_precedence(self, now: float) -> ClassKey | None:
        """Return the class that is next by priority and weight; None if none is queued."""
        if not self.by_priority:
            return None
        priority = min(self.by_priority)
        workspace = self.by_priority[priority].next_member(now)
        return None if workspace is None else ClassKey(priority=priority, workspace=workspace)

    def waits(self, key: ClassKey) -> bool:
        """Whether an item of a class is queued."""
        queue = self.by_priority.get(key.priority)
        return queue is not None and queue.head(key.workspace) is not None

    def remove(self, request_class: RequestClass, item: ItemT) -> bool:
        """Drop an item, which its workspace is not charged for.

        :return: whether it was queued
        """
        queue = self.by_priority.get(request_class.priority)
        if queue is None or not queue.remove(request_class.workspace, item):
            return False
        self.forget_empty(request_class.priority)
        return True

    def forget_empty(self, priority: int) -> None:
        """Drop the state of workspaces once nothing of a priority is queued."""
        if not len(self.by_priority[priority]):
            del self.by_priority[priority]
        if not self.by_priority:
            self.weights.clear()
            self.unweighted.clear()
            self.largest_weight = 0.0


def key_of(request_class: RequestClass) -> ClassKey:
    """Return what identifies a class, whatever its weight."""
    return ClassKey(priority=request_class.priority, workspace=request_class.workspace)


def divide(capacity: float, demand: Mapping[RequestClass, float]) -> dict[RequestClass, float]:
    """Divide a capacity among classes of requests; all numbers are requests per second.

    Each class keeps ``FLOOR_FRACTION`` of an equal service. The rest goes by priority, and among
    the workspaces of one priority by weight, up to what each one asks.

    >>> greedy, small = (RequestClass(priority=0, workspace=name) for name in ("greedy", "small"))
    >>> parts = divide(10.0, {greedy: 90.0, small: 2.0})
    >>> round(parts[greedy], 3), round(parts[small], 3)
    (8.0, 2.0)
    """
    total = sum(demand.values())
    if total <= capacity:
        return dict(demand)
    floor = FLOOR_FRACTION * capacity / total
    parts = {request_class: floor * rate for request_class, rate in demand.items()}
    left = capacity - sum(parts.values())
    weights = weights_of(demand)
    for priority in sorted({request_class.priority for request_class in demand}):
        asked = {
            request_class: rate
            for request_class, rate in demand.items()
            if request_class.priority == priority
        }
        granted = fill_by_weight(
            left + sum(parts[request_class] for request_class in asked), asked, weights
        )
        for request_class, part in granted.items():
            extra = min(left, max(0.0, part - parts[request_class]))
            parts[request_class] += extra
            left -= extra
    return parts


def weights_of(classes: Collection[RequestClass]) -> dict[RequestClass, float]:
    """Return the weights of classes; those without one have the largest of the others."""
    largest = max((one.weight for one in classes if one.weight is not None), default=1.0)
    return {one: largest if one.weight is None else one.weight for one in classes}


def fill_by_weight(
    capacity: float,
    asked: Mapping[RequestClass, float],
    weights: Mapping[RequestClass, float],
) -> dict[RequestClass, float]:
    """Divide a capacity by weight; what a class does not ask for goes to the others."""
    # Those that ask least for their weight come first: what they leave goes to the others.
    order = sorted(asked, key=lambda request_class: asked[request_class] / weights[request_class])
    # Sums of the weights from each class on; subtracting them could leave 0 for small weights.
    weights_left = [*accumulate(weights[request_class] for request_class in reversed(order))][::-1]
    granted: dict[RequestClass, float] = {}
    for request_class, weight_left in zip(order, weights_left, strict=True):
        part = min(asked[request_class], capacity * (weights[request_class] / weight_left))
        granted[request_class] = part
        capacity -= part
    return granted


class SharedAdmission(Struct, kw_only=True):
    """Accepts the requests of a process that is busy: by priority, then by workspaces' weights.

    Protects against more requests than the process runs in time, also from one workspace
    alone. The capacity follows from how late the process is in each interval.

    :param late_target_s: lateness at which the capacity stays; above it falls, below it rises
    :param capacity_per_s: requests that are accepted per second; infinite while there is no limit
    :param demand: average requests per second of each class
    :param accepted_per_s: average of the accepted requests per second
    :param peak_per_s: the largest such average, which falls while less is accepted
    :param parts: requests per second of the classes that ask for more than they get
    :param credits: how many requests of these classes may be accepted now
    :param was_late: whether the process was late in the last interval; a single one limits nothing
    """

    late_target_s: float = LATE_TARGET_S
    capacity_per_s: float = inf
    demand: dict[RequestClass, float] = field(default_factory=dict)
    accepted_per_s: float = 0.0
    peak_per_s: float = 0.0
    parts: dict[RequestClass, float] = field(default_factory=dict)
    credits: dict[RequestClass, float] = field(default_factory=dict)
    asked: Counter[RequestClass] = field(default_factory=Counter)
    accepted: int = 0
    interval_began_at: float | None = None
    was_late: bool = False

    @property
    def limiting(self) -> bool:
        """Whether some requests are refused."""
        return bool(self.parts)

    def accepts(self, request_class: RequestClass, *, late: bool = False) -> bool:
        """Count a request, and decide whether it is accepted.

        :param late: whether the process is too late for any request
        """
        self.asked[request_class] += 1
        if late:
            return False
        if not self.has_credit(request_class):
            return False
        if request_class in self.parts:
            self.credits[request_class] -= 1.0
        self.accepted += 1
        return True

    def has_credit(self, request_class: RequestClass) -> bool:
        """Whether a request is within the part of its class; changes nothing."""
        return request_class not in self.parts or self.credits[request_class] >= 1.0

    def on_interval(self, now: float, late_s: float) -> None:
        """End an interval, whose length may vary.

        :param late_s: how late the process does its work
        """
        began_at, self.interval_began_at = self.interval_began_at, now
        if began_at is None or now <= began_at:
            return
        elapsed_s = now - began_at
        self.average(elapsed_s)
        self.change_capacity(late_s)
        self.set_parts(elapsed_s, self.room_per_s(late_s))

    @property
    def room_min_per_s(self) -> float:
        """Lower bound of the room, in requests per second, however late the process is."""
        return max(CAPACITY_MIN_PER_S, ROOM_MIN_FRACTION * self.peak_per_s)

    def margin(self, late_s: float) -> float:
        """Return how far a lateness is below the target, as a fraction of it; negative above it."""
        return 1.0 - late_s / self.late_target_s

    def change_capacity(self, late_s: float) -> None:
        """Raise or lower the capacity by the lateness of an interval."""
        late_again = self.was_late and late_s > self.late_target_s
        self.was_late = late_s > self.late_target_s
        if late_again:
            self.capacity_per_s = min(self.capacity_per_s, self.accepted_per_s)
        change = max(-CAPACITY_FALL_MAX, CAPACITY_GAIN * self.margin(late_s))
        self.capacity_per_s = max(self.room_min_per_s, self.capacity_per_s * (1.0 + change))
        if self.capacity_per_s > UNLIMITED_FACTOR * sum(self.demand.values()):
            self.capacity_per_s = inf

    def room_per_s(self, late_s: float) -> float:
        """Return the rate that is divided next: the capacity, corrected by the lateness."""
        change = min(ROOM_RISE_MAX, max(-ROOM_FALL_MAX, ROOM_GAIN * self.margin(late_s)))
        return max(self.room_min_per_s, self.capacity_per_s * (1.0 + change))

    def average(self, elapsed_s: float) -> None:
        """Add an interval to the averages."""
        weight = 1.0 - exp(-elapsed_s / AVERAGE_S)
        for request_class in self.asked:
            self.demand.setdefault(request_class, 0.0)
        averages = {
            request_class: rate + weight * (self.asked[request_class] / elapsed_s - rate)
            for request_class, rate in self.demand.items()
        }
        self.demand = {
            request_class: rate
            for request_class, rate in averages.items()
            if rate >= DEMAND_MIN_PER_S
        }
        self.accepted_per_s += weight * (self.accepted / elapsed_s - self.accepted_per_s)
        self.peak_per_s = max(self.accepted_per_s, self.peak_per_s * exp(-elapsed_s / PEAK_S))
        self.asked.clear()
        self.accepted = 0

    def set_parts(self, elapsed_s: float, room_per_s: float) -> None:
        """Divide the room, and add to the credits of the classes that are limited."""
        if self.capacity_per_s == inf:
            self.parts, self.credits = {}, {}
            return
        parts = divide(room_per_s, self.demand)
        self.parts = {
            request_class: part
            for request_class, part in parts.items()
            if part < (1.0 - ROUNDING_TOLERANCE) * self.demand[request_class]
        }
        self.credits = {
            request_class: self.credit(request_class, elapsed_s) for request_class in self.parts
        }

    def credit(self, request_class: RequestClass, elapsed_s: float) -> float:
        """Return the credit of a limited class; one that was not limited before has all of it."""
        credit_max = max(1.0, CREDIT_MAX_S * self.parts[request_class])
        known = self.credits.get(request_class)
        if known is None:
            return credit_max
        return min(credit_max, known + self.parts[request_class] * elapsed_s)
