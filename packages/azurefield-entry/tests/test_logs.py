from __future__ import annotations

from dataclasses import dataclass, field

from azurefield_entry.logs import LINE_BYTES_MAX, LINES_BURST_MAX, LINES_PER_S, BoundedOutput


@dataclass(slots=True, kw_only=True)
class Reader:
    """Fake clock and reader; ``full`` makes each write fail as for a full pipe."""

    now: float = 0.0
    full: bool = False
    lines: list[str] = field(default_factory=list)
    drops: int = 0

    def receive(self, data: bytes) -> None:
        if self.full:
            raise BlockingIOError
        self.lines += data.decode().splitlines()

    def count_drop(self) -> None:
        self.drops += 1

    def output(self) -> BoundedOutput:
        return BoundedOutput(
            write_bytes=self.receive, now=lambda: self.now, on_drop=self.count_drop
        )


def test_lines_above_the_rate_are_dropped_and_counted() -> None:
    """Guards against a flood of log lines that uses the CPU time of the requests."""
    reader = Reader()
    output = reader.output()
    burst = int(LINES_BURST_MAX)
    for number in range(burst + 50):
        output.write(f"line {number}\n")
    assert len(reader.lines) == burst
    assert reader.drops == 50
    reader.now += 2.0 / LINES_PER_S
    output.write("next\n")
    assert reader.lines[burst:] == [
        "[log] 50 lines were dropped: too many lines or a slow reader.",
        "next",
    ]


def test_a_reader_that_does_not_read_never_blocks_the_process() -> None:
    """Guards against a process that blocks on a write to a full log pipe."""
    reader = Reader(full=True)
    output = reader.output()
    output.write("one\n")
    output.write("two\n")
    reader.full = False
    output.write("three\n")
    assert reader.lines == ["[log] 2 lines were dropped: too many lines or a slow reader.", "three"]


def test_a_long_line_is_cut() -> None:
    """Guards against a long line of which only a part is written."""
    reader = Reader()
    reader.output().write("x" * 2 * LINE_BYTES_MAX + "\n")
    assert [len(line) for line in reader.lines] == [LINE_BYTES_MAX - 1]
