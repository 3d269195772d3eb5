"""Counts of the tasks of each job by rack and by worker."""

import attrs


@attrs.define
class JobSpread:
    """Task counts of one job.

    Notes
    -----
    The rack is stored per worker, so that a task is subtracted from the
    rack that it was counted in, even after its worker has left the fleet.
    """

    count_by_rack: dict = attrs.field(factory=dict)
    count_by_worker: dict = attrs.field(factory=dict)
    rack_by_worker: dict = attrs.field(factory=dict)


class SpreadCounter:
    """Counts the tasks of each job by rack and by worker.

    Notes
    -----
    A count is deleted when it reaches zero, so memory use is bounded by the
    number of running tasks.
    """

    def __init__(self):
        self._spread_by_job = {}

    def __len__(self):
        return len(self._spread_by_job)

    def add(self, job_id, rack, worker_id):
        """Adds a task of a job to the counts."""
        spread = self._spread_by_job.get(job_id)
        if spread is None:
            spread = self._spread_by_job[job_id] = JobSpread()
        rack = spread.rack_by_worker.setdefault(worker_id, rack)
        _change(spread.count_by_rack, rack, 1)
        _change(spread.count_by_worker, worker_id, 1)

    def remove(self, job_id, worker_id):
        """Removes a task of a job; unknown jobs and workers are ignored."""
        spread = self._spread_by_job.get(job_id)
        if spread is None or worker_id not in spread.rack_by_worker:
            return
        _change(spread.count_by_rack, spread.rack_by_worker[worker_id], -1)
        _change(spread.count_by_worker, worker_id, -1)
        if worker_id not in spread.count_by_worker:
            del spread.rack_by_worker[worker_id]
        if not spread.rack_by_worker:
            del self._spread_by_job[job_id]

    def task_counts(self, job_id, rack, worker_id):
        """Returns how many tasks of a job are in a rack and on a worker."""
        spread = self._spread_by_job.get(job_id)
        if spread is None:
            return (0, 0)
        return (
            spread.count_by_rack.get(rack, 0),
            spread.count_by_worker.get(worker_id, 0),
        )


def _change(count_by_key, key, by):
    count = count_by_key.get(key, 0) + by
    if count:
        count_by_key[key] = count
    else:
        del count_by_key[key]
