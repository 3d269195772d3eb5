"""Checks of a cell that are made at intervals, not after each event."""

from samphiregate.core.cells import _losses
from samphiregate.core.cells import _occurrences
from samphiregate.core.cells import _tasks

SILENT_AFTER_MS = 100  # without an answer to the first poll


def release_expired(cell_state, now_ms):
    """Releases the runs of unreachable endpoints after lease expiry."""
    for endpoint in list(cell_state.endpoint_by_id.values()):
        lease_expired = (
            endpoint.failed_polls
            and endpoint.bookings_by_run
            and endpoint.lease_ends_ms <= now_ms
        )
        if lease_expired:
            _losses.release_lapsed_runs(cell_state, endpoint, now_ms)
        _losses.forget_old_lapsed(endpoint, now_ms)
        cell_state.remove_if_idle(endpoint)


def update_occurrences(cell_state, now_ms, unix_ms):
    """Updates the occurrences of recurring jobs."""
    for entry in cell_state.entry_by_id.values():
        _occurrences.update(cell_state, entry, now_ms, unix_ms)


def move_off_draining(cell_state, now_ms):
    """Stops runs on draining endpoints that would not end in time."""
    for endpoint in cell_state.endpoint_by_id.values():
        if not endpoint.registration.draining:
            continue
        for booking in endpoint.bookings_in(_tasks.RunState.RUNNING):
            if _outlasts_endpoint(booking, endpoint, now_ms):
                cell_state.log_decision(
                    "run moved off",
                    booking.task.task_id.job_id,
                    task=booking.task.task_id.position,
                    run=booking.run,
                    endpoint=endpoint.endpoint_id,
                )
                cell_state.stop(booking, now_ms)


def _outlasts_endpoint(booking, endpoint, now_ms):
    """Whether a run will probably not end before its endpoint leaves."""
    if booking.step.long_running:
        return True
    ends_ms = booking.sent_ms + booking.expected_ms
    return max(ends_ms, now_ms) > endpoint.leaves_ms


def list_silent(cell_state, now_ms):
    """Lists endpoints with inherited runs that leave their first poll waiting.

    The next owner reads the list. It is written well before the poll has
    failed, so that owners that are lost within that time list them too.
    """
    for endpoint_id in cell_state.inherited_leases.unanswered_ids:
        endpoint = cell_state.endpoint_by_id.get(endpoint_id)
        if endpoint is None or endpoint.first_polled_ms is None:
            continue
        if now_ms - endpoint.first_polled_ms >= SILENT_AFTER_MS:
            cell_state.inherited_leases.record_silence(endpoint_id)
