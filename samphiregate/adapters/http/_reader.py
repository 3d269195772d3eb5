"""Reads what a client sends, in turn with the other connections."""

import io
import ssl

import gevent

BUFFER_BYTES = 4_096


class GaveWayError(OSError):
    """The connection was chosen to make room for others.

    Parameters
    ----------
    reason : Reason or None
        None if the server closes its idle connections.
    """

    def __init__(self, reason):
        super().__init__("the connection makes room for others")
        self.reason = reason


class ReceivedStream(io.RawIOBase):
    """The bytes that a connection receives.

    A client that sends faster than it is read never lets a read wait, so
    each read gives the other greenlets their turn first.

    Parameters
    ----------
    sock : gevent.socket.socket
    note_bytes : callable
        Takes the number of bytes received; may raise.

    Attributes
    ----------
    has_waited : bool
        Whether others ran since the last read, so that the next one need
        not wait for them.
    """

    def __init__(self, sock, note_bytes):
        super().__init__()
        self.has_waited = False
        self._gives_way = False
        self._reason = None
        self._socket = sock
        self._note_bytes = note_bytes

    @property
    def gave_way_for(self):
        """The `Reason` that was told to `stop`; None without one."""
        return self._reason

    def stop(self, reason):
        """Lets every further read raise `GaveWayError`."""
        self._gives_way = True
        self._reason = reason

    def readable(self):
        """Returns True."""
        return True

    def readinto(self, buffer):
        """Reads into `buffer`; returns the count, or None without any."""
        if not self.has_waited and self._socket.gettimeout() != 0:
            gevent.sleep(0)
        self.has_waited = False
        self._check()
        try:
            count = self._socket.recv_into(buffer)
        except (BlockingIOError, ssl.SSLWantReadError):
            return None
        except OSError:
            # What ended the wait may have been told to end it.
            self._check()
            raise
        self._check()
        self._note_bytes(count)
        self._check()
        return count

    def _check(self):
        # A new one each time: its traceback holds what was read so far.
        if self._gives_way:
            raise GaveWayError(self._reason)


def buffered(stream):
    """Returns a buffered reader of a `ReceivedStream`.

    The buffer is as long as a client may be read without giving way.
    """
    return io.BufferedReader(stream, BUFFER_BYTES)
