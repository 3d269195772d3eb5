"""Slopes of what entry VMs keep and spend, for ``docs/CAPACITY.md``."""

import bench
from bench.capacity import _core
from bench.capacity import _site
from bench.capacity import _sizes
from bench.capacity._sizes import Size
from bench.capacity import _slopes
from bench.capacity._slopes import fit
from bench.capacity._slopes import Slope
from bench.capacity import _spread
from bench.capacity import _workings
from bench.capacity._workings import Row
from bench.capacity._workings import Workings

__all__ = ["Row", "Size", "Slope", "Workings", "fit", "run"]


def run(settings):
    """Measures all slopes, writes them, and works out the design's size.

    Parameters
    ----------
    settings : bench.Settings
        Seed, and whether to measure few and small points only.

    Returns
    -------
    bench.Report
    """
    committed = _slopes.read()
    slopes = []
    try:
        for module in (_core, _spread, _site):
            slopes.extend(module.slopes(settings))
    finally:
        _slopes.write(slopes, settings)
    by_name = {slope.name: slope for slope in slopes}
    rows = _workings.Workings(by_name, _sizes.Size()).rows()
    committed_by_name = {slope.name: slope for slope in committed}
    figures = [
        _figure_of_slope(slope, committed_by_name.get(slope.name))
        for slope in slopes
    ]
    figures += [_figure_of_row(row) for row in rows if row.result is not None]
    return bench.Report(bench="capacity", figures=tuple(figures))


def _figure_of_slope(slope, committed):
    """Returns the largest point beside the committed line at its size."""
    last = slope.points[-1]
    return bench.Figure(
        name=f"{slope.name}, at {last.x:g} {slope.size}",
        value=last.y,
        unit="",
        baseline=None if committed is None else committed.at(last.x),
        baseline_name="" if committed is None else _ratio(last, committed),
    )


def _ratio(last, committed):
    before = committed.at(last.x)
    if not before:
        return "committed"
    return f"committed, ratio {last.y / before:.2f}"


def _figure_of_row(row):
    met = None if row.budget is None else row.result <= row.budget
    return bench.Figure(
        name=f"worked out: {row.quantity}, at {row.at}",
        value=row.result,
        unit="",
        bar="" if row.budget is None else f"<= {row.budget:g}",
        met=met,
    )
