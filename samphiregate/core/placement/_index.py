"""Index of workers by kind and room."""

import attrs

from samphiregate.core import model
from samphiregate.core.placement import _grid

UNBOUNDED_UNITS = 1 << 30


@attrs.define(eq=False)
class WorkerRecord:
    """Entry of one worker in the index.

    Parameters
    ----------
    grid_key : tuple or None
        Key of the worker's grid; None while the worker is reserved.
    position : tuple
        Row and column of its cell in the grid.
    expected_end_ms : int
        When the last of its tasks is expected to end, monotonic
        milliseconds; 0 if unknown.
    """

    worker: model.WorkerInfo
    room: model.Resources
    grid_key: tuple | None = None
    position: tuple = ()
    expected_end_ms: int = 0

    @property
    def worker_id(self):
        """Id of the worker."""
        return self.worker.worker_id

    def current_grid_key(self):
        """Returns the key of the grid that matches the current room.

        Notes
        -----
        Keys sort in the order in which work without accelerators uses
        workers: workers without accelerators first, started before empty,
        fewest free accelerators first.
        """
        capacity = self.worker.capacity
        is_empty = self.room == capacity
        return (capacity.accelerators > 0, is_empty, self.room.accelerators)

    def fitting_units(self, need):
        """Returns how many units of `need` fit into the room."""
        return fitting_units(self.room, need)


def fitting_units(room, need):
    """Returns how many units of `need` fit into `room`."""
    pairs = (
        (room.cpu_millis, need.cpu_millis),
        (room.memory_mib, need.memory_mib),
        (room.accelerators, need.accelerators),
    )
    units = (free // need_amount for free, need_amount in pairs if need_amount)
    return max(min(units, default=UNBOUNDED_UNITS), 0)


class WorkerIndex:
    """Workers in one grid per kind: accelerators, empty or started."""

    def __init__(self):
        self.records_by_id = {}
        self.grids_by_key = {}
        self._grid_keys = []

    def update(self, worker, room):
        """Adds a worker, or moves it to the cell of its new room."""
        record = self.records_by_id.get(worker.worker_id)
        if record is None:
            record = WorkerRecord(worker, room)
            self.records_by_id[worker.worker_id] = record
            self.add_to_grid(record)
            return record
        if record.worker is worker and record.room == room:
            return record
        was_in_grid = record.grid_key is not None
        if was_in_grid:
            self.remove_from_grid(record)
        record.worker = worker
        record.room = room
        if room == worker.capacity:
            record.expected_end_ms = 0
        if was_in_grid:
            self.add_to_grid(record)
        return record

    def remove(self, worker_id):
        """Removes a worker and returns its record, or None."""
        record = self.records_by_id.pop(worker_id, None)
        if record is not None and record.grid_key is not None:
            self.remove_from_grid(record)
        return record

    def add_to_grid(self, record):
        """Adds a record to the grid that matches its room."""
        record.grid_key = record.current_grid_key()
        grid = self.grids_by_key.get(record.grid_key)
        if grid is None:
            grid = self.grids_by_key[record.grid_key] = _grid.Grid()
            self._grid_keys = sorted(self.grids_by_key)
        grid.add(record)

    def remove_from_grid(self, record):
        """Removes a record from its grid, but not from the index."""
        self.grids_by_key[record.grid_key].remove(record)
        record.grid_key = None

    def grids_for(self, need, *, empty_first=False):
        """Yields the grids that may have room, in order of preference.

        Parameters
        ----------
        need : model.Resources
            Resources that have to fit.
        empty_first : bool
            Whether empty workers are preferred to started ones.
        """
        accelerators = need.accelerators
        grid_keys = self._grid_keys
        if empty_first:
            grid_keys = sorted(grid_keys, key=lambda grid_key: not grid_key[1])
        for grid_key in grid_keys:
            if grid_key[2] >= accelerators:
                grid = self.grids_by_key[grid_key]
                if grid.worker_count:
                    yield grid
