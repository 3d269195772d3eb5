"""Steps about the end of an entry VM's process."""

import contextlib
import os
import pathlib
import signal
import struct
import subprocess
import sys
import tempfile

import behave
import gevent
import gevent.event
from gevent import socket

from features.support import cells_work
from features.support import stops
from samphiregate.adapters import cells
from samphiregate.adapters import http
from samphiregate import errors

WAIT_S = 10  # upper bound, not an expected time
LONG_MS = 600_000
REQUEST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
HALF = len(REQUEST) - 2
ANSWER = b"HTTP/1.1 200 OK"


class _Vm:
    """The parts of an entry VM that a drain uses."""

    def __init__(self, hand_over):
        self.hand_over = hand_over
        self.job_service = self
        self.times = {}
        self.now_s = 0

    def sleep(self, duration_s):
        """Passes virtual time."""
        gevent.sleep(0)
        self.now_s += duration_s

    def stop_accepting(self):
        """Notes the time."""
        self.times["accepts"] = self.now_s

    def give_up(self):
        """Does nothing."""

    def drain(self, *, read_s, answer_s):
        """Stands in for the server; notes the time."""
        assert answer_s >= read_s
        self.times["ends"] = self.now_s + read_s
        return 0


@behave.given("a VM whose hand-over {takes}")
def given_hand_over(context, takes):
    never = gevent.event.Event()
    slow = takes == "does not return"
    context.vm = _Vm(never.wait if slow else lambda: None)


@behave.when("it must end within {allowed:g} s")
def when_drained(context, allowed):
    vm = context.vm
    with gevent.Timeout(WAIT_S, AssertionError("not in time")):
        cells.drain(vm=vm, server=vm, allowed_s=allowed, sleep=vm.sleep)


@behave.then(
    "it accepts requests for {accepts:g} s "
    "and waits for open ones until {ends:g} s"
)
def then_times(context, accepts, ends):
    expected = {"accepts": accepts, "ends": ends}
    assert context.vm.times == expected, context.vm.times


class _Application:
    """Answers each request once `proceed` is set."""

    def __init__(self):
        self.read = 0
        self.proceed = gevent.event.Event()

    def __call__(self, environ, start_response):
        environ["wsgi.input"].read()
        self.read += 1
        self.proceed.wait()
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]


@behave.given("a server and a connection {connection}")
def given_connection(context, connection):
    context.application = _Application()
    context.server = http.DrainingServer(
        "127.0.0.1:0", context.application, limits=http.ServerLimits()
    )
    context.server.start()
    context.client = socket.create_connection(
        ("127.0.0.1", context.server.server_port)
    )
    # Closing it resets the connection, which the server does not log.
    context.client.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    context.add_cleanup(context.client.close)
    _wait_for(lambda: context.server.admission)
    context.later = b""
    if connection == "that is idle after a request":
        context.application.proceed.set()
        context.client.sendall(REQUEST)
        _wait_for(lambda: context.application.read)
        _wait_for(lambda: not _is_answering(context.server))
    elif connection == "whose request waits for its answer":
        context.client.sendall(REQUEST)
        _wait_for(lambda: context.application.read)
    elif connection == "whose request was sent and not read yet":
        context.client.sendall(REQUEST)
    elif connection == "with two requests sent at once":
        context.client.sendall(REQUEST * 2)
        _wait_for(lambda: context.application.read)
    elif "half" in connection:
        context.client.sendall(REQUEST[:HALF])
        _wait_for(lambda: _is_serving(context.server))
        if "later" in connection:
            context.later = REQUEST[HALF:]


def _wait_for(condition):
    with gevent.Timeout(WAIT_S, AssertionError("not in time")):
        while not condition():
            gevent.sleep(0.001)


def _is_serving(server):
    return any(handler._is_serving for handler in server.admission)


def _is_answering(server):
    return any(handler.is_answering for handler in server.admission)


@behave.when("the server drains")
def when_server_drains(context):
    read_s = WAIT_S if context.later else 0
    draining = gevent.spawn(
        context.server.drain, read_s=read_s, answer_s=WAIT_S
    )
    _wait_for(lambda: context.server.is_draining)
    context.client.sendall(context.later)
    context.application.proceed.set()
    assert draining.get(timeout=2 * WAIT_S) == 0


@behave.then("the client gets {count:d} whole answers")
def then_answers(context, count):
    context.client.settimeout(0)
    answers = b""
    with contextlib.suppress(BlockingIOError):
        while data := context.client.recv(65_536):
            answers += data
    assert answers.count(ANSWER) == count, answers


@behave.then("the server has read {count:d} requests")
def then_read(context, count):
    assert context.application.read == count, context.application.read


@behave.when("the VM gives up while a caller waits for {call}")
def when_given_up(context, call):
    service = context.job_service
    relay = _HeldRelay()
    service._calls._relay = relay
    service._owner_address = relay.read
    job = cells_work.make_job("j", cells_work.make_step(2))
    function, argument = {
        "a POST": (service.submit, job),
        "a DELETE": (service.cancel, "j"),
        "a GET": (service.state, "j"),
        "a count": (service.waiting, "queue"),
    }[call]
    waiting = gevent.spawn(_error_of, function, argument)
    _wait_for(lambda: relay.calls)
    service.give_up()
    context.error = waiting.get(timeout=WAIT_S)


class _HeldRelay:
    """Answers no call."""

    def __init__(self):
        self.calls = 0

    def read(self, *_arguments):
        """Never returns."""
        self.calls += 1
        gevent.event.Event().wait()

    write = read


def _error_of(function, argument):
    try:
        function(argument, LONG_MS)
    except errors.SamphiregateError as error:
        return error


@behave.then("the call ends as {code}")
def then_ends_as(context, code):
    assert context.error.code.value == code, context.error


@behave.given("a VM under load, and a store that {store}, with seed {seed:d}")
def given_loaded_vm(context, store, seed):
    context.seed = seed
    context.store = stops.StoreBehaviour(store)


@behave.when("it gets {names} while the configuration changes")
def when_signals(context, names):
    context.outcome = stops.play(
        seed=context.seed,
        store=context.store,
        names=names.split(", "),
    )


@behave.then("it ended by itself")
def then_ended(context):
    assert context.outcome.status == 0, context.outcome


@behave.then("it answered each request that it had read")
def then_all_answered(context):
    assert context.outcome.read >= stops.REQUESTS_BEFORE, context.outcome
    assert not context.outcome.unanswered, context.outcome


@behave.given("a process that waits for its settings file")
def given_starting(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = pathlib.Path(folder.name) / "settings"
    os.mkfifo(path)
    context.process = subprocess.Popen(
        [sys.executable, "platform"],
        env={**os.environ, "SAMPHIREGATE_BOOT": str(path)},
        stderr=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(context.process.kill)
    context.settings_file = None
    _wait_for(lambda: _is_open_for_reading(context, path))


def _is_open_for_reading(context, path):
    """Opens the other end of a pipe, once a process reads it."""
    with contextlib.suppress(OSError):
        descriptor = os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        context.settings_file = os.fdopen(descriptor, "w")
    return context.settings_file is not None


@behave.when("it gets SIGHUP, and then settings without a name")
def when_sighup(context):
    context.process.send_signal(signal.SIGHUP)
    context.settings_file.write("ip=127.0.0.1\n")
    context.settings_file.close()


@behave.then("it reports the missing name and ends with status {status:d}")
def then_refused(context, status):
    _output, text = context.process.communicate(timeout=WAIT_S)
    assert context.process.returncode == status, context.process.returncode
    assert "node_name" in text, text
