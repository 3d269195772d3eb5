"""A set of whole numbers that takes little room where they are adjacent."""

import bisect


class NumberRanges:
    """Whole numbers from 0, kept as ranges of adjacent ones.

    Parameters
    ----------
    ranges : iterable of tuple
        First number and length of each range, in any order.
    """

    def __init__(self, ranges=()):
        self._firsts = []
        self._ends = []  # first number after each range
        for first, length in sorted(ranges):
            self._append(first, first + length)

    @classmethod
    def of(cls, numbers):
        """Returns the set of some numbers."""
        return cls((number, 1) for number in numbers)

    def _append(self, first, end):
        if self._ends and first <= self._ends[-1]:
            self._ends[-1] = max(self._ends[-1], end)
            return
        self._firsts.append(first)
        self._ends.append(end)

    def add(self, number):
        """Adds a number."""
        if number in self:
            return
        place = bisect.bisect(self._firsts, number)
        follows = place > 0 and self._ends[place - 1] == number
        leads = place < len(self._firsts) and self._firsts[place] == number + 1
        if follows and leads:
            self._ends[place - 1] = self._ends.pop(place)
            del self._firsts[place]
        elif follows:
            self._ends[place - 1] = number + 1
        elif leads:
            self._firsts[place] = number
        else:
            self._firsts.insert(place, number)
            self._ends.insert(place, number + 1)

    def __contains__(self, number):
        place = bisect.bisect(self._firsts, number) - 1
        return place >= 0 and number < self._ends[place]

    def __len__(self):
        return sum(self._ends) - sum(self._firsts)

    def __iter__(self):
        for first, end in zip(self._firsts, self._ends, strict=True):
            yield from range(first, end)

    def rows(self):
        """Returns the first number and the length of each range."""
        return tuple(
            (first, end - first)
            for first, end in zip(self._firsts, self._ends, strict=True)
        )
