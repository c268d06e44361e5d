from __future__ import annotations

import pytest
from soak.run import soak

pytestmark = pytest.mark.process

SECONDS = 6.0
# Seeds that once broke a promise, each with its cause.
REGRESSIONS = {
    2: "SIGHUP while a process started ended it",
    104: "SIGHUP while a process started ended it",
}


@pytest.mark.parametrize("seed", [1, *REGRESSIONS])
async def test_the_promises_hold_under_faults(seed: int) -> None:
    """Guards against faults that only combinations of disturbances show."""
    report = await soak(seed, SECONDS)
    assert report.answered > 0
    assert not report.violations, "\n".join([str(report), *report.logs[-200:]])
