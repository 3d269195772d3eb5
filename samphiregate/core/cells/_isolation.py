"""Isolates runs of suspected tasks, where they can harm least.

The load that this answers: several tasks start on an endpoint and its process
ends; one of them may have ended it. Each of these is tried alone on an
endpoint, without runs if one has room, and no other task is started there
until the run has settled. So the next crash is attributed to one task, and the
others complete.
"""

import attrs

from samphiregate.core.cells import _crash_history

ISOLATED_POLL_WAIT_MS = 300
MAX_IDLE_WAIT_MS = 2_000
MAX_ISOLATION_MS = 1_000  # for which nothing is started beside a run


class IsolatedRuns:
    """The runs of suspected tasks that have not settled.

    And the stages of strongly suspected tasks: they are placed first, so
    that the endpoint that is held for them becomes free.
    """

    def __init__(self):
        self._booking_by_key = {}
        self._suspected_stages = set()

    def add(self, booking):
        """Records that a run of a suspected task may exist."""
        self._booking_by_key[booking.key] = booking

    def remove(self, booking):
        """Records that a run has settled or does not exist any more."""
        self._booking_by_key.pop(booking.key, None)

    def contains(self, booking):
        """Whether a run is one of these."""
        return booking.key in self._booking_by_key

    def note_crash(self, cell_state, task):
        """Records that a crash was counted for a task."""
        if _is_strong_suspect(cell_state, task):
            self._suspected_stages.add(task.stage)

    def strongly_suspected_stages(self, cell_state):
        """Returns the stages with strongly suspected tasks."""
        self._suspected_stages = {
            stage
            for stage in self._suspected_stages
            if not stage.entry.state.is_final
            and any(
                _is_strong_suspect(cell_state, task) for task in stage.tasks
            )
        }
        return self._suspected_stages

    def endpoint_ids(self):
        """Returns the ids of the endpoints on which they may exist."""
        return {one.endpoint_id for one in self._booking_by_key.values()}


def note_work(cell_state, booking):
    """Updates the history of a run's task after its endpoint listed it."""
    task = booking.task
    survived_ms = booking.survived_ms
    if survived_ms >= min(task.crash_history.settled_ms, MAX_ISOLATION_MS):
        cell_state.isolated_runs.remove(booking)
    if task.crash_history.run_ms:
        task.crash_history = task.crash_history.after_work(survived_ms)


def needs_isolation(cell_state, task):
    """Whether the next run of a task is to be isolated.

    That of a suspected task is, and the copy of a run that had just started
    when its endpoint fell silent.
    """
    return _is_suspect(cell_state, task) or any(
        _was_young_when_lost(cell_state, booking)
        for booking in task.bookings_by_run.values()
    )


def _was_young_when_lost(cell_state, booking):
    endpoint = cell_state.endpoint_by_id[booking.endpoint_id]
    run_ms = endpoint.unreachable_since_ms - booking.sent_ms
    return bool(endpoint.failed_polls) and (
        run_ms < _crash_history.SETTLED_RUN_MS
    )


def is_suspect(cell_state, stage, task):
    """Whether a task is suspected, or any member of its gang."""
    if stage.step.gang:
        return any(_is_suspect(cell_state, one) for one in stage.tasks)
    return _is_suspect(cell_state, task)


def _is_suspect(cell_state, task):
    """Whether a task may have ended its endpoint's process."""
    if not task.crash_history.run_ms:
        return False
    rate = cell_state.failures_per_s(task.stage.queue.service)
    return task.crash_history.is_suspect(rate)


def _is_strong_suspect(cell_state, task):
    if not task.crash_history.run_ms:
        return False
    rate = cell_state.failures_per_s(task.stage.queue.service)
    return task.crash_history.is_strong_suspect(rate)


def waits_for_idle(cell_state, tasks, now_ms):
    """Whether tasks wait for an endpoint without runs.

    They do for `MAX_IDLE_WAIT_MS` if one of them is strongly suspected.
    """
    return any(
        _is_strong_suspect(cell_state, task)
        and now_ms - (task.interrupted_ms or 0) < MAX_IDLE_WAIT_MS
        for task in tasks
    )


def candidates_for(step, candidates, *, only_idle):
    """Returns the candidates on which a run can harm least.

    One task on each endpoint, and only endpoints without runs if there are
    any. A gang may need several places on one endpoint; for its members,
    endpoints with few runs come first.

    Parameters
    ----------
    step : Step
    candidates : list of Candidate
    only_idle : bool
        Whether none is returned if all have runs; not for a gang.
    """
    if not step.gang:
        idle = [one for one in candidates if not one.endpoint.bookings_by_run]
        candidates = idle if idle or only_idle else candidates
    return [
        attrs.evolve(
            one,
            max_count=one.max_count if step.gang else 1,
            penalty=one.penalty + len(one.endpoint.bookings_by_run),
        )
        for one in candidates
    ]
