"""Output of the measured series: a Markdown table and a JSON file."""

from __future__ import annotations

import platform
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import TYPE_CHECKING

import msgspec

from azurefield_testkit.cost.series import Line, Series

if TYPE_CHECKING:
    from pathlib import Path

HEADER = ("measure", "unit", "median at each size", "slope per", "slope", "spread", "at 0")


@dataclass(slots=True, kw_only=True, frozen=True)
class Row:
    """One series and the line fitted to it."""

    series: Series
    line: Line | None


def fit_rows(all_series: list[Series]) -> list[Row]:
    """Fit a line to each series with more than one size."""
    return [
        Row(series=series, line=series.line() if len(series.values) > 1 else None)
        for series in all_series
    ]


def table(rows: list[Row]) -> str:
    """Format all series as a Markdown table."""
    lines = [HEADER, ("---",) * len(HEADER), *(format_row(row) for row in rows)]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines)


def format_row(row: Row) -> tuple[str, ...]:
    """Return the table cells of one series."""
    series, line = row.series, row.line
    sizes = ", ".join(f"{size:g}: {value:.4g}" for size, value in series.medians().items())
    if line is None:
        spread = [value for values in series.values.values() for value in values]
        return (
            series.name,
            series.unit,
            sizes,
            series.per,
            "",
            f"{min(spread):.4g} to {max(spread):.4g}",
            "",
        )
    return (
        series.name,
        series.unit,
        sizes,
        series.per,
        f"{line.slope:.4g}",
        f"{line.low:.4g} to {line.high:.4g}",
        f"{line.intercept:.4g}",
    )


def write_json(path: Path, rows: list[Row]) -> None:
    """Write all values with the date, the Python version and the machine type."""
    body = {
        "at": datetime.now(UTC).isoformat(timespec="seconds"),
        "python": platform.python_version(),
        "machine": platform.machine(),
        "rows": [
            {
                "name": row.series.name,
                "unit": row.series.unit,
                "per": row.series.per,
                "values": {f"{size:g}": values for size, values in row.series.values.items()},
                "line": row.line,
            }
            for row in rows
        ],
    }
    path.write_bytes(msgspec.json.format(msgspec.json.encode(body), indent=1) + b"\n")
