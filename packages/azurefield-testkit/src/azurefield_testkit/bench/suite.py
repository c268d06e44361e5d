"""The runs of the benchmark and their results."""

from __future__ import annotations

from dataclasses import dataclass
from multiprocessing import get_context

from azurefield_testkit.bench.measures import RunMeasures
from azurefield_testkit.bench.run import Run, execute
from azurefield_testkit.bench.scenario import RunTimes, ScenarioName
from azurefield_testkit.bench.sizes import SERVICES, ServiceSize
from azurefield_testkit.bench.variants import Variant

PROCESSES_MAX = 5
MAIN_VARIANTS = (Variant.OURS, Variant.NAIVE, Variant.ROUND_ROBIN)
# Each mechanism is disabled in the scenarios that it is meant for.
ABLATIONS = {
    ScenarioName.STEADY: (Variant.NO_OWN_OBSERVATION, Variant.NO_HEDGING),
    ScenarioName.STRAGGLING: (
        Variant.NO_HEDGING,
        Variant.NO_ADAPTIVE_LIMIT,
        Variant.NO_EARLY_REFUSAL,
    ),
    ScenarioName.SLOWED: (
        Variant.NO_OWN_OBSERVATION,
        Variant.TWO_CHOICES,
        Variant.OUTLIER_EJECTION,
        Variant.NO_HEDGING,
    ),
    ScenarioName.PEAK: (
        Variant.NO_ADAPTIVE_LIMIT,
        Variant.NO_EARLY_REFUSAL,
        Variant.NO_KIND_PRIORITY,
    ),
    ScenarioName.GREEDY: (Variant.NO_FAIR_QUEUEING, Variant.NO_SHARE_EXCHANGE),
    ScenarioName.CRASHER: (
        Variant.NO_QUARANTINE,
        Variant.NO_RETRIES,
        Variant.NO_EJECTION,
        Variant.NO_SLOW_START,
    ),
    ScenarioName.ZONE_LOST: (
        Variant.NO_OWN_OBSERVATION,
        Variant.NO_EJECTION,
        Variant.NO_HEDGING,
    ),
}
# Mechanisms are disabled only on one small and one large service of each user.
ABLATION_SERVICES = frozenset(
    {
        "gulf-dispatch",
        "gulf-port-agent-desk",
        "cerafiamma-shop-counter",
        "cerafiamma-wholesale-portal",
    }
)
QUICK_SERVICES = frozenset({"gulf-dispatch", "cerafiamma-shop-counter"})
QUICK_SEEDS = 2
QUICK_TIMES = RunTimes(fault_from=3.0, fault_until=7.0, end=7.5)


@dataclass(slots=True, kw_only=True)
class Results:
    """The measures of all runs, in the order of the runs."""

    runs: list[tuple[Run, RunMeasures]]

    @property
    def services(self) -> tuple[str, ...]:
        """Names of the measured services, in order."""
        return tuple(dict.fromkeys(run.size.name for run, _ in self.runs))

    @property
    def seeds(self) -> int:
        """Number of seeds."""
        return len({run.seed for run, _ in self.runs})

    def measures_of(
        self, service: str, scenario: ScenarioName, variant: Variant
    ) -> list[RunMeasures]:
        """Return the measures of one service, scenario and variant, in order of the seeds."""
        return [
            measures
            for run, measures in self.runs
            if (run.size.name, run.scenario, run.variant) == (service, scenario, variant)
        ]


def plan_runs(*, quick: bool, seeds: int, services: tuple[ServiceSize, ...]) -> list[Run]:
    """List the runs; all variants of a service and scenario use the same seeds."""
    runs: list[Run] = []
    for size in services:
        for scenario in ScenarioName:
            ablations = ABLATIONS[scenario] if size.name in ABLATION_SERVICES else ()
            for variant in (*MAIN_VARIANTS, *ablations):
                runs.extend(
                    Run(
                        variant=variant,
                        scenario=scenario,
                        size=size,
                        seed=seed,
                        times=QUICK_TIMES if quick else RunTimes(),
                    )
                    for seed in range(QUICK_SEEDS if quick else seeds)
                )
    return runs


def choose_services(names: tuple[str, ...], *, quick: bool) -> tuple[ServiceSize, ...]:
    """Return the named services; without names, all services or those of the quick mode."""
    if names:
        return tuple(size for size in SERVICES if size.name in names)
    return tuple(size for size in SERVICES if not quick or size.name in QUICK_SERVICES)


def measure_all(runs: list[Run], processes: int) -> Results:
    """Execute the runs in worker processes."""
    # The longest runs start first, so that no worker is left with a long one at the end.
    order = sorted(range(len(runs)), key=lambda index: -runs[index].size.capacity)
    with get_context("spawn").Pool(min(processes, PROCESSES_MAX)) as pool:
        measured = pool.map(execute, [runs[index] for index in order], chunksize=4)
    by_index = dict(zip(order, measured, strict=True))
    return Results(runs=[(run, by_index[index]) for index, run in enumerate(runs)])
