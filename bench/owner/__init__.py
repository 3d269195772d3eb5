"""Measures what the owner of a large cell spends, in virtual time.

Calls of functions are counted beside processor time, as they repeat from
run to run. The baseline, in the same run, is a tenth of the cell with a
tenth of the stream: cost that depends on endpoints times tasks shows there.
"""

import bench
from bench.owner import _figures


def run(settings):
    """Plays the streams and returns the figures.

    Parameters
    ----------
    settings : bench.Settings
        Seed, and whether to play a short stream only.

    Returns
    -------
    bench.Report
    """
    return bench.Report("owner", tuple(_figures.measure(settings)))
