"""Tasks that take much longer than expected, and endpoints that are slow.

Answers the load of endpoints that work several times slower for a while, or
on which tasks stand still: new tasks go elsewhere first, a task that makes
no progress is stopped and started elsewhere, and one that may run in copies
gets a copy.
"""

import attrs

from samphiregate.core.cells import _tasks

STILL_MS = 2_500  # before a task can count as still
STILL_FACTOR = 1.2  # of the estimate, likewise
STILL_SLOWNESS = 4.0  # of the estimate, for what the whole task would take
COPY_FACTOR = 2.0  # of the estimate, before a copy is started
COPY_MS = 400
NEWEST_WEIGHT = 0.4
HALF_LIFE_MS = 3_000
USUAL_SLOWNESS = 1.5


@attrs.define
class _Pace:
    slowness: float = 1.0
    noted_ms: int = 0


class SpeedMeter:
    """Learns by which factor tasks of an endpoint exceed their estimates.

    What was learnt fades, so that an endpoint is tried again.
    """

    def __init__(self):
        self._pace_by_id = {}

    def note(self, endpoint_id, elapsed_ms, estimate_ms, now_ms):
        """Notes a run that took `elapsed_ms`, or has taken it so far."""
        pace = self._pace_by_id.setdefault(endpoint_id, _Pace(1.0, now_ms))
        faded = self.slowness(endpoint_id, now_ms)
        seen = elapsed_ms / max(estimate_ms, 1)
        pace.slowness = faded + NEWEST_WEIGHT * (seen - faded)
        pace.noted_ms = now_ms

    def slowness(self, endpoint_id, now_ms):
        """Returns the factor that is expected now; about 1 as a rule."""
        pace = self._pace_by_id.get(endpoint_id)
        if pace is None:
            return 1.0
        age_ms = now_ms - pace.noted_ms
        return 1.0 + (pace.slowness - 1.0) * 0.5 ** (age_ms / HALF_LIFE_MS)

    def penalty(self, endpoint_id, now_ms):
        """Returns what placement adds to the cost of an endpoint."""
        return max(self.slowness(endpoint_id, now_ms) - USUAL_SLOWNESS, 0.0)


def is_still(booking, now_ms):
    """Whether a run makes so little progress that it should move.

    A run that resumed from a checkpoint counts from its start there.
    """
    step = booking.step
    if (
        booking.state is not _tasks.RunState.RUNNING
        or step.long_running
        or step.gang
        or booking.confirmed_ms is None
    ):
        return False
    elapsed_ms = booking.confirmed_ms - booking.sent_ms
    least_ms = max(STILL_MS, step.estimate_ms * STILL_FACTOR)
    if elapsed_ms < least_ms:
        return False
    whole_ms = elapsed_ms * 100 / max(booking.percent, 0.1)
    return whole_ms > step.estimate_ms * STILL_SLOWNESS


def wants_copy(task, now_ms):
    """Whether a task's only run takes so long that a copy may overtake it."""
    if not task.stage.step.speculative or len(task.bookings_by_run) != 1:
        return False
    booking = next(iter(task.bookings_by_run.values()))
    due_ms = task.stage.step.estimate_ms * COPY_FACTOR + COPY_MS
    return (
        booking.state is _tasks.RunState.RUNNING
        and now_ms - booking.sent_ms > due_ms
    )
