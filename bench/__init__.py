"""Measurements; `python -m bench` runs them.

A bench is a module with `run(settings)` that returns a `Report`; its name
and module are listed in `BENCHES_BY_NAME`.
"""

from bench._report import Figure
from bench._report import Report
from bench._report import Settings

BENCHES_BY_NAME = {
    "decisions": "bench.decisions",
    "capacity": "bench.capacity",
    "burst": "bench.burst",
    "owner": "bench.owner",
}

__all__ = ["BENCHES_BY_NAME", "Figure", "Report", "Settings"]
