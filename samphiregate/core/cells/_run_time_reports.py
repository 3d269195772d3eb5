"""Logs how far estimates and expected run times are off, by queue."""

import math

REPORT_INTERVAL_MS = 5_000


class RunTimeReporter:
    """Logs the errors of the runs that ended since the last report.

    Parameters
    ----------
    cell_state : CellState
    """

    def __init__(self, *, cell_state):
        self._cell_state = cell_state
        self._next_report_ms = 0

    def report(self, now_ms):
        """Logs one line for each queue, every `REPORT_INTERVAL_MS`."""
        if now_ms < self._next_report_ms:
            return
        self._next_report_ms = now_ms + REPORT_INTERVAL_MS
        errors_by_queue = self._cell_state.run_times.errors_by_queue
        for queue_name, errors in errors_by_queue.items():
            self._cell_state.log_decision(
                "run times",
                queue=queue_name,
                runs=errors.count,
                estimate_off=_mean_factor(errors.estimate, errors.count),
                expected_off=_mean_factor(errors.expected, errors.count),
            )
        errors_by_queue.clear()


def _mean_factor(total, count):
    """Returns the mean error as a factor: 1.5 is half too long or short."""
    return round(math.exp(total / count), 3)
