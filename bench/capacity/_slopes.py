"""Slopes: points, the straight line through them, and its spread."""

import pathlib

from absl import logging
import attrs
import orjson

from bench import _report

PERCENT = 100


@attrs.frozen
class Point:
    """One measurement `y` at the size `x`."""

    x: float
    y: float


@attrs.frozen
class Slope:
    """A quantity measured at several sizes.

    Parameters
    ----------
    name : str
        What was measured, and in which unit.
    size : str
        What `x` counts.
    points : tuple of Point
        Measurements.
    gradient, base : float
        Of the least-squares line ``y = base + gradient * x``.
    spread_percent : float
        Largest distance of a point from the line, as a part of the
        largest `y`.
    """

    name: str
    size: str
    points: tuple[Point, ...]
    gradient: float
    base: float
    spread_percent: float

    def at(self, size):
        """Returns the line's value at a size."""
        return self.base + self.gradient * size


def fit(name, size, pairs):
    """Fits a line to pairs of size and measurement.

    Parameters
    ----------
    name, size : str
        See `Slope`.
    pairs : iterable of tuple of float
        At least one; one alone gives a line without gradient.

    Returns
    -------
    Slope
    """
    points = tuple(Point(float(x), float(y)) for x, y in pairs)
    mean_x = sum(point.x for point in points) / len(points)
    mean_y = sum(point.y for point in points) / len(points)
    above = sum((p.x - mean_x) * (p.y - mean_y) for p in points)
    below = sum((p.x - mean_x) ** 2 for p in points)
    gradient = above / below if below else 0.0
    base = mean_y - gradient * mean_x
    largest = max(abs(point.y) for point in points) or 1.0
    off = max(abs(p.y - base - gradient * p.x) for p in points)
    spread = PERCENT * off / largest
    logging.info("capacity: measured %s.", name)
    return Slope(name, size, points, gradient, base, spread)


def write(slopes, settings, path=_report.RESULTS_PATH):
    """Writes slopes as JSON and returns the file's path."""
    path = pathlib.Path(path)
    path.mkdir(parents=True, exist_ok=True)
    suffix = "-quick" if settings.quick else ""
    target = path / f"slopes{suffix}.json"
    document = {
        "command": _command(settings),
        "slopes": [attrs.asdict(slope) for slope in slopes],
    }
    target.write_bytes(orjson.dumps(document, option=orjson.OPT_INDENT_2))
    return target


def read(path=_report.RESULTS_PATH):
    """Returns the slopes that were last measured in full; none at first."""
    source = pathlib.Path(path, "slopes.json")
    if not source.exists():
        return []
    document = orjson.loads(source.read_bytes())
    return [
        Slope(**{**each, "points": tuple(Point(**p) for p in each["points"])})
        for each in document["slopes"]
    ]


def _command(settings):
    quick = "--quick " if settings.quick else ""
    return f"python -m bench {quick}--seed {settings.seed} capacity"
