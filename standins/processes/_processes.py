"""Child processes that are ended by their ids."""

import itertools
import os
import pathlib
import signal
import subprocess
import sys
import time

import gevent
from gevent import socket

from samphiregate import errors

STOP_TIMEOUT_S = 40
POLL_S = 0.02
LOOPBACK = "127.0.0.1"
LOWEST_PORT = 18_000
LANES = 8
PORTS_PER_LANE = 1_750
PORT_STRIDE = 97
LANE_VARIABLE = "SAMPHIREGATE_TEST_LANE"


class StartError(errors.SamphiregateError):
    """A process did not become ready, or ended too early."""

    def __init__(self, detail):
        super().__init__(errors.ErrorCode.UNAVAILABLE, detail)


def free_endpoint():
    """Returns an ``ip:port`` on loopback that nothing listens on.

    The port lies below those that the system gives to connections, so that
    none of them takes it before the server starts, and is given out once.
    """
    return free_endpoints(1)


def free_endpoints(count):
    """Returns the first of some such endpoints whose ports follow in a row."""
    row = []
    for port in _ports:
        if row and port != row[-1] + 1:
            row = []
        if not _is_free(port):
            row = []
            continue
        row.append(port)
        if len(row) == count:
            return f"{LOOPBACK}:{row[0]}"


def _is_free(port):
    with socket.socket() as sock:
        try:
            sock.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


def _endless_ports():
    """Yields ports; those of test runs side by side never meet."""
    lane = int(os.environ.get(LANE_VARIABLE, 0)) % LANES
    lowest = LOWEST_PORT + lane * PORTS_PER_LANE
    first = os.getpid() * PORT_STRIDE % PORTS_PER_LANE
    for number in itertools.count(first):
        yield lowest + number % PORTS_PER_LANE


_ports = _endless_ports()


def wait_until(condition, timeout_s, what):
    """Polls until `condition()` is true.

    Raises
    ------
    StartError
        If `timeout_s` seconds pass first; `what` tells what was awaited.
    """
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            raise StartError(f"{what} took over {timeout_s} s")
        gevent.sleep(POLL_S)


class Process:
    """One child process.

    Parameters
    ----------
    name : str
        Shown in messages, and the name of its log file.
    module : str
        Python module to run.
    arguments : sequence of str
        Its command line.
    log_path : pathlib.Path
        File for its output.
    """

    def __init__(self, name, module, arguments, log_path):
        self.name = name
        self._log = open(log_path, "ab")
        environment = {**os.environ, "PYTHONPATH": str(pathlib.Path.cwd())}
        self._popen = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
            env=environment,
        )

    @property
    def pid(self):
        """The process id."""
        return self._popen.pid

    @property
    def exit_status(self):
        """The exit status; None while the process runs."""
        return self._popen.poll()

    def signal(self, number):
        """Sends a signal, unless the process has ended."""
        if self.exit_status is None:
            os.kill(self.pid, number)

    def wait(self, timeout_s=STOP_TIMEOUT_S):
        """Waits for the end and returns the exit status."""
        wait_until(
            lambda: self.exit_status is not None,
            timeout_s,
            f"the end of {self.name}",
        )
        self._log.close()
        return self.exit_status

    def stop(self):
        """Stops gracefully; returns the exit status."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            return self.wait()
        except StartError:
            self.signal(signal.SIGKILL)
            return self.wait()


class ProcessGroup:
    """Processes that end with a context.

    Parameters
    ----------
    log_folder : pathlib.Path
        Folder for one log file a process.
    """

    def __init__(self, log_folder):
        self.log_folder = pathlib.Path(log_folder)
        self.processes_by_name = {}

    def __enter__(self):
        self.log_folder.mkdir(parents=True, exist_ok=True)
        return self

    def __exit__(self, *exc_info):
        self.stop_all()

    def start(self, name, module, *arguments):
        """Starts a process and returns it."""
        path = self.log_folder / f"{name}.log"
        process = Process(name, module, arguments, path)
        self.processes_by_name[name] = process
        return process

    def stop_all(self):
        """Stops the newest first; returns exit statuses by name."""
        names = list(reversed(self.processes_by_name))
        return {
            name: self.processes_by_name.pop(name).stop() for name in names
        }

    def log_of(self, name):
        """Returns what a process has written so far."""
        path = self.log_folder / f"{name}.log"
        return path.read_text(errors="replace")
