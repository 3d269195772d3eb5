"""Serves one connection, with limits of what the client sends."""

import errno
import socket

import gevent
import gevent.event
from gevent import pywsgi
from gevent import ssl

from samphiregate.adapters.http import _admission
from samphiregate.adapters.http import _body_input
from samphiregate.adapters.http import _reader

READABLE = 1  # event mask of a gevent loop
LINGER_MS = 1_000
LINGER_BYTES = 262_144
LINGER_READ_BYTES = 16_384

BAD_REQUEST = "400 Bad Request"
REQUEST_TIMEOUT = "408 Request Timeout"
URI_TOO_LONG = "414 URI Too Long"
HEAD_TOO_LARGE = "431 Request Header Fields Too Large"
UNAVAILABLE = "503 Service Unavailable"

_Reason = _admission.Reason


class HeadTooLargeError(ValueError):
    """The head of a request exceeds the limit."""


class BoundedHandler(pywsgi.WSGIHandler):
    """Serves one connection of a `BoundedServer`."""

    def __init__(self, sock, address, server, rfile=None):
        sock.settimeout(server.limits.write_timeout_ms / 1000)
        self._stream = _reader.ReceivedStream(sock, self._note_bytes)
        rfile = rfile or _reader.buffered(self._stream)
        super().__init__(sock, address, server, rfile)
        self.wake = gevent.event.Event()
        self._is_serving = False

    @property
    def is_answering(self):
        """Whether a whole request was read and is not answered yet."""
        body = self.wsgi_input
        return self._is_serving and (body is None or body.is_complete)

    # What the admission calls

    def give_way(self, reason):
        """Ends the wait for the client's next bytes.

        Parameters
        ----------
        reason : Reason or None
            None if the server closes its idle connections.
        """
        self._stream.stop(reason)
        self.wake.set()
        # The answer can still be sent, but for TLS, which knows no half.
        how = socket.SHUT_RD
        if isinstance(self.socket, ssl.SSLSocket):
            how = socket.SHUT_RDWR
        try:
            self.socket.shutdown(how)
        except OSError:
            pass

    # What the library calls

    def handle(self):
        """Serves the requests of the connection."""
        if not self.server.admission.open(self):
            self._refuse_connection()
            return
        try:
            super().handle()
        finally:
            self.server.admission.close(self)

    def read_requestline(self):
        """Returns the next request line; empty when there is none."""
        self.server.admission.set_waiting(self)
        if not self._wait_for_input():
            self.rfile.close()
            self.socket.close()
            return ""
        try:
            with self._time_limit(self.server.limits.head_timeout_ms):
                line = super().read_requestline()
        except TimeoutError:
            self.server.admission.note(_Reason.SLOW_HEAD)
            raise
        if len(line) >= pywsgi.MAX_REQUEST_LINE:
            self.server.admission.note(_Reason.HEAD)
        return line

    def read_request(self, raw_requestline):
        """Reads the headers."""
        with self._time_limit(self.server.limits.head_timeout_ms):
            return super().read_request(raw_requestline)

    def MessageClass(self, lines, _seekable):
        """Parses headers up to a limit."""
        most = self.server.limits.max_head_bytes - len(self.requestline)
        return super().MessageClass(_BoundedLines(lines, most), 0)

    def get_environ(self):
        """Returns the WSGI environment, with a bounded body."""
        environ = super().get_environ()
        self.wsgi_input = _body_input.BodyInput(
            self.wsgi_input,
            max_framing_bytes=self.server.limits.max_framing_bytes,
            on_complete=self._set_busy,
        )
        environ["wsgi.input"] = self.wsgi_input
        environ["samphiregate.socket"] = self.socket
        return environ

    def handle_one_request(self):
        """Serves one request; answers those that can't be read."""
        result = super().handle_one_request()
        if isinstance(result, tuple):
            status, message = result
            if message == pywsgi._REQUEST_TOO_LONG_RESPONSE:
                message = self._refusal(URI_TOO_LONG)
            elif message == pywsgi._BAD_REQUEST_RESPONSE:
                message = self._refusal(BAD_REQUEST)
            self._send_last(message)
            return None
        if self.wsgi_input is not None and not self.wsgi_input.is_complete:
            if not self._makes_room():
                self._linger()
            return None
        return result

    def handle_one_response(self):
        """Calls the application and sends its answer."""
        self._is_serving = True
        if self.wsgi_input.is_complete:
            self._set_busy()
        try:
            super().handle_one_response()
        finally:
            self._is_serving = False

    def start_response(self, status, headers, exc_info=None):
        """Starts the answer; announces that the connection is closed.

        A connection on which another request was received stays open while
        the server drains.
        """
        self._skip_received_body()
        closes = self.server.closes_after_answer and not self._has_input()
        if closes or not self.wsgi_input.is_complete:
            headers = [*headers, ("Connection", "close")]
        return super().start_response(status, headers, exc_info)

    def log_request(self):
        """Writes no log line for a request."""

    def log_error(self, msg, *args):
        """Writes no log line for what clients do wrong."""

    def _sendall(self, data):
        try:
            super()._sendall(data)
        except TimeoutError as error:
            self.server.admission.note(_Reason.SLOW_READER)
            raise ConnectionResetError(
                errno.ECONNRESET, "the client does not read its answer"
            ) from error

    def _handle_client_error(self, ex):
        status = BAD_REQUEST
        if isinstance(ex, _reader.GaveWayError):
            status = UNAVAILABLE
        elif isinstance(ex, TimeoutError):
            status = REQUEST_TIMEOUT
            self.server.admission.note(_Reason.SLOW_HEAD)
        elif isinstance(ex, HeadTooLargeError) or "headers" in str(ex):
            status = HEAD_TOO_LARGE
            self.server.admission.note(_Reason.HEAD)
        return status.partition(" ")[0], self._refusal(status)

    # Its own steps

    def _time_limit(self, limit_ms):
        return gevent.Timeout(limit_ms / 1000, TimeoutError)

    def _note_bytes(self, count):
        self.server.admission.add_bytes(self, count)
        if self._is_serving:
            self.wsgi_input.note_received(count)

    def _set_busy(self):
        self.server.admission.set_busy(self)

    def _wait_for_input(self):
        """Waits for the next request; returns whether it has begun."""
        if self._has_input():
            return True
        if self.server.is_draining:
            return False
        watcher = self.server.loop.io(self.socket.fileno(), READABLE)
        watcher.start(self.wake.set)
        try:
            woken = self.wake.wait(self.server.limits.idle_timeout_ms / 1000)
        finally:
            watcher.stop()
            watcher.close()
        self.wake.clear()
        self._stream.has_waited = True
        if not woken:
            self.server.admission.note(_Reason.IDLE)
            return False
        return not self.server.is_draining or self._has_input()

    def _has_input(self):
        """Returns whether received bytes are there, without waiting."""
        timeout_s = self.socket.gettimeout()
        self.socket.settimeout(0)
        try:
            return bool(self.rfile.peek(1))
        except OSError:
            return False
        finally:
            self.socket.settimeout(timeout_s)

    def _skip_received_body(self):
        """Reads the rest of a body that the application did not want.

        Only if all of it is there: no answer waits for what it leaves out.
        """
        left = self.wsgi_input.bytes_left
        if left and self._has_input() and len(self.rfile.peek()) >= left:
            self.wsgi_input.read(left)

    def _refuse_connection(self):
        """Answers a connection that there is no room for, and closes it."""
        try:
            self.socket.settimeout(0)
            self.socket.send(self._refusal(UNAVAILABLE))
        except OSError:
            pass
        self.socket.close()

    def _refusal(self, status):
        """Returns a whole answer to a request that was not read."""
        return self.server.refusal(status)

    def _send_last(self, message):
        try:
            self._sendall(message)
        except OSError:
            return
        if not self._makes_room():
            self._linger()

    def _makes_room(self):
        return self._stream.gave_way_for is _Reason.CONNECTIONS

    def _linger(self):
        """Reads on for a while, so that the client can read its answer.

        Closing a connection with unread input resets it, and the client
        would lose the answer that is under way.
        """
        try:
            self.socket.shutdown(socket.SHUT_WR)
            with self._time_limit(LINGER_MS):
                self._read_and_drop()
        except OSError:
            return

    def _read_and_drop(self):
        left = LINGER_BYTES
        while left > 0:
            gevent.sleep(0)
            dropped = self.socket.recv(LINGER_READ_BYTES)
            if not dropped:
                return
            left -= len(dropped)


class _BoundedLines:
    """Reads lines up to a number of bytes in all."""

    def __init__(self, lines, most):
        self._lines = lines
        self._left = most

    def readline(self, limit=-1):
        line = self._lines.readline(min(limit, max(self._left, 0) + 1))
        self._left -= len(line)
        if self._left < 0:
            raise HeadTooLargeError("too many headers")
        return line
