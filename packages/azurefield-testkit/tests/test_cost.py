from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any

import msgspec
import pytest

from azurefield_testkit.cost.accounting import read_usage
from azurefield_testkit.cost.series import Series, fit_line
from azurefield_testkit.processes import Processes

if TYPE_CHECKING:
    from pathlib import Path


@pytest.mark.parametrize(
    ("points", "intercept", "slope"),
    [
        pytest.param([(1, 5.0), (2, 7.0), (3, 9.0)], 3.0, 2.0, id="exact line"),
        pytest.param([(3, 0.0), (8, 0.0), (24, 0.0)], 0.0, 0.0, id="no dependence"),
        pytest.param([(0, 0.0), (1, 2.0), (2, 1.0), (3, 3.0)], 0.3, 0.8, id="least squares"),
        pytest.param([(4, 6.0)], 6.0, 0.0, id="one size"),
    ],
)
def test_the_line_has_least_squares(
    points: list[tuple[float, float]], intercept: float, slope: float
) -> None:
    """Guards against a wrong slope.

    All figures of the capacity page are computed from the slopes.
    """
    assert fit_line(points) == pytest.approx((intercept, slope))


def test_a_disturbed_repetition_widens_the_spread_and_leaves_the_slope() -> None:
    """Guards against noise of the machine that is reported as a cost.

    A repetition that ran while the machine was busy may widen the range of the slopes, but must not
    change the reported slope.
    """
    series = Series(name="cost", unit="ms", per="leaf call")
    for disturbance in (0.0, 0.0, 40.0):
        for size in (3, 8, 24):
            series.add(size, 1 + 2 * size + (disturbance if size == 24 else 0.0))
    line = series.line()
    assert line.slope == pytest.approx(2.0)
    assert line.intercept == pytest.approx(1.0)
    assert line.low == pytest.approx(2.0)
    assert line.high > 3.0


def test_usage_counts_bytes_and_processor_time_of_a_process() -> None:
    """Guards against usage that is read from another process or in a wrong unit."""
    before = read_usage(os.getpid())
    reader, writer = os.pipe()
    os.write(writer, b"x" * 1000)
    assert len(os.read(reader, 1000)) == 1000
    os.close(reader)
    os.close(writer)
    assert sum(range(2_000_000)) > 0
    used = read_usage(os.getpid()).since(before)
    assert used.bytes_written >= 1000
    assert used.bytes_read >= 1000
    assert 0.0 < used.cpu_s <= 60.0


@pytest.mark.process
async def test_quick_run_measures_every_series_and_writes_them(tmp_path: Path) -> None:
    """Guards against a tool that no longer runs or that omits a series.

    Measurements are run rarely, so another change can break the tool without anyone noticing.
    """
    path = tmp_path / "cost.json"
    async with Processes() as processes:
        managed = await processes.spawn(
            "cost", "azurefield_testkit.cost", "--quick", "--json", str(path)
        )
        assert await managed.wait(180.0) == 0, managed.tail()
    body: dict[str, Any] = msgspec.json.decode(path.read_bytes())
    names = {row["name"]: row for row in body["rows"]}
    listing = names["processor time of a listing"]
    assert set(listing["values"]) == {"1", "2", "3"}
    assert all(value > 0 for values in listing["values"].values() for value in values)
    for name in ("FanOut from start to end", "idle by server: bytes written"):
        assert names[name]["line"] is not None
    assert all(row["values"] for row in body["rows"])
