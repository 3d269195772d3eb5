"""Workers in cells by their room, found by the tightest cell that fits."""

import attrs

from samphiregate.core.placement import _cell

MANTISSA_BITS = 3
LEFTOVER_WEIGHT = 0.01
MANTISSA = 1 << MANTISSA_BITS


@attrs.frozen
class SearchLimits:
    """How far a search goes.

    Parameters
    ----------
    cells : int
        Cells with a fitting worker that are compared.
    probes : int
        Workers of one cell that may prove too small before the next.
    """

    cells: int
    probes: int


def imbalance(record, need):
    """Returns how far apart the parts are that a worker would keep.

    Equal ones are told apart by what is left in all.
    """
    capacity, room = record.worker.capacity, record.room
    cpu = (room.cpu_millis - need.cpu_millis) / (capacity.cpu_millis or 1)
    memory = (room.memory_mib - need.memory_mib) / (capacity.memory_mib or 1)
    return abs(cpu - memory) + LEFTOVER_WEIGHT * (cpu + memory)


def bucket_of(amount):
    """Returns the number of the logarithmic bucket that holds an amount.

    Amounts below `MANTISSA` have a bucket each; above, there are `MANTISSA`
    buckets for each doubling.
    """
    if amount < MANTISSA:
        return max(amount, 0)
    shift = amount.bit_length() - MANTISSA_BITS - 1
    return (shift << MANTISSA_BITS) + (amount >> shift)


def bucket_min(bucket):
    """Returns the smallest amount of a bucket."""
    if bucket < 2 * MANTISSA:
        return bucket
    shift = (bucket >> MANTISSA_BITS) - 1
    return ((bucket & (MANTISSA - 1)) + MANTISSA) << shift


def set_bits_from(bits, low):
    """Yields the positions of set bits from `low` upwards."""
    bits = bits >> low << low
    while bits:
        lowest = bits & -bits
        yield lowest.bit_length() - 1
        bits ^= lowest


class Grid:
    """Cells by bucket of processor (row) and of memory (column).

    Notes
    -----
    Bitmaps tell which rows and cells hold workers, so that a search costs
    a few steps for each row in use, however many workers there are. In the
    row and the column of the need itself a worker may be too small: there
    a bounded number of each cell's workers is looked at.
    """

    __slots__ = ("_cells", "_columns_by_row", "_rows", "size")

    def __init__(self):
        self._cells = {}
        self._columns_by_row = {}
        self._rows = 0
        self.size = 0

    def add(self, record):
        """Enters a worker under the room in its record."""
        row = bucket_of(record.room.cpu_millis)
        column = bucket_of(record.room.memory_mib)
        record.position = (row, column)
        cell = self._cells.get(record.position)
        if cell is None:
            cell = self._cells[record.position] = _cell.Cell()
            columns = self._columns_by_row.get(row, 0)
            self._columns_by_row[row] = columns | (1 << column)
            self._rows |= 1 << row
        cell.add(record)
        self.size += 1

    def remove(self, record):
        """Takes a worker out of the cell that it was entered in."""
        row, column = record.position
        cell = self._cells[record.position]
        cell.remove(record)
        self.size -= 1
        if len(cell):
            return
        del self._cells[record.position]
        self._columns_by_row[row] ^= 1 << column
        if not self._columns_by_row[row]:
            del self._columns_by_row[row]
            self._rows ^= 1 << row

    def best_fit(self, need, excluded, limits):
        """Returns a worker that fits, with little and even room left.

        Parameters
        ----------
        need : model.Resources
            What has to fit.
        excluded : frozenset of str
            Workers that must not be used.
        search : Search
            How far to look.

        Returns
        -------
        WorkerRecord or None

        Notes
        -----
        Of the first few cells with a fitting worker, from little processor
        room upwards, the one is taken whose worker would keep the most even
        parts of its processor and memory: uneven rests find no use.
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
        """Yields workers that fit, the tighter cells first.

        Parameters
        ----------
        start : int
            Position to begin at in each cell.
        count : int
            Workers of one cell at most.
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
        """Returns the cells that may hold fitting workers, largest first."""
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
    """Returns the first member of a cell that fits, within the probes."""
    for record in cell:
        if record.worker_id in excluded:
            continue
        if need.fits_in(record.room):
            return record
        probes -= 1
        if not probes:
            return None
    return None
