"""What the parsed heads of a connection count."""

from __future__ import annotations

import pytest

from azurefield.parsed_heads import LINES_MAX, ParsedHeads

ORDINARY = b"GET /1 HTTP/1.1\r\n" + b"Name: some twenty bytes\r\n" * 20


@pytest.mark.parametrize(
    ("parts", "expected"),
    [
        pytest.param((), 0, id="nothing"),
        pytest.param((ORDINARY,), 0, id="an-ordinary-head"),
        pytest.param((b"x" * 3000,), 9000, id="one-long-line-without-its-end"),
        pytest.param((b"x" * 1500, b"x" * 1500), 9000, id="in-pieces"),
        pytest.param((b"N: x\r\n" * 100,), 3 * 600 + 200 * 100, id="many-short-lines"),
        pytest.param((b"\r\n" * 10_000,), 3 * 20_000 + 200 * LINES_MAX, id="more-than-are-kept"),
    ],
)
def test_a_head_counts_by_its_bytes_and_lines(parts: tuple[bytes, ...], expected: int) -> None:
    """Guards against heads that nothing counts, and against ordinary ones that are refused."""
    heads = ParsedHeads()
    for part in parts:
        heads.add(part)
    assert heads.memory_bytes == expected
