"""Decides which connections give way when there are too many, or too large.

Both answer the load of clients that open connections or begin requests and
don't finish them. A connection whose request was read whole never gives way.
"""

import collections
import enum

import gevent.event

CLOSING_PART = 8  # one in so many connections may be closing besides


class Reason(enum.Enum):
    """Why a connection was closed or a request refused."""

    CONNECTIONS = "connections"
    READING = "reading"
    HEAD = "head"
    BODY = "body"
    FRAMING = "framing"
    IDLE = "idle-timeout"
    SLOW_HEAD = "head-timeout"
    SLOW_BODY = "body-timeout"
    SLOW_READER = "write-timeout"


class Admission:
    """Holds the open connections of a server and what they have sent.

    Parameters
    ----------
    limits : ServerLimits
    on_turned_away : callable
        Takes the `Reason` of each connection closed or request refused.

    Attributes
    ----------
    reading_bytes : int
        Bytes of the requests that are being read.
    turned_away : collections.Counter
        Number of connections closed and requests refused, by `Reason`.

    Notes
    -----
    A connection is any object with a method ``give_way(reason)``, which
    ends what it waits for. Among too many connections the one goes first
    that has waited longest for the end of its request: a sound client is
    done soon, however many others there are. Among too many bytes the
    largest request goes first: a sound one is small.
    """

    def __init__(self, limits, on_turned_away=lambda reason: None):
        self.max_connections = limits.max_connections
        self.max_reading_bytes = limits.max_reading_bytes
        self.reading_bytes = 0
        self.turned_away = collections.Counter()
        self._on_turned_away = on_turned_away
        self._open = set()
        self._empty = gevent.event.Event()
        self._empty.set()
        # In the order in which they began to wait for a request.
        self._bytes_by_waiting = {}

    def __len__(self):
        return len(self._open)

    def __iter__(self):
        return iter(tuple(self._open))

    @property
    def idle_count(self):
        """Number of connections that have sent nothing of a request."""
        sizes = self._bytes_by_waiting.values()
        return sum(size == 0 for size in sizes)

    def open(self, connection):
        """Takes in a connection, which waits for its first request.

        Returns
        -------
        bool
            False if there are too many, and none of them can give way.
        """
        if not self._has_room():
            self.note(Reason.CONNECTIONS)
            return False
        self._open.add(connection)
        self._empty.clear()
        self.set_waiting(connection)
        return True

    def close(self, connection):
        """Takes in the end of a connection."""
        self._forget(connection)
        self._open.discard(connection)
        if not self._open:
            self._empty.set()

    def set_waiting(self, connection):
        """Notes that a connection waits for its next request."""
        self._forget(connection)
        if connection in self._open:
            self._bytes_by_waiting[connection] = 0

    def set_busy(self, connection):
        """Notes that a connection has sent a whole request."""
        self._forget(connection)

    def add_bytes(self, connection, size):
        """Notes `size` more bytes of a request that is being read."""
        if connection not in self._bytes_by_waiting:
            return
        self._bytes_by_waiting[connection] += size
        self.reading_bytes += size
        while self.reading_bytes > self.max_reading_bytes:
            largest = max(
                self._bytes_by_waiting, key=self._bytes_by_waiting.get
            )
            self._turn_away(largest, Reason.READING)

    def note(self, reason):
        """Counts a connection closed or request refused for a reason."""
        self.turned_away[reason] += 1
        self._on_turned_away(reason)

    def close_idle(self):
        """Closes the connections that have sent nothing of a request."""
        for connection, size in tuple(self._bytes_by_waiting.items()):
            if size == 0:
                self._forget(connection)
                connection.give_way(None)

    def wait_empty(self, timeout_ms):
        """Waits until no connection is open; returns whether that is so."""
        return self._empty.wait(timeout_ms / 1000)

    def _has_room(self):
        """Whether one more may open; one that waits gives way if need be."""
        if len(self._open) < self.max_connections:
            return True
        closing_most = max(self.max_connections // CLOSING_PART, 1)
        if len(self._open) >= self.max_connections + closing_most:
            return False
        for connection in self._bytes_by_waiting:
            self._turn_away(connection, Reason.CONNECTIONS)
            return True
        return False

    def _turn_away(self, connection, reason):
        self.note(reason)
        self._forget(connection)
        connection.give_way(reason)

    def _forget(self, connection):
        size = self._bytes_by_waiting.pop(connection, 0)
        self.reading_bytes -= size
