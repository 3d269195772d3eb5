"""Teams in the order of a score."""

import bisect


class Ranking:
    """A sorted list of scores and names.

    Notes
    -----
    Finding a place costs O(log n) comparisons; the move of the tail is one
    `memmove` of at most eight bytes a team.
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
        """Ranks a name, in place of its earlier score."""
        old_score = self._score_by_name.get(name)
        if old_score == score:
            return
        if old_score is not None:
            self._remove_entry(name, old_score)
        self._score_by_name[name] = score
        bisect.insort(self._entries, (score, name))

    def remove(self, name):
        """Takes a name out, if it is ranked."""
        score = self._score_by_name.pop(name, None)
        if score is not None:
            self._remove_entry(name, score)

    def _remove_entry(self, name, score):
        del self._entries[bisect.bisect_left(self._entries, (score, name))]
