"""The runner itself: slots, answers and faults over HTTP."""

import collections

import attrs
import gevent
import gevent.event
from gevent import pool
import orjson

from samphiregate.adapters import http

HANG_MS = 3_600_000
MOST_NOTED_IDS = 100_000


@attrs.define
class Faults:
    """Faults that hold until they are set anew.

    Parameters
    ----------
    hang : bool
        Requests take a slot and are never answered.
    cut : bool
        Answers end in the middle of their body.
    fail : bool
        Requests are answered with status 500.
    pause : bool
        Requests take a slot and wait until the fault ends.
    refuse : bool
        Requests are refused although slots are free.
    slow_ms : int
        Time added to each request, in milliseconds.
    """

    hang: bool = False
    cut: bool = False
    fail: bool = False
    pause: bool = False
    refuse: bool = False
    slow_ms: int = 0


class Runner:
    """Executes requests in a few slots; a context manager.

    The answer to a request holds its id and body, so that a caller can tell
    whether it got the answer to its own request. A request whose body is a
    JSON object may set its work time by the member ``work_ms``.

    Parameters
    ----------
    endpoint : str
        ``ip:port`` to listen on.
    slots : int
        Requests executed at a time.
    connections : int
        Connections at a time, from all entry VMs together.
    work_ms : int
        Time that a request takes, in milliseconds.

    Attributes
    ----------
    times_by_id : collections.Counter
        How often each request was executed, by its request id.
    most_used : int
        Largest number of slots in use at a time.
    """

    def __init__(self, endpoint, *, slots=8, connections=60, work_ms=20):
        self.slots = slots
        self.work_ms = work_ms
        self._faults = Faults()
        self._faults_changed = gevent.event.Event()
        self.times_by_id = collections.Counter()
        self.most_used = 0
        self.refused = 0
        self.draining = False
        self._used = 0
        self._idle = gevent.event.Event()
        self._idle.set()
        self._connections = pool.Pool(connections)
        self._server = http.NoDelayServer(
            endpoint, self._serve, spawn=self._connections, error_log=None
        )

    def __enter__(self):
        self._server.start()
        return self

    def __exit__(self, *exc_info):
        self._server.stop(timeout=0)

    @property
    def endpoint(self):
        """``ip:port`` that it listens on."""
        return f"{self._server.server_host}:{self._server.server_port}"

    @property
    def faults(self):
        """Faults that hold now."""
        return self._faults

    @faults.setter
    def faults(self, faults):
        self._faults = faults
        self._faults_changed.set()
        self._faults_changed.clear()

    def drain(self):
        """Refuses new requests and waits for those that run."""
        self.draining = True
        self._idle.wait()

    def _serve(self, environ, start_response):
        path = environ["PATH_INFO"]
        body = environ["wsgi.input"].read()
        if path.startswith("/requests/"):
            return self._execute(environ, body, start_response)
        if path == "/faults":
            self.faults = Faults(**orjson.loads(body))
        if path in ("/faults", "/slots"):
            return self._describe(start_response)
        if path == "/executed":
            content = orjson.dumps(dict(self.times_by_id))
            return _answer(start_response, "200 OK", content, ())
        return _answer(start_response, "404 Not Found", b"", ())

    def _describe(self, start_response):
        document = {
            "slots": self.slots,
            "used": self._used,
            "leaving": self.draining,
            "most_used": self.most_used,
            "executed": sum(self.times_by_id.values()),
            "repeated": sum(n > 1 for n in self.times_by_id.values()),
            "refused": self.refused,
        }
        headers = (("Content-Type", "application/json"),)
        return _answer(
            start_response, "200 OK", orjson.dumps(document), headers
        )

    def _execute(self, environ, body, start_response):
        if self.draining or self.faults.refuse or self._used >= self.slots:
            return self._refuse(start_response)
        request_id = environ.get("HTTP_SAMPHIREGATE_REQUEST_ID", "")
        self._take_slot(request_id)
        try:
            self._work(environ, body)
        finally:
            self._free_slot()
        headers = (
            ("Content-Type", environ.get("CONTENT_TYPE", "text/plain")),
            *self._state_headers(),
        )
        if self.faults.fail:
            return _answer(
                start_response, "500 Internal Server Error", b"", headers
            )
        content = request_id.encode() + b"\n" + body
        if self.faults.cut:
            return _cut(start_response, content, headers)
        return _answer(start_response, "200 OK", content, headers)

    def _refuse(self, start_response):
        self.refused += 1
        headers = (("Samphiregate-Ran", "no"), *self._state_headers())
        return _answer(start_response, "503 Service Unavailable", b"", headers)

    def _take_slot(self, request_id):
        self._used += 1
        self.most_used = max(self.most_used, self._used)
        self._idle.clear()
        self.times_by_id[request_id] += 1
        if len(self.times_by_id) > MOST_NOTED_IDS:
            self.times_by_id.clear()

    def _free_slot(self):
        self._used -= 1
        if not self._used:
            self._idle.set()

    def _work(self, environ, body):
        work_ms = self.work_ms
        if environ.get("CONTENT_TYPE") == "application/json":
            work_ms = _work_ms(body, work_ms)
        work_ms += self.faults.slow_ms
        if self.faults.hang:
            work_ms = HANG_MS
        while self.faults.pause:
            self._faults_changed.wait()
        if work_ms:
            gevent.sleep(work_ms / 1000)

    def _state_headers(self):
        leaving = "true" if self.draining else "false"
        return (
            ("Samphiregate-Slots-Used", str(self._used)),
            ("Samphiregate-Leaving", leaving),
        )


def _work_ms(body, default_ms):
    """Returns the work time that a request asks for."""
    try:
        document = orjson.loads(body)
        return int(document.get("work_ms", default_ms))
    except (AttributeError, TypeError, ValueError):
        return default_ms


def _answer(start_response, status, content, headers):
    length = ("Content-Length", str(len(content)))
    start_response(status, [*headers, length])
    return [content]


def _cut(start_response, content, headers):
    """Promises more than it sends, and closes the connection."""
    length = ("Content-Length", str(len(content) + 1))
    closing = ("Connection", "close")
    start_response("200 OK", [*headers, length, closing])
    return [content]
