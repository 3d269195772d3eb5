"""A loop that runs in virtual time and repeats exactly."""

import heapq
import itertools


class VirtualLoop:
    """Calls functions in order of their virtual time, in milliseconds."""

    def __init__(self):
        self.now_ms = 0
        self._heap = []
        self._order = itertools.count()

    def after(self, delay_ms, function, *arguments):
        """Calls `function` once, `delay_ms` from now."""
        due_ms = self.now_ms + max(0, int(delay_ms))
        entry = (due_ms, next(self._order), function, arguments)
        heapq.heappush(self._heap, entry)

    def run_until(self, end_ms):
        """Runs everything that is due before `end_ms`."""
        while self._heap and self._heap[0][0] <= end_ms:
            due_ms, _, function, arguments = heapq.heappop(self._heap)
            self.now_ms = due_ms
            function(*arguments)
        self.now_ms = end_ms
