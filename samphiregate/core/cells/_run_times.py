"""Expected run times of tasks, learned from those that ran.

The load that this answers: estimates that are off by half or more, tasks of
which a few take many times as long as others, and steps wider than the room,
whose first tasks show how long the others take. The caller's estimate is
what is expected as long as nothing is known; how much it is worth beside
what is known is learned for each image, or for each queue where tasks have
no image.

All that is learned is an estimate and is kept in memory: an owner that has
just taken over goes by the callers' estimates, as if it had seen nothing.
"""

import collections
import math

import attrs

from samphiregate.core.cells import _data_locality
from samphiregate.core.cells import _endpoint_speeds
from samphiregate.core.cells import _messages
from samphiregate.core.cells import _run_history
from samphiregate.core.cells import _run_samples
from samphiregate.core.cells import _tasks

MAX_ESTIMATE_MS = 10**9  # eleven days
MAX_HISTORIES = 256  # the least recently used one makes room
MIN_PERCENT = 10.0  # progress from which a run time is extrapolated
PROGRESS_INTERVAL_MS = 500  # between two looks at the progress of a stage


@attrs.define
class ErrorTotals:
    """Errors of estimates and of expected times, as sums of logarithms."""

    count: int = 0
    estimate: float = 0.0
    expected: float = 0.0

    def add(self, ran_ms, estimate_ms, expected_ms):
        """Adds a run that ended as done."""
        self.count += 1
        self.estimate += abs(math.log(ran_ms / max(estimate_ms, 1)))
        self.expected += abs(math.log(ran_ms / max(expected_ms, 1)))


class RunTimes:
    """Tells how long runs of a step's tasks are expected to take.

    Parameters
    ----------
    locality : DataLocality
        How much longer runs take far from their data.

    Attributes
    ----------
    speeds : EndpointSpeeds
    errors_by_queue : dict
        `ErrorTotals` of the runs that ended since they were last logged.
    """

    def __init__(self, *, locality=_data_locality.DataLocality()):
        self._locality = locality
        self.speeds = _endpoint_speeds.EndpointSpeeds()
        self._history_by_kind = collections.OrderedDict()
        self.errors_by_queue = collections.defaultdict(ErrorTotals)

    def expected_ms(self, queue, step, endpoint=None):
        """Returns the expected time of a run, in milliseconds.

        Parameters
        ----------
        queue : Queue
        step : Step
        endpoint : Endpoint or None
            Where the run is; None for one of usual speed, near the data.
        """
        usual_ms = math.exp(self._expected_log(queue, step))
        return usual_ms * self.time_factor(step, endpoint)

    def expected_stage_ms(self, stage, endpoint=None):
        """As `expected_ms`, from the stage's own runs too."""
        expected = self._expected_log(stage.queue, stage.step)
        median = stage.run_sample.median()
        if median is not None:
            count = len(stage.run_sample.run_time_by_index)
            expected = self._combined_log(stage, expected, median, count)
        return math.exp(expected) * self.time_factor(stage.step, endpoint)

    def expected_elsewhere_ms(self, stage, endpoint_id):
        """As `expected_stage_ms`, without the runs of one endpoint.

        What is expected on other endpoints of usual speed, if it is not
        known whether this one is slow.
        """
        expected = self._expected_log(stage.queue, stage.step)
        sample = stage.run_sample
        median, count = sample.median_elsewhere(endpoint_id)
        if median is not None:
            expected = self._combined_log(stage, expected, median, count)
        return math.exp(expected)

    def time_factor(self, step, endpoint):
        """Returns how many times the usual time runs take on an endpoint."""
        if endpoint is None:
            return 1.0
        speed_factor = self.speeds.time_factor(endpoint)
        return speed_factor * self._locality.factor(step, endpoint)

    def tail_ratio(self, stage, probability):
        """Returns a quantile of run times against what was expected."""
        tail = self._history(stage.queue, stage.step).tail
        return tail.quantile(probability)

    def _expected_log(self, queue, step):
        estimate = math.log(min(max(step.estimate_ms, 1), MAX_ESTIMATE_MS))
        history = self._history_by_kind.get(_kind_of(queue, step))
        if history is None:
            return estimate
        return history.fit().expected(estimate)

    def _combined_log(self, stage, expected, median, count):
        """Returns the expected time with the median of `count` runs."""
        observed = math.log(max(median.ms, 1))
        if median.is_bound:
            return max(expected, observed)
        weight = self._history(stage.queue, stage.step).fit().estimate_weight
        return (weight * expected + count * observed) / (weight + count)

    def _history(self, queue, step):
        kind = _kind_of(queue, step)
        history = self._history_by_kind.get(kind)
        if history is None:
            history = _run_history.RunHistory()
            self._history_by_kind[kind] = history
            if len(self._history_by_kind) > MAX_HISTORIES:
                self._history_by_kind.popitem(last=False)
        else:
            self._history_by_kind.move_to_end(kind)
        return history

    # Learning

    def apply_poll(self, endpoint, event, expected_runs, now_ms):
        """Learns from the runs that a poll returned.

        Parameters
        ----------
        endpoint : Endpoint
        event : EndpointPolled
        expected_runs : dict
            Bookings of the endpoint before the poll was applied, keyed by
            task id and run number. Other runs are ignored.
        now_ms : int
        """
        for row in event.running:
            booking = expected_runs.get((row.task_id, row.run))
            if booking is not None and _is_working(booking):
                self._add_progress(booking, endpoint, row.percent, now_ms)
        for row in event.ended:
            booking = expected_runs.get((row.task_id, row.run))
            if booking is None or not _is_measured(booking):
                continue
            if row.reason is _messages.EndReason.DONE:
                self._add_done(booking, endpoint, now_ms)
            else:
                self.add_censored(booking, endpoint)

    def add_censored(self, booking, endpoint):
        """Learns from a run that was stopped or lost, or has failed."""
        if not _is_measured(booking) or booking.confirmed_ms is None:
            return
        lasted_ms = booking.confirmed_ms - booking.sent_ms
        bound_ms = lasted_ms / self.time_factor(booking.step, endpoint)
        if bound_ms <= 0:
            return
        stage = booking.task.stage
        ratio = bound_ms / self.expected_elsewhere_ms(
            stage, booking.endpoint_id
        )
        history = self._history(stage.queue, stage.step)
        history.tail.add_censored(ratio, _run_history.MAX_TAIL_RUNS)
        self._add_to_stage(booking, endpoint, bound_ms, is_bound=True)
        self._update_history(stage)

    def _add_progress(self, booking, endpoint, percent, now_ms):
        elapsed_ms = (now_ms - booking.sent_ms) / self.time_factor(
            booking.step, endpoint
        )
        if elapsed_ms <= 0:
            return
        is_bound = percent < MIN_PERCENT
        ms = elapsed_ms if is_bound else elapsed_ms * 100 / percent
        self._add_to_stage(booking, endpoint, ms, is_bound=is_bound)
        stage = booking.task.stage
        if now_ms >= stage.next_progress_ms:
            stage.next_progress_ms = now_ms + PROGRESS_INTERVAL_MS
            self._update_history(stage)

    def _add_done(self, booking, endpoint, now_ms):
        stage = booking.task.stage
        ran_ms = max(now_ms - booking.sent_ms, 1)
        self.errors_by_queue[stage.queue.name].add(
            ran_ms, booking.step.estimate_ms, booking.expected_ms
        )
        expected_ms = self.expected_elsewhere_ms(stage, booking.endpoint_id)
        usual_ms = ran_ms / self.time_factor(booking.step, endpoint)
        if not booking.step.gang and not _is_far(booking, endpoint):
            self.speeds.add_run(endpoint, ran_ms / expected_ms, now_ms)
        history = self._history(stage.queue, stage.step)
        history.tail.add(usual_ms / expected_ms, _run_history.MAX_TAIL_RUNS)
        self._add_to_stage(booking, endpoint, usual_ms)
        self._update_history(stage)

    def _add_to_stage(self, booking, endpoint, ms, *, is_bound=False):
        if _is_far(booking, endpoint) and not self._locality.matters:
            # It is not known how much longer it takes there.
            return
        index = 0 if booking.step.gang else booking.task.task_id.index
        run_time = _run_samples.RunTime(ms, is_bound, endpoint.endpoint_id)
        booking.task.stage.run_sample.add(index, run_time)

    def _update_history(self, stage):
        """Adds a stage to what is known of its image or queue."""
        if stage.run_sample.median() is None:
            return
        self._history(stage.queue, stage.step).add_stage(
            (stage.entry.job.job_id, stage.key),
            stage.step.estimate_ms,
            stage.run_sample,
        )


def _kind_of(queue, step):
    """Returns what runs that behave alike have in common."""
    return (queue.service, step.image, "" if step.image else queue.name)


def _is_far(booking, endpoint):
    return bool(booking.step.rack) and endpoint.rack != booking.step.rack


def _is_working(booking):
    """Whether the progress of a run tells its whole time.

    One that is being stopped no longer works.
    """
    return (
        _is_measured(booking) and booking.state is not _tasks.RunState.STOPPING
    )


def _is_measured(booking):
    """Whether the run is one whose whole time is seen.

    A gang with members away from its place tells little of its usual time.
    """
    return not (
        booking.step.long_running
        or booking.is_inherited
        or booking.is_resumed
        or booking.gang_factor > 1.0
    )
