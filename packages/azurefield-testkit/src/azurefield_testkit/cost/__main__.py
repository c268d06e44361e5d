"""Command line of the cost measurement."""

from __future__ import annotations

import sys
from pathlib import Path
from time import perf_counter
from typing import TYPE_CHECKING, Literal

import defopt
import uvloop

from azurefield_testkit.cost.codecs import measure_codecs
from azurefield_testkit.cost.connections import measure_connections
from azurefield_testkit.cost.live import LiveSizes, measure_live
from azurefield_testkit.cost.pure import PureSizes, measure_pure
from azurefield_testkit.cost.report import fit_rows, table, write_json

if TYPE_CHECKING:
    from azurefield_testkit.cost.series import Series

QUICK_LIVE = LiveSizes(
    leafs=(1, 2, 3),
    servers=(2, 3, 4),
    instances=(1, 2),
    requests=10,
    repetitions=1,
    idle_s=0.5,
)
QUICK_PURE = PureSizes(
    leafs=(3, 6, 12),
    large_leafs=(3, 6, 12),
    instances=(2, 4, 8),
    servers=(2, 4),
    queued=(4, 8, 16),
    batch=(1, 2, 4),
    repetitions=1,
)


Part = Literal["all", "pure", "connections", "live"]


def measure(part: Part, *, quick: bool) -> list[Series]:
    """Run one part of the measurement, or all parts."""
    series: list[Series] = []
    if part in ("all", "live"):
        series += uvloop.run(measure_live(QUICK_LIVE if quick else LiveSizes()))
    if part in ("all", "connections"):
        counts, repetitions = ((5, 10, 20), 1) if quick else ((25, 50, 100), 5)
        series += uvloop.run(measure_connections(counts, repetitions))
    if part in ("all", "pure"):
        sizes = QUICK_PURE if quick else PureSizes()
        series += [*measure_pure(sizes), *measure_codecs(sizes)]
    return series


def cost(*, quick: bool = False, part: Part = "all", json: str | None = None) -> None:
    """Measure the cost of one entry process.

    :param quick: small sizes and no repetitions; the figures only show that the tool works
    :param part: measure only this part; each part except ``live`` takes seconds
    :param json: write all values to this JSON file
    """
    started = perf_counter()
    rows = fit_rows(measure(part, quick=quick))
    print(table(rows))
    print(f"took {perf_counter() - started:.0f} s", file=sys.stderr)
    if json is not None:
        write_json(Path(json), rows)


if __name__ == "__main__":
    defopt.run(cost)
