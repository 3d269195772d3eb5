"""Measures the policies on traces in virtual time, and their cost.

Every figure stands beside that of first come, first fit (and of strict
priority where it differs) on the same trace in the same run.
"""

import bench
from bench.decisions import _figures


def run(settings):
    """Plays the traces and returns the figures.

    Parameters
    ----------
    settings : bench.Settings
        Seed, and whether to play short traces only.

    Returns
    -------
    bench.Report
    """
    figures = []
    for part in _figures.PARTS:
        figures.extend(part(settings))
    return bench.Report(bench="decisions", figures=tuple(figures))
