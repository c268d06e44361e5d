"""Fair shares of members: fair queueing, use meters and the exchange of use between instances."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterator, Mapping
from math import exp
from typing import Generic, TypeVar

from msgspec import Struct, field

from azurefield.model import MemberShare

USE_WINDOW_S = 1.0
REPORT_MAX_AGE_S = 3.0
# A local weight differs from the configured one by at most this factor, so that a wrong report of a
# peer can't exclude a member from service.
WEIGHT_SHIFT_FACTOR_MAX = 4.0

ItemT = TypeVar("ItemT")


class UseMeter(Struct, kw_only=True):
    """Exponential moving average of the cost per second of each key, over ``window_s``."""

    window_s: float = USE_WINDOW_S
    rates: dict[str, float] = field(default_factory=dict)
    updated_at: float = float("-inf")

    def add(self, now: float, key: str, cost: float) -> None:
        """Add cost to the rate of a key."""
        self.decay(now)
        self.rates[key] = self.rates.get(key, 0.0) + cost / self.window_s

    def decay(self, now: float) -> None:
        """Decay all rates to ``now``."""
        elapsed_s = now - self.updated_at
        if elapsed_s <= 0.0:
            return
        factor = exp(-elapsed_s / self.window_s)
        self.rates = {
            key: rate * factor for key, rate in self.rates.items() if rate * factor > 1e-6
        }
        self.updated_at = now

    def shares(self, now: float) -> dict[str, float]:
        """Return each key's fraction of the sum of all rates; empty if there are no rates."""
        self.decay(now)
        total = sum(self.rates.values())
        return {key: rate / total for key, rate in self.rates.items()} if total else {}


class Flow(Struct, Generic[ItemT], kw_only=True):
    """The queued items of one member with their costs.

    ``start_tag`` is the start tag of the first item, and ``backlog`` the cost of all items.
    """

    start_tag: float = 0.0
    backlog: float = 0.0
    items: deque[tuple[float, ItemT]] = field(default_factory=deque)


class FairQueue(Struct, Generic[ItemT], kw_only=True):
    """Start-time fair queueing (SFQ) over members.

    ``push`` queues an item, ``pop`` serves the member with the smallest start tag, and ``remove``
    and ``evict`` drop items. Only served items are charged, so that a member is not charged for
    requests that expired in the queue. A member above its cap is passed over while a member below
    its cap waits.

    >>> queue: FairQueue[str] = FairQueue(weights={"a": 1.0, "b": 1.0})
    >>> for item in ("a1", "a2", "a3"):
    ...     queue.push("a", 1.0, item)
    >>> queue.push("b", 1.0, "b1")
    >>> [queue.pop(0.0) for _ in range(4)]
    ['a1', 'b1', 'a2', 'a3']
    """

    weights: Mapping[str, float] = field(default_factory=dict)
    caps: Mapping[str, float] = field(default_factory=dict)
    flows: dict[str, Flow[ItemT]] = field(default_factory=dict)
    use: UseMeter = field(default_factory=UseMeter)
    virtual_time: float = 0.0
    length: int = 0

    def __len__(self) -> int:
        return self.length

    def weight(self, member: str) -> float:
        """Return a member's weight; an unlisted member has weight 1."""
        return max(self.weights.get(member, 1.0), 1e-6)

    def push(self, member: str, cost: float, item: ItemT) -> None:
        """Queue an item behind the member's other items."""
        flow = self.flows.setdefault(member, Flow())
        if not flow.items:
            flow.start_tag = max(flow.start_tag, self.virtual_time)
        flow.items.append((cost, item))
        flow.backlog += cost
        self.length += 1

    def next_member(self, now: float, skipped: Collection[str] = ()) -> str | None:
        """Choose the member to serve, or None if only skipped members have queued items."""
        waiting = [name for name, flow in self.flows.items() if flow.items and name not in skipped]
        if not waiting:
            return None
        shares = self.use.shares(now) if self.caps else {}
        below_cap = [name for name in waiting if shares.get(name, 0.0) <= self.caps.get(name, 1.0)]
        return min(below_cap or waiting, key=lambda name: self.flows[name].start_tag)

    def peek(self, now: float, skipped: Collection[str] = ()) -> ItemT | None:
        """Return the item that ``pop`` would serve, without removing it."""
        member = self.next_member(now, skipped)
        return None if member is None else self.flows[member].items[0][1]

    def pop(self, now: float, skipped: Collection[str] = ()) -> ItemT | None:
        """Remove and return the next item, or None if only skipped members have queued items."""
        member = self.next_member(now, skipped)
        if member is None:
            return None
        flow = self.flows[member]
        cost, item = flow.items.popleft()
        flow.backlog -= cost
        self.length -= 1
        self.charge(now, member, cost)
        return item

    def charge(self, now: float, member: str, cost: float) -> None:
        """Charge a member for an item that is served; the item need not have been queued."""
        flow = self.flows.setdefault(member, Flow())
        flow.start_tag = self.virtual_time = max(flow.start_tag, self.virtual_time)
        flow.start_tag += cost / self.weight(member)
        self.use.add(now, member, cost)

    def cost_ahead(self, member: str, skipped: Collection[str] = ()) -> float:
        """Estimate the cost that would be served before a new item of this member.

        :param skipped: members that are passed over
        """
        own = self.flows.get(member)
        own_backlog = own.backlog if own else 0.0
        new_item_tag = max(
            own.start_tag if own else 0.0, self.virtual_time
        ) + own_backlog / self.weight(member)
        ahead = own_backlog
        for name, flow in self.flows.items():
            if name == member or name in skipped or not flow.items:
                continue
            if flow.start_tag <= new_item_tag:
                first_cost = flow.items[0][0]
                ahead += min(
                    flow.backlog, (new_item_tag - flow.start_tag) * self.weight(name) + first_cost
                )
        return ahead

    def items(self) -> Iterator[ItemT]:
        """Iterate over all queued items, member by member, each in order of arrival."""
        for flow in self.flows.values():
            for _, item in flow.items:
                yield item

    def heads(self) -> Iterator[ItemT]:
        """Iterate over the first queued item of each member."""
        for flow in self.flows.values():
            if flow.items:
                yield flow.items[0][1]

    def head(self, member: str) -> ItemT | None:
        """Return the first queued item of a member; None if it has none."""
        flow = self.flows.get(member)
        return flow.items[0][1] if flow is not None and flow.items else None

    def remove(self, member: str, item: ItemT) -> bool:
        """Drop an item without charging for it.

        :return: whether it was queued
        """
        flow = self.flows.get(member)
        entry = next((entry for entry in flow.items if entry[1] == item), None) if flow else None
        if flow is None or entry is None:
            return False
        flow.items.remove(entry)
        flow.backlog -= entry[0]
        self.length -= 1
        return True

    def evict(self) -> ItemT | None:
        """Drop the item that would be served last, or return None if the queue is empty."""
        waiting = [name for name, flow in self.flows.items() if flow.items]
        if not waiting:
            return None
        member = max(waiting, key=self.last_finish_tag)
        flow = self.flows[member]
        cost, item = flow.items.pop()
        flow.backlog -= cost
        self.length -= 1
        return item

    def last_finish_tag(self, member: str) -> float:
        """Return the finish tag of a member's last queued item."""
        flow = self.flows[member]
        return flow.start_tag + flow.backlog / self.weight(member)


class ShareExchange(Struct, kw_only=True):
    """Adjusts local weights to the use that members have on all instances.

    Each instance sends ``UseMeter.rates`` in its heartbeat. ``on_report`` records the use on a
    peer, and ``weights`` computes the local weights. A member that uses more than its share of all
    instances gets a lower local weight, and one that uses less gets a higher one, within
    ``WEIGHT_SHIFT_FACTOR_MAX``. Without a recent report the configured weights apply.
    """

    members: tuple[MemberShare, ...]
    max_age_s: float = REPORT_MAX_AGE_S
    reports: dict[str, tuple[float, Mapping[str, float]]] = field(default_factory=dict)

    def on_report(self, now: float, instance: str, use: Mapping[str, float]) -> None:
        """Record the cost per second that each member uses on another instance."""
        self.reports[instance] = (now, use)

    def forget(self, instance: str) -> None:
        """Remove the report of an instance that left."""
        self.reports.pop(instance, None)

    def weights(self, now: float, local_use: Mapping[str, float]) -> dict[str, float]:
        """Compute the local weights.

        :param local_use: cost per second that each member uses on this instance
        """
        configured = {share.member: share.weight for share in self.members}
        fresh = [use for at, use in self.reports.values() if now - at <= self.max_age_s]
        if not fresh:
            return configured
        total_use = {
            name: local_use.get(name, 0.0) + sum(use.get(name, 0.0) for use in fresh)
            for name in configured
        }
        use_sum = sum(total_use.values())
        weight_sum = sum(weight for name, weight in configured.items() if total_use[name] > 0.0)
        if use_sum <= 0.0 or weight_sum <= 0.0:
            return configured
        shifted = {}
        for name, weight in configured.items():
            fair_share = weight / weight_sum
            use_share = total_use[name] / use_sum
            factor = fair_share / use_share if use_share > 0.0 else 1.0
            shifted[name] = weight * min(
                WEIGHT_SHIFT_FACTOR_MAX, max(1.0 / WEIGHT_SHIFT_FACTOR_MAX, factor)
            )
        return shifted
