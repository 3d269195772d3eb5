"""Moves long-running tasks off drained data centres.

Such tasks do not end, and would be lost when the data centre goes away. The
request does not say when that is, so they are moved with as little notice to
callers as possible: not before the drain has lasted a while, only to room
that is there, and few tasks of a step at once. Gangs stay, as a move would
end all members together; they are started elsewhere when their endpoints
leave.
"""

import attrs

from samphiregate.core.cells import _isolation
from samphiregate.core.cells import _tasks

SETTLE_MS = 2_000  # a drain that is taken back before moves nothing
INTERVAL_MS = 100  # between two rounds of moves
# From the order to stop until the next start: no ticket may expire and no
# other task take the room until then.
MOVE_MS = 1_000
FULL_PERCENT = 100


@attrs.frozen
class _Move:
    """A move in progress: a run that is stopped, and where room is held."""

    booking: object
    endpoint_id: str
    until_ms: int

    def needs_room(self, now_ms):
        """Whether the task has yet to start anew."""
        task = self.booking.task
        runs = task.bookings_by_run
        return (
            now_ms < self.until_ms
            and task.needs_run
            and (not runs or self.booking.run in runs)
        )


class DrainMoves:
    """Decides which runs are moved off drained data centres, and when.

    Parameters
    ----------
    cell_state : CellState
    """

    def __init__(self, *, cell_state):
        self._cell_state = cell_state
        self._moves = []
        self._next_ms = 0

    def held_ids(self, now_ms):
        """Returns the endpoints whose room is held for moves in progress."""
        if not self._moves:
            return set()
        self._moves = [one for one in self._moves if one.needs_room(now_ms)]
        return {one.endpoint_id for one in self._moves}

    def movable(self, now_ms):
        """Yields stages with the runs of theirs that may be moved now.

        At most `max_unavailable` tasks of a step are away at once, for
        whatever cause; one, if the step does not say how many may be.
        """
        drained = self._cell_state.drained_data_centres
        if not drained.since_ms_by_name or now_ms < self._next_ms:
            return
        self._next_ms = now_ms + INTERVAL_MS
        for stage, bookings in self._find_runs(now_ms).items():
            max_away = max(stage.step.max_unavailable, 1)
            count = max_away - self._count_away(stage)
            if count > 0 and self._is_within_limit(stage):
                yield stage, bookings[:count]

    def begin(self, booking, endpoint, now_ms):
        """Stops a run; its task starts anew where there is room for it."""
        self._moves.append(
            _Move(booking, endpoint.endpoint_id, now_ms + MOVE_MS)
        )
        self._cell_state.log_decision(
            "run moved off",
            booking.task.task_id.job_id,
            task=booking.task.task_id.position,
            run=booking.run,
            endpoint=booking.endpoint_id,
            reason="data centre drained",
        )
        self._cell_state.stop(booking, now_ms)

    def _find_runs(self, now_ms):
        """Returns the long-running runs that work there, by stage."""
        drained = self._cell_state.drained_data_centres
        bookings_by_stage = {}
        for endpoint in self._cell_state.endpoint_by_id.values():
            drained_ms = drained.drained_ms(endpoint, now_ms)
            if drained_ms is None or drained_ms < SETTLE_MS:
                continue
            if endpoint.registration.draining:
                continue  # its runs are moved off by another check
            for booking in endpoint.bookings_in(_tasks.RunState.RUNNING):
                if self._is_movable(booking):
                    stage = booking.task.stage
                    bookings_by_stage.setdefault(stage, []).append(booking)
        return bookings_by_stage

    def _is_movable(self, booking):
        return (
            booking.step.long_running
            and not booking.step.gang
            and booking.task.needs_run
            and self._is_at_work(booking)
            and not _isolation.needs_isolation(self._cell_state, booking.task)
        )

    def _is_within_limit(self, stage):
        """Whether the account may start again what it stops."""
        account = stage.entry.job.account
        nothing = stage.step.demand.scaled_by(0)
        return self._cell_state.account_limits.allows(account, nothing)

    def _count_away(self, stage):
        """Returns how many tasks of a stage have no run known to work."""
        return sum(
            not any(map(self._is_at_work, task.bookings_by_run.values()))
            for task in stage.tasks
        )

    def _is_at_work(self, booking):
        endpoint = self._cell_state.endpoint_by_id[booking.endpoint_id]
        return (
            booking.state is _tasks.RunState.RUNNING
            and booking.percent >= FULL_PERCENT
            and not endpoint.failed_polls
        )
