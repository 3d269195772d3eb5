"""Releases the runs of an endpoint that are lost with it."""

import enum

from samphiregate.core.cells import _run_gaps
from samphiregate.core.cells import _tasks


class LossReason(enum.Enum):
    """Why the runs of an endpoint are known to have ended."""

    LEASE_EXPIRED = "its lease has expired"
    PROCESS_ENDED = "its process has ended"
    RESTARTED = "the endpoint has restarted"
    REGISTERED_AGAIN = "it was registered again after a restart"
    REPLACED = "another endpoint answers at its address"


def release_lost_runs(cell_state, endpoint, reason, now_ms):
    """Releases all runs of an endpoint as ended without a result.

    Parameters
    ----------
    cell_state : CellState
    endpoint : Endpoint
    reason : LossReason
    now_ms : int
    """
    lost = list(endpoint.bookings_by_run.values())
    if not lost:
        return
    begun = [one for one in lost if one.state is not _tasks.RunState.PLANNED]
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
    )
