"""Logs: one line per event on standard output, with the part that wrote it in brackets."""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from traceback import extract_tb
from typing import TYPE_CHECKING

from logbook import StreamHandler
from logbook.compat import redirect_logging

if TYPE_CHECKING:
    from logbook import Handler, LogRecord

TIME_FORMAT = "%Y-%m-%dT%H:%M:%S.%f"
LINES_PER_S = 500.0
LINES_BURST = 2000.0
# Longer lines could be written in part only, since a pipe takes no more than this at once.
LINE_BYTES_MAX = 4000
STDOUT = 1


@dataclass(slots=True, kw_only=True)
class BoundedOutput:
    """Writes lines without ever waiting: what is too much or finds no reader is left out.

    The number of lines left out is written as soon as there is room again, and ``on_drop`` is told
    of each.

    :param write_bytes: writes without blocking and raises ``BlockingIOError`` if it can't
    """

    write_bytes: Callable[[bytes], object]
    now: Callable[[], float] = time.monotonic
    on_drop: Callable[[], None] = lambda: None
    tokens: float = LINES_BURST
    filled_at: float | None = None
    dropped: int = 0

    def write(self, text: str) -> int:
        """Write one line, or leave it out."""
        now = self.now()
        if self.filled_at is not None:
            self.tokens = min(LINES_BURST, self.tokens + LINES_PER_S * (now - self.filled_at))
        self.filled_at = now
        if self.tokens < 1.0 or not self.pass_on(text):
            self.dropped += 1
            self.on_drop()
        return len(text)

    def pass_on(self, text: str) -> bool:
        """Write a line, and before it how many were left out."""
        notice = f"[log] {self.dropped} lines were left out.\n" if self.dropped else ""
        data = notice.encode() + text.encode(errors="replace")
        if len(data) > LINE_BYTES_MAX:
            data = data[: LINE_BYTES_MAX - 1] + b"\n"
        try:
            self.write_bytes(data)
        except OSError:
            # Nobody reads, or nobody is there any more; the count tells it later.
            return False
        self.tokens -= 1.0
        self.dropped = 0
        return True

    def flush(self) -> None:
        """Do nothing: every line is written at once."""


@dataclass(slots=True, kw_only=True)
class Drops:
    """Counts the lines that were left out, for whoever serves metrics."""

    listeners: list[Callable[[], None]] = field(default_factory=list)

    def tell(self) -> None:
        """Tell all listeners of one line."""
        for listener in self.listeners:
            listener()


DROPS = Drops()


def format_record(record: LogRecord, _handler: Handler) -> str:
    """Format a record as time, level, part and message, whatever its message contains."""
    message = " ".join(record.message.split())
    at = record.time.strftime(TIME_FORMAT)[:-3]
    return f"{at} {record.level_name} [{record.channel}] {message}"


def make_handler(level: str) -> Handler:
    """Make the handler of a process; messages of libraries pass through it too."""
    redirect_logging(set_root_logger_level=False)
    sys.stdout.flush()
    os.set_blocking(STDOUT, False)
    output = BoundedOutput(write_bytes=lambda data: os.write(STDOUT, data), on_drop=DROPS.tell)
    handler = StreamHandler(output, level=level.upper())
    handler.formatter = format_record
    return handler


def describe_error(error: BaseException) -> str:
    """Describe an error and where it was raised in one line."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    frames = extract_tb(error.__traceback__)
    place = f" at {frames[-1].name}, line {frames[-1].lineno}" if frames else ""
    return " ".join(f"{type(error).__name__}: {error}{place}".split())
