"""The HTTP handler of a caller's connection, with bounds on what it sends."""

import socket

import gevent
from gevent import pywsgi

from samphiregate.adapters.edge import _responses
from samphiregate import errors

MOST_HEADER_BYTES = 16_384
IDLE_TIMEOUT_MS = 60_000
HEADER_TIMEOUT_MS = 10_000
LINGER_MS = 1_000
LINGER_BYTES = 262_144
READ_BYTES = 16_384

_STATUS_BAD_REQUEST = 400
_STATUS_TIMEOUT = 408
_STATUS_HEADERS_TOO_LARGE = 431


class HeadersTooLargeError(ValueError):
    """The headers of a request exceed the bound."""


class BoundedInput(pywsgi.Input):
    """A request body that is never read beyond what is asked for."""

    __slots__ = ()

    def unread(self):
        """Returns whether a part of the body has not been read."""
        if self.chunked_input:
            return self.chunk_length != 0
        return self.position < (self.content_length or 0)

    def _discard(self):
        """Leaves the rest unread; the connection is closed instead."""


class EdgeHandler(pywsgi.WSGIHandler):
    """Serves one connection of a caller."""

    def read_requestline(self):
        """Waits for the next request, for a bounded time."""
        sock = self.socket
        self.server.connections.set_idle(sock)
        try:
            with gevent.Timeout(IDLE_TIMEOUT_MS / 1000, TimeoutError):
                return super().read_requestline()
        finally:
            self.server.connections.set_busy(sock)

    def read_request(self, raw_requestline):
        """Reads the headers, for a bounded time."""
        with gevent.Timeout(HEADER_TIMEOUT_MS / 1000, TimeoutError):
            return super().read_request(raw_requestline)

    def MessageClass(self, lines, _seekable):
        """Parses headers up to a bound."""
        return super().MessageClass(_BoundedLines(lines), 0)

    def get_environ(self):
        """Returns the WSGI environment, with a bounded body."""
        environ = super().get_environ()
        given = self.wsgi_input
        self.wsgi_input = BoundedInput(
            given.rfile,
            given.content_length,
            socket=given.socket,
            chunked_input=given.chunked_input,
        )
        environ["wsgi.input"] = self.wsgi_input
        environ["samphiregate.socket"] = self.socket
        return environ

    def handle_one_request(self):
        """Serves one request; answers those that can't be read."""
        result = super().handle_one_request()
        if isinstance(result, tuple):
            status, body = result
            if body.startswith(b"HTTP/"):
                body = _raw_problem(int(status), "the request is not valid")
            self.socket.sendall(body)
            self._linger()
            return None
        if self.wsgi_input is not None and self.wsgi_input.unread():
            self._linger()
            return None
        return result

    def log_request(self):
        """Writes no log line for a request."""

    def log_error(self, msg, *args):
        """Writes no log line for what callers do wrong."""

    def _handle_client_error(self, ex):
        status = _STATUS_BAD_REQUEST
        if isinstance(ex, TimeoutError):
            status = _STATUS_TIMEOUT
        elif isinstance(ex, HeadersTooLargeError):
            status = _STATUS_HEADERS_TOO_LARGE
        elif "headers" in str(ex):
            status = _STATUS_HEADERS_TOO_LARGE
        return str(status), _raw_problem(status, "the headers are not valid")

    def _linger(self):
        """Reads on for a while, so that the caller can read its answer.

        Closing a connection with unread input resets it, and the caller
        would lose the answer that is under way.
        """
        try:
            self.socket.shutdown(socket.SHUT_WR)
            with gevent.Timeout(LINGER_MS / 1000, TimeoutError):
                self._read_and_drop()
        except OSError:
            return

    def _read_and_drop(self):
        left = LINGER_BYTES
        while left > 0:
            dropped = self.socket.recv(READ_BYTES)
            if not dropped:
                return
            left -= len(dropped)


class _BoundedLines:
    """Reads lines up to `MOST_HEADER_BYTES` in all."""

    def __init__(self, lines):
        self._lines = lines
        self._left = MOST_HEADER_BYTES

    def readline(self, limit=-1):
        line = self._lines.readline(min(limit, self._left + 1))
        self._left -= len(line)
        if self._left < 0:
            raise HeadersTooLargeError("too many headers")
        return line


def _raw_problem(status, detail):
    """Returns a whole HTTP message with a problem document."""
    response = _responses.problem(
        errors.ErrorCode.BAD_INPUT, detail=detail, status=status
    )
    lines = [f"HTTP/1.1 {response.status_line()}"]
    lines += [
        f"{name}: {value}"
        for name, value in response.header_list(closing=True)
    ]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + response.body
