from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field

import pytest

from azurefield.fairness import FairQueue, ShareExchange
from azurefield.model import MemberShare


@dataclass(slots=True, kw_only=True)
class FirstInFirstOut:
    """The fault that fair queueing prevents: members are served in proportion to their demand."""

    entries: deque[str] = field(default_factory=deque)

    def push(self, member: str, cost: float, item: str) -> None:  # noqa: ARG002
        self.entries.append(item)

    def pop(self, now: float) -> str | None:  # noqa: ARG002
        return self.entries.popleft()


def served(queue: FairQueue[str] | FirstInFirstOut, demand: dict[str, int]) -> Counter[str]:
    """Serve 400 items and count them by member.

    Before each, every member queues the number of items given by ``demand``.
    """
    counts: Counter[str] = Counter()
    for step in range(400):
        for member, rate in demand.items():
            for _ in range(rate):
                queue.push(member, 1.0, member)
        counts[queue.pop(step * 0.01) or ""] += 1
    return counts


@pytest.mark.parametrize(
    ("queue", "expected"),
    [
        (FairQueue[str](), {"greedy": 200, "small": 200}),
        (FairQueue[str](weights={"small": 3.0}), {"greedy": 100, "small": 300}),
        (FairQueue[str](caps={"greedy": 0.2}), {"greedy": 80, "small": 320}),
        (FirstInFirstOut(), {"greedy": 364, "small": 36}),
    ],
    ids=["equal-weights", "weighted", "capped", "first-in-first-out"],
)
def test_a_greedy_member_starves_others_only_under_first_in_first_out(
    queue: FairQueue[str] | FirstInFirstOut, expected: dict[str, int]
) -> None:
    """Guards against serving members in proportion to their demand instead of their weights."""
    counts = served(queue, {"greedy": 10, "small": 1})
    assert counts["small"] == pytest.approx(expected["small"], abs=16)
    assert counts["greedy"] == pytest.approx(expected["greedy"], abs=16)


def test_removed_items_are_not_charged_and_idle_members_accumulate_no_credit() -> None:
    """Guards against charging members for removed requests, and against a burst after idle time.

    An idle member must not accumulate credit and then be served before all others.
    """
    queue = FairQueue[str]()
    for item in ("a1", "a2", "a3"):
        queue.push("a", 1.0, item)
    assert queue.remove("a", "a1")
    assert queue.remove("a", "a2")
    queue.push("b", 1.0, "b1")
    assert [queue.pop(0.0), queue.pop(0.0)] == ["a3", "b1"]
    for index in range(50):
        queue.push("a", 1.0, f"a{index}")
        queue.pop(0.0)
    for index in range(4):
        queue.push("a", 1.0, f"a{index}")
        queue.push("returning", 1.0, f"returning{index}")
    order = [(queue.pop(0.0) or "").rstrip("0123456789") for _ in range(8)]
    assert Counter(order[:4])["returning"] <= 3


@pytest.mark.parametrize(
    ("member", "ahead"), [("greedy", 10.0), ("small", 1.0)], ids=["greedy", "small"]
)
def test_the_cost_ahead_counts_only_what_is_served_earlier(member: str, ahead: float) -> None:
    """Guards against refusing a request because of the backlog of another member."""
    queue = FairQueue[str]()
    for index in range(10):
        queue.push("greedy", 1.0, f"{index}")
    assert queue.cost_ahead(member) == ahead
    assert queue.evict() == "9"


@pytest.mark.parametrize(
    ("age_s", "small_weight"), [(1.0, 4.0), (3.1, 1.0)], ids=["fresh", "stale"]
)
def test_use_on_other_instances_shifts_the_weights_until_the_reports_are_stale(
    age_s: float, small_weight: float
) -> None:
    """Guards against a full share per instance for one member, and against using stale reports."""
    members = tuple(MemberShare(member=name, weight=1.0) for name in ("greedy", "small"))
    exchange = ShareExchange(members=members)
    for peer in range(5):
        exchange.on_report(0.0, f"entry-{peer}", {"greedy": 100.0})
    weights = exchange.weights(age_s, {"greedy": 50.0, "small": 50.0})
    assert weights["small"] == small_weight
    assert weights["greedy"] <= 1.0
