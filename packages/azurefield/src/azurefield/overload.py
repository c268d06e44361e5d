"""Overload of a process, as its own event loop shows it."""

from __future__ import annotations

from math import ceil, log

from msgspec import Struct

# A process whose event loop is later than this adds more to a request than another attempt costs.
LAG_MAX_S = 0.1
# Steps of a request that a late event loop delays: sending its call, and reading the answer.
DELAYED_STEPS = 2
# Units of work for others that run at the same time while an overload lasts.
RUNNING_MAX = 16
# The lag that is remembered falls to this fraction with each punctual tick.
LAG_DECAY = 0.5


class LoopLag(Struct, kw_only=True):
    """How late the event loop runs what is due, from ticks at an interval.

    Protects against more work than the processor time allows, a machine that is slowed by
    others, and the time right after the process was suspended.

    :param lag_s: the latest lag, or an earlier greater one that has decayed
    :param tick_late_s: how late the latest tick was
    :param lasting: whether a tick was late again before an overload had passed
    """

    interval_s: float
    ticked_at: float | None = None
    lag_s: float = 0.0
    tick_late_s: float = 0.0
    lasting: bool = False

    def on_tick(self, now: float) -> None:
        """Record a tick."""
        if self.ticked_at is not None:
            late_s = max(0.0, now - self.ticked_at - self.interval_s)
            late_again = self.lag_s > LAG_MAX_S and late_s > LAG_MAX_S
            self.tick_late_s = late_s
            self.lag_s = max(late_s, LAG_DECAY * self.lag_s)
            self.lasting = (self.lasting or late_again) and self.lag_s > LAG_MAX_S
        self.ticked_at = now

    def late_s(self, now: float) -> float:
        """Return how late the event loop is, or was until shortly before."""
        overdue_s = 0.0 if self.ticked_at is None else now - self.ticked_at - self.interval_s
        return max(self.lag_s, overdue_s)

    def overloaded(self, now: float) -> bool:
        """Whether work that can be done elsewhere should not be accepted."""
        return self.late_s(now) > LAG_MAX_S

    def accepts_necessary(self, now: float, left_s: float, running: int) -> bool:
        """Whether work that can be done nowhere else is accepted in spite of an overload.

        It is if it may still end. An overload that lasts may come from such work, or from other
        load on the machine, so there is a limit on what runs at the same time.

        :param left_s: in which the work has to end
        :param running: how much such work is running
        """
        in_time = DELAYED_STEPS * self.late_s(now) <= left_s
        return in_time and (not self.lasting or running < RUNNING_MAX)

    def recovery_s(self, now: float) -> float:
        """Return how long an overload lasts if all further ticks are punctual."""
        excess = max(1.0, self.late_s(now) / LAG_MAX_S)
        return self.interval_s * ceil(log(excess) / log(1 / LAG_DECAY))
