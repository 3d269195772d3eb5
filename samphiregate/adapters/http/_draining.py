"""A WSGI server that answers the requests it has read before it stops."""

import time

import gevent
import gevent.event
from gevent import pywsgi

from samphiregate.adapters.http import _server

POLL_S = 0.01
READABLE = 1  # event mask of a gevent loop


class _DrainingHandler(pywsgi.WSGIHandler):
    """Serves one connection of a `DrainingServer`."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.wake = gevent.event.Event()
        self._is_serving = False

    @property
    def is_answering(self):
        """Whether a whole request was read and is not answered yet."""
        body = self.wsgi_input
        return self._is_serving and (
            body is None or body.position >= (body.content_length or 0)
        )

    def handle(self):
        """Serves the requests of the connection."""
        self.server.handlers.add(self)
        try:
            super().handle()
        finally:
            self.server.handlers.discard(self)

    def read_requestline(self):
        """Returns the next request line; empty when there is none."""
        self._wait_for_input()
        if self.server.is_draining and not self._has_input():
            self.rfile.close()
            self.socket.close()
            return ""
        return super().read_requestline()

    def handle_one_response(self):
        """Calls the application and sends its answer."""
        self._is_serving = True
        try:
            super().handle_one_response()
        finally:
            self._is_serving = False

    def start_response(self, status, headers, exc_info=None):
        """Starts the answer; announces that the connection is closed.

        A connection on which another request was received stays open.
        """
        if self.server.closes_after_answer and not self._has_input():
            headers = [*headers, ("Connection", "close")]
        return super().start_response(status, headers, exc_info)

    def _wait_for_input(self):
        """Waits for a byte, the connection's end, or the server's drain."""
        if self.server.is_draining or self._has_input():
            return
        watcher = self.server.loop.io(self.socket.fileno(), READABLE)
        watcher.start(self.wake.set)
        try:
            self.wake.wait()
        finally:
            watcher.stop()
            watcher.close()
        self.wake.clear()

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


class DrainingServer(_server.NoDelayServer):
    """A WSGI server that can stop without cutting a request short.

    Parameters
    ----------
    endpoint : str
        ``ip:port`` to listen on; port 0 takes a free one.
    application : callable
        The WSGI application.

    Attributes
    ----------
    closes_after_answer : bool
        Whether a connection is closed once its requests are answered; set it
        so that clients go elsewhere.
    is_draining : bool
        Whether `drain` was called.
    handlers : set
        Handlers of the open connections.
    """

    handler_class = _DrainingHandler

    def __init__(self, endpoint, application, **kwargs):
        super().__init__(endpoint, application, **kwargs)
        self.closes_after_answer = False
        self.is_draining = False
        self.handlers = set()

    def drain(self, *, read_s, answer_s):
        """Accepts no more, closes idle connections and answers the others.

        Parameters
        ----------
        read_s : float
            Longest wait for the rest of a request that was read in part.
        answer_s : float
            Longest wait for the answers to whole requests.

        Returns
        -------
        int
            Number of whole requests that are not answered.
        """
        self.closes_after_answer = True
        self.is_draining = True
        self.close()
        gevent.sleep(0)  # connections accepted last have a handler then
        for handler in self.handlers:
            handler.wake.set()
        gevent.sleep(0)  # each has begun to read what was received
        started_s = time.monotonic()
        while self.handlers:
            waited_s = time.monotonic() - started_s
            unanswered = self._count_unanswered()
            if waited_s >= (answer_s if unanswered else read_s):
                break
            gevent.sleep(POLL_S)
        return self._count_unanswered()

    def _count_unanswered(self):
        return sum(handler.is_answering for handler in self.handlers)
