"""Figures with their baselines, as JSON and as a table."""

import pathlib

import attrs
import orjson

RESULTS_PATH = pathlib.Path("bench/results")


@attrs.frozen
class Settings:
    """How to run the benches.

    Parameters
    ----------
    quick : bool
        Whether to run a small part that ends within seconds.
    seed : int
        Seed of every random choice.
    """

    quick: bool = False
    seed: int = 1


@attrs.frozen
class Figure:
    """One measured value beside its baseline from the same run.

    Parameters
    ----------
    name : str
        What was measured, and on what.
    value : float
        The measurement.
    unit : str
        Its unit.
    baseline : float or None
        The same measurement of the baseline.
    baseline_name : str
        What the baseline is.
    bar : str
        The bound it is held against, such as ``<= 3 %``; empty for none.
    met : bool or None
        Whether the bar is met; None without a bar.
    """

    name: str
    value: float
    unit: str
    baseline: float | None = None
    baseline_name: str = ""
    bar: str = ""
    met: bool | None = None


@attrs.frozen
class Report:
    """All figures of one bench."""

    bench: str
    figures: tuple[Figure, ...]


def write(report, settings, path=RESULTS_PATH):
    """Writes a report as JSON and returns the file's path."""
    path.mkdir(parents=True, exist_ok=True)
    suffix = "-quick" if settings.quick else ""
    target = path / f"{report.bench}{suffix}.json"
    document = {
        "bench": report.bench,
        "settings": attrs.asdict(settings),
        "figures": [attrs.asdict(figure) for figure in report.figures],
    }
    target.write_bytes(orjson.dumps(document, option=orjson.OPT_INDENT_2))
    return target


def table(reports):
    """Returns one table of all figures as text."""
    rows = [("bench", "figure", "value", "baseline", "bar", "met")]
    for report in reports:
        rows.extend(_row(report.bench, each) for each in report.figures)
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    lines = (
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    )
    return "\n".join(lines)


def _row(bench, figure):
    baseline = ""
    if figure.baseline is not None:
        baseline = f"{figure.baseline:.6g} ({figure.baseline_name})"
    met = {True: "yes", False: "NO", None: ""}[figure.met]
    value = f"{figure.value:.6g} {figure.unit}"
    return (bench, figure.name, value, baseline, figure.bar, met)
