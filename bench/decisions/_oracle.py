"""Judges what is given, from records apart from the deciding core."""

import collections

from samphiregate.core import model


class Oracle:
    """Counts violations of what must always hold.

    Parameters
    ----------
    trace : Trace
        Gives capacities and limits.
    """

    def __init__(self, trace):
        self.capacity_by_worker = {
            worker.worker_id: worker.capacity for worker in trace.workers
        }
        self.limit_by_team = trace.limit_by_team
        self.given_by_worker = {
            worker_id: [0, 0, 0] for worker_id in self.capacity_by_worker
        }
        self.running_by_team = collections.Counter()
        self.worker_by_task = {}
        self.finished = set()
        self.cancelled_tasks = set()
        self.violations = collections.Counter(
            capacity=0, limit=0, twice=0, ghost=0, partial_gang=0
        )

    def started(self, task_id, team, worker_id, amount):
        """Takes in that a task runs, or may be running."""
        if task_id in self.worker_by_task or task_id in self.finished:
            self.violations["twice"] += 1
        if task_id in self.cancelled_tasks:
            self.violations["ghost"] += 1
        self.worker_by_task[task_id] = (team, worker_id, amount)
        self._give(worker_id, amount, 1)
        self.running_by_team[team] += 1
        limit = self.limit_by_team.get(team)
        if limit is not None and self.running_by_team[team] > limit:
            self.violations["limit"] += 1

    def ended(self, task_id, *, finished):
        """Takes in that a task surely runs no more."""
        team, worker_id, amount = self.worker_by_task.pop(task_id)
        self._give(worker_id, amount, -1)
        self.running_by_team[team] -= 1
        if finished:
            self.finished.add(task_id)

    def foreign(self, worker_id, amount, sign):
        """Takes in that the older scheduler's use changed."""
        self._give(worker_id, amount, sign)

    def cancelled(self, task_ids):
        """Takes in that tasks must not start any more."""
        self.cancelled_tasks.update(task_ids)

    def gang_started(self, started, units):
        """Takes in how many tasks of a gang started together."""
        if started != units:
            self.violations["partial_gang"] += 1

    def _give(self, worker_id, amount, sign):
        given = self.given_by_worker[worker_id]
        capacity = self.capacity_by_worker[worker_id]
        given[0] += sign * amount.cpu_millis
        given[1] += sign * amount.memory_mib
        given[2] += sign * amount.accelerators
        if sign > 0 and not model.Resources(*given).fits_in(capacity):
            self.violations["capacity"] += 1
