"""The limit on open connections: which one makes room."""

from __future__ import annotations

import pytest

from azurefield.connection_limit import ConnectionLimit


@pytest.mark.parametrize(
    ("progress", "served", "waiting_again", "closed", "closes"),
    [
        pytest.param((), (), (), (), "a", id="the-oldest-if-none-has-made-progress"),
        pytest.param(("a",), (), (), (), "b", id="not-the-one-that-sends"),
        pytest.param((), ("a",), (), (), "b", id="not-the-one-that-is-served"),
        pytest.param((), ("a", "b"), ("a",), (), "c", id="the-answered-one-after-older-ones"),
        pytest.param((), ("a", "b", "c"), ("b",), (), "b", id="the-answered-one-if-it-alone-waits"),
        pytest.param((), ("a", "b", "c"), (), (), "new", id="the-new-one-if-all-are-served"),
        pytest.param((), (), (), ("b",), None, id="none-if-one-has-closed"),
        pytest.param(("b",), ("b",), (), ("a",), None, id="none-if-the-oldest-has-closed"),
    ],
)
def test_the_connection_that_waited_longest_makes_room(
    progress: tuple[str, ...],
    served: tuple[str, ...],
    waiting_again: tuple[str, ...],
    closed: tuple[str, ...],
    closes: str | None,
) -> None:
    """Guards against stalled connections that stay while callers that are served are closed."""
    limit: ConnectionLimit[str] = ConnectionLimit(limit=3)
    assert [limit.on_open(name) for name in "abc"] == [None, None, None]
    for name in progress:
        limit.on_progress(name)
    for name in served:
        limit.on_served(name)
    for name in waiting_again:
        limit.on_wait(name)
    for name in closed:
        limit.on_close(name)
    assert limit.on_open("new") == closes
