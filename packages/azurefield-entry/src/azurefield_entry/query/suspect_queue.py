"""Queue of suspects that wait until a backend server has no other calls."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct, field

# Given the time, a request's fingerprint and the servers of a leaf, returns the servers on which a
# call of the request may run now.
EligibleServers = Callable[[float, str, tuple[str, ...]], tuple[str, ...]]


class WaitingSuspect(Struct, kw_only=True, frozen=True):
    """A suspect that waits for one free server of each leaf before it sends its calls.

    ``servers`` holds the usable servers of each leaf; those in ``tried`` are not called again.
    ``resume`` is called with the time when the wait ends.
    """

    fingerprint: str
    servers: tuple[tuple[str, ...], ...]
    tried: frozenset[str]
    deadline: float
    resume: Callable[[float], None]

    def untried(self, servers: tuple[str, ...]) -> tuple[str, ...]:
        """List the servers that were not called yet."""
        return tuple(server for server in servers if server not in self.tried)

    def must_wait(self, now: float, eligible: EligibleServers) -> bool:
        """Whether some leaf has servers that were not called yet, but none of them is free."""
        return any(
            self.untried(servers) and not self.untried(eligible(now, self.fingerprint, servers))
            for servers in self.servers
        )


class SuspectQueue(Struct, kw_only=True):
    """Resumes suspects one after the other, in order of arrival.

    For the suspect at the head of the queue a server of each leaf is reserved. Without that, a busy
    server would never be free of other calls.
    """

    waiting: list[WaitingSuspect] = field(default_factory=list)
    reserved: frozenset[str] = frozenset()

    def resume_ready(
        self, now: float, eligible: EligibleServers, order: Callable[[str], tuple[bool, bool, int]]
    ) -> None:
        """Resume the suspects whose servers are free or whose deadline has passed.

        :param order: sort key of servers by how soon they are expected to be free
        """
        ready = [entry for entry in self.waiting if entry.deadline <= now]
        self.waiting = [entry for entry in self.waiting if entry.deadline > now]
        for entry in ready:
            entry.resume(now)
        while self.waiting:
            first = self.waiting[0]
            if first.must_wait(now, eligible):
                choices = [first.untried(servers) for servers in first.servers]
                self.reserved = frozenset(min(names, key=order) for names in choices if names)
                return
            self.waiting.pop(0)
            first.resume(now)
        self.reserved = frozenset()
