"""Reconciles the runs that an endpoint lists with those expected there."""

import attrs

from samphiregate.core.cells import _ends
from samphiregate.core.cells import _incarnations
from samphiregate.core.cells import _isolation
from samphiregate.core.cells import _leases
from samphiregate.core.cells import _losses
from samphiregate.core.cells import _tasks

STARTING = _tasks.RunState.STARTING
RUNNING = _tasks.RunState.RUNNING


def apply_poll(cell_state, endpoint, event, now_ms):
    """Applies an endpoint's answer to a poll.

    Releases the runs that a restart has ended, applies the ends that are new,
    updates or adopts the runs that are listed, and releases those that are
    missing. An answer that may omit ends releases none of these, as a missing
    run may have ended.

    Parameters
    ----------
    cell_state : CellState
    endpoint : Endpoint
    event : EndpointPolled
    now_ms : int
    """
    if endpoint.failed_polls:
        cell_state.log_decision(
            "endpoint regained",
            endpoint=endpoint.endpoint_id,
            failed_looks=endpoint.failed_polls,
        )
    if event.started_unix_ms:
        _apply_incarnation(cell_state, endpoint, event, now_ms)
    _losses.clear_lapsed(endpoint)
    endpoint.failed_polls = 0
    if not endpoint.has_answered and cell_state.has_earlier_owners:
        until_ms = _leases.inherited_until_ms(
            event.clock_ms,
            now_ms,
            cell_state.began_ms,
            cell_state.max_hold_ms,
        )
        endpoint.expect_lease(until_ms)
    endpoint.has_answered = True
    endpoint.was_unwatched = False
    endpoint.doubtful_until_ms = 0
    endpoint.clock_ms = event.clock_ms
    endpoint.answered_ms = now_ms
    for row in event.ended:
        if row.number > endpoint.handled_upto:
            _ends.apply_end(cell_state, endpoint, row, now_ms)
    for row in event.running:
        _apply_running(cell_state, endpoint, row, now_ms)
    if not event.may_omit_ends:
        _release_missing(cell_state, endpoint, event, now_ms)


def _apply_incarnation(cell_state, endpoint, event, now_ms):
    """Releases the runs of earlier incarnations than the one that answers."""
    started_unix_ms = event.started_unix_ms
    known_unix_ms = endpoint.registration.started_unix_ms
    has_restarted = known_unix_ms not in (0, started_unix_ms)
    ended = _incarnations.ended_by_answer(endpoint, event)
    if has_restarted or ended:
        _losses.release_crashed_runs(
            cell_state, endpoint, _losses.LossReason.RESTARTED, now_ms, ended
        )
    if has_restarted:
        endpoint.reset_incarnation(now_ms)
    if known_unix_ms != started_unix_ms:
        endpoint.update_registration(
            attrs.evolve(
                endpoint.registration, started_unix_ms=started_unix_ms
            )
        )


def _apply_running(cell_state, endpoint, row, now_ms):
    """Updates or adopts a listed run; stops one that is not needed."""
    booking = endpoint.bookings_by_run.get((row.task_id, row.run))
    if booking is not None:
        if booking.state is STARTING:
            cell_state.confirm_start(booking, now_ms)
        _update_booking(cell_state, endpoint, booking, row, now_ms)
        return
    entry = cell_state.entry_by_id.get(row.task_id.job_id)
    task = entry.task(row.task_id) if entry else None
    if task is None:
        _stop_orphan(cell_state, endpoint, row)
        return
    if (endpoint.endpoint_id, row.run) in task.ended_runs:
        # The end was already applied; this answer is older.
        return
    superfluous = not task.needs_run or bool(task.bookings_by_run)
    if not superfluous:
        cell_state.run_gaps.drop(task)
    booking = cell_state.reserve(task, row.run, endpoint, now_ms)
    booking.state = RUNNING
    booking.is_inherited = True
    cell_state.mark_moved(entry)
    _update_booking(cell_state, endpoint, booking, row, now_ms)
    cell_state.log_decision(
        "run adopted",
        row.task_id.job_id,
        task=row.task_id.position,
        run=row.run,
        endpoint=endpoint.endpoint_id,
        wanted=not superfluous,
    )
    if superfluous:
        cell_state.stop(booking, now_ms)


def _stop_orphan(cell_state, endpoint, row):
    """Stops a run that belongs to no job or task of the cell."""
    cell_state.log_decision(
        "stray run",
        row.task_id.job_id,
        task=row.task_id.position,
        run=row.run,
        endpoint=endpoint.endpoint_id,
    )
    cell_state.send_stop(endpoint, row.task_id, row.run)


def _update_booking(cell_state, endpoint, booking, row, now_ms):
    booking.confirmed_ms = now_ms
    booking.note_listed(endpoint.registration.started_unix_ms)
    _isolation.note_work(cell_state, booking)
    if row.percent > booking.percent:
        booking.progressed_ms = now_ms
    booking.percent = row.percent
    if row.saved:
        booking.task.saved = row.saved


def _release_missing(cell_state, endpoint, event, now_ms):
    """Releases runs confirmed before the poll that are not listed."""
    running_keys = {(row.task_id, row.run) for row in event.running}
    for booking in list(endpoint.bookings_by_run.values()):
        if booking.key in running_keys:
            continue
        listed_since_ms = booking.listed_since_ms
        if listed_since_ms is None or listed_since_ms >= event.sent_ms:
            continue
        cell_state.log_decision(
            "run not there",
            booking.task.task_id.job_id,
            task=booking.task.task_id.position,
            run=booking.run,
            state=booking.state.value,
            endpoint=endpoint.endpoint_id,
        )
        cell_state.release(booking)
        if booking.step.gang:
            cell_state.stop_gang(booking.task.stage, booking.run, now_ms)
