"""Reservation of workers for a gang that has waited too long."""

import attrs

from samphiregate.core import model
from samphiregate.core.placement import _index


@attrs.define
class Reservation:
    """A starved gang and the workers that are reserved for it.

    Parameters
    ----------
    records_by_id : dict of str to WorkerRecord
        Reserved workers; the only other work that they accept is work that
        ends in time (backfill).
    since_ms : int
        When the reservation started, monotonic milliseconds.
    drained_units : int
        Number of tasks that fit on these workers once all other work there
        has ended.
    """

    job_id: str
    resources: model.Resources
    count: int
    since_ms: int = 0
    records_by_id: dict = attrs.field(factory=dict)
    drained_units: int = 0

    def shadow_ms(self):
        """Returns when the last task on the reserved workers is due to end."""
        return max(
            (each.expected_end_ms for each in self.records_by_id.values()),
            default=0,
        )

    def add(self, record):
        """Reserves a worker for the gang."""
        self.records_by_id[record.worker_id] = record
        self.drained_units += self.units_on(record)

    def units_on(self, record):
        """Returns how many tasks fit on a worker once it is drained."""
        return _index.fitting_units(record.worker.capacity, self.resources)


class ReservationTable:
    """Reserves workers for one starved gang at a time, in order of requests.

    Parameters
    ----------
    index : WorkerIndex
        Index; reserved workers are removed from their grids, and added
        again afterwards.
    lifetime_ms : int
        How long workers are reserved for one gang, in milliseconds.

    Notes
    -----
    There is one reservation at a time, so that two gangs never each hold a
    part of what both need. A repeated request extends the reservation by
    the size of the gang, because some of the reserved workers may run
    services and never drain. A gang that is too large for all workers
    together gets no reservation. A reservation that has not led to a start
    within its lifetime is replaced by that of the next gang.
    """

    def __init__(self, index, lifetime_ms):
        self._index = index
        self._lifetime_ms = lifetime_ms
        self.active = None
        self._waiting_by_job = {}

    def request(self, job_id, resources, count, now_ms):
        """Reserves workers for a gang, or queues its request."""
        active = self.active
        if active and now_ms - active.since_ms >= self._lifetime_ms:
            self.withdraw(active.job_id, now_ms)
        if self.active is None:
            self.active = Reservation(job_id, resources, count, now_ms)
        if self.active.job_id != job_id:
            self._waiting_by_job[job_id] = (resources, count)
            return
        self._extend(self.active)
        if self.active.drained_units < count:
            self.withdraw(job_id, now_ms)

    def withdraw(self, job_id, now_ms):
        """Deletes the request of a gang, or ends its active reservation.

        When a reservation ends, that of the next gang starts.
        """
        self._waiting_by_job.pop(job_id, None)
        if self.active is None or self.active.job_id != job_id:
            return
        for record in self.active.records_by_id.values():
            self._index.add_to_grid(record)
        self.active = None
        if self._waiting_by_job:
            next_id = next(iter(self._waiting_by_job))
            resources, count = self._waiting_by_job.pop(next_id)
            self.request(next_id, resources, count, now_ms)

    def remove_worker(self, worker_id):
        """Removes a worker from the active reservation."""
        if self.active is None:
            return
        record = self.active.records_by_id.pop(worker_id, None)
        if record is not None:
            self.active.drained_units -= self.active.units_on(record)

    def records_for(self, job_id):
        """Returns the workers reserved for a gang, largest room first."""
        if self.active is None or self.active.job_id != job_id:
            return []
        need = self.active.resources
        records = self.active.records_by_id.values()
        return sorted(records, key=lambda each: -each.fitting_units(need))

    def backfill(self, question, now_ms):
        """Returns a reserved worker on which a task would end in time.

        Returns None if there is no such worker.
        """
        if self.active is None or not question.run_time_ms:
            return None
        if now_ms + question.run_time_ms > self.active.shadow_ms():
            return None
        for record in self.active.records_by_id.values():
            if record.worker_id in question.excluded_workers:
                continue
            if question.resources.fits_in(record.room):
                return record
        return None

    def _extend(self, reservation):
        target = reservation.drained_units + reservation.count
        for record in self._largest_first(reservation.resources):
            if reservation.drained_units >= target:
                return
            self._index.remove_from_grid(record)
            reservation.add(record)

    def _largest_first(self, need):
        zero_need = model.Resources(0, 0, 0)
        for grid in reversed(list(self._index.grids_for(zero_need))):
            for _position, cell in grid.cells_from_largest(zero_need):
                for record in list(cell):
                    capacity = record.worker.capacity
                    if _index.fitting_units(capacity, need):
                        yield record
