"""The truth about the workers, which the policies see only in part."""

from samphiregate.core import model

NOTHING = model.Resources()


class Site:
    """What runs on each worker, ours and the older scheduler's.

    Parameters
    ----------
    workers : tuple of model.WorkerInfo
        All workers.
    """

    def __init__(self, workers):
        self.workers_by_id = {each.worker_id: each for each in workers}
        self.runs_by_worker = {each.worker_id: {} for each in workers}
        self.foreign_by_worker = dict.fromkeys(self.workers_by_id, NOTHING)
        self.given_by_worker = dict.fromkeys(self.workers_by_id, NOTHING)

    def admits(self, worker_id, amount):
        """Returns whether a worker accepts a start of this size."""
        given = self.given_by_worker[worker_id] + amount
        given = given + self.foreign_by_worker[worker_id]
        return given.fits_in(self.workers_by_id[worker_id].capacity)

    def start(self, run):
        """Runs a task of ours."""
        self.runs_by_worker[run.worker_id][run.task_id] = run
        given = self.given_by_worker[run.worker_id]
        self.given_by_worker[run.worker_id] = given + run.booked

    def end(self, run):
        """Ends a task of ours."""
        del self.runs_by_worker[run.worker_id][run.task_id]
        given = self.given_by_worker[run.worker_id]
        self.given_by_worker[run.worker_id] = given - run.booked

    def change_foreign(self, worker_id, amount, sign):
        """Starts or ends a task of the older scheduler."""
        foreign = self.foreign_by_worker[worker_id]
        changed = foreign + amount if sign > 0 else foreign - amount
        self.foreign_by_worker[worker_id] = changed

    def report(self, worker_id):
        """Returns a worker's usage report: the total, and by task."""
        used_by_task = {
            task_id: run.used
            for task_id, run in self.runs_by_worker[worker_id].items()
        }
        own = sum(used_by_task.values(), start=NOTHING)
        return own + self.foreign_by_worker[worker_id], used_by_task

    def is_over_used(self, worker_id):
        """Returns whether more is in use than the worker has."""
        total, _used_by_task = self.report(worker_id)
        capacity = self.workers_by_id[worker_id].capacity
        return not total.fits_in(capacity)
