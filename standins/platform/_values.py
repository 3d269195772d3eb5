"""Versioned values with compare-and-swap and waiting reads."""

import attrs
import gevent.event

MAX_VALUE_BYTES = 1_000_000


@attrs.frozen
class Entry:
    """A value and its version; version 0 stands for an absent key."""

    version: int = 0
    value: bytes = b""


@attrs.define
class Counts:
    """Calls since the start, and those of the busiest second."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    conflicts: int = 0
    over_rate: int = 0
    busiest_second: int = 0


class Rate:
    """Counts calls in each second against a limit."""

    def __init__(self, per_second):
        self.per_second = per_second
        self.in_second = 0
        self._second = None

    def take(self, now_ms):
        """Counts one call and returns whether it is within the limit."""
        second = now_ms // 1_000
        if second != self._second:
            self._second = second
            self.in_second = 0
        self.in_second += 1
        return self.in_second <= self.per_second


class KeyValues:
    """The key-value service.

    Parameters
    ----------
    reads_per_second, writes_per_second : int
        Calls above these rates are refused. A watch counts as a read.
    clock_ms : callable
        Returns the time in milliseconds.
    """

    def __init__(self, *, reads_per_second, writes_per_second, clock_ms):
        self.counts = Counts()
        self.read_rate = Rate(reads_per_second)
        self.write_rate = Rate(writes_per_second)
        self._clock_ms = clock_ms
        self._entries_by_key = {}
        self._previous_by_key = {}
        self._changed_by_key = {}

    def take_read(self):
        """Counts a read and returns whether it is within the rate."""
        self.counts.reads += 1
        return self._take(self.read_rate)

    def take_write(self):
        """Counts a write and returns whether it is within the rate."""
        self.counts.writes += 1
        return self._take(self.write_rate)

    def read(self, key, *, stale=False):
        """Returns the entry of a key, or with `stale` the one before."""
        entries = self._previous_by_key if stale else self._entries_by_key
        return entries.get(key, Entry())

    def wait(self, key, *, after, wait_ms):
        """Returns the entry, once its version is above `after` or not."""
        self.counts.watches += 1
        deadline_ms = self._clock_ms() + wait_ms
        while self.read(key).version <= after:
            left_ms = deadline_ms - self._clock_ms()
            if left_ms <= 0:
                break
            changed = self._changed_by_key.setdefault(
                key, gevent.event.Event()
            )
            changed.wait(left_ms / 1000)
        return self.read(key)

    def compare_and_swap(self, key, expected_version, value):
        """Writes `value` if the key is at a version.

        Returns
        -------
        tuple of bool and Entry
            Whether it was written, and the entry that stands now.
        """
        current = self.read(key)
        if current.version != expected_version:
            self.counts.conflicts += 1
            return False, current
        self._previous_by_key[key] = current
        entry = Entry(current.version + 1, value)
        self._entries_by_key[key] = entry
        changed = self._changed_by_key.pop(key, None)
        if changed is not None:
            changed.set()
        return True, entry

    def _take(self, rate):
        within = rate.take(self._clock_ms())
        self.counts.over_rate += not within
        self.counts.busiest_second = max(
            self.counts.busiest_second,
            self.read_rate.in_second + self.write_rate.in_second,
        )
        return within
