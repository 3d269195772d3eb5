"""Counts of preempted runs, for metrics."""

import collections

import attrs


@attrs.define
class PreemptionCounts:
    """Runs that were stopped for urgent tasks, since the cell was taken.

    Attributes
    ----------
    runs_by_queue : collections.Counter
        Number of stopped runs, by the queue of their job.
    lost_core_ms_by_queue : collections.Counter
        Work that was thrown away with them, in milliseconds of one core.
    """

    runs_by_queue: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    lost_core_ms_by_queue: collections.Counter = attrs.field(
        factory=collections.Counter
    )

    def note(self, queue_name, lost_core_ms):
        """Counts a run that is stopped for urgent tasks."""
        self.runs_by_queue[queue_name] += 1
        self.lost_core_ms_by_queue[queue_name] += round(lost_core_ms)

    def describe(self):
        """Returns both counts by queue, as plain dicts."""
        return {
            "runs": dict(self.runs_by_queue),
            "lost_core_ms": dict(self.lost_core_ms_by_queue),
        }
