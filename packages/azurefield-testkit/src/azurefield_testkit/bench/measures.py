"""Measures of one run, computed over the requests that arrive during the fault or the peak."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from azurefield_testkit.bench.entry import RequestResult, RequestStatus
from azurefield_testkit.bench.scenario import (
    CRASHER,
    PEAK_RAMP_S,
    Arrival,
    RunTimes,
    ScenarioName,
)
from azurefield_testkit.bench.sizes import (
    CLIENT_ONE_WAY_DELAY_S,
    DEADLINE_S,
    KIND_WEIGHT,
    MEMBERS,
    SERVICE_TIME_MEAN_S,
    ServiceSize,
)

if TYPE_CHECKING:
    from collections.abc import Callable

QUANTILES = {"p50": 0.5, "p99": 0.99, "p999": 0.999}
RECOVERY_BIN_S = 0.25
RECOVERED_FRACTION = 0.95


@dataclass(slots=True, kw_only=True)
class RunMeasures:
    """The measures of one run.

    ``latency``: milliseconds as the caller sees them, by kind and quantile, of answered requests.
    ``service``, ``member_service``: fraction of the sent requests that were answered, by kind and
    by member.
    ``coverage``: leafs covered, as a fraction of the leafs that all listings and urgent look-ups
    need; a refused request covers none.
    ``extra_load``: leaf calls beyond the first call to each leaf (hedges and retries), as a
    fraction of the first calls.
    ``goodput``: backend time spent on answered requests, as a fraction of the time of all slots.
    ``weighted_service``: like ``service``, over all requests, each weighted by its kind.
    ``refusal_delay``: the latest refusal, as a fraction of the deadline.
    ``member_loss``: fraction of the requests not answered, for the worst member except the greedy
    one.
    ``deaths``: number of server crashes.
    ``recovery_s``: time until the service has recovered from the loss of an availability zone.
    """

    latency: dict[str, dict[str, float]] = field(default_factory=dict)
    service: dict[str, float] = field(default_factory=dict)
    member_service: dict[str, float] = field(default_factory=dict)
    coverage: float = 0.0
    extra_load: float = 0.0
    goodput: float = 0.0
    weighted_service: float = 0.0
    refusal_delay: float = 0.0
    member_loss: float = 0.0
    deaths: int = 0
    recovery_s: float = 0.0


def quantile(ordered: list[float], fraction: float) -> float:
    """Return a quantile of sorted values, or 0 if there are none."""
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0


def measure(
    scenario: ScenarioName,
    size: ServiceSize,
    times: RunTimes,
    arrivals: list[Arrival],
    results: list[RequestResult],
    crashes: int,
) -> RunMeasures:
    """Compute the measures of one run."""
    start = times.fault_from + (PEAK_RAMP_S if scenario is ScenarioName.PEAK else 0.0)
    sent = [item for item in arrivals if _is_measured(item, start, times.fault_until)]
    measured = [item for item in results if _is_measured(item.arrival, start, times.fault_until)]
    answered = [item for item in measured if item.status is RequestStatus.ANSWERED]
    window_s = times.fault_until - start
    measures = RunMeasures(
        latency=_latencies(answered),
        service=_ratio(sent, answered, lambda item: str(item.kind)),
        member_service=_ratio(sent, answered, lambda item: item.member),
        coverage=_coverage(size, sent, measured),
        extra_load=_extra_load(measured),
        goodput=_goodput(size, results, start, times.fault_until) / window_s,
        refusal_delay=_refusal_delay(measured),
        deaths=crashes,
    )
    weight_sent = sum(KIND_WEIGHT[item.kind] for item in sent)
    weight_answered = sum(KIND_WEIGHT[item.arrival.kind] for item in answered)
    measures.weighted_service = weight_answered / max(weight_sent, 1e-9)
    if scenario is ScenarioName.GREEDY:
        worst = min(measures.member_service.get(member, 0.0) for member in MEMBERS[1:])
        measures.member_loss = 1.0 - worst
    if scenario is ScenarioName.ZONE_LOST:
        measures.recovery_s = _zone_recovery_s(arrivals, results, times)
    return measures


def _is_measured(arrival: Arrival, start: float, end: float) -> bool:
    return start <= arrival.at < end and arrival.fingerprint != CRASHER


def _latencies(answered: list[RequestResult]) -> dict[str, dict[str, float]]:
    latency: dict[str, dict[str, float]] = {}
    groups: dict[str, list[float]] = {"all": []}
    for item in answered:
        latency_ms = 1000 * (item.at - item.arrival.at + 2 * CLIENT_ONE_WAY_DELAY_S)
        groups.setdefault(item.arrival.kind, []).append(latency_ms)
        groups["all"].append(latency_ms)
    for kind, values in groups.items():
        values.sort()
        latency[str(kind)] = {name: quantile(values, part) for name, part in QUANTILES.items()}
    return latency


def _ratio(
    sent: list[Arrival], answered: list[RequestResult], key: Callable[[Arrival], str]
) -> dict[str, float]:
    requests = Counter(key(item) for item in sent)
    answers = Counter(key(item.arrival) for item in answered)
    return {name: answers[name] / requests[name] for name in sorted(requests)}


def _coverage(size: ServiceSize, sent: list[Arrival], measured: list[RequestResult]) -> float:
    needed = sum(size.leafs for item in sent if item.kind.partial)
    covered = sum(item.covered for item in measured if item.arrival.kind.partial)
    return covered / max(needed, 1)


def _extra_load(measured: list[RequestResult]) -> float:
    first_calls = sum(item.first_calls for item in measured)
    return sum(item.calls for item in measured) / max(first_calls, 1) - 1.0


def _goodput(size: ServiceSize, results: list[RequestResult], start: float, end: float) -> float:
    useful_s = sum(
        item.covered * SERVICE_TIME_MEAN_S[item.arrival.kind]
        for item in results
        if item.status is RequestStatus.ANSWERED and start <= item.at < end
    )
    return useful_s / (size.servers * size.slots)


def _refusal_delay(measured: list[RequestResult]) -> float:
    return max(
        (
            (item.at - item.arrival.at) / DEADLINE_S[item.arrival.kind]
            for item in measured
            if item.status is RequestStatus.REFUSED
        ),
        default=0.0,
    )


def _zone_recovery_s(
    arrivals: list[Arrival], results: list[RequestResult], times: RunTimes
) -> float:
    """Return the time from the fault to the end of the last degraded interval of arrivals.

    An interval is degraded if fewer than ``RECOVERED_FRACTION`` of its requests got a whole answer.
    """
    sent = Counter(int(item.at / RECOVERY_BIN_S) for item in arrivals)
    whole_by_bin = Counter(
        int(item.arrival.at / RECOVERY_BIN_S)
        for item in results
        if item.status is RequestStatus.ANSWERED and _is_whole(item)
    )
    first, last = (int(at / RECOVERY_BIN_S) for at in (times.fault_from, times.fault_until))
    degraded_bins = [
        bin_ for bin_ in range(first, last) if whole_by_bin[bin_] < RECOVERED_FRACTION * sent[bin_]
    ]
    return (degraded_bins[-1] + 1 - first) * RECOVERY_BIN_S if degraded_bins else 0.0


def _is_whole(item: RequestResult) -> bool:
    return item.covered >= item.first_calls
