"""Steps about the runner pool and the runner stand-in."""

import contextlib

import behave
import gevent.event
from gevent import server

from samphiregate.adapters import http
from samphiregate.adapters import runners
from samphiregate.core import requests
from standins import runner

ATTEMPT_TIMEOUT_MS = 2_000
HANG_TIMEOUT_MS = 100
EMPTY_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
UNSENDABLE = "a\r\nb"
DEAF = "a first connection that it never reads"
EVENT_TIMEOUT_S = 30
MOST_ANSWER_BYTES = 1_000


class Ends:
    """Collects the events of a pool and waits for them."""

    def __init__(self):
        self.events = []
        self._changed = gevent.event.Event()

    def take(self, event):
        self.events.append(event)
        self._changed.set()

    def wait(self, count):
        while len(self.events) < count:
            self._changed.clear()
            assert self._changed.wait(EVENT_TIMEOUT_S), "no event came"


def application(status, body, headers):
    """Returns a WSGI application with one fixed answer."""

    def serve(environ, start_response):
        start_response(status, headers)
        return iter([body])

    return serve


ODD_ANSWERS = {
    "an answer too long": (
        "200 OK",
        b"x" * 5_000,
        [("Content-Length", "5000")],
    ),
    "no length in answer": ("200 OK", b"x", [("Connection", "close")]),
    "a plain 503": ("503 Busy", b"x", [("Content-Length", "1")]),
}


@behave.given("runners: a runner with {state}")
def given_runner(context, state):
    stack = contextlib.ExitStack()
    context.add_cleanup(stack.close)
    context.state = state
    context.served = runner.Runner("127.0.0.1:0", work_ms=1)
    context.endpoint = "127.0.0.1:1"
    if state == DEAF:
        context.endpoint = stack.enter_context(deaf_server())
    elif state in ODD_ANSWERS:
        context.endpoint = stack.enter_context(odd_server(state))
    elif state != "no listener":
        stack.enter_context(context.served)
        context.endpoint = context.served.endpoint
    if state.startswith("the fault"):
        name = state.removeprefix("the fault ")
        context.served.faults = runner.Faults(**{name: True})
    context.served.draining = state == "a drain under way"
    context.ends = Ends()
    context.pool = stack.enter_context(
        runners.RunnerPool(
            submit=context.ends.take,
            connections=4,
            most_answer_bytes=MOST_ANSWER_BYTES,
        )
    )
    context.sent = 0


@contextlib.contextmanager
def odd_server(state):
    """Serves an answer that no good runner gives."""
    status, body, headers = ODD_ANSWERS[state]
    serve = application(status, body, headers)
    if state == "no length in answer":
        serve = without_length(body)
    listener = http.NoDelayServer("127.0.0.1:0", serve, error_log=None)
    listener.start()
    try:
        yield f"{listener.server_host}:{listener.server_port}"
    finally:
        listener.stop(timeout=0)


def without_length(body):
    """Returns an application whose answer ends with its connection."""

    def serve(environ, start_response):
        sock = environ["wsgi.input"].rfile.raw._sock
        sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n" + body)
        sock.shutdown(2)
        raise OSError(32, "closed")

    return serve


@contextlib.contextmanager
def deaf_server():
    """Serves a listener that never reads from its first connection."""
    stopped = gevent.event.Event()
    connections = []

    def handle(sock, _address):
        connections.append(sock)
        if len(connections) == 1:
            stopped.wait()
        with contextlib.suppress(OSError):
            while sock.recv(65_536):
                sock.sendall(EMPTY_ANSWER)

    listener = server.StreamServer(("127.0.0.1", 0), handle)
    listener.start()
    try:
        yield f"{listener.server_host}:{listener.server_port}"
    finally:
        stopped.set()
        listener.stop(timeout=0)


def send(context, timeout_ms, body=b""):
    context.sent += 1
    bad_type = context.state == "a type we can't send"
    context.request_id = f"request-{context.sent}"
    context.pool.perform(
        requests.SendToRunner(
            request_id=context.request_id,
            attempt=1,
            runner_id="runner-0",
            endpoint=context.endpoint,
            queue="holds",
            timeout_ms=timeout_ms,
            content_type=UNSENDABLE if bad_type else "text/plain",
            body=body or b"body of " + context.request_id.encode(),
        )
    )


@behave.when("runners: an attempt is sent")
def when_sent(context):
    hanging = context.state == "the fault hang"
    send(context, HANG_TIMEOUT_MS if hanging else ATTEMPT_TIMEOUT_MS)
    context.ends.wait(context.sent)


@behave.when("runners: an attempt with a body of {size:d} bytes is sent")
def when_large_sent(context, size):
    send(context, HANG_TIMEOUT_MS, b"x" * size)
    context.ends.wait(context.sent)


@behave.then("runners: the last {count:d} ended as answered")
def then_last_answered(context, count):
    for event in context.ends.events[-count:]:
        assert isinstance(event, requests.RunnerAnswered), event


@behave.when("runners: the fault ends")
def when_fault_ends(context):
    context.served.faults = runner.Faults()


@behave.when("runners: {count:d} attempts are sent at once over 4 connections")
def when_many_sent(context, count):
    for _ in range(count):
        send(context, EVENT_TIMEOUT_S * 1_000)
    context.ends.wait(context.sent)


@behave.when("runners: it is probed")
def when_probed(context):
    context.pool.perform(requests.ProbeRunner("runner-0", context.endpoint))
    context.ends.wait(1)


@behave.then("runners: it ends as {outcome} with leaving {leaving}")
def then_ends(context, outcome, leaving):
    event = context.ends.events[-1]
    assert event.request_id == context.request_id
    assert event.leaving == (leaving == "yes"), event
    if isinstance(event, requests.RunnerAnswered):
        assert outcome == "answered", event
        if event.status == 200:
            assert context.request_id.encode() in event.body, event
    else:
        assert event.outcome.value == outcome, event


@behave.then("runners: the runner executed it {times:d} times")
def then_executed(context, times):
    if context.state not in ODD_ANSWERS:
        executed = context.served.times_by_id[context.request_id]
        assert executed == times, executed


@behave.then("runners: the probe tells {used}")
def then_probe_tells(context, used):
    event = context.ends.events[-1]
    if used == "nothing":
        assert event.slots_used is None, event
    else:
        leaving = "leaving" if event.leaving else "not leaving"
        assert used == f"{event.slots_used} used and {leaving}", event


@behave.then("runners: each ended once")
def then_each_once(context):
    ids = [event.request_id for event in context.ends.events]
    assert len(ids) == len(set(ids)) == context.sent


@behave.then("runners: at most {most:d} were executed at a time")
def then_at_most(context, most):
    assert context.served.most_used <= most, context.served.most_used
