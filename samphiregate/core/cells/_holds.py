"""Holds endpoints for waiting tasks against others in one plan.

The load that this answers: tasks that need much of an endpoint wait beside
streams of small ones, which would take its room bit by bit as it becomes
free. An endpoint is held only where the missing room will become free, so not
where tasks that do not end by themselves take it. Until then, others may run
there if they end before: they cost the waiting tasks nothing.
"""

import math

from samphiregate.core.cells import _run_forecast
from samphiregate.core.cells import _tasks
from samphiregate.core.cells import _usable_endpoints

MAX_HELD_SHARE = 0.25  # of a service's endpoints
LARGE_TASK_MIN_SHARE = 0.3  # of an endpoint's capacity


class Holds:
    """The endpoints that are held in one plan, and from when.

    Parameters
    ----------
    endpoint_ids : iterable of str
        Those that are held from now on.
    """

    def __init__(self, endpoint_ids=()):
        self._from_ms_by_id = dict.fromkeys(endpoint_ids, -math.inf)

    def __contains__(self, endpoint_id):
        return endpoint_id in self._from_ms_by_id

    def __iter__(self):
        return iter(self._from_ms_by_id)

    def add(self, endpoint_id, from_ms=-math.inf):
        """Holds an endpoint.

        Parameters
        ----------
        endpoint_id : str
        from_ms : float
            When the tasks that it is held for are expected to start there.
        """
        self._from_ms_by_id[endpoint_id] = from_ms

    def bars(self, endpoint_id, ends_ms):
        """Whether an endpoint is held against a task with an expected end."""
        from_ms = self._from_ms_by_id.get(endpoint_id)
        return from_ms is not None and ends_ms > from_ms


def hold_for_large_tasks(stage, usable, unplaced_count, holds, now_ms):
    """Holds endpoints for this stage.

    Less urgent stages cannot use them in this plan. Endpoints are held
    for large tasks only: small tasks would otherwise take the capacity
    bit by bit as it becomes free. At most `MAX_HELD_SHARE` of the
    endpoints, but at least one, can be held at a time. Stages of
    accounts above their share hold none, nor does a gang that does not fit
    even when all other runs have ended.

    While a policy query is in flight, an endpoint with room is held too,
    so that the room is still free when the answer arrives.
    """
    need = stage.step.booked
    if not stage.entry.within_share:
        return
    max_count = _max_more_held(usable, holds)
    if max_count <= 0:
        return
    large_ids = usable.ids_large_for(need, LARGE_TASK_MIN_SHARE)
    if stage.queue.advice:
        large_ids = {one for one in stage.ticket_by_id if one in large_ids}
    if not large_ids:
        return
    with_expected = usable.with_expected_room(need, math.inf)
    if stage.step.gang and not _will_fit(stage, with_expected):
        return
    holdable = [
        one
        for one in with_expected
        if one.endpoint_id in large_ids
        and one.endpoint_id not in holds
        and (stage.query_in_flight or not need.fits_in(one.free))
        and stage.max_more_on(one.endpoint_id) > 0
    ]
    holdable.sort(key=lambda one: _missing_share(need, one))
    for endpoint in holdable[: min(unplaced_count, max_count)]:
        holds.add(endpoint.endpoint_id, _free_ms(need, endpoint, now_ms))


def _will_fit(stage, endpoints):
    """Whether all members of a gang fit once what ends has ended."""
    if stage.queue.advice:
        endpoints = [
            one for one in endpoints if one.endpoint_id in stage.ticket_by_id
        ]
    count = _usable_endpoints.count_expected(stage, endpoints, math.inf)
    return count >= len(stage.tasks)


def hold_for_gang(stage, usable, in_rack, holds):
    """Holds endpoints of one rack for a gang until all its members fit.

    Those that the gang is expected to need, the ones with the most room
    first, and at most `MAX_HELD_SHARE` of the service's endpoints.

    Parameters
    ----------
    stage : Stage
    usable : UsableEndpoints
    in_rack : UsableEndpoints
        Those of the rack.
    holds : Holds
    """
    if not stage.entry.within_share:
        return
    need = stage.step.booked
    missing = len(stage.tasks)
    holdable = [
        one
        for one in in_rack.endpoints
        if one.endpoint_id not in holds
        and need.fits_in(one.registration.capacity)
        and (not stage.queue.advice or one.endpoint_id in stage.ticket_by_id)
    ]
    holdable.sort(key=lambda one: _missing_share(need, one))
    for endpoint in holdable[: max(0, _max_more_held(usable, holds))]:
        if missing <= 0:
            break
        count = _usable_endpoints.count_expected(
            stage, [endpoint], stage.place_wait.until_ms
        )
        if count > 0:
            holds.add(endpoint.endpoint_id)
            missing -= count


def hold_for_restarts(stage, usable, unplaced_count, holds, now_ms):
    """Holds endpoints for interrupted tasks, whatever their size.

    Those with the most room, and at most `MAX_HELD_SHARE` of the endpoints,
    but at least one. So their room is not taken while the stage waits for a
    ticket.
    """
    need = stage.step.booked
    advice = stage.queue.advice
    holdable = [
        one
        for one in usable.with_expected_room(need, math.inf)
        if one.endpoint_id not in holds
        and (not advice or one.endpoint_id in stage.ticket_by_id)
        and stage.max_more_on(one.endpoint_id) > 0
    ]
    holdable.sort(key=lambda one: _missing_share(need, one))
    for endpoint in holdable[: max(0, _max_more_held(usable, holds))]:
        if unplaced_count <= 0:
            break
        holds.add(endpoint.endpoint_id, _free_ms(need, endpoint, now_ms))
        unplaced_count -= max(1, need.count_fitting_in(endpoint.free))


def hold_for_isolation(stage, usable, holds, now_ms):
    """Holds an endpoint until it has no runs, for a suspected task.

    The one with the fewest runs, as long as fewer than `MAX_HELD_SHARE` are
    held, and none with long-running tasks, as these do not end.
    """
    need = stage.step.booked
    advice = stage.queue.advice
    holdable = [
        one
        for one in usable.large_enough(need)
        if one.endpoint_id not in holds
        and (not advice or one.endpoint_id in stage.ticket_by_id)
        and not any(
            booking.step.long_running
            for booking in one.bookings_by_run.values()
        )
    ]
    if holdable and _max_more_held(usable, holds) > 0:
        chosen = min(holdable, key=lambda one: len(one.bookings_by_run))
        holds.add(chosen.endpoint_id, _idle_ms(chosen, now_ms))


def _free_ms(need, endpoint, now_ms):
    """Returns when an endpoint is expected to have room for a task."""
    room = endpoint.free
    ends = sorted(
        ((_end_ms(one, now_ms), one.step.booked) for one in _ending(endpoint)),
        key=lambda row: row[0],
    )
    for ends_ms, booked in ends:
        if need.fits_in(room):
            return now_ms
        room += booked
        if need.fits_in(room):
            return ends_ms
    return now_ms


def _idle_ms(endpoint, now_ms):
    """Returns when the runs of an endpoint are expected to have ended."""
    return max(
        (_end_ms(one, now_ms) for one in _ending(endpoint)), default=now_ms
    )


def _ending(endpoint):
    """Returns the runs that end by themselves or are being stopped."""
    return [one for one in endpoint.bookings_by_run.values() if one.will_end]


def _end_ms(booking, now_ms):
    """Returns when a run is expected to end; now if it should have by now."""
    if booking.state is _tasks.RunState.STOPPING:
        return now_ms
    ends_ms = _run_forecast.end_ms(booking, now_ms)
    return now_ms if math.isinf(ends_ms) else ends_ms


def _max_more_held(usable, holds):
    max_count = max(1, round(len(usable.endpoints) * MAX_HELD_SHARE))
    return max_count - sum(one in usable.position_by_id for one in holds)


def _missing_share(need, endpoint):
    """Returns the share of its capacity that an endpoint has too little."""
    return (need - endpoint.free).dominant_share(
        endpoint.registration.capacity
    )
