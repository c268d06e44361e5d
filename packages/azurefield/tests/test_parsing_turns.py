"""Turns of parsing beside a crowd of small chunks, without a network."""

from __future__ import annotations

import pytest

from azurefield.parsing_turns import LINES_PER_TURN, SHORT_BYTES, SHORT_LINES, ParsingTurns

PIECE_LINES = 600
CHUNKS_OF_ONE_BYTE = b"1\r\nx\r\n" * 40_000


def run_turn(turns: ParsingTurns[str], left: dict[str, int]) -> list[str]:
    """Parse one turn's pieces of what connections have left; return whose they were."""
    turns.begin()
    parsed = []
    while (name := turns.next_connection()) is not None:
        parsed.append(name)
        lines = min(PIECE_LINES, left[name])
        left[name] -= lines
        turns.on_parsed(lines=lines, size=2048)
        if left[name]:
            turns.wait(name)
    return parsed


def parse_crowd(turns: ParsingTurns[str], callers: int) -> None:
    """Parse the chunks of a crowd, and assert that turns are bounded and go round."""
    lines = CHUNKS_OF_ONE_BYTE.count(b"\n")
    left = {f"c{number}": lines for number in range(callers)}
    for name in left:
        assert not turns.parses_at_once(name, CHUNKS_OF_ONE_BYTE)
    order: list[str] = []
    for _ in range(callers):
        parsed = run_turn(turns, left)
        assert 0 < len(parsed) <= LINES_PER_TURN // PIECE_LINES + 1
        assert turns.parses_at_once("ordinary", b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        order += parsed
    assert order[:callers] == [*left][: len(order)]
    while any(left.values()):
        assert run_turn(turns, left)


@pytest.mark.parametrize("callers", [1, 300])
def test_a_crowd_of_small_chunks_gets_bounded_turns_in_order(callers: int) -> None:
    """Guards against one turn that parses a whole crowd, and a connection that is passed over."""
    parse_crowd(ParsingTurns(), callers)


class ParsesAllAtOnce(ParsingTurns[str]):
    """Lets no connection wait."""

    def parses_at_once(self, connection: str, data: bytes) -> bool:  # noqa: ARG002
        return True


class UnboundedTurns(ParsingTurns[str]):
    """Does not count the work of a turn."""

    def on_parsed(self, *, lines: int, size: int) -> None:
        pass


class LatestFirst(ParsingTurns[str]):
    """Serves the connection that has waited the shortest time."""

    def next_connection(self) -> str | None:
        if not self.waiting or self.lines_left <= 0:
            return None
        return self.waiting.popitem()[0]


@pytest.mark.parametrize("weakened", [ParsesAllAtOnce, UnboundedTurns, LatestFirst])
def test_the_same_check_finds_weakened_turns(weakened: type[ParsingTurns[str]]) -> None:
    """Guards against a check that would pass without the decision."""
    with pytest.raises(AssertionError):
        parse_crowd(weakened(), 300)


@pytest.mark.parametrize(
    ("data", "at_once"),
    [
        pytest.param(b"x" * SHORT_BYTES, True, id="short"),
        pytest.param(b"x" * (SHORT_BYTES + 1), False, id="long"),
        pytest.param(b"\n" * SHORT_LINES, True, id="few-lines"),
        pytest.param(b"\n" * (SHORT_LINES + 1), False, id="many-lines"),
    ],
)
def test_only_short_reads_are_parsed_at_once(data: bytes, at_once: bool) -> None:
    """Guards against ordinary requests that wait behind a crowd, and a crowd that does not wait."""
    assert ParsingTurns[str]().parses_at_once("c", data) is at_once


def test_bytes_behind_those_that_wait_do_not_overtake_them() -> None:
    """Guards against a body that is put together in the wrong order."""
    turns: ParsingTurns[str] = ParsingTurns()
    assert not turns.parses_at_once("c", CHUNKS_OF_ONE_BYTE)
    assert not turns.parses_at_once("c", b"0\r\n\r\n")
    turns.forget("c")
    assert turns.parses_at_once("c", b"0\r\n\r\n")
