"""Run times that are known of one stage, complete or not.

Runs that were stopped or lost, or are still at work, tell only that their
time is above a bound. Leaving them out would make short runs look usual
while a stage is at work.
"""

import math
import statistics

import attrs

# Distances of logarithms are cut here, so that a few long tasks do not
# determine a spread.
MAX_DISTANCE = math.log(3)
HALF = 0.5 + 1e-9  # so that rounding does not hide the median


def clipped(distance):
    """Returns a distance of logarithms, cut at `MAX_DISTANCE`."""
    return min(max(distance, -MAX_DISTANCE), MAX_DISTANCE)


@attrs.frozen
class RunTime:
    """What is known of the time of a run.

    Parameters
    ----------
    ms : float
        On an endpoint of usual speed, near the data.
    is_bound : bool
        Whether the time is only known to be above `ms`.
    endpoint_id : str
        Where the run is or was.
    """

    ms: float
    is_bound: bool = False
    endpoint_id: str = ""


class StageSample:
    """The run times of a stage, one for each task.

    Attributes
    ----------
    run_time_by_index : dict
        `RunTime` by the index of the task; a gang has one, under 0.
    """

    def __init__(self):
        self.run_time_by_index = {}
        self._median = None

    def add(self, index, run_time):
        """Replaces what is known of a task, unless more is known."""
        known = self.run_time_by_index.get(index)
        if known is not None and run_time.is_bound:
            if not known.is_bound or known.ms >= run_time.ms:
                return
        self.run_time_by_index[index] = run_time
        self._median = None

    def median(self):
        """Returns the median as a `RunTime`, or None if nothing is known.

        With censored run times, that of the product-limit estimate (Kaplan
        and Meier); if too many are censored, a bound.
        """
        if self._median is None and self.run_time_by_index:
            self._median = _median(list(self.run_time_by_index.values()))
        return self._median

    def median_elsewhere(self, endpoint_id):
        """Returns the median without an endpoint's runs, and their number.

        The median is None if nothing else is known.
        """
        others = [
            one
            for one in self.run_time_by_index.values()
            if one.endpoint_id != endpoint_id
        ]
        return (_median(others) if others else None), len(others)

    def known_ms(self):
        """Returns the run times that are more than bounds."""
        return [
            one.ms
            for one in self.run_time_by_index.values()
            if not one.is_bound
        ]

    def spread(self, median_ms):
        """Returns the mean squared distance of logarithms from a median.

        None for less than two known run times.
        """
        known = self.known_ms()
        if len(known) < 2:
            return None
        return statistics.fmean(
            clipped(math.log(ms / median_ms)) ** 2 for ms in known
        )


def _median(run_times):
    if not any(one.is_bound for one in run_times):
        return RunTime(statistics.median(one.ms for one in run_times))
    run_times.sort(key=lambda one: (one.ms, one.is_bound))
    surviving = 1.0
    for position, one in enumerate(run_times):
        if not one.is_bound:
            surviving *= 1.0 - 1.0 / (len(run_times) - position)
        if surviving <= HALF:
            return RunTime(one.ms)
    # Half of the runs have lasted at least this long.
    return RunTime(run_times[len(run_times) // 2].ms, is_bound=True)
