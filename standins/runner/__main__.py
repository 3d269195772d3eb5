"""Runs one runner stand-in until SIGTERM."""

from gevent import monkey

monkey.patch_all()

import signal  # noqa: E402

import cappa  # noqa: E402
import gevent  # noqa: E402
import gevent.event  # noqa: E402

from standins import runner  # noqa: E402
from standins.runner import _settings  # noqa: E402


def main():
    """Serves until SIGTERM or SIGINT, then finishes what runs."""
    settings = cappa.parse(_settings.Settings)
    stop_requested = gevent.event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop_requested.set)
    served = runner.Runner(
        settings.endpoint,
        slots=settings.slots,
        connections=settings.connections,
        work_ms=settings.work_ms,
    )
    with served:
        print(f"runner: ready at {served.endpoint}", flush=True)
        stop_requested.wait()
        served.drain()


if __name__ == "__main__":
    main()
