"""Logs: one line per event on standard output, with the name of its logger in brackets."""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable
from traceback import extract_tb
from typing import TYPE_CHECKING

from logbook import StreamHandler
from logbook.compat import redirect_logging
from msgspec import Struct, field

if TYPE_CHECKING:
    from logbook import Handler, LogRecord

TIME_FORMAT = "%Y-%m-%dT%H:%M:%S.%f"
# Rate limit of the log: a token bucket of this refill rate and size.
LINES_PER_S = 500.0
LINES_BURST_MAX = 2000.0
# A write to a pipe is atomic only up to 4096 bytes; a longer line could be written in part.
LINE_BYTES_MAX = 4000
STDOUT = 1


class BoundedOutput(Struct, kw_only=True):
    """Writes lines without blocking; drops lines above the rate limit or without a reader.

    After dropped lines, a notice with their number precedes the next line that is written.

    :param write_bytes: writes without blocking and raises ``BlockingIOError`` if it can't
    :param on_drop: called for each dropped line
    """

    write_bytes: Callable[[bytes], object]
    now: Callable[[], float] = time.monotonic
    on_drop: Callable[[], None] = lambda: None
    tokens: float = LINES_BURST_MAX
    refilled_at: float | None = None
    dropped: int = 0

    def write(self, text: str) -> int:
        """Write one line or drop it."""
        now = self.now()
        if self.refilled_at is not None:
            self.tokens = min(LINES_BURST_MAX, self.tokens + LINES_PER_S * (now - self.refilled_at))
        self.refilled_at = now
        if self.tokens < 1.0 or not self.try_write(text):
            self.dropped += 1
            self.on_drop()
        return len(text)

    def try_write(self, text: str) -> bool:
        """Write a line, preceded by a notice if lines were dropped.

        :return: whether the line was written
        """
        notice = (
            f"[log] {self.dropped} lines were dropped: too many lines or a slow reader.\n"
            if self.dropped
            else ""
        )
        data = notice.encode() + text.encode(errors="replace")
        if len(data) > LINE_BYTES_MAX:
            data = data[: LINE_BYTES_MAX - 1] + b"\n"
        try:
            self.write_bytes(data)
        except OSError:
            # The pipe is full or its reader is gone; the next notice counts the line.
            return False
        self.tokens -= 1.0
        self.dropped = 0
        return True

    def flush(self) -> None:
        """Do nothing: every line is written at once."""


class DroppedLines(Struct, kw_only=True):
    """Reports each dropped line to listeners, such as a counter of the metrics."""

    listeners: list[Callable[[], None]] = field(default_factory=list)

    def notify_listeners(self) -> None:
        """Call all listeners for one dropped line."""
        for listener in self.listeners:
            listener()


DROPPED_LINES = DroppedLines()


def format_record(record: LogRecord, _handler: Handler) -> str:
    """Format a record as one line of time, level, logger and message."""
    message = " ".join(record.message.split())
    at = record.time.strftime(TIME_FORMAT)[:-3]
    return f"{at} {record.level_name} [{record.channel}] {message}"


def make_handler(level: str) -> Handler:
    """Make the log handler of a process, which also gets the messages of libraries."""
    redirect_logging(set_root_logger_level=False)
    sys.stdout.flush()
    os.set_blocking(STDOUT, False)
    output = BoundedOutput(
        write_bytes=lambda data: os.write(STDOUT, data), on_drop=DROPPED_LINES.notify_listeners
    )
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
