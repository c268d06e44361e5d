"""The clock of the event loop, which times inside the process refer to, and that of leases."""

from __future__ import annotations

import asyncio
import time


def now() -> float:
    """Return the time of the event loop's clock in seconds."""
    return asyncio.get_running_loop().time()


def lease_now() -> float:
    """Return the time of a clock that also counts while the machine is suspended, in seconds.

    A lease of the store ends at its time even if its holder is suspended, and the clock of the
    event loop may stand still meanwhile.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
