"""Releases the runs of an endpoint that are lost with it."""

import enum

from samphiregate.core.cells import _crash_attribution
from samphiregate.core.cells import _run_gaps
from samphiregate.core.cells import _tasks

# How long the runs of an endpoint whose lease has expired are remembered, to
# be counted if its process turns out to have ended.
LAPSE_MEMORY_MS = 30_000


class LossReason(enum.Enum):
    """Why the runs of an endpoint are known to have ended."""

    LEASE_EXPIRED = "its lease has expired"
    PROCESS_ENDED = "its process has ended"
    RESTARTED = "the endpoint has restarted"
    REGISTERED_AGAIN = "it was registered again after a restart"
    REPLACED = "another endpoint answers at its address"


def release_crashed_runs(cell_state, endpoint, reason, now_ms, lost=None):
    """Releases the runs of an endpoint whose process has ended.

    The end is counted for the tasks that ran there, also for those whose
    lease had expired before it was known. The planned end of an endpoint that
    drains is not counted.

    Parameters
    ----------
    cell_state : CellState
    endpoint : Endpoint
    reason : LossReason
    now_ms : int
    lost : list of Booking or None
        None for all runs of the endpoint.
    """
    if lost is None:
        lost = list(endpoint.bookings_by_run.values())
    counted = _begun(lost) + endpoint.lapsed_bookings
    clear_lapsed(endpoint)
    if endpoint.registration.draining:
        counted = []
    if counted:
        counted = _crash_attribution.attribute_crash(
            cell_state, endpoint, counted, now_ms
        )
    _release(cell_state, endpoint, lost, reason, now_ms)
    _crash_attribution.fail_crash_loops(cell_state, endpoint, counted)


def release_lapsed_runs(cell_state, endpoint, now_ms):
    """Releases the runs of an unreachable endpoint after lease expiry."""
    lost = list(endpoint.bookings_by_run.values())
    for booking in _begun(lost):
        add_lapsed(endpoint, booking, now_ms)
    _release(cell_state, endpoint, lost, LossReason.LEASE_EXPIRED, now_ms)


def add_lapsed(endpoint, booking, now_ms):
    """Remembers a run that was released as its lease had expired."""
    endpoint.lapsed_bookings.append(booking)
    endpoint.lapsed_ms = now_ms
    booking.task.lapsed_by_run[booking.run] = endpoint.endpoint_id


def clear_lapsed(endpoint):
    """Forgets the runs whose lease had expired."""
    for booking in endpoint.lapsed_bookings:
        booking.task.lapsed_by_run.pop(booking.run, None)
    endpoint.lapsed_bookings = []


def forget_old_lapsed(endpoint, now_ms):
    """Forgets them if that was `LAPSE_MEMORY_MS` ago."""
    if now_ms - endpoint.lapsed_ms >= LAPSE_MEMORY_MS:
        clear_lapsed(endpoint)


def _begun(bookings):
    planned = _tasks.RunState.PLANNED
    return [booking for booking in bookings if booking.state is not planned]


def _release(cell_state, endpoint, lost, reason, now_ms):
    if not lost:
        return
    begun = _begun(lost)
    for booking in begun:
        cell_state.run_times.add_censored(booking, endpoint)
    for booking in lost:
        cell_state.release(booking, has_begun=booking in begun)
        if booking.step.gang:
            cell_state.stop_gang(booking.task.stage, booking.run, now_ms)
    cell_state.runs_lost_by_reason[reason.value] += len(begun)
    cell_state.log_decision(
        "runs lost",
        endpoint=endpoint.endpoint_id,
        reason=reason.value,
        runs=len(lost),
        draining=endpoint.registration.draining,
        jobs=sorted({booking.task.task_id.job_id for booking in lost}),
        lost=_run_gaps.describe_runs(
            booking for booking in lost if booking.step.long_running
        ),
    )
    for booking in begun:
        _log_lost_run(cell_state, booking, reason, len(begun) - 1, now_ms)


def _log_lost_run(cell_state, booking, reason, beside_count, now_ms):
    """Logs one lost run, and how long its endpoint showed it at work."""
    cell_state.log_decision(
        "run lost",
        booking.task.task_id.job_id,
        task=booking.task.task_id.position,
        run=booking.run,
        endpoint=booking.endpoint_id,
        reason=reason.value,
        state=booking.state.value,
        survived_ms=booking.survived_ms,
        elapsed_ms=now_ms - booking.sent_ms,
        beside=beside_count,
        crashed_after_ms=booking.task.crash_history.run_ms,
    )
