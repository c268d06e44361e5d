"""Resource usage of one process as the operating system counts it."""

from __future__ import annotations

import os
import time
from dataclasses import dataclass
from pathlib import Path

PAGE_SIZE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(slots=True, kw_only=True, frozen=True)
class Usage:
    """Totals since the start of a process, and its resident memory.

    ``bytes_read`` and ``bytes_written`` count read and write system calls. They include sockets,
    since uvloop uses these calls for them; an entry process reads no files after its start.
    """

    at_s: float
    cpu_s: float
    bytes_read: int
    bytes_written: int
    resident_bytes: int

    def since(self, before: Usage) -> Usage:
        """Return the usage since an earlier reading; the memory is the growth."""
        return Usage(
            at_s=self.at_s - before.at_s,
            cpu_s=self.cpu_s - before.cpu_s,
            bytes_read=self.bytes_read - before.bytes_read,
            bytes_written=self.bytes_written - before.bytes_written,
            resident_bytes=self.resident_bytes - before.resident_bytes,
        )


def read_usage(pid: int) -> Usage:
    """Read the usage of a process.

    The processor time comes from a clock with nanosecond resolution; /proc counts clock ticks.
    """
    counts = dict(
        line.split(": ") for line in Path(f"/proc/{pid}/io").read_text().splitlines() if line
    )
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return Usage(
        at_s=time.monotonic(),
        cpu_s=time.clock_gettime(cpu_clock_id(pid)),
        bytes_read=int(counts["rchar"]),
        bytes_written=int(counts["wchar"]),
        resident_bytes=pages * PAGE_SIZE_BYTES,
    )


def cpu_clock_id(pid: int) -> int:
    """Return the id of the processor-time clock of a process, as clock_getcpuclockid does."""
    return (~pid << 3) | 2
