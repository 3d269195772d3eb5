"""Workers grouped in cells by free CPU and memory."""

import attrs

from samphiregate.core.placement import _cell

MANTISSA_BITS = 3
LEFTOVER_WEIGHT = 0.01
BUCKETS_PER_DOUBLING = 1 << MANTISSA_BITS


@attrs.frozen
class SearchLimits:
    """Limits of a search.

    Parameters
    ----------
    cells : int
        Number of cells with a fitting worker that are compared.
    probes : int
        Number of workers of one cell that may be too small before the
        search continues with the next cell.
    """

    cells: int
    probes: int


def imbalance(record, need):
    """Returns a score of the room that is left after placing; lower is better.

    It is the difference of the free shares of CPU and memory, plus
    `LEFTOVER_WEIGHT` times their sum, so that of similarly balanced workers
    the fullest is chosen.
    """
    capacity, room = record.worker.capacity, record.room
    cpu = (room.cpu_millis - need.cpu_millis) / (capacity.cpu_millis or 1)
    memory = (room.memory_mib - need.memory_mib) / (capacity.memory_mib or 1)
    return abs(cpu - memory) + LEFTOVER_WEIGHT * (cpu + memory)


def bucket_of(amount):
    """Returns the number of the logarithmic bucket that holds an amount.

    Each amount below `BUCKETS_PER_DOUBLING` has its own bucket; from there
    on, each doubling has that many buckets.
    """
    if amount < BUCKETS_PER_DOUBLING:
        return max(amount, 0)
    shift = amount.bit_length() - MANTISSA_BITS - 1
    return (shift << MANTISSA_BITS) + (amount >> shift)


def bucket_min(bucket):
    """Returns the smallest amount of a bucket."""
    if bucket < 2 * BUCKETS_PER_DOUBLING:
        return bucket
    shift = (bucket >> MANTISSA_BITS) - 1
    return (
        (bucket & (BUCKETS_PER_DOUBLING - 1)) + BUCKETS_PER_DOUBLING
    ) << shift


def set_bits_from(bits, low):
    """Yields the positions of set bits from `low` upwards."""
    bits = bits >> low << low
    while bits:
        lowest = bits & -bits
        yield lowest.bit_length() - 1
        bits ^= lowest


class Grid:
    """Cells by bucket of CPU (row) and of memory (column).

    Notes
    -----
    Bitmaps mark the rows and cells that contain workers, so a search takes
    a few steps per row in use, independent of the number of workers. In the
    row and the column of the need itself a worker may be too small; there a
    bounded number of workers of each cell is checked.
    """

    __slots__ = ("_cells", "_columns_by_row", "_rows", "worker_count")

    def __init__(self):
        self._cells = {}
        self._columns_by_row = {}
        self._rows = 0
        self.worker_count = 0

    def add(self, record):
        """Adds a worker to the cell of the room in its record."""
        row = bucket_of(record.room.cpu_millis)
        column = bucket_of(record.room.memory_mib)
        record.position = (row, column)
        cell = self._cells.get(record.position)
        if cell is None:
            cell = self._cells[record.position] = _cell.GridCell()
            columns = self._columns_by_row.get(row, 0)
            self._columns_by_row[row] = columns | (1 << column)
            self._rows |= 1 << row
        cell.add(record)
        self.worker_count += 1

    def remove(self, record):
        """Removes a worker from the cell that it was added to."""
        row, column = record.position
        cell = self._cells[record.position]
        cell.remove(record)
        self.worker_count -= 1
        if len(cell):
            return
        del self._cells[record.position]
        self._columns_by_row[row] ^= 1 << column
        if not self._columns_by_row[row]:
            del self._columns_by_row[row]
            self._rows ^= 1 << row

    def best_fit(self, need, excluded, limits):
        """Returns a fitting worker with little and balanced room left.

        Parameters
        ----------
        need : model.Resources
            Resources that have to fit.
        excluded : frozenset of str
            Workers that must not be used.
        limits : SearchLimits
            Limits of the search.

        Returns
        -------
        WorkerRecord or None

        Notes
        -----
        Compares the first fitting worker of the first few cells, in
        ascending order of free CPU, and returns the one whose free shares of
        CPU and memory would be most balanced: unbalanced leftovers are hard
        to use.
        """
        best, best_score = None, None
        for record in self._fitting(need, excluded, limits):
            score = imbalance(record, need)
            if best is None or score < best_score:
                best, best_score = record, score
        return best

    def _fitting(self, need, excluded, limits):
        remaining = limits.cells
        first_column = bucket_of(need.memory_mib)
        for row in set_bits_from(self._rows, bucket_of(need.cpu_millis)):
            for column in set_bits_from(
                self._columns_by_row[row], first_column
            ):
                cell = self._cells[row, column]
                found = first_fitting(cell, need, excluded, limits.probes)
                if found is None:
                    continue
                yield found
                remaining -= 1
                if not remaining:
                    return

    def candidates(self, need, excluded, start, count):
        """Yields fitting workers.

        Cells are visited by ascending bucket of free CPU, then of free
        memory.

        Parameters
        ----------
        need : model.Resources
            Resources that have to fit.
        excluded : frozenset of str
            Workers that must not be used.
        start : int
            Position to start at in each cell.
        count : int
            Maximum number of workers of one cell.
        """
        first_column = bucket_of(need.memory_mib)
        for row in set_bits_from(self._rows, bucket_of(need.cpu_millis)):
            for column in set_bits_from(
                self._columns_by_row[row], first_column
            ):
                cell = self._cells[row, column]
                for record in cell.sample_evenly(start, count):
                    if record.worker_id in excluded:
                        continue
                    if need.fits_in(record.room):
                        yield record

    def cells_from_largest(self, need):
        """Returns the cells that may contain fitting workers.

        They are sorted by descending sum of row and column. Each comes with
        its position (row, column).
        """
        first_row = bucket_of(need.cpu_millis)
        first_column = bucket_of(need.memory_mib)
        positions = [
            position
            for position in self._cells
            if position[0] >= first_row and position[1] >= first_column
        ]
        positions.sort(key=sum, reverse=True)
        return [(position, self._cells[position]) for position in positions]


def first_fitting(cell, need, excluded, probes):
    """Returns the first fitting worker of a cell, or None.

    Gives up after `probes` workers that are too small.
    """
    for record in cell:
        if record.worker_id in excluded:
            continue
        if need.fits_in(record.room):
            return record
        probes -= 1
        if not probes:
            return None
    return None
