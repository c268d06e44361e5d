"""The limit on open connections: which one makes room."""

from __future__ import annotations

from dataclasses import dataclass

import pytest

from azurefield.connection_limit import ConnectionLimit


@dataclass(slots=True, kw_only=True, frozen=True)
class LimitCase:
    """What three connections do before a fourth one is opened, which is one too many.

    :param closes: the connection that makes room
    """

    progress: tuple[str, ...] = ()
    served: tuple[str, ...] = ()
    waiting_again: tuple[str, ...] = ()
    closed: tuple[str, ...] = ()
    closes: str | None

    def closing(self, limit: ConnectionLimit[str]) -> str | None:
        """Return which connection has to close."""
        for name in "abc":
            assert limit.on_open(name) is None
        for name in self.progress:
            limit.on_progress(name)
        for name in self.served:
            limit.on_served(name)
        for name in self.waiting_again:
            limit.on_wait(name)
        for name in self.closed:
            limit.on_close(name)
        return limit.on_open("new")


CASES = {
    "the-oldest-if-none-has-made-progress": LimitCase(closes="a"),
    "not-the-one-that-sends": LimitCase(progress=("a",), closes="b"),
    "not-the-one-that-is-served": LimitCase(served=("a",), closes="b"),
    "the-answered-one-after-older-ones": LimitCase(
        served=("a", "b"), waiting_again=("a",), closes="c"
    ),
    "the-answered-one-if-it-alone-waits": LimitCase(
        served=("a", "b", "c"), waiting_again=("b",), closes="b"
    ),
    "the-new-one-if-all-are-served": LimitCase(served=("a", "b", "c"), closes="new"),
    "none-if-one-has-closed": LimitCase(closed=("b",), closes=None),
    "none-if-the-oldest-has-closed": LimitCase(
        progress=("b",), served=("b",), closed=("a",), closes=None
    ),
}


@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
def test_the_connection_that_waited_longest_makes_room(case: LimitCase) -> None:
    """Guards against stalled connections that stay while callers that are served are closed."""
    assert case.closing(ConnectionLimit(limit=3)) == case.closes


class LatestCloses(ConnectionLimit[str]):
    """Closes each connection that is one too many."""

    def on_open(self, connection: str) -> str | None:
        closing = ConnectionLimit.on_open(self, connection)
        return None if closing is None else connection


class IgnoresProgress(ConnectionLimit[str]):
    """Closes the oldest connection, also while its peer sends."""

    def on_progress(self, connection: str) -> None:
        pass


class ClosesServed(ConnectionLimit[str]):
    """Closes connections whose peers wait for an answer."""

    def on_served(self, connection: str) -> None:
        pass


@pytest.mark.parametrize("weakened", [LatestCloses, IgnoresProgress, ClosesServed])
def test_the_same_cases_find_a_weakened_limit(weakened: type[ConnectionLimit[str]]) -> None:
    """Guards against cases that would pass without the decision."""
    assert any(case.closing(weakened(limit=3)) != case.closes for case in CASES.values())
