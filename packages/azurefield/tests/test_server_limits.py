"""What one instance knows of the rate limits that servers name."""

from __future__ import annotations

import pytest

from azurefield.server_limits import NO_LIMIT, ServerLimits


@pytest.mark.parametrize(
    ("answers", "expected"),
    [
        pytest.param([(1.0, 0.9, 5.0)], 5.0, id="named"),
        pytest.param([(1.0, 0.9, 5.0), (2.0, 1.9, 3.0)], 3.0, id="changed"),
        pytest.param([(1.0, 0.9, 5.0), (2.0, 1.9, NO_LIMIT)], None, id="ended"),
        pytest.param([(1.0, 0.9, 5.0), (1.1, 0.8, NO_LIMIT)], 5.0, id="late-answer-without"),
        pytest.param([(1.0, 0.9, 0.0)], 0.0, id="zero"),
        pytest.param([(1.0, 0.9, NO_LIMIT)], None, id="never"),
    ],
)
def test_a_limit_holds_while_answers_to_later_calls_name_it(
    answers: list[tuple[float, float, float]], expected: float | None
) -> None:
    """Guards against a limit that is forgotten because of an answer from before it was named."""
    limits = ServerLimits()
    for now, sent_at, per_s in answers:
        limits.on_answer(now, "s", per_s, sent_at)
    known = limits.known.get("s")
    assert (None if known is None else known.per_s) == expected


def test_small_changes_of_a_limit_are_not_logged() -> None:
    """Guards against a log line for each answer of a server whose limit varies."""
    limits = ServerLimits()
    steps = [10.0, 10.5, 11.0, 13.0, 13.0, NO_LIMIT, NO_LIMIT]
    logged = [
        limits.on_answer(now, "s", per_s, now - 0.1) for now, per_s in enumerate(steps, start=1)
    ]
    assert logged == [True, False, False, True, False, True, False]
