"""Blames the end of an endpoint's process on the runs that may be its cause.

These are the runs that had just started. If tasks under suspicion are among
them, it is only these: nothing else is started beside them. Runs whose
starts are not known, as an earlier owner ordered them, are not blamed.
"""

from samphiregate.core.cells import _crash_counts
from samphiregate.core.cells import _work

GIVEN_UP_REASON = "endpoints crashed under one of its tasks"


def count_crash(cell_state, endpoint, bookings, now_ms):
    """Counts a crash of an endpoint for the tasks of the runs on it.

    Parameters
    ----------
    cell_state : CellState
    endpoint : Endpoint
    bookings : list of Booking
        Runs that had begun when it ended.
    now_ms : int
    """
    ended_ms = (
        endpoint.unreachable_since_ms if endpoint.failed_polls else now_ms
    )
    service = endpoint.registration.service
    failures = cell_state.endpoint_failures
    window_ms = failures.start_window_ms(
        service, cell_state.count_answering(service), now_ms
    )
    blamed = _blamed(cell_state, bookings, ended_ms, window_ms)
    if not any(map(_is_of_unknown_age, bookings)):
        tasks = [booking.task for booking in blamed]
        failures.record_crash(service, tasks, now_ms)
    for booking in bookings:
        task = booking.task
        task.crash_count = task.crash_count.after_crash(
            _run_ms(booking, ended_ms), at_start=booking in blamed
        )


def give_up_exhausted(cell_state, endpoint, bookings, now_ms):
    """Fails the jobs of tasks under which too many endpoints crashed."""
    service = endpoint.registration.service
    service_fails = cell_state.endpoint_failures.is_failing(
        service, cell_state.count_answering(service), now_ms
    )
    for booking in bookings:
        count = booking.task.crash_count
        exhausted = count.is_exhausted(service_fails=service_fails)
        if not exhausted or not booking.task.needs_run:
            continue
        cell_state.finish(
            booking.task.stage.entry,
            _work.JobState.FAILED,
            now_ms,
            task=booking.task.task_id.position,
            reason=GIVEN_UP_REASON,
            crashes=count.crashes,
            crashes_at_start=count.at_start,
        )


def _blamed(cell_state, bookings, ended_ms, window_ms):
    young = [
        one
        for one in bookings
        if not one.is_inherited and _run_ms(one, ended_ms) < window_ms
    ]
    suspects = [one for one in young if cell_state.trials.is_on_trial(one)]
    return suspects or young


def _is_of_unknown_age(booking):
    """Whether a run may have been started just before the takeover."""
    return (
        booking.is_inherited
        and booking.survived_ms < _crash_counts.SETTLED_RUN_MS
    )


def _run_ms(booking, ended_ms):
    """Returns how long a run may have worked at most."""
    return max(ended_ms - booking.sent_ms, 0)
