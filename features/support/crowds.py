"""Clients outside of the limits, and the entry VM that bears them."""

import collections
import contextlib
import pathlib
import random

import attrs
import gevent
from gevent import socket
import orjson

from features.support import vm_process
from samphiregate.adapters import http
from samphiregate import errors
from standins import processes

GRACE_S = 2
BLOCK_BYTES = 65_536
BYTES_PER_MB = 1_000_000
SAMPLE_S = 0.05
DRIP_S = 0.1
REQUESTS_PER_CLIENT = 3_000
MANY = 10_000
BODY = b'{"spec":"x","steps":[{"count":1,"cpu":100}]}'
QUEUE_PATH = "/q/"
PATH = QUEUE_PATH + "%016x"
MAX_STEPS = 10_000
MAX_PAYLOAD_BYTES = 4_000
WAIT_MS = vm_process.WAIT_S * 1000

HOST = b"Host: h\r\n"
POST = b"POST /q/0000000000000001 HTTP/1.1\r\n" + HOST
GET = b"GET /q/0000000000000001 HTTP/1.1\r\n" + HOST
LENGTH = POST + b"Content-Length: 1000000\r\n\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
LONG_LINE = b"X-Long: " + b"a" * 65_000 + b"\r\n"


@attrs.frozen
class Script:
    """What one client sends.

    Parameters
    ----------
    opening : bytes
        Sent once.
    block : bytes
        Sent again and again, without end; none if empty.
    pause_s : float
        Pause before each block.
    makes_methods : bool
        Whether it sends whole requests instead, each with a method of its
        own.
    reads : bool
        Whether it reads the answers, and stops at the connection's end.
    """

    opening: bytes = b""
    block: bytes = b""
    pause_s: float = 0
    makes_methods: bool = False
    reads: bool = True


SCRIPT_BY_NAME = {
    "heads of 95 long lines, never ended": Script(GET + LONG_LINE * 95),
    "bodies of 1 MB but one byte": Script(LENGTH + b"x" * 999_999),
    "chunked bodies of 1 MB, never ended": Script(
        CHUNKED + (b"2710\r\n" + b"x" * 10_000 + b"\r\n") * 100
    ),
    "chunks of one byte without end": Script(CHUNKED, b"1\r\nx\r\n" * MANY),
    "trailers without end": Script(CHUNKED + b"0\r\n", b"a: b\r\n" * MANY),
    "a chunk extension without end": Script(CHUNKED + b"1;", b"a" * MANY),
    "nothing": Script(),
    "heads a byte at a time": Script(GET + b"X-Long: ", b"a", DRIP_S),
    "bodies a byte at a time": Script(LENGTH, b"x", DRIP_S),
    "methods of their own": Script(makes_methods=True),
    "empty lines without end": Script(b"", b"\r\n" * MANY),
    "empty lines without end, two bytes at a time": Script(
        b"", b"\r\n", 0.001
    ),
    "a request, then empty lines without end": Script(
        GET + b"\r\n", b"\r\n" * MANY
    ),
    "half a head, then empty lines without end": Script(
        GET + b"X-Half: a", b"\r\n" * MANY
    ),
    "a line without end": Script(GET + b"X-Long: ", b"a" * MANY),
    "a request line without end": Script(b"GET /", b"a" * MANY),
    "requests whose answers they don't read": Script(
        b"", (GET + b"\r\n") * 1_000, reads=False
    ),
}


class _Client:
    """One client of a crowd."""

    def __init__(self, *, address, script, number):
        self.has_settled = False
        self.stage = "connects"
        self._address = address
        self._script = script
        self._number = number

    def run(self):
        """Plays the script until the connection ends."""
        try:
            with contextlib.suppress(OSError, EOFError):
                with _connect(self._address) as connection:
                    self._play(connection)
        finally:
            self.has_settled = True

    def _play(self, connection):
        if self._script.makes_methods:
            self.stage = "sends requests"
            self._send_requests(connection)
            return
        sending = gevent.spawn(self._send_script, connection)
        try:
            if self._script.reads:
                while connection.recv(BLOCK_BYTES):
                    pass
            else:
                sending.join()
        finally:
            sending.kill()

    def _send_script(self, connection):
        with contextlib.suppress(OSError):
            self.stage = "sends its opening"
            _send(connection, self._script.opening)
            self.stage = "sends a block"
            while self._script.block:
                gevent.sleep(self._script.pause_s)
                _send(connection, self._script.block)
                self.has_settled = True
            self.has_settled = True

    def _send_requests(self, connection):
        answers = connection.makefile("rb")
        for count in range(REQUESTS_PER_CLIENT):
            head = b"M%dX%d / HTTP/1.1\r\n" % (self._number, count)
            connection.sendall(head + HOST + b"\r\n")
            http_end = _read_answer(answers)
            if http_end:
                raise EOFError


class CrowdedVm(vm_process.VmProcess):
    """An entry VM with limits of memory and descriptors.

    Parameters
    ----------
    memory_mb, max_fds : int
        Limits in its settings.

    Attributes
    ----------
    most_descriptors : int
        Most that were seen open.
    """

    def __init__(self, *, memory_mb, max_fds):
        settings = {
            "bounds.grace_s": GRACE_S,
            "limits.memory_mb": memory_mb,
            "limits.max_fds": max_fds,
        }
        super().__init__(settings=settings)
        self.most_descriptors = 0
        self._random = random.Random(memory_mb)
        self._greenlets = []

    def start(self):
        """Starts the process, and waits until it is ready."""
        self.start_process(1)
        self.wait_ready()
        sampling = gevent.spawn(self._sample)
        self.callback(sampling.kill)
        self.callback(self.dismiss)

    def gather(self, count, name, port):
        """Lets clients come; waits until each has sent or was refused."""
        clients = [
            _Client(
                address=self.address_by_port[port],
                script=SCRIPT_BY_NAME[name],
                number=number,
            )
            for number in range(count)
        ]
        self._greenlets = [gevent.spawn(client.run) for client in clients]
        try:
            processes.wait_until(
                lambda: all(client.has_settled for client in clients),
                vm_process.WAIT_S,
                "what the clients send",
            )
        except processes.StartError as error:
            left = [client for client in clients if not client.has_settled]
            stages = collections.Counter(client.stage for client in left)
            raise processes.StartError(f"{error.detail}: {stages}") from error

    def dismiss(self):
        """Closes the connections of the clients."""
        gevent.killall(self._greenlets)

    def submit(self, body=BODY):
        """Submits a job, a small one; returns the status, 0 without one."""
        path = PATH % self._random.getrandbits(64)
        answer = self._call("POST", path, body)
        return answer.status if answer else 0

    def count_waiting(self):
        """Returns how many jobs wait, by the owner; 0 if it is silent."""
        answer = self._call("GET", QUEUE_PATH)
        if answer is None or answer.status != 200:
            return 0
        return answer.json()["waiting"]

    def _call(self, method, path, body=b""):
        headers = {"Host": "h", "X-Deadline-Ms": str(WAIT_MS)}
        front = self.address_by_port["front"]
        with http.Client(front, timeout_ms=WAIT_MS) as client:
            try:
                return client.request(method, path, body=body, headers=headers)
            except errors.UnavailableError:
                return None

    def peak_bytes(self):
        """Returns the most memory that the process had resident."""
        text = self._proc("status").read_text()
        (line,) = [
            line for line in text.splitlines() if line.startswith("VmHWM")
        ]
        return int(line.split()[1]) * 1024

    def _proc(self, name):
        return pathlib.Path(f"/proc/{self.process.pid}") / name

    def _sample(self):
        while self.process.exit_status is None:
            with contextlib.suppress(OSError):
                count = len(list(self._proc("fd").iterdir()))
                self.most_descriptors = max(self.most_descriptors, count)
            gevent.sleep(SAMPLE_S)


def largest_job():
    """Returns the body of a job of as many steps and bytes as are allowed."""
    steps = [
        {
            "count": 1,
            "cpu": 100,
            "mem_mb": 10,
            "estimate_ms": 1_000,
            "affinity": "r" * 10,
            "after": [max(number - 1, 0)] if number else [],
        }
        for number in range(MAX_STEPS)
    ]
    return orjson.dumps({"spec": "x" * MAX_PAYLOAD_BYTES, "steps": steps})


def _connect(endpoint):
    host, _colon, port = endpoint.partition(":")
    return socket.create_connection((host, int(port)))


def _send(connection, data):
    """Sends everything, and lets others run in between."""
    view = memoryview(data)
    while view:
        view = view[connection.send(view[:BLOCK_BYTES]) :]
        gevent.sleep(0)


def _read_answer(answers):
    """Reads an answer; returns whether the connection ended."""
    length = 0
    line = answers.readline()
    while line not in (b"\r\n", b""):
        name, _colon, value = line.decode().strip().lower().partition(": ")
        if name == "content-length":
            length = int(value)
        line = answers.readline()
    return not line or len(answers.read(length)) < length
