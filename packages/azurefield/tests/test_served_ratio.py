from __future__ import annotations

import pytest

from azurefield.served_ratio import PERIOD_S, REQUESTS_MIN, ServedRatios


@pytest.mark.parametrize(
    ("served", "expected"),
    [
        pytest.param({}, 1.0, id="nothing-known"),
        pytest.param({"a": (REQUESTS_MIN - 1, 0)}, 1.0, id="too-few-requests"),
        pytest.param({"a": (100, 50)}, 0.5, id="one-workspace"),
        pytest.param(
            {f"w{number}": (20, 20) for number in range(18)} | {"x": (20, 4), "y": (20, 8)},
            0.3,
            id="two-of-twenty",
        ),
    ],
)
def test_the_worst_served_tenth_is_what_its_workspaces_got(
    served: dict[str, tuple[int, int]], expected: float
) -> None:
    """Guards against a mean over all workspaces that hides the few that are not served."""
    ratios = ServedRatios()
    for workspace, (asked, answered) in served.items():
        for number in range(asked):
            ratios.record(0.0, workspace, served=number < answered)
    assert ratios.worst(PERIOD_S - 1.0) == pytest.approx(expected)
    assert ratios.worst(2 * PERIOD_S - 1.0) == pytest.approx(expected)
    assert ratios.worst(4 * PERIOD_S) == 1.0
    assert not ratios.earlier
