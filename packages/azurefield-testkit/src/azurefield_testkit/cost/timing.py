"""Measures the processor time of short functions in this process."""

from __future__ import annotations

import gc
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from azurefield_testkit.cost.series import Series

if TYPE_CHECKING:
    from collections.abc import Callable

# Shorter measurements are distorted by the resolution of the clock and the cost of reading it.
MIN_TOTAL_TIME_S = 0.02


@dataclass(slots=True, kw_only=True)
class Timings:
    """Series by name, of processor times in microseconds and of other values."""

    repetitions: int
    series: dict[str, Series] = field(default_factory=dict)

    def time(self, name: str, per: str, size: float, run: Callable[[], object]) -> None:
        """Time a function at one size, after one call to warm up."""
        run()
        for _ in range(self.repetitions):
            self.add(name, "us", per, size, 1e6 * processor_time_s(run))

    def add(self, name: str, unit: str, per: str, size: float, value: float) -> None:
        """Add one value."""
        self.series.setdefault(name, Series(name=name, unit=unit, per=per)).add(size, value)


def processor_time_s(run: Callable[[], object]) -> float:
    """Return the mean processor time of one call, over at least ``MIN_TOTAL_TIME_S``."""
    gc.collect()
    calls, used_s = 0, 0.0
    started = time.thread_time()
    while used_s < MIN_TOTAL_TIME_S:
        run()
        calls += 1
        used_s = time.thread_time() - started
    return used_s / calls
