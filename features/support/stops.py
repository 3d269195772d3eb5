"""Clients that go on using an entry VM while it is stopped."""

import base64
import contextlib
import enum
import itertools
import pathlib
import random
import re
import signal
import tempfile

import attrs
import gevent
from gevent import socket
import orjson

from samphiregate.adapters import http
from standins import processes
from standins import store as standin
from standins import traced_platform

CLIENTS = 12
WAIT_S = 60  # upper bound, not an expected time
SLOWEST_CALL_S = 0.8
SILENCE_S = 30
MAX_PAUSE_S = 0.05
RETRY_S = 0.02
GRACE_S = 2
REQUESTS_BEFORE = 20
BODY = b'{"spec":"x","steps":[{"count":1,"cpu":100}]}'
STARTED = '"started"'
METHODS = ("POST", "GET", "DELETE")
HABITS = ("steady", "fresh", "slow body", "pipelined")
SETTINGS = """\
node_name=front-a-1
ip={ip}
zone=a
listen.front={front}
listen.ready={ready}
port_range={port},{port}
platform.addr={store}
bounds.grace_s={grace_s}
"""


class StoreBehaviour(enum.Enum):
    """How the store answers calls."""

    LATE = "answers late"
    SILENT_AFTER_STOP = "is silent from the SIGTERM on"
    SILENT = "is silent from the start"


class StoppedVm(contextlib.ExitStack):
    """A process of an entry VM, its store and its clients.

    Parameters
    ----------
    seed : int
    store : StoreBehaviour

    Attributes
    ----------
    answered : set of int
        Numbers of the requests that got a whole answer.
    """

    def __init__(self, *, seed, store):
        super().__init__()
        self.answered = set()
        self._random = random.Random(seed)
        self._store = store
        self._numbers = itertools.count()
        self._version = 0
        self._terminated = False
        self._process = None

    def start(self):
        """Starts the processes and clients; waits until these are served."""
        folder = pathlib.Path(
            self.enter_context(tempfile.TemporaryDirectory())
        )
        self._front = processes.free_endpoint()
        ready = processes.free_endpoint()
        path = folder / "settings"
        path.write_text(self._settings_text(self._start_store(), ready))
        group = self.enter_context(processes.ProcessGroup(folder))
        self._process = group.start(
            "vm", "standins.traced_platform", str(path)
        )
        self._log_path = folder / "vm.log"
        processes.wait_until(
            lambda: self._serves(ready), WAIT_S, "start of the VM"
        )
        self._clients = [
            gevent.spawn(self._use, HABITS[number % len(HABITS)])
            for number in range(CLIENTS)
        ]
        self.callback(gevent.killall, self._clients)
        processes.wait_until(
            lambda: len(self.answered) >= REQUESTS_BEFORE,
            WAIT_S,
            "first answers",
        )

    def _serves(self, ready):
        if self._store is StoreBehaviour.SILENT:
            return STARTED in self._log_path.read_text()
        return _is_ready(ready)

    def _start_store(self):
        application = standin.Application(standin.Values(), self._delay_s)
        self._values = application.values
        self.change_configuration()
        server = http.NoDelayServer("127.0.0.1:0", application)
        server.start()
        self.callback(server.stop, timeout=0)
        return f"127.0.0.1:{server.server_port}"

    def _settings_text(self, store, ready):
        ip, _colon, port = processes.free_endpoint().partition(":")
        return SETTINGS.format(
            ip=ip,
            front=self._front,
            ready=ready,
            port=port,
            store=store,
            grace_s=GRACE_S,
        )

    def _delay_s(self):
        if self._store is StoreBehaviour.SILENT:
            return SILENCE_S
        stops = self._store is StoreBehaviour.SILENT_AFTER_STOP
        if self._terminated and stops:
            return SILENCE_S
        return self._random.uniform(0, SLOWEST_CALL_S)

    def change_configuration(self):
        """Writes a new version of the configuration."""
        self._version += self._random.randint(1, 5)
        route = {
            "name": "q",
            "host": "h",
            "prefix": "/q/",
            "service": "svc",
            "no_auth": True,
        }
        value = orjson.dumps({"version": self._version, "routes": [route]})
        self._values.set("op/config", base64.b64encode(value).decode())

    def play(self, names):
        """Sends signals in turn, between changes of the configuration."""
        for name in names:
            self.change_configuration()
            self._terminated = self._terminated or name == "SIGTERM"
            self._process.signal(getattr(signal, name))
            gevent.sleep(self._random.uniform(0, GRACE_S / len(names)))

    def wait(self):
        """Waits for the end; returns the exit status."""
        status = self._process.wait(WAIT_S)
        gevent.joinall(self._clients, timeout=WAIT_S, raise_error=True)
        return status

    def read(self):
        """Returns the numbers of the requests that the VM has read."""
        text = self._log_path.read_text(errors="replace")
        return set(map(int, re.findall(f"{traced_platform.READ}(\\d+)", text)))

    def _use(self, habit):
        """Sends requests until the process is gone."""
        while self._process.exit_status is None:
            with contextlib.suppress(OSError, EOFError):
                with socket.create_connection(
                    _address_pair(self._front)
                ) as connection:
                    self._use_connection(connection, habit)
            gevent.sleep(RETRY_S)

    def _use_connection(self, connection, habit):
        answers = connection.makefile("rb")
        while True:
            requests = [self._request() for _ in range(_count(habit))]
            data = b"".join(data for _number, data in requests)
            if habit == "slow body":
                connection.sendall(data[:-5])
                gevent.sleep(self._random.uniform(0, MAX_PAUSE_S))
                data = data[-5:]
            connection.sendall(data)
            closes = False
            for number, _data in requests:
                closes = _read_answer(answers)
                self.answered.add(number)
            if closes or habit == "fresh":
                return
            gevent.sleep(self._random.uniform(0, MAX_PAUSE_S))

    def _request(self):
        number = next(self._numbers)
        method = self._random.choice(METHODS)
        head = (
            f"{method} /q/{self._random.getrandbits(6):016x} HTTP/1.1\r\n"
            f"Host: h\r\nX-Request: {number}\r\n"
            f"Content-Length: {len(BODY)}\r\n\r\n"
        )
        return number, head.encode() + BODY


def _address_pair(endpoint):
    host, _colon, port = endpoint.partition(":")
    return host, int(port)


def _count(habit):
    return 2 if habit == "pipelined" else 1


def _read_answer(answers):
    """Reads a whole answer; returns whether the connection is closed.

    Raises
    ------
    EOFError
        When the answer is not whole.
    """
    length = 0
    closes = False
    line = answers.readline()
    while line not in (b"\r\n", b""):
        name, _colon, value = line.decode().strip().lower().partition(": ")
        if name == "content-length":
            length = int(value)
        closes = closes or (name, value) == ("connection", "close")
        line = answers.readline()
    if not line or len(answers.read(length)) < length:
        raise EOFError
    return closes


def _is_ready(endpoint):
    try:
        with http.Client(endpoint) as client:
            answer = client.request("GET", "/samphiregate/readiness")
    except Exception:
        return False
    return answer.status == 200


@attrs.frozen
class Outcome:
    """How a stop ended.

    Parameters
    ----------
    status : int
        Exit status of the VM.
    read : int
        Number of requests that the VM has read.
    unanswered : tuple of int
        Those of them that got no whole answer.
    """

    status: int
    read: int
    unanswered: tuple


def play(*, seed, store, names):
    """Plays one stop and returns its `Outcome`."""
    with StoppedVm(seed=seed, store=store) as vm:
        vm.start()
        vm.play(names)
        status = vm.wait()
        read = vm.read()
    return Outcome(status, len(read), tuple(sorted(read - vm.answered)))
