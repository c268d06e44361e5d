from __future__ import annotations

import pytest
from soak.run import soak

pytestmark = pytest.mark.process

FAULT_DURATION_S = 6.0
# Seeds that led to a violation before, each with its cause.
REGRESSIONS = {
    2: "SIGHUP during the start of a process terminated it",
    104: "SIGHUP during the start of a process terminated it",
}


@pytest.mark.parametrize("seed", [1, *REGRESSIONS])
async def test_the_promises_hold_under_faults(seed: int) -> None:
    """Guards against defects that appear only under combinations of faults.

    The real gateways run under random faults; the history of all requests is checked for violations
    of the guarantees.
    """
    report = await soak(seed, FAULT_DURATION_S)
    assert report.answered > 0
    assert not report.violations, "\n".join([str(report), *report.logs[-200:]])
