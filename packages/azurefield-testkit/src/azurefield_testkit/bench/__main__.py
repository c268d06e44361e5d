"""Command line of the benchmark."""

from __future__ import annotations

import sys
from pathlib import Path
from time import perf_counter

import defopt

from azurefield_testkit.bench.report import (
    scenario_tables,
    verdict_table,
    write_json,
    write_plot,
)
from azurefield_testkit.bench.suite import PROCESSES_MAX, choose_services, measure_all, plan_runs
from azurefield_testkit.bench.targets import evaluate_targets


def bench(
    *,
    quick: bool = False,
    seeds: int = 5,
    services: tuple[str, ...] = (),
    processes: int = PROCESSES_MAX,
    json: str | None = None,
    plot: str | None = None,
) -> None:
    """Measure the policies in simulated time and compare the results with the targets.

    :param quick: two services, two seeds and shorter runs; the figures are only indicative
    :param seeds: number of seeds
    :param services: measure only these services
    :param processes: number of worker processes, at most 5
    :param json: write all measures to this JSON file
    :param plot: write the plot to this PNG file
    """
    started = perf_counter()
    runs = plan_runs(quick=quick, seeds=seeds, services=choose_services(services, quick=quick))
    results = measure_all(runs, processes)
    verdicts = evaluate_targets(results)
    print(scenario_tables(results), verdict_table(verdicts), sep="\n\n")
    met = sum(item.met for item in verdicts)
    print(f"\n{met} of {len(verdicts)} targets MET; {len(runs)} runs, {results.seeds} seeds")
    print(f"took {perf_counter() - started:.0f} s", file=sys.stderr)
    if json is not None:
        write_json(Path(json), results, verdicts)
    if plot is not None:
        write_plot(Path(plot), results)


if __name__ == "__main__":
    defopt.run(bench)
