"""Decides which runs have ended with an earlier incarnation of an endpoint.

The load that this answers: endpoints restart under their id, at any time,
and tasks are started on them before the owner knows of it. A restart shows in
the endpoint's entry in the store, in its answers to polls and in its answers
to orders, which overtake each other. None of them alone tells which
incarnation started a run; the first answer to a poll that must list the run
does.
"""

from samphiregate.core.cells import _leases
from samphiregate.core.cells import _tasks


def is_outdated(endpoint, event):
    """Whether an answer to a poll is of an incarnation that has ended.

    Only if the poll was sent before the present incarnation was known: a
    process may start with a time of day that was set back.

    Parameters
    ----------
    endpoint : Endpoint
    event : EndpointPolled
    """
    known_unix_ms = endpoint.registration.started_unix_ms
    return (
        0 < event.started_unix_ms < known_unix_ms
        and event.sent_ms <= endpoint.incarnation_known_ms
    )


def concerns_present(endpoint, event):
    """Whether an answer to a poll concerns the endpoint as it is known now.

    Parameters
    ----------
    endpoint : Endpoint
    event : PollFailed
    """
    return (
        event.sent_ms is None or event.sent_ms >= endpoint.incarnation_known_ms
    )


def ended_by_entry(endpoint, registration):
    """Returns the runs that a new entry of a later incarnation shows ended.

    All of them if it has another address than the orders to start them were
    sent to. Otherwise only those that were not ordered yet, unless the
    earlier incarnation has listed every other one: a run that it has not
    listed may be of the new one, as the entry may be late.

    Parameters
    ----------
    endpoint : Endpoint
    registration : EndpointRegistered

    Returns
    -------
    list of Booking
    """
    bookings = list(endpoint.bookings_by_run.values())
    doubtful = [
        booking
        for booking in bookings
        if booking.state is not _tasks.RunState.PLANNED
        and booking.address == registration.address
        and not booking.was_listed_before(registration.started_unix_ms)
    ]
    if not doubtful:
        return bookings
    return endpoint.bookings_in(_tasks.RunState.PLANNED)


def ended_by_answer(endpoint, event):
    """Returns the runs that an answer to a poll shows lost in a restart.

    Parameters
    ----------
    endpoint : Endpoint
    event : EndpointPolled

    Returns
    -------
    list of Booking
        Those of an earlier incarnation that the answer does not list.
    """
    started_unix_ms = event.started_unix_ms
    listed_keys = {(row.task_id, row.run) for row in event.running}
    listed_keys.update((row.task_id, row.run) for row in event.ended)
    return [
        booking
        for booking in endpoint.bookings_by_run.values()
        if booking.key not in listed_keys
        and _is_of_earlier(booking, started_unix_ms)
        and _cannot_be_there(booking, event)
    ]


def _is_of_earlier(booking, started_unix_ms):
    """Whether a run was ordered while an earlier incarnation was known."""
    return 0 < booking.incarnation_unix_ms != started_unix_ms


def _cannot_be_there(booking, event):
    """Whether an incarnation that does not list a run does not have it."""
    if booking.state is _tasks.RunState.PLANNED:
        return True
    if booking.was_listed_before(event.started_unix_ms):
        return True
    started_ms = _leases.earliest_start_ms(event.clock_ms, event.sent_ms)
    if not booking.has_order_in_flight and (
        booking.order_answered_ms < started_ms
    ):
        return True
    listed_since_ms = booking.listed_since_ms
    return (
        listed_since_ms is not None
        and listed_since_ms < event.sent_ms
        and not event.may_omit_ends
    )
