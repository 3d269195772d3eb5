"""Steps about connections that give way to others."""

import contextlib
import io
from unittest import mock

import behave
import gevent
from gevent import pywsgi
from gevent import socket

from samphiregate.adapters import http
from samphiregate.adapters.http import _body_input
from samphiregate import errors

NONE = "none"
WAIT_S = 20  # upper bound, not an expected time
READ_BYTES = 4_096
MAX_READS = 100
ANSWER_BYTES = 1_000_000
STATUS_BY_CODE = {
    errors.ErrorCode.BAD_INPUT: 400,
    errors.ErrorCode.BODY_TOO_LARGE: 413,
    errors.ErrorCode.OVERLOADED: 503,
    errors.ErrorCode.TIMEOUT: 408,
}
GET = b"GET / HTTP/1.1\r\nHost: h\r\n"
POST = b"POST / HTTP/1.1\r\nHost: h\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
DATA_BY_NAME = {
    "nothing": b"",
    "half a request line": b"GET /",
    "half a head": GET,
    "a head of 2000 bytes": GET + b"X: " + b"a" * 2_000 + b"\r\n\r\n",
    "a request line of 9000 bytes": b"GET /" + b"a" * 9_000,
    "half a body": POST + b"Content-Length: 10\r\n\r\nhalf",
    "a body that is too long": POST + b"Content-Length: 100001\r\n\r\n",
    "a body in chunks of one byte": CHUNKED + b"1\r\nx\r\n" * 9_000,
    "trailers without end": CHUNKED + b"0\r\n" + b"a: b\r\n" * 9_000,
    "a body larger than all may be": POST
    + b"Content-Length: 90000\r\n\r\n"
    + b"x" * 90_000,
    "requests, and never reads their answers": (GET + b"\r\n") * 30,
}


class _Connection:
    """Notes that it was told to give way."""

    def __init__(self):
        self.gave_way = False

    def give_way(self, _reason):
        """Takes the reason."""
        self.gave_way = True


@behave.given("room for {connections:d} connections and {size:d} bytes")
def given_room(context, connections, size):
    context.admission = http.Admission(
        http.ServerLimits(max_connections=connections, max_reading_bytes=size)
    )
    context.by_name = {}
    context.refused = []


@behave.when("these come to pass: {events}")
def when_events(context, events):
    for event in events.split(", "):
        verb, _of, name = event.replace(" of ", " ").partition(" ")
        connection = context.by_name.setdefault(name, _Connection())
        if verb == "open":
            if not context.admission.open(connection):
                context.refused.append(name)
        elif verb == "wait":
            context.admission.set_waiting(connection)
        elif verb == "busy":
            context.admission.set_busy(connection)
        elif verb == "close":
            context.admission.close(connection)
        else:
            context.admission.add_bytes(connection, int(verb))


@behave.then("{closed} were closed and {refused} was refused")
def then_closed(context, closed, refused):
    found = [
        name
        for name, connection in context.by_name.items()
        if connection.gave_way
    ]
    assert (", ".join(found) or NONE) == closed, found
    assert (", ".join(context.refused) or NONE) == refused, context.refused


@behave.then("{size:d} bytes are being read")
def then_reading(context, size):
    assert context.admission.reading_bytes == size


@behave.given("a process with {memory:d} MB and {descriptors:d} descriptors")
def given_process(context, memory, descriptors):
    context.limits = http.process_limits(memory_mb=memory, max_fds=descriptors)


@behave.then(
    "its callers may have {connections:d} connections and {size:d} bytes"
)
def then_callers(context, connections, size):
    limits = context.limits.callers
    assert limits.max_connections == connections, limits
    assert limits.max_reading_bytes == size, limits


@behave.then(
    "its peers may have {peers:d} connections "
    "and its monitoring {monitoring:d}"
)
def then_others(context, peers, monitoring):
    assert context.limits.peers.max_connections == peers
    assert context.limits.monitoring.max_connections == monitoring


@behave.given("a server with small limits")
def given_server(context):
    limits = http.ServerLimits(
        max_head_bytes=1_000,
        max_body_bytes=100_000,
        max_framing_bytes=10_000,
        max_reading_bytes=60_000,
        idle_timeout_ms=300,
        head_timeout_ms=300,
        body_timeout_ms=300,
        write_timeout_ms=300,
    )
    context.server = http.DrainingServer(
        "127.0.0.1:0", _Application(limits), limits=limits
    )
    context.server.application.note = context.server.admission.note
    context.server.start()
    context.add_cleanup(context.server.stop, timeout=0)


class _Application:
    """Reads bodies; answers with many bytes, or with why it refused."""

    def __init__(self, limits):
        self.note = None
        self._limits = limits

    def __call__(self, environ, start_response):
        bodies = http.BodyReader(self._limits, self.note)
        try:
            bodies.read(environ)
        except errors.SamphiregateError as error:
            status = f"{STATUS_BY_CODE[error.code]} Refused"
            start_response(status, [("Content-Length", "0")])
            return [b""]
        start_response("200 OK", [("Content-Length", str(ANSWER_BYTES))])
        return [b"x" * ANSWER_BYTES]


@behave.when("a client sends {what}")
def when_client_sends(context, what):
    context.client = socket.create_connection(
        ("127.0.0.1", context.server.server_port)
    )
    context.add_cleanup(context.client.close)
    context.client.settimeout(WAIT_S)
    sending = gevent.spawn(_send, context.client, DATA_BY_NAME[what])
    context.add_cleanup(sending.kill)
    if "never reads" in what:
        _wait_for(lambda: context.server.admission.turned_away)


def _send(client, data):
    with contextlib.suppress(OSError):
        client.sendall(data)


def _wait_for(condition):
    with gevent.Timeout(WAIT_S, AssertionError("not in time")):
        while not condition():
            gevent.sleep(0.01)


@behave.then("it is answered with {status}")
def then_answered(context, status):
    received = b""
    with contextlib.suppress(ConnectionError):
        while b"\r\n" not in received:
            block = context.client.recv(READ_BYTES)
            if not block:
                break
            received += block
    found = received.split(b" ")[1].decode() if received else "nothing"
    assert found == status, received


@behave.then("the server counts {reason}")
def then_counted(context, reason):
    admission = context.server.admission
    _wait_for(lambda: admission.turned_away)
    found = {reason.value: n for reason, n in admission.turned_away.items()}
    assert found == {reason: 1}, found
    _wait_for(lambda: not admission)
    assert admission.reading_bytes == 0


@behave.given("a body in chunks that was cut short")
def given_cut_body(context):
    received = io.BytesIO(b"ff\r\nhalf")
    given = pywsgi.Input(received, None, chunked_input=True)
    context.body = _body_input.BodyInput(
        given, max_framing_bytes=1_000, on_complete=lambda: None
    )


@behave.when("it is read twice")
def when_read_twice(context):
    read = pywsgi.Input.read
    context.outcomes = []
    with mock.patch.object(
        pywsgi.Input, "read", autospec=True, side_effect=_limited(read)
    ):
        for _time in range(2):
            try:
                context.outcomes.append(context.body.read())
            except OSError:
                context.outcomes.append("fails")


def _limited(read):
    calls = iter(range(MAX_READS))

    def read_limited(source, length=None):
        assert next(calls, None) is not None, "read without end"
        return read(source, length)

    return read_limited


@behave.then("the first read fails and the second one returns nothing")
def then_read_twice(context):
    assert context.outcomes == ["fails", b""], context.outcomes
