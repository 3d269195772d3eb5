"""FIFO queue of items with removal in constant time."""

import collections

SHRINK_FACTOR = 4
MIN_SHRINK_COUNT = 64


class Lane:
    """Items in order of arrival.

    Notes
    -----
    An `OrderedDict` finds its first and last entries in constant time even
    after many removals, where a plain dict has to scan past deleted slots.
    Neither releases memory on removal, so the items are copied once fewer
    than a quarter of the peak count remain, in amortised constant time.
    """

    __slots__ = ("_items_by_id", "_peak")

    def __init__(self):
        self._items_by_id = collections.OrderedDict()
        self._peak = 0

    def __len__(self):
        return len(self._items_by_id)

    def __iter__(self):
        return iter(self._items_by_id.values())

    def add(self, item, *, at_front=False):
        """Appends an item, or inserts it at the front."""
        self._items_by_id[item.item_id] = item
        if at_front:
            self._items_by_id.move_to_end(item.item_id, last=False)
        self._peak = max(self._peak, len(self._items_by_id))

    def remove(self, item_id):
        """Removes an item, which must be present."""
        del self._items_by_id[item_id]
        size = len(self._items_by_id)
        if self._peak > MIN_SHRINK_COUNT and size * SHRINK_FACTOR < self._peak:
            self._items_by_id = collections.OrderedDict(self._items_by_id)
            self._peak = size

    def first(self, skipped_items):
        """Returns the first item that is not skipped, or None."""
        for item_id, item in self._items_by_id.items():
            if item_id not in skipped_items:
                return item
        return None

    def last(self):
        """Returns the item at the back, or None."""
        if not self._items_by_id:
            return None
        return next(reversed(self._items_by_id.values()))
