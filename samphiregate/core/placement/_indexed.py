"""Best fit through an index, with spreading, gangs and reservations."""

from samphiregate.core import base
from samphiregate.core import model
from samphiregate.core.placement import _gang
from samphiregate.core.placement import _grid
from samphiregate.core.placement import _index
from samphiregate.core.placement import _messages
from samphiregate.core.placement import _reservation
from samphiregate.core.placement import _spread
from samphiregate import parameters
import xxhash


class IndexedPlacement(base.Policy):
    """Base class of the placement policies that use an index.

    Notes
    -----
    A subclass that places single tasks differently overrides
    `_place_anywhere`.
    """

    def __init__(
        self,
        *,
        cells,
        probes,
        spread_candidates,
        reservation_ms,
        random_state=None,
    ):
        self.reservation_ms = reservation_ms
        self.cells = cells
        self.probes = probes
        self.spread_candidates = spread_candidates
        self.random_state = random_state
        self.check_parameters()
        self.search_limits_ = _grid.SearchLimits(cells, probes)
        self.index_ = _index.WorkerIndex()
        self.spread_ = _spread.SpreadCounter()
        self.reservations_ = _reservation.ReservationTable(
            self.index_, reservation_ms
        )

    @base.singledispatchmethod
    def observe(self, event, now_ms):
        """Applies a placement event; other events are ignored."""

    @observe.register
    def _(self, event: _messages.WorkerRoomChanged, now_ms):
        # Negative amounts count as zero in the index.
        room = event.room
        if min(room.cpu_millis, room.memory_mib, room.accelerators) < 0:
            room = model.Resources(
                max(room.cpu_millis, 0),
                max(room.memory_mib, 0),
                max(room.accelerators, 0),
            )
        self._worker_changed(event.worker, room)

    @observe.register
    def _(self, event: _messages.WorkerRemoved, now_ms):
        self.reservations_.remove_worker(event.worker_id)
        self._worker_removed(event.worker_id)

    @observe.register
    def _(self, event: _messages.TaskPlaced, now_ms):
        record = self.index_.records_by_id.get(event.worker_id)
        rack = record.worker.rack if record else ""
        self.spread_.add(event.job_id, rack, event.worker_id)
        if record is not None:
            latest_ms = max(record.expected_end_ms, event.expected_end_ms)
            record.expected_end_ms = latest_ms

    @observe.register
    def _(self, event: _messages.TaskRemoved, now_ms):
        self.spread_.remove(event.job_id, event.worker_id)

    @observe.register
    def _(self, event: _messages.GangStarved, now_ms):
        self.reservations_.request(
            event.job_id, event.resources, event.count, now_ms
        )

    @observe.register
    def _(self, event: _messages.GangWithdrawn, now_ms):
        self.reservations_.withdraw(event.job_id, now_ms)

    @base.singledispatchmethod
    def choose(self, question, now_ms):
        """Answers `PlaceTask` and `PlaceGang`; None if nothing fits."""
        raise TypeError(
            f"expected PlaceTask or PlaceGang, not {type(question).__name__}"
        )

    @choose.register
    def _(self, question: _messages.PlaceTask, now_ms):
        record = self._place_reserved(question)
        if record is None and question.work_class is model.WorkClass.SERVICE:
            record = self._place_spread(question)
        if record is None:
            record = self._place_anywhere(question)
        if record is None:
            record = self.reservations_.backfill(question, now_ms)
        return record.worker_id if record is not None else None

    @choose.register
    def _(self, question: _messages.PlaceGang, now_ms):
        reserved = self.reservations_.records_for(question.job_id)
        return _gang.place_gang(
            self.index_, question, reserved, self.search_limits_
        )

    def describe(self):
        """Returns counts of workers, spread jobs and reserved workers."""
        active = self.reservations_.active
        return {
            "policy": type(self).__name__,
            "workers": len(self.index_.records_by_id),
            "jobs": len(self.spread_),
            "reserved_for": active.job_id if active else None,
            "reserved": len(active.records_by_id) if active else 0,
        }

    def _place_reserved(self, question):
        for record in self.reservations_.records_for(question.job_id):
            if record.worker_id in question.excluded_workers:
                continue
            if question.resources.fits_in(record.room):
                return record
        return None

    def _worker_changed(self, worker, room):
        self.index_.update(worker, room)

    def _worker_removed(self, worker_id):
        self.index_.remove(worker_id)

    def _place_anywhere(self, question):
        return self._place_best_fit(question)

    def _place_best_fit(self, question):
        need = question.resources
        for grid in self.index_.grids_for(need):
            record = grid.best_fit(
                need, question.excluded_workers, self.search_limits_
            )
            if record is not None:
                return record
        return None

    def _place_spread(self, question):
        best, best_counts = None, None
        for record in self._spread_candidates(question):
            task_counts = self.spread_.task_counts(
                question.job_id, record.worker.rack, record.worker_id
            )
            if best is None or task_counts < best_counts:
                best, best_counts = record, task_counts
            if best_counts == (0, 0):
                break
        return best

    def _spread_candidates(self, question):
        start = xxhash.xxh32_intdigest(question.job_id.encode())
        remaining = self.spread_candidates
        for grid in self.index_.grids_for(question.resources):
            found = grid.candidates(
                question.resources, question.excluded_workers, start, remaining
            )
            for record in found:
                yield record
                remaining -= 1
                if not remaining:
                    return


class IndexedBestFit(IndexedPlacement):
    """Places on the worker with the best fit, found through an index.

    Parameters
    ----------
    cells : int
        Number of cells with a fitting worker that are compared.
    probes : int
        Number of workers of one cell that may be too small before the
        search continues with the next cell.
    spread_candidates : int
        Number of workers among which a replica of a service is placed on
        the rack with the fewest replicas of that service.
    reservation_ms : int
        How long workers are reserved for a starved gang, in milliseconds.
    random_state : random.Random or None
        Unused; accepted so that policies are interchangeable.

    Notes
    -----
    Started workers are preferred to empty ones, which are left free for
    gangs, and work without accelerators uses workers with accelerators
    last. The cost of a decision depends on the number of cells in use, not
    on the number of workers.

    A search can miss a fitting worker that is not reserved only if the
    worker has less than one eighth more CPU or memory than needed, and at
    least `probes` workers before it in its cell are too small.
    """

    parameter_table = {
        "cells": parameters.Interval(int, 1, 1_000),
        "probes": parameters.Interval(int, 1, 10_000),
        "spread_candidates": parameters.Interval(int, 1, 1_000),
        "reservation_ms": parameters.Interval(int, 1, 86_400_000),
    }

    def __init__(
        self,
        *,
        cells=8,
        probes=32,
        spread_candidates=16,
        reservation_ms=60_000,
        random_state=None,
    ):
        super().__init__(
            cells=cells,
            probes=probes,
            spread_candidates=spread_candidates,
            reservation_ms=reservation_ms,
            random_state=random_state,
        )
