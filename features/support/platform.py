"""The stand-in of the platform in the tests' own process."""

import socket

from samphiregate import timers
from standins import platform as standin

KEY = "x"


class RunningStandin:
    """A stand-in that serves on a free port; a context manager.

    Parameters
    ----------
    values : KeyValues
        What it holds.
    fleet : FleetList
        The list that it shows.
    """

    def __init__(self, values, fleet):
        self.application = standin.Application(values, fleet)
        self.server = standin.make_server("127.0.0.1:0", self.application)
        self.endpoint = ""

    def __enter__(self):
        self.server.start()
        self.endpoint = f"127.0.0.1:{self.server.server_port}"
        return self

    def __exit__(self, *exc_info):
        self.server.stop(timeout=0)


class SilentServer:
    """Accepts connections and never answers; a context manager."""

    def __enter__(self):
        self._socket = socket.socket()
        self._socket.bind(("127.0.0.1", 0))
        self._socket.listen()
        host, port = self._socket.getsockname()
        self.endpoint = f"{host}:{port}"
        return self

    def __exit__(self, *exc_info):
        self._socket.close()


def make_standin(*, rate=10**6):
    """Returns a stand-in whose `KEY` has version 3."""
    clock_ms = timers.TimerService().now_ms
    values = standin.KeyValues(
        reads_per_second=rate,
        writes_per_second=rate,
        clock_ms=clock_ms,
    )
    for version in range(3):
        values.compare_and_swap(KEY, version, b"%d" % (version + 1))
    fleet = standin.FleetList(lag_ms=0, clock_ms=clock_ms)
    return RunningStandin(values, fleet)


def enter(context, manager):
    """Enters a context manager until the scenario ends."""
    entered = manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)
    return entered
