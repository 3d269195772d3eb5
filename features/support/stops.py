"""Clients that go on using an entry VM while it is stopped."""

import contextlib
import enum
import itertools
import random
import re
import signal

import attrs
import gevent
from gevent import socket

from features.support import vm_process
from standins import processes
from standins import traced_platform

CLIENTS = 12
SLOWEST_CALL_S = 0.8
SILENCE_S = 30
MAX_PAUSE_S = 0.05
RETRY_S = 0.02
GRACE_S = 2
REQUESTS_BEFORE = 20
BODY = b'{"spec":"x","steps":[{"count":1,"cpu":100}]}'
METHODS = ("POST", "GET", "DELETE")
HABITS = ("steady", "fresh", "slow body", "pipelined")


class StoreBehaviour(enum.Enum):
    """How the store answers calls."""

    LATE = "answers late"
    SILENT_AFTER_STOP = "is silent from the SIGTERM on"
    SILENT = "is silent from the start"


class StoppedVm(vm_process.VmProcess):
    """An entry VM that is stopped while its clients go on.

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
        super().__init__(
            settings={"bounds.grace_s": GRACE_S}, delay_s=self._store_delay_s
        )
        self.answered = set()
        self._random = random.Random(seed)
        self._store = store
        self._numbers = itertools.count()
        self._version = 1
        self._terminated = False

    def start(self):
        """Starts the processes and clients; waits until these are served."""
        self.start_process(self._version)
        if self._store is StoreBehaviour.SILENT:
            self.wait_started()
        else:
            self.wait_ready()
        self._clients = [
            gevent.spawn(self._use, HABITS[number % len(HABITS)])
            for number in range(CLIENTS)
        ]
        self.callback(gevent.killall, self._clients)
        processes.wait_until(
            lambda: len(self.answered) >= REQUESTS_BEFORE,
            vm_process.WAIT_S,
            "first answers",
        )

    def _store_delay_s(self):
        if self._store is StoreBehaviour.SILENT:
            return SILENCE_S
        stops = self._store is StoreBehaviour.SILENT_AFTER_STOP
        if self._terminated and stops:
            return SILENCE_S
        return self._random.uniform(0, SLOWEST_CALL_S)

    def change_configuration(self):
        """Writes a new version of the configuration."""
        self._version += self._random.randint(1, 5)
        self.configure(self._version)

    def play(self, names):
        """Sends signals in turn, between changes of the configuration."""
        for name in names:
            self.change_configuration()
            self._terminated = self._terminated or name == "SIGTERM"
            self.process.signal(getattr(signal, name))
            gevent.sleep(self._random.uniform(0, GRACE_S / len(names)))

    def wait(self):
        """Waits for the end; returns the exit status."""
        status = self.process.wait(vm_process.WAIT_S)
        gevent.joinall(
            self._clients, timeout=vm_process.WAIT_S, raise_error=True
        )
        return status

    def read(self):
        """Returns the numbers of the requests that the VM has read."""
        text = self.log_text()
        return set(map(int, re.findall(f"{traced_platform.READ}(\\d+)", text)))

    def _use(self, habit):
        """Sends requests until the process is gone."""
        while self.process.exit_status is None:
            with contextlib.suppress(OSError, EOFError):
                with socket.create_connection(
                    _address_pair(self.address_by_port["front"])
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
