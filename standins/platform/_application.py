"""The WSGI application of the stand-in."""

import socket
import urllib.parse

import attrs
import gevent.event
import orjson

from standins.platform import _faults
from standins.platform import _fleet
from standins.platform import _values

MAX_WAIT_MS = 60_000
JSON = [("Content-Type", "application/json")]
KIND_BY_SEGMENT = {
    "entry-vms": "entry_vms",
    "workers": "workers",
    "runners": "runners",
}


@attrs.frozen
class Reply:
    """What a call is answered with; `cut` ends the connection instead."""

    status: str
    headers: list = attrs.field(factory=list)
    body: bytes = b""
    cut: bool = False


OK = Reply("200 OK")
NOT_FOUND = Reply("404 Not Found")
DOWN = Reply("503 Service Unavailable")
OVER_RATE = Reply("429 Too Many Requests")
TOO_LARGE = Reply("413 Content Too Large")
BAD_REQUEST = Reply("400 Bad Request")


class Application:
    """Serves the key-value service, the fleet list and the faults.

    Parameters
    ----------
    values : KeyValues
        The key-value service.
    fleet : FleetList
        The fleet list.
    """

    def __init__(self, values, fleet):
        self.values = values
        self.fleet = fleet
        self.faults = _faults.Faults()

    def __call__(self, environ, start_response):
        """Answers one call; see PEP 3333."""
        body = environ["wsgi.input"].read()
        try:
            reply = self._route(environ, body)
        except (KeyError, TypeError, ValueError):
            reply = BAD_REQUEST
        if reply.cut:
            environ["standin.socket"].shutdown(socket.SHUT_RDWR)
        start_response(reply.status, reply.headers)
        return [reply.body]

    def _route(self, environ, body):
        path = urllib.parse.unquote(environ["PATH_INFO"])
        head, _slash, rest = path.lstrip("/").partition("/")
        if head == "faults":
            return self._set_faults(environ, body)
        if head == "counts":
            document = attrs.asdict(self.values.counts)
            return Reply("200 OK", JSON, orjson.dumps(document))
        if self.faults.slow_ms:
            gevent.event.Event().wait(self.faults.slow_ms / 1000)
        if self.faults.down:
            return DOWN
        if head == "kv" and rest:
            return self._key_value(environ, rest, body)
        if head == "fleet":
            return self._fleet(environ, rest, body)
        return NOT_FOUND

    def _set_faults(self, environ, body):
        if environ["REQUEST_METHOD"] == "POST":
            document = orjson.loads(body)
            lag_ms = document.pop("fleet_lag_ms", None)
            if lag_ms is not None:
                self.fleet.lag_ms = int(lag_ms)
            self.faults.update(document)
        document = attrs.asdict(self.faults)
        return Reply("200 OK", JSON, orjson.dumps(document))

    def _key_value(self, environ, key, body):
        if environ["REQUEST_METHOD"] == "POST":
            return self._write(environ, key, body)
        if not self.values.take_read():
            return OVER_RATE
        query = urllib.parse.parse_qs(environ["QUERY_STRING"])
        if "after" in query:
            return self._watch(key, query)
        entry = self.values.read(key, stale=self.faults.stale_reads)
        return _entry_reply(entry) if entry.version else NOT_FOUND

    def _watch(self, key, query):
        after = int(query["after"][0])
        wait_ms = min(int(query["wait_ms"][0]), MAX_WAIT_MS)
        entry = self.values.wait(key, after=after, wait_ms=wait_ms)
        if self.faults.down:
            return DOWN
        if entry.version <= after:
            return Reply("304 Not Modified")
        return _entry_reply(entry)

    def _write(self, environ, key, body):
        if not self.values.take_write():
            return OVER_RATE
        if len(body) > _values.MAX_VALUE_BYTES:
            return TOO_LARGE
        expected_version = int(environ["HTTP_X_EXPECTED_VERSION"])
        written, entry = self.values.compare_and_swap(
            key, expected_version, body
        )
        if not written:
            return _entry_reply(entry, status="412 Precondition Failed")
        headers = [("X-Version", str(entry.version))]
        cut = self.faults.take_lost_answer()
        return Reply("200 OK", headers, cut=cut)

    def _fleet(self, environ, rest, body):
        method = environ["REQUEST_METHOD"]
        if method == "GET":
            return self._show_fleet(environ)
        if method == "PUT":
            self.fleet.put_all(orjson.loads(body))
            return OK
        segment, _slash, entry_id = rest.partition("/")
        kind = KIND_BY_SEGMENT[segment]
        if method == "POST":
            self.fleet.put(kind, orjson.loads(body))
        elif method == "DELETE":
            self.fleet.remove(kind, entry_id)
        else:
            return BAD_REQUEST
        return OK

    def _show_fleet(self, environ):
        if self.faults.fleet_down:
            return DOWN
        query = urllib.parse.parse_qs(environ["QUERY_STRING"])
        data_centre = query.get("data_centre", [None])[0]
        document = self.fleet.document(data_centre)
        version = str(self.fleet.version)
        if query.get("after") == [version]:
            return Reply("304 Not Modified")
        headers = [*JSON, ("X-Version", version)]
        return Reply("200 OK", headers, orjson.dumps(document))


def make_application(
    *, fleet_lag_ms, reads_per_second, writes_per_second, clock_ms
):
    """Returns an `Application` with empty contents."""
    values = _values.KeyValues(
        reads_per_second=reads_per_second,
        writes_per_second=writes_per_second,
        clock_ms=clock_ms,
    )
    fleet = _fleet.FleetList(lag_ms=fleet_lag_ms, clock_ms=clock_ms)
    return Application(values, fleet)


def _entry_reply(entry, status="200 OK"):
    headers = [
        ("Content-Type", "application/octet-stream"),
        ("X-Version", str(entry.version)),
    ]
    return Reply(status, headers, entry.value)
