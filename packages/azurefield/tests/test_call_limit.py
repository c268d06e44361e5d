"""Room for the calls of running requests."""

from __future__ import annotations

import pytest

from azurefield.call_limit import CallLimit


@pytest.mark.parametrize(
    ("running", "calls", "begins"),
    [
        pytest.param([], 1, True, id="one-call"),
        pytest.param([10], 1, True, id="one-call-without-room"),
        pytest.param([], 50, True, id="alone-beyond-the-limit"),
        pytest.param([4], 6, True, id="just-room"),
        pytest.param([4], 7, False, id="one-call-too-many"),
        pytest.param([5, 5], 2, False, id="no-room"),
    ],
)
def test_a_request_begins_if_there_is_room_for_its_calls(
    running: list[int], calls: int, begins: bool
) -> None:
    """Guards against work without a bound, and against a request that never begins."""
    limit = CallLimit(calls_max=10)
    for one in running:
        assert limit.begin(one)
    assert limit.begin(calls) is begins
    for one in running:
        limit.end(one)
    if begins:
        limit.end(calls)
    assert limit.calls == 0
