"""How the tasks of each job are spread over racks and workers."""

import attrs


@attrs.define
class JobSpread:
    """Counts of one job's tasks.

    Notes
    -----
    The rack is kept with the worker, so that a task is taken out of the
    rack that it was counted in, also after its worker left the fleet.
    """

    count_by_rack: dict = attrs.field(factory=dict)
    count_by_worker: dict = attrs.field(factory=dict)
    rack_by_worker: dict = attrs.field(factory=dict)


class SpreadCounter:
    """Counts each job's tasks by rack and by worker.

    Notes
    -----
    A count is dropped when it reaches zero, so the size follows the tasks
    that run.
    """

    def __init__(self):
        self._spread_by_job = {}

    def __len__(self):
        return len(self._spread_by_job)

    def add(self, job_id, rack, worker_id):
        """Counts a task of a job."""
        spread = self._spread_by_job.get(job_id)
        if spread is None:
            spread = self._spread_by_job[job_id] = JobSpread()
        rack = spread.rack_by_worker.setdefault(worker_id, rack)
        _change(spread.count_by_rack, rack, 1)
        _change(spread.count_by_worker, worker_id, 1)

    def remove(self, job_id, worker_id):
        """Counts a task of a job no more; unknown ones are ignored."""
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
        """Returns a job's tasks in a rack and on a worker."""
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
