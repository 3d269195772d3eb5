"""Keys that were seen lately."""

import collections


class RecentKeys:
    """Remembers the last keys, so that a repeated message is dropped.

    Parameters
    ----------
    most : int
        Keys that are remembered.
    """

    def __init__(self, max_count):
        self.max_count = max_count
        self._keys = collections.OrderedDict()

    def add(self, key):
        """Takes in a key and returns whether it is new."""
        if key in self._keys:
            return False
        self._keys[key] = None
        if len(self._keys) > self.max_count:
            self._keys.popitem(last=False)
        return True
