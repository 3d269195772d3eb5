"""Tasks that take much longer than expected, and endpoints that are slow.

Answers the load of endpoints that work several times slower for a while, or
on which tasks stand still: new tasks go elsewhere first, a task that makes
no progress is stopped and started elsewhere, and one that may run in copies
gets a copy. Estimates are rough, and whole jobs take several times as long
as theirs: so a run is measured by how its step fares on other endpoints,
and moved only if a fresh run there would surely end before it.
"""

import attrs

from samphiregate.core.cells import _messages
from samphiregate.core.cells import _tasks

MOVE_AFTER_MS = 2_500  # of a run, before it can be moved
MOVE_AFTER_FACTOR = 1.2  # of what is expected of a run, likewise
MOVE_REMAINING_FACTOR = (
    2.0  # what is left of a run, in runs as they are expected
)
STALL_MS = 2_500  # without progress
STALL_FACTOR = 0.1  # of the estimate; progress is listed in percent
COPY_AFTER_FACTOR = 1.2  # of what is expected of a run
COPY_AFTER_MS = 400
COPY_REMAINING_FACTOR = 1.0
UNCONFIRMED_MS = 2_000  # without news of a run; looks come oftener
MIN_PERCENT = 5.0  # before progress tells how long a run will take
SMOOTHING_FACTOR = 0.4
SLOWNESS_HALF_LIFE_MS = 3_000
TOLERATED_SLOWNESS = 1.5


@attrs.define
class _Slowness:
    slowness: float = 1.0
    updated_ms: int = 0


class SlownessEstimator:
    """Learns by which factor tasks of an endpoint take longer than expected.

    What was learnt fades, so that an endpoint is tried again.
    """

    def __init__(self):
        self._estimate_by_id = {}

    def add_run(self, endpoint_id, elapsed_ms, expected_ms, now_ms):
        """Notes a run that took `elapsed_ms`, or has taken it so far."""
        estimate = self._estimate_by_id.setdefault(
            endpoint_id, _Slowness(1.0, now_ms)
        )
        decayed = self.slowness(endpoint_id, now_ms)
        observed = elapsed_ms / max(expected_ms, 1)
        estimate.slowness = decayed + SMOOTHING_FACTOR * (observed - decayed)
        estimate.updated_ms = now_ms

    def slowness(self, endpoint_id, now_ms):
        """Returns the factor that is expected now; about 1 as a rule."""
        estimate = self._estimate_by_id.get(endpoint_id)
        if estimate is None:
            return 1.0
        age_ms = now_ms - estimate.updated_ms
        return 1.0 + (estimate.slowness - 1.0) * 0.5 ** (
            age_ms / SLOWNESS_HALF_LIFE_MS
        )

    def penalty(self, endpoint_id, now_ms):
        """Returns what placement adds to the cost of an endpoint."""
        return max(
            self.slowness(endpoint_id, now_ms) - TOLERATED_SLOWNESS, 0.0
        )


class StragglerDetector:
    """Finds slow runs from what endpoints list, and moves them.

    Parameters
    ----------
    book : Book
    speeds : SpeedMeter
        Learns from the runs that end, or are moved.
    """

    def __init__(self, *, cell_state, slowness_estimator):
        self._cell_state = cell_state
        self._slowness_estimator = slowness_estimator

    def apply_poll(self, event, before, now_ms):
        """Takes in how far runs got.

        Parameters
        ----------
        event : EndpointLooked
        before : dict
            The endpoint's bookings by run, before the ends were taken in.
        now_ms : int
        """
        for row in event.running:
            booking = before.get((row.task_id, row.run))
            if booking is not None:
                _record_progress(booking, row.percent, now_ms)
        for row in event.ended:
            booking = before.get((row.task_id, row.run))
            if booking is None or row.reason is not _messages.EndReason.DONE:
                continue
            _record_progress(booking, 100.0, now_ms)
            self._record_slowness(booking, now_ms)

    def stop_slow_runs(self, now_ms):
        """Stops runs that a fresh one elsewhere would surely overtake."""
        for endpoint in self._cell_state.endpoint_by_id.values():
            for booking in endpoint.bookings_in(_tasks.RunState.RUNNING):
                if not should_move(booking, now_ms):
                    continue
                self._cell_state.log_decision(
                    "slow run stopped",
                    booking.task.task_id.job_id,
                    run=booking.run,
                    endpoint=endpoint.endpoint_id,
                    percent=booking.percent,
                    elapsed_ms=now_ms - booking.sent_ms,
                    expected_ms=round(expected_ms(booking)),
                )
                self._record_slowness(booking, now_ms)
                self._cell_state.stop(booking, now_ms)

    def _record_slowness(self, booking, now_ms):
        self._slowness_estimator.add_run(
            booking.endpoint_id,
            now_ms - booking.sent_ms,
            expected_ms(booking),
            now_ms,
        )


def expected_ms(booking):
    """Returns how long a run of the same step takes on other endpoints."""
    stage = booking.task.stage
    elsewhere = [
        whole_ms
        for endpoint_id, whole_ms in stage.min_run_ms_by_endpoint.items()
        if endpoint_id != booking.endpoint_id
    ]
    return max(stage.step.estimate_ms, min(elsewhere, default=0))


def should_move(booking, now_ms):
    """Whether a fresh run elsewhere would surely end before this one.

    A run that resumed from a checkpoint counts from its start there.
    """
    step = booking.step
    if step.gang or not _can_be_measured(booking):
        return False
    elapsed_ms = booking.confirmed_ms - booking.sent_ms
    if elapsed_ms < MOVE_AFTER_MS:
        return False
    usual_ms = expected_ms(booking)
    if elapsed_ms < usual_ms * MOVE_AFTER_FACTOR:
        return False
    return _remaining_ms(booking, now_ms) > usual_ms * MOVE_REMAINING_FACTOR


def should_copy(task, now_ms):
    """Whether a copy of a task would probably end before its only run."""
    if not task.stage.step.speculative or len(task.bookings_by_run) != 1:
        return False
    booking = next(iter(task.bookings_by_run.values()))
    if not _can_be_measured(booking):
        return False
    usual_ms = expected_ms(booking)
    due_ms = usual_ms * COPY_AFTER_FACTOR + COPY_AFTER_MS
    is_unconfirmed = now_ms - booking.confirmed_ms > UNCONFIRMED_MS
    until_ms = now_ms if is_unconfirmed else booking.confirmed_ms
    if until_ms - booking.sent_ms < due_ms:
        return False
    return (
        is_unconfirmed
        or _remaining_ms(booking, now_ms) > usual_ms * COPY_REMAINING_FACTOR
    )


def _can_be_measured(booking):
    return (
        booking.state is _tasks.RunState.RUNNING
        and not booking.step.long_running
        and booking.confirmed_ms is not None
    )


def _remaining_ms(booking, now_ms):
    """Returns how much longer a run takes if it goes on as it did."""
    step = booking.step
    stalled_ms = now_ms - (booking.progressed_ms or booking.sent_ms)
    if stalled_ms > STALL_MS + step.estimate_ms * STALL_FACTOR:
        return float("inf")
    percent = max(booking.percent, 0.1)
    elapsed_ms = booking.confirmed_ms - booking.sent_ms
    return elapsed_ms * (100 - percent) / percent


def _record_progress(booking, percent, now_ms):
    """Notes what a whole run of the step takes on the run's endpoint."""
    if percent < MIN_PERCENT or booking.step.long_running:
        return
    whole_ms = (now_ms - booking.sent_ms) * 100 / percent
    shortest_ms = booking.task.stage.min_run_ms_by_endpoint
    endpoint_id = booking.endpoint_id
    shortest_ms[endpoint_id] = min(
        shortest_ms.get(endpoint_id, whole_ms), whole_ms
    )
