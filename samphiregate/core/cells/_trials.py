"""Starts tasks under suspicion where they can harm least.

The load that this answers: several tasks start on an endpoint and its process
ends; one of them may have ended it. Each of these is tried alone on an
endpoint, without runs if one has room, and no other task is started there
until the run has settled. So the next crash is blamed on one task, and the
others complete.
"""

import attrs

from samphiregate.core.cells import _crash_counts

TRIAL_POLL_WAIT_MS = 300


class Trials:
    """The runs of tasks under suspicion that have not settled."""

    def __init__(self):
        self._booking_by_key = {}

    def begin(self, booking):
        """Records that a run of a task under suspicion may exist."""
        self._booking_by_key[booking.key] = booking

    def end(self, booking):
        """Records that a run has settled or does not exist any more."""
        self._booking_by_key.pop(booking.key, None)

    def is_on_trial(self, booking):
        """Whether a run is one of these."""
        return booking.key in self._booking_by_key

    def endpoint_ids(self):
        """Returns the ids of the endpoints on which they may exist."""
        return {one.endpoint_id for one in self._booking_by_key.values()}


def note_work(cell_state, booking):
    """Updates the count of a run's task after its endpoint listed the run."""
    task = booking.task
    survived_ms = booking.survived_ms
    if survived_ms >= _crash_counts.SETTLED_RUN_MS:
        cell_state.trials.end(booking)
    if task.crash_count != _crash_counts.NO_CRASHES:
        task.crash_count = task.crash_count.after_work(survived_ms)


def needs_trial(cell_state, task):
    """Whether the next run of a task is to be tried alone.

    It is so for a task under suspicion, and for the copy of a run that had
    just started when its endpoint fell silent.
    """
    return task.crash_count.is_suspect or any(
        _was_young_when_lost(cell_state, booking)
        for booking in task.bookings_by_run.values()
    )


def _was_young_when_lost(cell_state, booking):
    endpoint = cell_state.endpoint_by_id[booking.endpoint_id]
    run_ms = endpoint.unreachable_since_ms - booking.sent_ms
    return bool(endpoint.failed_polls) and (
        run_ms < _crash_counts.SETTLED_RUN_MS
    )


def is_suspect(stage, task):
    """Whether a task is under suspicion, or any member of its gang."""
    if stage.step.gang:
        return any(one.crash_count.is_suspect for one in stage.tasks)
    return task.crash_count.is_suspect


def candidates_for(step, candidates):
    """Returns candidates in whose place a run can harm least.

    One task on each endpoint, and only endpoints without runs if there are
    any. A gang may need several places on one endpoint; for its members,
    endpoints with few runs come first.

    Parameters
    ----------
    step : Step
    candidates : list of Candidate
    """
    if not step.gang:
        idle = [one for one in candidates if not one.endpoint.bookings_by_run]
        candidates = idle or candidates
    return [
        attrs.evolve(
            one,
            max_count=one.max_count if step.gang else 1,
            penalty=one.penalty + len(one.endpoint.bookings_by_run),
        )
        for one in candidates
    ]
