"""What callers lose by a preemption, and what they gain.

Both are work: the share of an endpoint that it takes, times milliseconds. A
job that is on time counts with all of its work.
"""

from samphiregate.core.cells import _order
from samphiregate.core.cells import _run_forecast


class PreemptionCosts:
    """Tells the work of jobs, and what the stop of a run would cost.

    Parameters
    ----------
    run_times : RunTimes
    capacity : Resources
        Of an endpoint that work is measured by.
    now_ms : int
    stop_ms : float
        How long a stop is expected to take. The time that a run takes to
        resume is not known; it is taken to be the same.
    delay_ms : float
        For how long the room is expected to be used by urgent work.

    Notes
    -----
    For the time of one plan, as it keeps what it has computed.
    """

    def __init__(self, *, run_times, capacity, now_ms, stop_ms, delay_ms):
        self._run_times = run_times
        self._capacity = capacity
        self._now_ms = now_ms
        self._stop_ms = stop_ms
        self._delay_ms = delay_ms
        self._work_by_job = {}
        self._left_ms_by_job = {}

    def job_work(self, entry):
        """Returns the work of all steps of a job, once."""
        job = entry.job
        work = self._work_by_job.get(job.job_id)
        if work is None:
            work = sum(
                step.count
                * self._share(step.demand)
                * self._run_times.expected_ms(job.queue, step)
                for step in job.steps
            )
            self._work_by_job[job.job_id] = work
        return work

    def path_ms(self, stage):
        """Returns the expected time from a start of a stage's tasks on.

        The longest chain of steps that begins with the stage, less the
        queries of the policy service for the stage itself.
        """
        job = stage.entry.job
        left_ms = self._left_ms_by_job.get(job.job_id)
        if left_ms is None:
            left_ms = _order.left_ms_by_step(job, self._run_times)
            self._left_ms_by_job[job.job_id] = left_ms
        return left_ms[stage.number] - _order.policy_query_ms(job.queue)

    def lost_work(self, booking):
        """Returns what the work thrown away by a stop costs callers.

        What its room does until the stop has ended is lost too, and so is
        the time to resume from the checkpoint that the stop leaves.
        """
        lost_ms = self._lost_ms(booking) + self._stop_ms
        work = self._share(booking.step.demand) * lost_ms
        return work * self.used_time_share(booking)

    def lost_core_ms(self, booking):
        """Returns the thrown away work in milliseconds of one core."""
        cores = booking.step.demand.cpu_millis / 1_000
        return cores * self._lost_ms(booking)

    def makes_late(self, booking):
        """Whether a stop makes the job of a run late, or its result useless.

        Not if it is expected to be so in any case.
        """
        stage = booking.task.stage
        left_ms = _run_forecast.end_ms(booking, self._now_ms)
        left_ms += self._after_ms(booking)
        again_ms = self._done_again_ms(booking)
        return _lateness(stage, again_ms) > _lateness(stage, left_ms)

    def used_time_share(self, booking):
        """Returns the share of its time that a job needs after a stop.

        At most 1. Callers who have time left lose little with lost room.
        """
        stage = booking.task.stage
        until_ms = self._done_again_ms(booking)
        span_ms = max(stage.due_ms - stage.began_ms, 1)
        return min((until_ms - stage.began_ms) / span_ms, 1.0)

    def _done_again_ms(self, booking):
        """Returns when the job is expected to end if a run is stopped."""
        return (
            self._now_ms
            + self._stop_ms
            + self._delay_ms
            + self._rerun_ms(booking)
            + self._after_ms(booking)
        )

    def _after_ms(self, booking):
        """Returns the expected time of the steps after the run's."""
        return self.path_ms(booking.task.stage) - self._run_ms(booking)

    def _lost_ms(self, booking):
        if booking.step.checkpoints:
            return self._stop_ms
        return _run_forecast.elapsed_ms(booking, self._now_ms)

    def _rerun_ms(self, booking):
        run_ms = self._run_ms(booking)
        if not booking.step.checkpoints:
            return run_ms
        return run_ms * (1 - booking.percent / 100) + self._stop_ms

    def _run_ms(self, booking):
        stage = booking.task.stage
        return self._run_times.expected_ms(stage.queue, stage.step)

    def _share(self, demand):
        return demand.dominant_share(self._capacity)


def _lateness(stage, done_ms):
    """Returns 0 if it is on time then, 1 if late, 2 if of no more use."""
    if done_ms <= stage.due_ms:
        return 0
    return 1 if done_ms <= stage.useful_until_ms else 2
