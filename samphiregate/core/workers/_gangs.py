"""Short holds on room and tokens, so that a gang starts as a whole."""

import attrs

from samphiregate.core import model
from samphiregate.core import placement
from samphiregate.core.workers import _peer


@attrs.define
class Hold:
    """Places held for one gang until `until_ms`.

    Parameters
    ----------
    places : list of model.TaskId and worker id
        Booked under stand-in task ids.
    """

    reservation: str
    team: str
    until_ms: int
    places: list[tuple[model.TaskId, str]] = attrs.field(factory=list)


class GangHolds:
    """Holds room for gangs on the workers of one entry VM.

    Parameters
    ----------
    ledger : Ledger
        Bookings and tokens.

    Notes
    -----
    A hold never waits for another: it takes what is free now and lapses by
    itself. So half-placed gangs cannot block each other for good.
    """

    def __init__(self, *, ledger):
        self._ledger = ledger
        self.holds_by_id_ = {}

    def reserve(self, message, now_ms):
        """Holds up to the asked count and returns the answer."""
        self.release(message.reservation, now_ms)
        until_ms = now_ms + message.hold_ms
        hold = Hold(message.reservation, message.team, until_ms)
        self.holds_by_id_[message.reservation] = hold
        limited = False
        for index in range(message.count):
            if not self._ledger.tokens.acquire(message.team, now_ms):
                limited = True
                break
            if not self._hold_place(hold, message, index, now_ms):
                self._ledger.tokens.release(message.team, now_ms)
                break
        return _peer.GangReserved(
            message.reservation, len(hold.places), limited
        )

    def take(self, reservation, now_ms):
        """Returns the worker of one held place, or None if none is left.

        The caller inherits the token; the room is free and to be booked in
        the same step.
        """
        hold = self.holds_by_id_.get(reservation)
        if hold is None or not hold.places:
            return None
        task_id, worker_id = hold.places.pop()
        if not self._free(task_id, worker_id, now_ms):
            self._ledger.tokens.release(hold.team, now_ms)
            return None
        return worker_id

    def release(self, reservation, now_ms):
        """Gives the rest of a hold back."""
        hold = self.holds_by_id_.pop(reservation, None)
        if hold is None:
            return
        for task_id, worker_id in hold.places:
            self._free(task_id, worker_id, now_ms)
            self._ledger.tokens.release(hold.team, now_ms)

    def expire(self, now_ms):
        """Gives back holds whose time is over."""
        for hold in tuple(self.holds_by_id_.values()):
            if now_ms >= hold.until_ms:
                self.release(hold.reservation, now_ms)

    def _hold_place(self, hold, message, index, now_ms):
        question = placement.PlaceTask(
            message.job_id, model.WorkClass.GANG, message.resources
        )
        worker_id = self._ledger.rooms.choose(question, now_ms)
        if worker_id is None:
            return False
        task_id = model.TaskId(message.reservation, index)
        record = self._ledger.workers_by_id[worker_id]
        record.book.book(task_id, message.resources)
        self._ledger.refresh_room(record, now_ms)
        hold.places.append((task_id, worker_id))
        return True

    def _free(self, task_id, worker_id, now_ms):
        record = self._ledger.workers_by_id.get(worker_id)
        if record is None:
            return False
        record.book.release(task_id)
        self._ledger.refresh_room(record, now_ms)
        return record.usable
