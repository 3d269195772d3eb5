"""Teams sorted by a score."""

import bisect


class Ranking:
    """A sorted list of (score, name) pairs.

    Notes
    -----
    Finding a position takes O(log n) comparisons; an insertion moves the
    tail with one `memmove` of at most eight bytes per team.
    """

    __slots__ = ("_entries", "_score_by_name")

    def __init__(self):
        self._entries = []
        self._score_by_name = {}

    def __len__(self):
        return len(self._entries)

    def __iter__(self):
        return iter(self._entries)

    def highest(self):
        """Returns the name with the highest score, or None."""
        return self._entries[-1][1] if self._entries else None

    def set_score(self, name, score):
        """Sets the score of a name, which may be new."""
        old_score = self._score_by_name.get(name)
        if old_score == score:
            return
        if old_score is not None:
            self._remove_entry(name, old_score)
        self._score_by_name[name] = score
        bisect.insort(self._entries, (score, name))

    def remove(self, name):
        """Removes a name, if it is ranked."""
        score = self._score_by_name.pop(name, None)
        if score is not None:
            self._remove_entry(name, score)

    def _remove_entry(self, name, score):
        del self._entries[bisect.bisect_left(self._entries, (score, name))]
