"""Open connections of callers: how many, and which are idle."""

import gevent.event


class ConnectionTable:
    """Counts connections and closes the longest idle ones above a bound.

    Parameters
    ----------
    most : int
        Connections at a time.
    """

    def __init__(self, most):
        self.most = most
        self._open = set()
        self._idle = {}
        self._empty = gevent.event.Event()
        self._empty.set()

    def __len__(self):
        return len(self._open)

    @property
    def idle_count(self):
        """Number of connections that wait for their next request."""
        return len(self._idle)

    def opened(self, sock):
        """Takes in a new connection.

        Returns
        -------
        bool
            False if there are too many, and none of them is idle.
        """
        if len(self._open) >= self.most and not self._close_longest_idle():
            return False
        self._open.add(sock)
        self._empty.clear()
        return True

    def closed(self, sock):
        """Takes in the end of a connection."""
        self._idle.pop(sock, None)
        self._open.discard(sock)
        if not self._open:
            self._empty.set()

    def set_idle(self, sock):
        """Notes that a connection waits for its next request."""
        if sock in self._open:
            self._idle[sock] = None

    def set_busy(self, sock):
        """Notes that a request has begun on a connection."""
        self._idle.pop(sock, None)

    def close_idle(self):
        """Closes every connection that waits for its next request."""
        while self._close_longest_idle():
            pass

    def wait_empty(self, timeout_ms):
        """Waits until no connection is open; returns whether that is so."""
        return self._empty.wait(timeout_ms / 1000)

    def _close_longest_idle(self):
        if not self._idle:
            return False
        sock = next(iter(self._idle))
        del self._idle[sock]
        self._open.discard(sock)
        if not self._open:
            self._empty.set()
        _shut_down(sock)
        return True


def _shut_down(sock):
    """Ends a connection; its greenlet then reads the end and closes it."""
    try:
        sock.shutdown(2)
    except OSError:
        pass
