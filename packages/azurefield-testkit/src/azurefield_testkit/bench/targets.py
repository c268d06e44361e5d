"""The targets of section 1.3 of the design page. They are never adjusted to a result."""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median
from typing import TYPE_CHECKING

from azurefield.model import RequestKind
from azurefield_testkit.bench.scenario import ScenarioName
from azurefield_testkit.bench.variants import Variant

if TYPE_CHECKING:
    from collections.abc import Callable

    from azurefield_testkit.bench.measures import RunMeasures
    from azurefield_testkit.bench.suite import Results

SLOWED_P99_RATIO_MAX = 1.5
EXTRA_LOAD_MAX = 0.05
PEAK_GOODPUT_MIN = 0.95
# Urgent look-ups and bookings need half or three quarters of the capacity at the peak (see
# ``SHARES``), so all of them can be served if they have priority. The remaining 1% allows for
# answers that are late by chance.
PEAK_URGENT_SERVICE_MIN = 0.99
REFUSAL_DELAY_FRACTION_MAX = 0.1
MEMBER_LOSS_MAX = 0.02
ZONE_RECOVERY_MAX_S = 3.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Verdict:
    """The verdict on one target for one service.

    ``value``, ``low`` and ``high`` are the median, least and greatest value over the seeds.
    ``at_most`` is true if ``limit`` is an upper bound, false if it is a lower one.
    """

    target: str
    service: str
    limit: float
    at_most: bool
    value: float
    low: float
    high: float

    @property
    def missed_by(self) -> float:
        """Distance by which the median misses the limit, 0 if the target is met."""
        return max(0.0, self.value - self.limit if self.at_most else self.limit - self.value)

    @property
    def met(self) -> bool:
        """Whether the median is within the limit."""
        return self.missed_by <= 0.0


def evaluate_targets(results: Results) -> list[Verdict]:
    """Compare the measures of the shipped policies with the targets, for each service."""
    verdicts: list[Verdict] = []
    for service in results.services:
        for target, limit, at_most, values in _target_values(results, service):
            verdicts.append(
                Verdict(
                    target=target,
                    service=service,
                    limit=limit,
                    at_most=at_most,
                    value=median(values),
                    low=min(values),
                    high=max(values),
                )
            )
    return verdicts


def _target_values(results: Results, service: str) -> list[tuple[str, float, bool, list[float]]]:
    """Return the name, the limit, whether it is an upper bound, and the values of each target."""

    def ours(scenario: ScenarioName, value: Callable[[RunMeasures], float]) -> list[float]:
        return [value(run) for run in results.measures_of(service, scenario, Variant.OURS)]

    def p99(run: RunMeasures) -> float:
        return run.latency["all"]["p99"]

    def min_high_priority_service(run: RunMeasures) -> float:
        return min(run.service[RequestKind.URGENT], run.service[RequestKind.BOOKING])

    ratios = [
        slowed / steady
        for slowed, steady in zip(
            ours(ScenarioName.SLOWED, p99), ours(ScenarioName.STEADY, p99), strict=True
        )
    ]
    refusals = [
        max(delays)
        for delays in zip(
            *(ours(scenario, lambda run: run.refusal_delay) for scenario in ScenarioName),
            strict=True,
        )
    ]
    return [
        ("slowed p99 / steady p99", SLOWED_P99_RATIO_MAX, True, ratios),
        (
            "extra load while slowed",
            EXTRA_LOAD_MAX,
            True,
            ours(ScenarioName.SLOWED, lambda run: run.extra_load),
        ),
        (
            "goodput at the peak / capacity",
            PEAK_GOODPUT_MIN,
            False,
            ours(ScenarioName.PEAK, lambda run: run.goodput),
        ),
        (
            "urgent and bookings served at the peak",
            PEAK_URGENT_SERVICE_MIN,
            False,
            ours(ScenarioName.PEAK, min_high_priority_service),
        ),
        ("latest refusal / deadline", REFUSAL_DELAY_FRACTION_MAX, True, refusals),
        (
            "worst loss of another member",
            MEMBER_LOSS_MAX,
            True,
            ours(ScenarioName.GREEDY, lambda run: run.member_loss),
        ),
        ("coverage less naive coverage", 0.0, False, _lowest_coverage_gains(results, service)),
        (
            "recovery from a lost zone (s)",
            ZONE_RECOVERY_MAX_S,
            True,
            ours(ScenarioName.ZONE_LOST, lambda run: run.recovery_s),
        ),
    ]


def _lowest_coverage_gains(results: Results, service: str) -> list[float]:
    """Return the least gain in coverage over the naive variant in any scenario, by seed."""
    gains = [
        [
            ours.coverage - naive.coverage
            for ours, naive in zip(
                results.measures_of(service, scenario, Variant.OURS),
                results.measures_of(service, scenario, Variant.NAIVE),
                strict=True,
            )
        ]
        for scenario in ScenarioName
    ]
    return [min(by_scenario) for by_scenario in zip(*gains, strict=True)]
