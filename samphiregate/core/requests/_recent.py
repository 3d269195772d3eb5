"""Keys of recent attempts, for deduplication."""

import collections


class RecentAttempts:
    """Stores the keys of recent attempts; a repeated message is dropped.

    Parameters
    ----------
    max_count : int
        Maximum number of stored keys.
    """

    def __init__(self, max_count):
        self.max_count = max_count
        self._keys = collections.OrderedDict()

    def add(self, key):
        """Adds an attempt's key and returns whether it is new."""
        if key in self._keys:
            return False
        self._keys[key] = None
        if len(self._keys) > self.max_count:
            self._keys.popitem(last=False)
        return True
