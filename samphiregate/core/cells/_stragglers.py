"""Detects stragglers and slow endpoints.

Endpoints may be several times slower for a while, or tasks on them may stall.
New tasks then prefer other endpoints, a task without progress is stopped and
restarted elsewhere, and a speculative task gets a copy.

A few tasks take many times as long as others, wherever they run: a new run of
one of them from nothing ends later. So a run is moved or copied only as far
as its endpoint is the cause, which its other runs tell, and if a new run is
expected to end well before it. A step ends with its last task, so the last
ones go first, and few runs are moved at a time.
"""

import statistics

import attrs

from samphiregate.core.cells import _messages
from samphiregate.core.cells import _tasks

# Factors are multiples of the expected run time unless noted otherwise.
MOVE_AFTER_MS = 2_500
MOVE_AFTER_FACTOR = 1.2
MOVE_GAIN_FACTOR = 1.0
STALL_MS = 2_500
STALL_FACTOR = 0.1  # of the expected time; progress is reported in percent
COPY_AFTER_FACTOR = 1.2
COPY_AFTER_MS = 400
COPY_GAIN_FACTOR = 0.0
UNCONFIRMED_MS = 2_000  # longer than the interval between two polls
MIN_PERCENT = 5.0  # progress from which a run time can be extrapolated
# Of the runs of one check, those that may be moved.
MAX_MOVED_SHARE = 0.02
MIN_MOVED_COUNT = 4
LONG_TASK_PROBABILITY = 0.99
# A run this many times longer than tasks of its image take is not one of its
# long tasks.
LONG_TASK_MARGIN = 1.5
SMOOTHING_FACTOR = 0.4
SLOWNESS_HALF_LIFE_MS = 3_000
TOLERATED_SLOWNESS = 1.5


@attrs.define
class _Slowness:
    slowness: float = 1.0
    updated_ms: int = 0


class SlownessEstimator:
    """Estimates how many times longer than expected an endpoint's runs take.

    The estimate is smoothed exponentially and decays towards 1, so that slow
    endpoints are used again after a while.
    """

    def __init__(self):
        self._estimate_by_id = {}

    def add_run(self, endpoint_id, elapsed_ms, expected_ms, now_ms):
        """Updates the estimate from a run.

        Parameters
        ----------
        endpoint_id : str
        elapsed_ms : int
            Run time, so far if the run has not ended.
        expected_ms : float
        now_ms : int
        """
        estimate = self._estimate_by_id.setdefault(
            endpoint_id, _Slowness(1.0, now_ms)
        )
        decayed = self.slowness(endpoint_id, now_ms)
        observed = elapsed_ms / max(expected_ms, 1)
        estimate.slowness = decayed + SMOOTHING_FACTOR * (observed - decayed)
        estimate.updated_ms = now_ms

    def slowness(self, endpoint_id, now_ms):
        """Returns the current estimate, 1 for an endpoint of usual speed."""
        estimate = self._estimate_by_id.get(endpoint_id)
        if estimate is None:
            return 1.0
        age_ms = now_ms - estimate.updated_ms
        return 1.0 + (estimate.slowness - 1.0) * 0.5 ** (
            age_ms / SLOWNESS_HALF_LIFE_MS
        )

    def has_run_since(self, endpoint_id, since_ms):
        """Whether the estimate contains a run that ended since a time."""
        estimate = self._estimate_by_id.get(endpoint_id)
        return estimate is not None and estimate.updated_ms > since_ms

    def penalty(self, endpoint_id, now_ms):
        """Returns the penalty that placement adds to an endpoint's cost."""
        return max(
            self.slowness(endpoint_id, now_ms) - TOLERATED_SLOWNESS, 0.0
        )


class StragglerDetector:
    """Detects slow runs from the progress that endpoints report.

    Parameters
    ----------
    cell_state : CellState
    slowness_estimator : SlownessEstimator
        Updated from runs that end as done or are stopped as slow.
    """

    def __init__(self, *, cell_state, slowness_estimator):
        self._cell_state = cell_state
        self._slowness_estimator = slowness_estimator
        # For the time of one check, by stage and endpoint id.
        self._expected_by_key = {}

    def apply_poll(self, event, expected_runs, now_ms):
        """Updates the slowness of an endpoint from the runs that ended.

        Parameters
        ----------
        event : EndpointPolled
        expected_runs : dict
            Bookings of the endpoint before the poll was applied, keyed by
            task id and run number. Other runs are ignored.
        now_ms : int
        """
        for row in event.ended:
            booking = expected_runs.get((row.task_id, row.run))
            if booking is None or row.reason is not _messages.EndReason.DONE:
                continue
            self._record_slowness(booking, now_ms)

    def stop_slow_runs(self, now_ms):
        """Stops runs that would end earlier if restarted elsewhere."""
        self._expected_by_key = {}
        running_count = 0
        slow = []
        for endpoint in self._cell_state.endpoint_by_id.values():
            running = endpoint.bookings_in(_tasks.RunState.RUNNING)
            running_count += len(running)
            slow += [
                one
                for one in running
                if self.should_move(one, now_ms)
                and self._may_restart(one, endpoint)
            ]
        slow.sort(key=_tasks_left)
        most = max(MIN_MOVED_COUNT, round(MAX_MOVED_SHARE * running_count))
        for booking in slow[:most]:
            self._cell_state.log_decision(
                "slow run stopped",
                booking.task.task_id.job_id,
                task=booking.task.task_id.position,
                run=booking.run,
                endpoint=booking.endpoint_id,
                percent=booking.percent,
                elapsed_ms=now_ms - booking.sent_ms,
                expected_ms=round(self._expected_ms(booking)),
            )
            self._record_slowness(booking, now_ms)
            booking.task.was_moved = True
            self._cell_state.stop(booking, now_ms)

    def _may_restart(self, booking, endpoint):
        """Whether there is room for a run that is stopped.

        Its own room is of use, unless the data centre is drained.
        """
        cell_state = self._cell_state
        return cell_state.drained_data_centres.accepts(endpoint) or any(
            other.registration.service == endpoint.registration.service
            and cell_state.accepts_starts(other)
            and booking.step.booked.fits_in(other.free)
            for other in cell_state.endpoint_by_id.values()
        )

    def _record_slowness(self, booking, now_ms):
        """Records a run as far as its endpoint is the cause of its time."""
        elapsed_ms = now_ms - booking.sent_ms
        expected_ms = max(self._expected_ms(booking), booking.expected_ms)
        ratio = elapsed_ms / max(expected_ms, 1)
        if ratio > TOLERATED_SLOWNESS:
            cause = self._endpoint_cause(booking, ratio, now_ms)
            elapsed_ms = min(ratio, max(cause, 1.0)) * expected_ms
        self._slowness_estimator.add_run(
            booking.endpoint_id, elapsed_ms, expected_ms, now_ms
        )

    def should_move(self, booking, now_ms):
        """Whether a new run elsewhere is expected to end well before this one.

        For a run that resumed from a checkpoint, only the time since the
        resumption is counted.
        """
        step = booking.step
        if step.gang or not _can_be_measured(booking):
            return False
        if len(booking.task.bookings_by_run) > 1:
            # A copy is at work elsewhere.
            return False
        elapsed_ms = booking.confirmed_ms - booking.sent_ms
        if elapsed_ms < MOVE_AFTER_MS:
            return False
        expected_ms = self._expected_ms(booking)
        if elapsed_ms < expected_ms * MOVE_AFTER_FACTOR:
            return False
        gain_ms = _remaining_ms(booking, now_ms) - self._new_run_ms(
            booking, now_ms
        )
        return gain_ms > expected_ms * MOVE_GAIN_FACTOR

    def should_copy(self, task, now_ms):
        """Whether a copy of a task is expected to end before its only run."""
        if not task.stage.step.speculative or not task.needs_run:
            return False
        if len(task.bookings_by_run) != 1 or task.crash_history.run_ms:
            return False
        booking = next(iter(task.bookings_by_run.values()))
        if not _can_be_measured(booking):
            return False
        expected_ms = self._expected_ms(booking)
        copy_after_ms = expected_ms * COPY_AFTER_FACTOR + COPY_AFTER_MS
        is_unconfirmed = now_ms - booking.confirmed_ms > UNCONFIRMED_MS
        until_ms = now_ms if is_unconfirmed else booking.confirmed_ms
        if until_ms - booking.sent_ms < copy_after_ms:
            return False
        if is_unconfirmed:
            return True
        gain_ms = _remaining_ms(booking, now_ms) - self._new_run_ms(
            booking, now_ms
        )
        return gain_ms > expected_ms * COPY_GAIN_FACTOR

    def _expected_ms(self, booking):
        """Returns the expected time of a run on another endpoint.

        On one that is as near to the data as its own.
        """
        cell_state = self._cell_state
        key = (booking.task.stage, booking.endpoint_id)
        near_ms = self._expected_by_key.get(key)
        if near_ms is None:
            near_ms = cell_state.run_times.expected_elsewhere_ms(*key)
            self._expected_by_key[key] = near_ms
        endpoint = cell_state.endpoint_by_id[booking.endpoint_id]
        return near_ms * cell_state.locality.factor(booking.step, endpoint)

    def _new_run_ms(self, booking, now_ms):
        """Returns the expected time of a new run of a task elsewhere.

        That is what this run takes in all, less what its endpoint is the
        cause of. A new run goes on from a checkpoint if there is one.
        """
        expected_ms = self._expected_ms(booking)
        if _has_stalled(booking, now_ms):
            return expected_ms
        total_ms = _projected_ms(booking)
        own_ratio = max(total_ms / expected_ms, 1.0)
        cause = self._endpoint_cause(booking, own_ratio, now_ms)
        new_ms = total_ms / min(max(cause, 1.0), own_ratio)
        if booking.step.checkpoints and booking.task.saved:
            new_ms *= 1 - booking.percent / 100
        return new_ms

    def _endpoint_cause(self, booking, own_ratio, now_ms):
        """Returns how many times as long the endpoint makes a run last.

        As its other runs show, at work or ended meanwhile. Without any, it is
        the endpoint unless the task was slow elsewhere too, or tasks of the
        image are known to take as long as this one.
        """
        run_times = self._cell_state.run_times
        endpoint = self._cell_state.endpoint_by_id[booking.endpoint_id]
        ratios = [
            _projected_ms(other) / self._expected_ms(other)
            for other in endpoint.bookings_in(_tasks.RunState.RUNNING)
            if other is not booking and _tells_speed(other)
        ]
        if ratios:
            return statistics.median(ratios)
        lasting = run_times.speeds.time_factor(endpoint)
        if booking.task.was_moved:
            return lasting
        passing = self._slowness_estimator.slowness(
            booking.endpoint_id, now_ms
        )
        if passing > TOLERATED_SLOWNESS:
            return lasting * passing
        if self._slowness_estimator.has_run_since(
            booking.endpoint_id, booking.sent_ms
        ):
            return lasting
        longest = run_times.tail_ratio(
            booking.task.stage, LONG_TASK_PROBABILITY
        )
        if own_ratio > longest * LONG_TASK_MARGIN:
            return own_ratio
        return lasting


def _tasks_left(booking):
    """Returns how many tasks of a run's step are not done."""
    stage = booking.task.stage
    return len(stage.tasks) - stage.done_count


def _can_be_measured(booking):
    return (
        booking.state is _tasks.RunState.RUNNING
        and not booking.step.long_running
        and booking.confirmed_ms is not None
    )


def _tells_speed(booking):
    """Whether the progress of a run tells how fast its endpoint is."""
    return (
        _can_be_measured(booking)
        and not booking.is_resumed
        and not booking.is_inherited
        and booking.percent >= MIN_PERCENT
    )


def _projected_ms(booking):
    """Returns the whole time of a run, extrapolated from its progress."""
    percent = max(booking.percent, 0.1)
    return (booking.confirmed_ms - booking.sent_ms) * 100 / percent


def _has_stalled(booking, now_ms):
    stalled_ms = now_ms - (booking.progressed_ms or booking.sent_ms)
    return stalled_ms > STALL_MS + booking.expected_ms * STALL_FACTOR


def _remaining_ms(booking, now_ms):
    """Returns the remaining time of a run, extrapolated from its progress.

    Infinite if the run has stalled.
    """
    if _has_stalled(booking, now_ms):
        return float("inf")
    return _projected_ms(booking) * (1 - booking.percent / 100)
