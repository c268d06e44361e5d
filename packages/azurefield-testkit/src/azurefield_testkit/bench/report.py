"""Output of the benchmark: Markdown tables, a JSON file and a plot."""

from __future__ import annotations

import json
from dataclasses import asdict
from statistics import median
from typing import TYPE_CHECKING

from azurefield.model import RequestKind
from azurefield_testkit.bench.scenario import ScenarioName
from azurefield_testkit.bench.variants import Variant

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from azurefield_testkit.bench.measures import RunMeasures
    from azurefield_testkit.bench.suite import Results
    from azurefield_testkit.bench.targets import Verdict

    # Heading, format specification and value of a table column.
    Column = tuple[str, str, Callable[[RunMeasures], float]]

PERCENT_FORMAT = ".1%"
COLUMNS: tuple[Column, ...] = (
    ("p50", ".0f", lambda run: run.latency["all"]["p50"]),
    ("p99", ".0f", lambda run: run.latency["all"]["p99"]),
    ("p99.9", ".0f", lambda run: run.latency["all"]["p999"]),
    ("listing p99", ".0f", lambda run: run.latency.get("listing", {}).get("p99", 0.0)),
    ("coverage", PERCENT_FORMAT, lambda run: run.coverage),
    ("extra load", PERCENT_FORMAT, lambda run: run.extra_load),
    ("goodput", PERCENT_FORMAT, lambda run: run.goodput),
    ("weighted service", PERCENT_FORMAT, lambda run: run.weighted_service),
)
SCENARIO_COLUMNS: dict[ScenarioName, tuple[Column, ...]] = {
    ScenarioName.PEAK: (
        *(
            (str(kind), PERCENT_FORMAT, lambda run, kind=kind: run.service[kind])
            for kind in RequestKind
        ),
        ("refusal/deadline", ".3f", lambda run: run.refusal_delay),
    ),
    ScenarioName.GREEDY: (
        ("greedy member", PERCENT_FORMAT, lambda run: run.member_service["m0"]),
        ("worst other", PERCENT_FORMAT, lambda run: 1.0 - run.member_loss),
    ),
    ScenarioName.CRASHER: (("crashes", ".0f", lambda run: float(run.deaths)),),
    ScenarioName.ZONE_LOST: (("recovery s", ".2f", lambda run: run.recovery_s),),
}


def verdict_table(verdicts: list[Verdict]) -> str:
    """Return the verdicts on the targets as a Markdown table."""
    lines = [
        "| target | service | limit | median | spread | verdict |",
        "|---|---|---|---|---|---|",
    ]
    for item in verdicts:
        comparison = "<=" if item.at_most else ">="
        verdict = "MET" if item.met else f"MISSED by {item.missed_by:.3f}"
        lines.append(
            f"| {item.target} | {item.service} | {comparison} {item.limit:g} | {item.value:.3f} "
            f"| {item.low:.3f} to {item.high:.3f} | {verdict} |"
        )
    return "\n".join(lines)


def scenario_tables(results: Results) -> str:
    """Return one Markdown table per scenario, with the median over the seeds and the range."""
    return "\n\n".join(_scenario_table(results, scenario) for scenario in ScenarioName)


def _scenario_table(results: Results, scenario: ScenarioName) -> str:
    columns = (*COLUMNS, *SCENARIO_COLUMNS.get(scenario, ()))
    names = " | ".join(name for name, _, _ in columns)
    lines = [
        f"Scenario {scenario} (latencies in ms):",
        "",
        f"| service | variant | {names} |",
        "|" + "---|" * (len(columns) + 2),
    ]
    for service in results.services:
        for variant in Variant:
            runs = results.measures_of(service, scenario, variant)
            if runs:
                cells = " | ".join(
                    _cell(runs, format_spec, value) for _, format_spec, value in columns
                )
                lines.append(f"| {service} | {variant} | {cells} |")
    return "\n".join(lines)


def _cell(runs: list[RunMeasures], format_spec: str, value: Callable[[RunMeasures], float]) -> str:
    values = [value(run) for run in runs]
    low, high = min(values), max(values)
    text = format(median(values), format_spec)
    return text if low == high else f"{text} ({low:{format_spec}}-{high:{format_spec}})"


def write_json(path: Path, results: Results, verdicts: list[Verdict]) -> None:
    """Write all measures and verdicts to a JSON file."""
    content = {
        "seeds": results.seeds,
        "verdicts": [
            {**asdict(item), "met": item.met, "missed_by": item.missed_by} for item in verdicts
        ],
        "runs": [
            {
                "service": run.size.name,
                "scenario": run.scenario,
                "variant": run.variant,
                "seed": run.seed,
                "measures": asdict(measures),
            }
            for run, measures in results.runs
        ],
    }
    path.write_text(json.dumps(content, indent=1) + "\n")


def write_plot(path: Path, results: Results) -> None:
    """Plot the shipped policies against both baselines in four panels, medians over the seeds."""
    from matplotlib.figure import Figure  # Imported here because it is slow and rarely needed.

    panels: tuple[tuple[str, ScenarioName, Callable[[RunMeasures], float]], ...] = (
        (
            "p99 while 10% of servers are slowed (ms)",
            ScenarioName.SLOWED,
            lambda run: run.latency["all"]["p99"],
        ),
        ("goodput at 5 times capacity", ScenarioName.PEAK, lambda run: run.goodput),
        (
            "worst service of a member beside a greedy one",
            ScenarioName.GREEDY,
            lambda run: 1.0 - run.member_loss,
        ),
        ("coverage with a straggling leaf", ScenarioName.STRAGGLING, lambda run: run.coverage),
    )
    figure = Figure(figsize=(12, 8), layout="constrained")
    for index, (title, scenario, value) in enumerate(panels):
        axes = figure.add_subplot(2, 2, index + 1)
        for offset, variant in enumerate((Variant.OURS, Variant.NAIVE, Variant.ROUND_ROBIN)):
            values_by_service = [
                [value(run) for run in results.measures_of(service, scenario, variant)]
                for service in results.services
            ]
            medians = [median(values) for values in values_by_service]
            errors = [
                [
                    middle - min(values)
                    for middle, values in zip(medians, values_by_service, strict=True)
                ],
                [
                    max(values) - middle
                    for middle, values in zip(medians, values_by_service, strict=True)
                ],
            ]
            positions = [
                position + 0.27 * (offset - 1) for position in range(len(values_by_service))
            ]
            axes.bar(positions, medians, width=0.25, yerr=errors, label=str(variant))
        axes.set_title(title)
        axes.set_xticks(range(len(results.services)), results.services, rotation=30, ha="right")
    figure.axes[0].legend()
    figure.savefig(path, dpi=100)
