"""Counts the end of an endpoint's process for the tasks that ran there.

If suspected tasks are tried there, it is counted for these only: nothing
else was started beside them.
"""

from samphiregate.core.cells import _crash_history
from samphiregate.core.cells import _work

GIVEN_UP_REASON = "endpoints crashed under one of its tasks"
# Assumed of a run that an earlier owner ordered at a time that is not known.
INHERITED_RUN_MS = 3_000


def attribute_crash(cell_state, endpoint, bookings, now_ms):
    """Counts a crash of an endpoint for the tasks of the runs on it.

    Parameters
    ----------
    cell_state : CellState
    endpoint : Endpoint
    bookings : list of Booking
        Runs that had begun when it ended.
    now_ms : int

    Returns
    -------
    list of Booking
        Those for which it is counted.
    """
    isolated = list(filter(cell_state.isolated_runs.contains, bookings))
    counted = isolated or bookings
    if not any(map(_is_of_unknown_age, bookings)):
        cell_state.endpoint_failures.record_crash(
            endpoint.registration.service,
            [booking.task for booking in counted],
            now_ms,
        )
    ended_ms = (
        endpoint.unreachable_since_ms if endpoint.failed_polls else now_ms
    )
    for booking in counted:
        task = booking.task
        task.crash_history = task.crash_history.after_crash(
            _run_ms(booking, ended_ms)
        )
        cell_state.isolated_runs.note_crash(cell_state, task)
    return counted


def fail_crash_loops(cell_state, endpoint, bookings):
    """Fails the jobs of tasks that end their endpoints' processes."""
    rate = cell_state.failures_per_s(endpoint.registration.service)
    for booking in bookings:
        task = booking.task
        if not task.needs_run or not task.crash_history.is_crash_loop(rate):
            continue
        cell_state.finish(
            task.stage.entry,
            _work.JobState.FAILED,
            cell_state.now_ms,
            task=task.task_id.position,
            reason=GIVEN_UP_REASON,
            crashes=len(task.crash_history.run_ms),
            crashed_after_ms=task.crash_history.run_ms,
        )


def _run_ms(booking, ended_ms):
    """Returns how long a run may have worked at most."""
    run_ms = max(ended_ms - booking.sent_ms, 0)
    if booking.is_inherited:
        return max(run_ms, INHERITED_RUN_MS)
    return run_ms


def _is_of_unknown_age(booking):
    """Whether a run may have been started just before the takeover."""
    return (
        booking.is_inherited
        and booking.survived_ms < _crash_history.SETTLED_RUN_MS
    )
