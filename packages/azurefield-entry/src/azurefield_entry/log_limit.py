"""Limits how many lines one kind of event may add to the log."""

from __future__ import annotations

from msgspec import Struct


class LineLimit(Struct, kw_only=True):
    """Allows a number of lines in each second; the rest is left to the metrics.

    :param lines_per_s: the refill rate, and the largest number of lines at once
    """

    lines_per_s: float
    tokens: float = 0.0
    refilled_at: float = float("-inf")

    def allow(self, now: float) -> bool:
        """Whether another line may be logged now."""
        refill = self.lines_per_s * (now - self.refilled_at)
        self.tokens = min(self.lines_per_s, self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
