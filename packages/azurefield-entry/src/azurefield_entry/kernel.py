"""Micro-kernel: each service is a task with a mailbox, found by its name."""

from __future__ import annotations

import asyncio
from typing import Protocol

from msgspec import Struct, field
from result import Err, Ok, Result


class Mailbox(Struct, kw_only=True):
    """Unbounded queue of the messages to one service.

    Work is bounded where it is admitted. Bounded mailboxes could deadlock services that send to
    each other.

    :param stopping: set once ``Stop`` is queued, for a service that is not reading its messages
    """

    name: str
    queue: asyncio.Queue[object] = field(default_factory=asyncio.Queue)
    stopping: asyncio.Event = field(default_factory=asyncio.Event)

    def send(self, message: object) -> None:
        """Queue a message without waiting."""
        self.queue.put_nowait(message)
        if isinstance(message, Stop):
            self.stopping.set()

    async def receive(self) -> object:
        """Wait for the next message."""
        return await self.queue.get()


class Service(Protocol):
    """A part of the daemon that owns its state and its sockets."""

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Handle messages until ``Stop`` arrives or an unexpected error ends the process."""


class BeginDrain(Struct, kw_only=True, frozen=True):
    """To all services: a planned stop has begun; keep serving until ``Stop``."""


class Stop(Struct, kw_only=True, frozen=True):
    """To one service: release all resources and return."""


class ServiceCrashed(Struct, kw_only=True, frozen=True):
    """A service ended with an unexpected error; the process must stop."""

    name: str
    error: BaseException


class Kernel(Struct, kw_only=True):
    """Registers, starts and stops the services of a process."""

    mailboxes: dict[str, Mailbox] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    tasks: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    stopping: set[str] = field(default_factory=set)

    def register(self, name: str, service: Service) -> None:
        """Add a service under a unique name, before ``start``."""
        self.services[name] = service
        self.mailboxes[name] = Mailbox(name=name)

    def lookup(self, name: str) -> Mailbox:
        """Return the mailbox of a registered service."""
        return self.mailboxes[name]

    def send_to(self, names: tuple[str, ...], message: object) -> None:
        """Send a message to those of the named services that are registered."""
        for name in names:
            if name in self.mailboxes:
                self.mailboxes[name].send(message)

    def start(self) -> None:
        """Start all services, in the order of registration."""
        for name, service in self.services.items():
            self.tasks[name] = asyncio.create_task(service.run(self, self.mailboxes[name]))

    async def stop(self, name: str) -> None:
        """Stop one service and wait until it has returned."""
        self.stopping.add(name)
        self.mailboxes[name].send(Stop())
        await self.tasks[name]

    async def wait_for_crash(self) -> Result[None, ServiceCrashed]:
        """Wait until all services have ended or one has failed unexpectedly.

        A service that returns without having been stopped has failed too.
        """
        by_task = {task: name for name, task in self.tasks.items()}
        pending = set(by_task)
        while pending:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                name = by_task[task]
                error = task.exception()
                if error is None and name not in self.stopping:
                    error = RuntimeError("the service returned without having been stopped")
                if error is not None:
                    return Err(ServiceCrashed(name=name, error=error))
        return Ok(None)


async def send_every(mailbox: Mailbox, message: object, interval_s: float) -> None:
    """Send a message to a service at once and then at each interval, until cancelled."""
    while True:
        mailbox.send(message)
        await asyncio.sleep(interval_s)
