"""Cell of the grid: a set of workers with access by position."""


class GridCell:
    """Workers of one bucket of free CPU and one of free memory.

    Notes
    -----
    A list and the position of each member in it: adding, removing and
    accessing a member by position take constant time. Unrelated to
    `core.cells`.
    """

    __slots__ = ("_members", "_position_by_id")

    def __init__(self):
        self._members = []
        self._position_by_id = {}

    def __len__(self):
        return len(self._members)

    def __iter__(self):
        return iter(self._members)

    def add(self, record):
        """Adds a worker, which must not be a member yet."""
        self._position_by_id[record.worker_id] = len(self._members)
        self._members.append(record)

    def remove(self, record):
        """Removes a member; the last member moves to its position."""
        position = self._position_by_id.pop(record.worker_id)
        last = self._members.pop()
        if last is not record:
            self._members[position] = last
            self._position_by_id[last.worker_id] = position

    def sample_evenly(self, start, count):
        """Yields up to `count` members at even distances.

        Parameters
        ----------
        start : int
            Position to start at, modulo the size.
        count : int
            Maximum number of members.
        """
        size = len(self._members)
        step = max(size // count, 1)
        for number in range(min(count, size)):
            yield self._members[(start + number * step) % size]
