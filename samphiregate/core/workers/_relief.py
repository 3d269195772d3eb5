"""Ends or cuts running work where limits or workers are exceeded."""

from samphiregate.core import model
from samphiregate.core.workers import _messages
from samphiregate.core.workers import _peer
from samphiregate.core.workers import _records

NOTHING = model.Resources()


class Relief:
    """Stops the excess of lowered limits, and cuts back over-use.

    Parameters
    ----------
    ledger : Ledger
        Bookings.
    cut_ms : int
        Time that a cut is given to show in the worker's reports.
    """

    def __init__(self, *, ledger, cut_ms):
        self._ledger = ledger
        self._cut_ms = cut_ms
        self._next_cut_ms_by_worker = {}

    def enforce_limits(self, now_ms):
        """Ends what runs above a limit that was lowered, newest first."""
        for team in tuple(self._ledger.live_by_team):
            excess = self._ledger.tokens.excess(team)
            if excess > 0:
                self._end_excess(team, excess, now_ms)

    def cut_over_use(self, now_ms):
        """Gives back what workers are over-given, one step at a time.

        The steps are throttle, checkpoint and stop, for the task that is
        most above its booking.
        """
        for record in self._ledger.workers_by_id.values():
            if record.phase is not _records.WorkerPhase.READY:
                continue
            if record.book.excess() == NOTHING:
                self._next_cut_ms_by_worker.pop(record.info.worker_id, None)
                continue
            self._cut(record, now_ms)

    def _end_excess(self, team, excess, now_ms):
        bookings = tuple(self._ledger.live_by_team[team].values())
        ending = sum(
            booking.reason is not _peer.TaskReason.NONE for booking in bookings
        )
        candidates = sorted(
            reversed(bookings), key=lambda one: not one.checkpointable
        )
        for booking in candidates:
            if ending >= excess:
                return
            if booking.reason is not _peer.TaskReason.NONE:
                continue
            self._ledger.ask_end(
                booking, _peer.TaskReason.OVER_LIMIT, now_ms, checkpoint=True
            )
            ending += 1

    def _cut(self, record, now_ms):
        worker_id = record.info.worker_id
        if now_ms < self._next_cut_ms_by_worker.get(worker_id, 0):
            return
        booking = self._most_over(record)
        if booking is None:
            return
        self._next_cut_ms_by_worker[worker_id] = now_ms + self._cut_ms
        booking.cuts += 1
        attempt = booking.attempt_id
        if booking.cuts == 1:
            command = _messages.ThrottleTask(
                attempt.task_id, attempt.attempt, booking.resources
            )
            record.commands.append(command)
            return
        self._ledger.ask_end(
            booking, _peer.TaskReason.OVER_USE, now_ms, checkpoint=True
        )

    def _most_over(self, record):
        running = [
            booking
            for booking in record.bookings_by_id.values()
            if booking.state == _records.RUNNING
            and booking.reason is _peer.TaskReason.NONE
        ]
        if not running:
            return None
        return max(running, key=lambda one: self._over(record, one))

    def _over(self, record, booking):
        used = record.used_by_task.get(booking.attempt_id.task_id, NOTHING)
        over = used - booking.resources
        return over.dominant_share(record.info.capacity)
