from __future__ import annotations

import pytest

from azurefield_testkit.bench.run import Run, execute
from azurefield_testkit.bench.scenario import RunTimes, ScenarioName
from azurefield_testkit.bench.sizes import SERVICES
from azurefield_testkit.bench.variants import Variant

SHORT = RunTimes(fault_from=1.0, fault_until=3.0, end=3.5)


def run_of(scenario: ScenarioName, variant: Variant) -> Run:
    """Return a short run of the first service."""
    return Run(size=SERVICES[0], scenario=scenario, variant=variant, seed=1, times=SHORT)


@pytest.mark.parametrize("scenario", [ScenarioName.STEADY, ScenarioName.PEAK])
def test_two_runs_with_one_seed_measure_the_same(scenario: ScenarioName) -> None:
    """Guards against verdicts that differ between two executions of the same run.

    This happens if a run draws from a generator that is not derived from its seed.
    """
    run = run_of(scenario, Variant.OURS)
    assert execute(run) == execute(run)


def test_the_shipped_policies_serve_more_at_a_peak_than_the_naive_ones() -> None:
    """Guards against a benchmark that does not use the policies of the chosen variant.

    All variants would then show the same goodput.
    """
    ours, naive = (
        execute(run_of(ScenarioName.PEAK, variant)) for variant in (Variant.OURS, Variant.NAIVE)
    )
    assert ours.goodput > 2 * naive.goodput
