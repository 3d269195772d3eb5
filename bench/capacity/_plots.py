"""Draws slopes beside their budgets as SVG, the same on every run."""

import pathlib

from bench.capacity import _workings

PLOTS_PATH = pathlib.Path("docs/plots")
BUDGET_BY_NAME = {
    "daemon idle, MiB resident": _workings.MEMORY_BUDGET_MIB,
    "daemon with tasks, MiB resident": _workings.MEMORY_BUDGET_MIB,
    "daemon idle, % of a core": _workings.CORE_BUDGET_PERCENT,
    "daemons idle, % of a core each": _workings.CORE_BUDGET_PERCENT,
    "machines idle, ms a second": 15.0,
    "machines with services, ms a second": 15.0,
    "machines idle, ms a second, by entry VMs": 15.0,
    "control, mean bytes a second sent and received": 10_000,
    "control, largest bytes a second sent and received": 10_000,
    "daemons idle, link bytes a second each": 10_000,
    "a change in force on all VMs, longest ms": 9_000,
}
FIGURE_INCHES = (5.0, 3.2)


def draw(slopes, path=PLOTS_PATH):
    """Draws one file for each slope that has a gradient; returns paths."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "samphiregate"
    path.mkdir(parents=True, exist_ok=True)
    return [
        _draw_one(slope, path) for slope in slopes if len(slope.points) > 1
    ]


def _draw_one(slope, path):
    from matplotlib import figure

    drawn = figure.Figure(figsize=FIGURE_INCHES, layout="constrained")
    axes = drawn.subplots()
    xs = [point.x for point in slope.points]
    axes.plot(xs, [point.y for point in slope.points], "o", label="measured")
    axes.plot(xs, [slope.at(x) for x in xs], "-", label="line")
    budget = BUDGET_BY_NAME.get(slope.name)
    if budget is not None:
        axes.axhline(budget, linestyle="--", color="red", label="budget")
    axes.set_xlabel(slope.size)
    axes.set_title(slope.name, fontsize=9)
    axes.set_ylim(bottom=0)
    axes.legend(fontsize=8)
    target = path / f"{file_name(slope.name)}.svg"
    drawn.savefig(target, format="svg", metadata={"Date": None})
    return target


def file_name(name):
    """Returns a slope's name as the name of a file."""
    kept = "".join(c if c.isalnum() else "-" for c in name.lower())
    return "-".join(part for part in kept.split("-") if part)
