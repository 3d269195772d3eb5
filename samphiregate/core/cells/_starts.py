"""Orders endpoints to start the runs that are reserved on them.

A run is ordered once its record is stored, while its endpoint's clock and
incarnation are known: an endpoint without work was not polled, so its answer
to a poll comes first. The poll is sent with the reservation, and is answered
while the record is being written.
"""

from samphiregate.core.cells import _leases
from samphiregate.core.cells import _messages
from samphiregate.core.cells import _policy_queries
from samphiregate.core.cells import _tasks

PLANNED = _tasks.RunState.PLANNED


def send_planned(cell_state, entry, now_ms, lease_ms):
    """Sends the start orders of runs that the stored record contains.

    Gives up those that must not start any more. Members of a gang are
    ordered once all can be.

    Parameters
    ----------
    cell_state : CellState
    entry : JobEntry
    now_ms : int
    lease_ms : int
        Lease in milliseconds that the orders grant.
    """
    planned = [
        booking
        for booking in entry.bookings()
        if booking.state is PLANNED and booking.version <= entry.stored_version
    ]
    # Each start that is given up leaves room for the others.
    for booking in planned:
        if not may_send(cell_state, booking, now_ms):
            cell_state.stop(booking, now_ms)
            if booking.step.gang:
                cell_state.stop_gang(booking.task.stage, booking.run, now_ms)
    planned = [booking for booking in planned if _is_held(cell_state, booking)]
    unread = {
        booking
        for booking in planned
        if not _leases.has_current_reading(
            cell_state.endpoint_by_id[booking.endpoint_id], now_ms
        )
    }
    waiting_gangs = {
        booking.task.stage for booking in unread if booking.step.gang
    }
    for booking in planned:
        if booking not in unread and booking.task.stage not in waiting_gangs:
            send(cell_state, booking, now_ms, lease_ms)


def send_planned_on(cell_state, endpoint, now_ms, lease_ms):
    """Sends those that waited for an endpoint, or gives them up."""
    entries = {
        booking.task.stage.entry for booking in endpoint.bookings_in(PLANNED)
    }
    for entry in entries:
        send_planned(cell_state, entry, now_ms, lease_ms)


def may_send(cell_state, booking, now_ms):
    """Whether a run is still wanted and its endpoint may start it."""
    endpoint = cell_state.endpoint_by_id[booking.endpoint_id]
    return (
        not booking.task.stage.entry.state.is_final
        and cell_state.accepts_starts(endpoint)
        and not endpoint.is_overbooked
        and _policy_queries.may_order(
            booking.task.stage, booking.endpoint_id, now_ms
        )
    )


def send(cell_state, booking, now_ms, lease_ms):
    """Orders an endpoint to start a run, under an extended lease."""
    endpoint = cell_state.endpoint_by_id[booking.endpoint_id]
    stage = booking.task.stage
    ticket = stage.ticket_by_id.get(endpoint.endpoint_id)
    booking.note_ordered(endpoint.registration, now_ms)
    endpoint.expect_end(booking)
    cell_state.add_action(
        _messages.StartTask(
            endpoint.endpoint_id,
            endpoint.registration.address,
            booking.task.task_id,
            booking.run,
            stage.entry.job.payload,
            endpoint.extend_lease(now_ms, lease_ms, cell_state.max_hold_ms),
            booking.task.saved,
            ticket.text if ticket else "",
            ticket.valid_until_ms if ticket else None,
        )
    )


def _is_held(cell_state, booking):
    """Whether the room of a run is still reserved."""
    endpoint = cell_state.endpoint_by_id[booking.endpoint_id]
    return booking.key in endpoint.bookings_by_run
