"""The process that serves the stand-in."""

import signal

import gevent.event
from gevent import pywsgi

from samphiregate.adapters import http
from samphiregate import timers
from standins.platform import _application


class _Handler(pywsgi.WSGIHandler):
    """Hands the connection's socket on, for calls that end it."""

    def get_environ(self):
        environ = super().get_environ()
        environ["standin.socket"] = self.socket
        return environ


def make_server(endpoint, application):
    """Returns a server of an `Application`, which is not started yet."""
    return http.NoDelayServer(
        endpoint, application, handler_class=_Handler, error_log=None
    )


def serve(endpoint, *, fleet_lag_ms, reads_per_second, writes_per_second):
    """Serves until SIGTERM or SIGINT; prints the endpoint first.

    Parameters
    ----------
    endpoint : str
        ``ip:port`` to listen on; port 0 takes a free one.
    fleet_lag_ms : int
        Time until the fleet list shows a change.
    reads_per_second, writes_per_second : int
        Limits of the key-value service.
    """
    application = _application.make_application(
        fleet_lag_ms=fleet_lag_ms,
        reads_per_second=reads_per_second,
        writes_per_second=writes_per_second,
        clock_ms=timers.TimerService().now_ms,
    )
    server = make_server(endpoint, application)
    stopped = gevent.event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopped.set)
    server.start()
    print(
        f"platform: listening on {server.server_host}:{server.server_port}",
        flush=True,
    )
    stopped.wait()
    server.stop(timeout=0)
