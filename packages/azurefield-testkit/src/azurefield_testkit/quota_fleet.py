"""A fleet on virtual time that issues quotas, with faults of instances, links and the store.

Only the transport, the clocks and the store are simulated; all decisions are those of the library.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from azurefield.quota import QuotaDenied, QuotaGranted
from azurefield.workspace_quota import ShareRequest, TokenDecision
from azurefield_testkit.quota_faults import FaultKind
from azurefield_testkit.quota_node import Node
from azurefield_testkit.slot_fleet import LATENCY_S, SlotFleet

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

ASK_TIMEOUT_S = 0.03


@dataclass(slots=True, kw_only=True)
class Pending:
    """A caller's request that is being admitted."""

    node: Node
    instance: int
    sent_at: float
    slots: list[int]
    asked: int = 0
    done: bool = False


@dataclass(slots=True, kw_only=True)
class QuotaFleet(SlotFleet):
    """Instances that admit the requests of one workspace.

    :param runs: when each admitted request was sent by its caller and reached a server
    """

    runs: list[tuple[float, float]] = field(default_factory=list)
    results: Counter[str] = field(default_factory=Counter)

    def send_requests(self, times: Iterable[float], receivers: list[int]) -> None:
        """Plan callers' requests at random receivers."""
        for sent_at in times:
            index = self.random.choice(receivers)
            self.at(sent_at, partial(self.receive, index))

    def receive(self, index: int, now: float) -> None:
        """Take a caller's request as soon as the process runs."""
        if self.active(FaultKind.KILL, index, now) is not None:
            self.results["no_instance"] += 1
            return
        self.when_awake(index, partial(self.begin, index, now))(now)

    def begin(self, index: int, sent_at: float, now: float) -> None:
        """Begin to ask the shares for a token."""
        node = self.nodes[index]
        slots = node.choice.slots(node.clock(now), "w", node.quota, node.version)
        request = Pending(node=node, instance=index, sent_at=sent_at, slots=slots)
        self.ask_next(now, request)

    def ask_next(self, now: float, request: Pending) -> None:
        """Ask the next share; a request is refused after the last one."""
        if request.asked >= len(request.slots):
            request.done = True
            self.results["refused"] += 1
            return
        slot = request.slots[request.asked]
        request.asked += 1
        asked = request.asked
        holder = request.node.claims.holder(slot)
        if holder is None:
            self.ask_next(now, request)
            return
        frame = ShareRequest(
            slot=slot, workspace="w", quota=request.node.quota, version=request.node.version
        )
        issuer = int(holder[1:])

        def answer(at: float) -> None:
            node = self.nodes[issuer]
            decision = node.issuer.request(node.clock(at), frame)
            apply = partial(self.on_reply, request, asked, frame, decision)
            self.transmit(at, issuer, request.instance, apply)

        self.transmit(now, request.instance, issuer, answer)
        timeout = self.when_awake(request.instance, partial(self.on_timeout, request, asked))
        self.at(now + ASK_TIMEOUT_S, timeout)

    def transmit(
        self, now: float, sender: int, receiver: int, action: Callable[[float], None]
    ) -> None:
        """Send a message between instances, which may be lost, late or repeated."""
        if sender == receiver:
            self.when_awake(receiver, action)(now)
            return
        cut = {self.active(FaultKind.CUT_PEERS, index, now) for index in (sender, receiver)}
        chance = self.random.random()
        if cut != {None} or chance < self.loss:
            return
        late_s = self.random.uniform(0.0, 2.0) if chance < 2 * self.loss else 0.0
        for _ in range(2 if chance > 1 - self.loss else 1):
            self.at(now + LATENCY_S + late_s, self.when_awake(receiver, action))

    def on_timeout(self, request: Pending, asked: int, now: float) -> None:
        """Ask the next share if the one that was asked has not replied."""
        if not request.done and request.asked == asked:
            self.ask_next(now, request)

    def on_reply(
        self, request: Pending, asked: int, frame: ShareRequest, decision: TokenDecision, now: float
    ) -> None:
        """Run a granted request; a reply to an earlier question is no longer waited for."""
        if request.done or request.asked != asked:
            return
        if isinstance(decision, QuotaGranted):
            request.done = True
            self.results["admitted"] += 1
            self.runs.append((request.sent_at, now + self.random.random() * 0.01))
            return
        if isinstance(decision, QuotaDenied):
            clock = request.node.clock(now)
            request.node.choice.on_denied(clock, frame, decision.wait_s)
        self.ask_next(now, request)
