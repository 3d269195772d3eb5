"""Short holds on resources and tokens, so that a gang starts as a whole."""

import attrs

from samphiregate.core import model
from samphiregate.core import placement
from samphiregate.core.workers import _peer


@attrs.define
class Hold:
    """Places held for one gang until `until_ms`.

    Parameters
    ----------
    places : list of tuple of model.TaskId and str
        Placeholder task id of each booked place, and its worker id.
    """

    reservation: str
    team: str
    until_ms: int
    places: list[tuple[model.TaskId, str]] = attrs.field(factory=list)


@attrs.define
class StarvedGang:
    """A gang for which workers are drained.

    Parameters
    ----------
    requested_ms : int
        When it last requested places.
    next_drain_ms : int
        When more workers are drained, if it is still waiting.
    """

    requested_ms: int
    next_drain_ms: int = 0


class GangHolds:
    """Holds resources for gangs on the workers of one entry VM.

    Parameters
    ----------
    ledger : Ledger
        Bookings and tokens.
    starved_ms : int
        Waiting time after which workers are drained for a gang. Also the
        time between two requests to drain, and the time after the gang's
        last request at which draining ends.

    Notes
    -----
    A hold never waits for another one: it takes what is free now and expires
    by itself, so partly placed gangs cannot deadlock.
    """

    def __init__(self, *, ledger, starved_ms):
        self._ledger = ledger
        self._starved_ms = starved_ms
        self.holds_by_id_ = {}
        self.starved_by_job_ = {}

    def reserve(self, message, now_ms):
        """Holds up to the requested number of places; returns the answer."""
        self.release(message.reservation, now_ms)
        until_ms = now_ms + message.hold_ms
        hold = Hold(message.reservation, message.team, until_ms)
        self.holds_by_id_[message.reservation] = hold
        limited = False
        for index in range(message.count):
            if not self._ledger.tokens.acquire(message.team, now_ms):
                limited = True
                break
            if not self._reserve_place(hold, message, index, now_ms):
                self._ledger.tokens.release(message.team, now_ms)
                break
        self._drain_if_starved(message, len(hold.places), now_ms)
        return _peer.GangReserved(
            message.reservation, len(hold.places), limited
        )

    def pop_place(self, reservation, now_ms):
        """Removes one held place and returns its worker, or None.

        None means that no place is left, or that its worker is no longer
        usable. The caller takes over the token and has to book the freed
        resources in the same step.
        """
        hold = self.holds_by_id_.get(reservation)
        if hold is None or not hold.places:
            return None
        task_id, worker_id = hold.places.pop()
        if not self._release_place(task_id, worker_id, now_ms):
            self._ledger.tokens.release(hold.team, now_ms)
            return None
        return worker_id

    def release(self, reservation, now_ms):
        """Releases the remaining places of a hold."""
        hold = self.holds_by_id_.pop(reservation, None)
        if hold is None:
            return
        for task_id, worker_id in hold.places:
            self._release_place(task_id, worker_id, now_ms)
            self._ledger.tokens.release(hold.team, now_ms)

    def expire(self, now_ms):
        """Releases expired holds and stops draining for inactive gangs."""
        for hold in tuple(self.holds_by_id_.values()):
            if now_ms >= hold.until_ms:
                self.release(hold.reservation, now_ms)
        self._expire_starved(now_ms)

    def _drain_if_starved(self, message, held, now_ms):
        """Requests that workers are drained if a gang waits for too long."""
        if message.waited_ms < self._starved_ms or held == message.count:
            return
        starved = self.starved_by_job_.setdefault(
            message.job_id, StarvedGang(now_ms)
        )
        starved.requested_ms = now_ms
        if now_ms >= starved.next_drain_ms:
            starved.next_drain_ms = now_ms + self._starved_ms
            count = min(
                message.count, self._places_when_drained(message.resources)
            )
            event = placement.GangStarved(
                message.job_id, message.resources, count
            )
            self._ledger.placement_policy.observe(event, now_ms)

    def _places_when_drained(self, resources):
        """Returns how many tasks fit on this VM's workers once drained."""
        return sum(
            placement.fitting_units(record.info.capacity, resources)
            for record in self._ledger.workers_by_id.values()
            if record.usable
        )

    def _expire_starved(self, now_ms):
        for job_id, starved in tuple(self.starved_by_job_.items()):
            if now_ms - starved.requested_ms >= self._starved_ms:
                del self.starved_by_job_[job_id]
                event = placement.GangWithdrawn(job_id)
                self._ledger.placement_policy.observe(event, now_ms)

    def _reserve_place(self, hold, message, index, now_ms):
        question = placement.PlaceGang(message.job_id, message.resources, 1)
        worker_ids = self._ledger.placement_policy.choose(question, now_ms)
        if worker_ids is None:
            return False
        (worker_id,) = worker_ids
        task_id = model.TaskId(message.reservation, index)
        record = self._ledger.workers_by_id[worker_id]
        record.allocation.set_booking(task_id, message.resources)
        self._ledger.refresh_room(record, now_ms)
        hold.places.append((task_id, worker_id))
        return True

    def _release_place(self, task_id, worker_id, now_ms):
        record = self._ledger.workers_by_id.get(worker_id)
        if record is None:
            return False
        record.allocation.release(task_id)
        self._ledger.refresh_room(record, now_ms)
        return record.usable
