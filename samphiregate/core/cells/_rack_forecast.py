"""Forecasts when room on one rack becomes free."""

import bisect
import operator

import attrs

from samphiregate.core.cells import _work

_at_ms = operator.itemgetter(0)


@attrs.frozen
class Slot:
    """Room for one task that is expected to be free from a time on.

    Parameters
    ----------
    at_ms : float
    endpoint : Endpoint
    """

    at_ms: float
    endpoint: object


class RackForecast:
    """When room on the endpoints of a rack is expected to become free.

    Made once in a plan. The room that stages ahead in line wait for is
    claimed by them, and not offered again while their tasks would run.

    Parameters
    ----------
    endpoints : list of Endpoint
        Those of the rack that accept tasks.
    now_ms : int
    """

    def __init__(self, endpoints, now_ms):
        self._endpoints = endpoints
        self._now_ms = now_ms
        self._claimed = [_work.ZERO_RESOURCES] * len(endpoints)
        self._position_by_id = {
            one.endpoint_id: position for position, one in enumerate(endpoints)
        }
        # Rows of time, position of the endpoint, and room that becomes free.
        self._ends = sorted(
            (
                (_end_ms(booking, now_ms), position, booking.step.booked)
                for position, endpoint in enumerate(endpoints)
                for booking in endpoint.bookings_by_run.values()
                if booking.will_end
            ),
            key=_at_ms,
        )

    def slots(self, step, count, until_ms, max_on):
        """Returns up to `count` slots that become free, the earliest first.

        Room that is free now is no slot: it can be used without waiting, or
        is kept from the tasks.

        Parameters
        ----------
        step : Step
        count : int
        until_ms : float
            Slots that become free later are not of use.
        max_on : callable
            Takes an endpoint; returns how many of the tasks may run there.

        Returns
        -------
        list of Slot
        """
        need = step.booked
        rooms, taken, slots = {}, {}, []
        for at_ms, position, room in self._ends:
            if at_ms > until_ms:
                break
            if position not in rooms:
                rooms[position] = self._room(position)
                fits = need.count_fitting_in(rooms[position])
                taken[position] = fits
            rooms[position] += room
            endpoint = self._endpoints[position]
            fits = min(
                need.count_fitting_in(rooms[position]), max_on(endpoint)
            )
            while taken[position] < fits:
                taken[position] += 1
                slots.append(Slot(at_ms, endpoint))
                if len(slots) >= count:
                    return slots
        return slots

    def gang_ms(self, step, count, until_ms, max_on):
        """Returns when all tasks of a gang fit at once; None if too late."""
        need = step.booked
        rooms = [self._room(number) for number in range(len(self._endpoints))]
        limits = [max_on(one) for one in self._endpoints]
        fits = [
            min(need.count_fitting_in(room), limit)
            for room, limit in zip(rooms, limits, strict=True)
        ]
        total = sum(fits)
        for at_ms, position, room in self._ends:
            if at_ms > until_ms:
                return None
            rooms[position] += room
            fitting = need.count_fitting_in(rooms[position])
            total -= fits[position]
            fits[position] = min(fitting, limits[position])
            total += fits[position]
            if total >= count:
                return at_ms
        return None

    def claim(self, step, slots, run_ms):
        """Keeps slots from the stages that are asked about later."""
        for slot in slots:
            position = self._position_by_id[slot.endpoint.endpoint_id]
            self._claimed[position] += step.booked
            row = (slot.at_ms + run_ms, position, step.booked)
            bisect.insort(self._ends, row, key=_at_ms)

    def _room(self, position):
        return self._endpoints[position].free - self._claimed[position]


def _end_ms(booking, now_ms):
    """Returns when a run is expected to end.

    One that should have ended is expected to take as long again as it is
    overdue. `_run_forecast.end_ms`, which preemption uses, goes by progress,
    and expects no end of an overdue run without any.
    """
    end_ms = booking.sent_ms + booking.expected_ms
    return end_ms if end_ms > now_ms else 2 * now_ms - end_ms
