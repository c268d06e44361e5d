"""Series of values measured at several sizes, and the line fitted to them."""

from __future__ import annotations

from dataclasses import dataclass, field
from statistics import median


@dataclass(slots=True, kw_only=True, frozen=True)
class Line:
    """A fitted line; ``low`` and ``high`` are the least and greatest slope of a repetition."""

    intercept: float
    slope: float
    low: float
    high: float


@dataclass(slots=True, kw_only=True)
class Series:
    """Repeated measurements of one quantity at several sizes.

    ``unit`` is the unit of the values; ``per`` names what the size counts.
    """

    name: str
    unit: str
    per: str
    values: dict[float, list[float]] = field(default_factory=dict)

    def add(self, size: float, value: float) -> None:
        """Add one measurement."""
        self.values.setdefault(size, []).append(value)

    def medians(self) -> dict[float, float]:
        """Return the median at each size, sorted by size."""
        return {size: median(values) for size, values in sorted(self.values.items())}

    def line(self) -> Line:
        """Fit a line to each repetition; return the medians and the range of the slopes."""
        repetitions = min(len(values) for values in self.values.values())
        fits = [
            fit_line([(size, values[number]) for size, values in self.values.items()])
            for number in range(repetitions)
        ]
        slopes = [slope for _, slope in fits]
        return Line(
            intercept=median(intercept for intercept, _ in fits),
            slope=median(slopes),
            low=min(slopes),
            high=max(slopes),
        )


def fit_line(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Fit a line by least squares; return its intercept and slope.

    >>> fit_line([(1, 5.0), (2, 7.0), (3, 9.0)])
    (3.0, 2.0)
    """
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    squares_x = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / squares_x if squares_x else 0.0
    return mean_y - slope * mean_x, slope
