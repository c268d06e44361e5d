"""Fake backend server, and the connection pool of one instance to it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from random import Random

from azurefield.failures import LeafFailureReason
from azurefield.model import RequestKind
from azurefield_testkit.bench.loop import VirtualLoop
from azurefield_testkit.bench.sizes import (
    MEAN_RANDOM_FACTOR,
    SERVICE_TIME_MEAN_S,
    SERVICE_TIME_SIGMA,
    SLOW_CALL_FACTOR,
    SLOW_CALL_PROBABILITY,
)

RESTART_DURATION_S = 1.0
# After a restart, service times are longer by this factor for this time.
COLD_DURATION_S = 2.0
COLD_FACTOR = 3.0
CRASH_DELAY_S = 0.002
QUEUE_LIMIT_PER_SLOT = 10


@dataclass(slots=True, kw_only=True, eq=False)
class Call:
    """One leaf call in flight; ``done`` is called once, with None or the reason of its failure.

    ``run_number`` identifies its run on the server; it is None until the call gets a slot.
    """

    call_id: str
    server: str
    kind: RequestKind
    deadline: float
    one_way_delay_s: float
    crashes: bool
    done: Callable[[LeafFailureReason | None], None]
    connected: bool = False
    new_connection: bool = False
    ended: bool = False
    run_number: int | None = None


@dataclass(slots=True, kw_only=True, eq=False)
class FakeServer:
    """A server that runs calls in its slots and queues the others.

    ``factor`` multiplies all service times. A silent server accepts calls but never answers. A
    server is cold, and thus slow, for some time after a restart.
    """

    name: str
    zone: int
    slots: int
    connect_s: float
    loop: VirtualLoop
    random: Random
    factor: float = 1.0
    alive: bool = True
    silent: bool = False
    cold_until: float = 0.0
    running: dict[int, Call] = field(default_factory=dict)
    waiting: deque[Call] = field(default_factory=deque)
    run_count: int = 0
    call_count: int = 0
    crash_count: int = 0
    crash_listeners: list[Callable[[str], None]] = field(default_factory=list)

    @property
    def load(self) -> float:
        """The load between 0 and 1 that the status endpoint would report."""
        return min(1.0, (len(self.running) + len(self.waiting)) / (2 * self.slots))

    def receive(self, call: Call) -> None:
        """Queue a call, or refuse it if the server is down or its queue is full."""
        self.call_count += 1
        if self.silent:
            return
        if not self.alive:
            self.reply(call, LeafFailureReason.CONNECT_FAILED)
        elif len(self.waiting) >= QUEUE_LIMIT_PER_SLOT * self.slots:
            self.reply(call, LeafFailureReason.SHEDDING)
        else:
            self.waiting.append(call)
            self.start_next()

    def start_next(self) -> None:
        """Start queued calls while slots are free; drop cancelled and expired ones."""
        while self.waiting and len(self.running) < self.slots:
            call = self.waiting.popleft()
            if call.ended or call.deadline <= self.loop.now:
                continue
            self.run_count += 1
            run = call.run_number = self.run_count
            self.running[run] = call
            if call.crashes:
                self.loop.after(CRASH_DELAY_S, self.crash)
            self.loop.after(self.draw_service_time_s(call), partial(self.finish, run))

    def draw_service_time_s(self, call: Call) -> float:
        """Draw the time for which a call occupies its slot."""
        random_factor = self.random.lognormvariate(0.0, SERVICE_TIME_SIGMA) / MEAN_RANDOM_FACTOR
        pause_factor = SLOW_CALL_FACTOR if self.random.random() < SLOW_CALL_PROBABILITY else 1.0
        cold_factor = COLD_FACTOR if self.loop.now < self.cold_until else 1.0
        connect_s = self.connect_s if call.new_connection else 0.0
        return (
            connect_s
            + SERVICE_TIME_MEAN_S[call.kind]
            * random_factor
            * pause_factor
            * self.factor
            * cold_factor
        )

    def finish(self, run: int) -> None:
        """Answer a call unless it was cancelled or lost in a crash."""
        call = self.running.pop(run, None)
        if call is not None:
            if not self.silent:
                self.reply(call, None)
            self.start_next()

    def cancel(self, call: Call) -> None:
        """Remove a call whose connection was closed from the queue or its slot."""
        if call.run_number is None:
            if call in self.waiting:
                self.waiting.remove(call)
        elif self.running.pop(call.run_number, None):
            self.start_next()

    def reply(self, call: Call, failure: LeafFailureReason | None) -> None:
        """Send the answer or the failure of a call to its instance."""
        self.loop.after(call.one_way_delay_s, lambda: None if call.ended else call.done(failure))

    def crash(self) -> None:
        """Fail all running and queued calls, and schedule the restart."""
        if not self.alive:
            return
        self.alive = False
        self.crash_count += 1
        lost = [*self.running.values(), *self.waiting]
        self.running.clear()
        self.waiting.clear()
        for listener in self.crash_listeners:
            listener(self.name)
        for call in lost:
            self.reply(call, LeafFailureReason.CONNECTION_LOST)
        self.loop.after(RESTART_DURATION_S, self.restart)

    def restart(self) -> None:
        """Accept calls again; the server is cold at first."""
        self.alive = True
        self.cold_until = self.loop.now + COLD_DURATION_S


@dataclass(slots=True, kw_only=True)
class ConnectionPool:
    """The connections of one instance to one backend server, at most ``ceiling``."""

    server: FakeServer
    ceiling: int
    loop: VirtualLoop
    idle: int = 0
    open: int = 0
    waiting: list[tuple[int, float, str, Call]] = field(default_factory=list)

    def send(self, call: Call, priority: int) -> None:
        """Send a call now, or when a connection becomes free."""
        heappush(self.waiting, (priority, self.loop.now, call.call_id, call))
        self.send_waiting()

    def send_waiting(self) -> None:
        """Send waiting calls while a connection is idle or may be opened."""
        while self.waiting and (self.idle or self.open < self.ceiling):
            call = heappop(self.waiting)[3]
            if call.ended:
                continue
            call.connected = True
            if self.idle:
                self.idle -= 1
            else:
                self.open += 1
                call.new_connection = True
            # Opening a connection takes a round trip before the call can be sent.
            one_way_trips = 3 if call.new_connection else 1
            self.loop.after(one_way_trips * call.one_way_delay_s, partial(self.deliver, call))

    def deliver(self, call: Call) -> None:
        """Deliver a call to the server, unless it was cancelled in transit."""
        if not call.ended:
            self.server.receive(call)

    def release(self, call: Call, *, reusable: bool) -> None:
        """Return the connection of a call to the pool, or close it if it is not reusable."""
        call.ended = True
        if call.connected:
            if reusable:
                self.idle += 1
            else:
                self.open -= 1
            self.send_waiting()

    def cancel(self, call: Call) -> None:
        """Cancel a call by closing its connection."""
        self.release(call, reusable=False)
        self.loop.after(call.one_way_delay_s, lambda: self.server.cancel(call))
