"""The room of endpoints as preemption sees it: what ends, what can give way.

Built once in a plan that looks for runs to stop, from one look at each run.
"""

import bisect

import attrs

from samphiregate.core.cells import _run_forecast
from samphiregate.core.cells import _tasks
from samphiregate.core.cells import _work
from samphiregate.core import preemption

MIN_SHARE = 1e-9  # of an endpoint


@attrs.frozen(eq=False)
class Stoppable:
    """What is stopped together: a run, or all members of a gang's run.

    Parameters
    ----------
    bookings : tuple of Booking
        All of them, wherever they are.
    endpoint_id : str
        The endpoint that it is looked at for.
    resources : Resources
        What the stop leaves free there.
    lost : float
        What the work that is thrown away costs callers.
    late_work : float
        The work of the job if the stop makes it late, else 0.
    """

    bookings: tuple
    endpoint_id: str
    resources: _work.Resources
    lost: float
    late_work: float

    @property
    def job_id(self):
        """The job of the runs."""
        return self.bookings[0].task.task_id.job_id

    @property
    def cost(self):
        """Work that callers lose."""
        return self.lost + self.late_work


class EndpointRoom:
    """What an endpoint has room for, now and later.

    Parameters
    ----------
    endpoint : Endpoint
    now_ms : int
    held : Resources
        What is held for other urgent tasks, of the room that is free or will
        be after the stops under way.

    Attributes
    ----------
    room : Resources
        Room that is free after the stops under way, less what was taken.
    version : int
        Rises with each change.
    """

    def __init__(self, endpoint, now_ms, held):
        self.endpoint = endpoint
        self.room = endpoint.free - held
        self.version = 0
        self._stoppables = []
        self._selections = {}
        ends = []
        for booking in endpoint.bookings_by_run.values():
            if booking.state is _tasks.RunState.STOPPING:
                self.room += booking.step.booked
                continue
            end_ms = _run_forecast.end_ms(booking, now_ms)
            ends.append((end_ms, booking.step.booked))
        ends.sort(key=lambda row: row[0])
        self._end_ms = [row[0] for row in ends]
        self._ended = [_work.ZERO_RESOURCES]
        for _end_ms, resources in ends:
            self._ended.append(self._ended[-1] + resources)

    def room_at(self, at_ms):
        """Returns the room that is expected at a time without any stop."""
        ended = self._ended[bisect.bisect_right(self._end_ms, at_ms)]
        return self.room + ended

    def take(self, resources):
        """Takes room for tasks that will be placed there."""
        self.room -= resources
        self.version += 1

    def add_stoppable(self, stoppable):
        """Adds what may be stopped there."""
        self._set_stoppables([*self._stoppables, stoppable])

    def remove_stopped(self, stopped):
        """Counts the room of runs that are being stopped as free."""
        kept = []
        for one in self._stoppables:
            if one.bookings in stopped:
                self.room += one.resources
            else:
                kept.append(one)
        self._set_stoppables(kept)

    def state(self):
        """Returns what `restore` takes to undo later changes."""
        return (self.room, self._stoppables)

    def restore(self, state):
        """Undoes the changes since `state`."""
        self.room, stoppables = state
        self._set_stoppables(stoppables)

    def select(self, need):
        """Selects what to stop so that a need fits.

        Returns
        -------
        tuple or None
            List of `Stoppable`, and how often the need then fits; None if it
            does not.
        """
        key = (need, self.room)
        if key not in self._selections:
            self._selections[key] = self._select(need)
        return self._selections[key]

    def _select(self, need):
        selected = preemption.select_cheapest(
            self._stoppables, self.room, need
        )
        if selected is None:
            return None
        freed = self.room
        for one in selected:
            freed += one.resources
        return selected, need.count_fitting_in(freed)

    def _set_stoppables(self, stoppables):
        self._stoppables = sorted(stoppables, key=self._cost_of_room)
        self._selections = {}
        self.version += 1

    def _cost_of_room(self, stoppable):
        capacity = self.endpoint.registration.capacity
        # A run that takes nothing frees nothing.
        share = max(stoppable.resources.dominant_share(capacity), MIN_SHARE)
        return stoppable.cost / share
