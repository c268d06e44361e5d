"""Scheduling of connection attempts to the other instances."""

from __future__ import annotations

from random import Random

from msgspec import Struct, field

BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 5.0


class ConnectionAttempts(Struct, kw_only=True):
    """The attempts to connect to one address; ``failures`` counts those since a stable link."""

    running: bool = False
    failures: int = 0
    next_at: float = 0.0


class DialScheduler(Struct, kw_only=True):
    """Connection attempts per address, with exponential backoff and jitter.

    Without jitter, instances that lost each other at the same moment would always dial each other
    at the same moment.
    """

    rng: Random
    attempts: dict[str, ConnectionAttempts] = field(default_factory=dict)

    def due(self, now: float, addresses: frozenset[str]) -> list[str]:
        """Return the addresses to dial now and mark them as being dialed."""
        for address in [entry for entry in self.attempts if entry not in addresses]:
            if not self.attempts[address].running:
                del self.attempts[address]
        due = []
        for address in sorted(addresses):
            attempt = self.attempts.setdefault(address, ConnectionAttempts())
            if not attempt.running and now >= attempt.next_at:
                attempt.running = True
                due.append(address)
        return due

    def on_ended(self, now: float, address: str, *, stable: bool) -> None:
        """Schedule the next attempt; the backoff starts again after a stable link."""
        attempt = self.attempts.setdefault(address, ConnectionAttempts())
        attempt.running = False
        attempt.failures = 0 if stable else attempt.failures + 1
        backoff_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2 ** min(attempt.failures, 10))
        attempt.next_at = now + backoff_s * self.rng.uniform(0.5, 1.0)
