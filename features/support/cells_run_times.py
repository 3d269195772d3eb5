"""Simulations of cells whose estimates, tasks and endpoints are uneven."""

import math
import random

from features.support import cells
from features.support import cells_work

STRETCH = 2.0
TARGET_MS = 400


class RunTimeSimulation(cells.CellSimulation):
    """A cell whose tasks take other times than their estimates say.

    Attributes
    ----------
    usual_ms_by_job : dict
        What a task of a job takes on an endpoint of usual speed.
    tail_share, tail_factor : float
        Share of tasks that take longer by a factor, wherever they run.
    submitted_ms_by_job : dict
    """

    def __init__(self, seed=0):
        super().__init__(seed)
        self.usual_ms_by_job = {}
        self.tail_share = 0.0
        self.tail_factor = 1.0
        self.submitted_ms_by_job = {}
        self._seed = seed

    def submit_uneven(self, job, usual_ms):
        """Submits a job of which a task takes `usual_ms`."""
        self.usual_ms_by_job[job.job_id] = usual_ms
        self.submitted_ms_by_job[job.job_id] = self.now_ms
        self.submit(job)

    def work_ms(self, task_id):
        """See `CellSimulation.work_ms`; the same for each run of a task."""
        usual_ms = self.usual_ms_by_job[task_id.job_id]
        return usual_ms * self.tail_factor_of(task_id)

    def tail_factor_of(self, task_id):
        """Returns how many times as long as usual a task takes."""
        own = random.Random(f"{self._seed} {task_id.job_id} {task_id.index}")
        if own.random() < self.tail_share:
            return self.tail_factor
        return 1.0

    def elapsed_ms(self, job_id):
        """Returns how long a caller has waited for a job until now."""
        done_ms = self.done_ms_by_job.get(job_id, self.now_ms)
        return done_ms - self.submitted_ms_by_job[job_id]

    def is_on_time(self, job_id):
        """Whether a job was done within its objective, by what it takes."""
        job = self.job_by_id[job_id]
        usual_ms = self.usual_ms_by_job[job_id] * len(job.steps)
        objective_ms = job.queue.stretch * usual_ms + job.queue.target_ms
        return (
            job_id in self.done_ms_by_job
            and self.elapsed_ms(job_id) <= objective_ms
        )

    def share_on_time(self, job_ids):
        """Returns the share of jobs that were on time."""
        on_time = [self.is_on_time(job_id) for job_id in job_ids]
        return sum(on_time) / len(on_time)

    def change_speed(self, endpoint, slowness):
        """Changes the speed of an endpoint, also for the runs it has."""
        factor = slowness / endpoint.slowness
        endpoint.slowness = slowness
        for run in endpoint.run_by_key.values():
            share = min(run.percent(self.now_ms) / 100, 0.999)
            left_ms = (run.ends_ms - self.now_ms) * factor
            if math.isinf(left_ms):
                continue
            run.ends_ms = self.now_ms + left_ms
            run.started_ms = run.ends_ms - left_ms / (1 - share)

    def slow_down(self, endpoint, slowness, span_ms):
        """Makes an endpoint slower for a time."""
        usual = endpoint.slowness
        self.change_speed(endpoint, usual * slowness)
        self.at(span_ms, lambda: self.change_speed(endpoint, usual))


def make_job(job_id, image, count, estimate_ms, *, speculative=False, **queue):
    """Returns a job of one step."""
    step = cells_work.make_step(
        count,
        estimate_ms=estimate_ms,
        image=image,
        speculative=speculative,
    )
    options = {"stretch": STRETCH, "target_ms": TARGET_MS, **queue}
    return cells_work.make_job(job_id, step, **options)
