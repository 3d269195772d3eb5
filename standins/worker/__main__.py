"""Runs worker stand-ins until SIGTERM."""

from gevent import monkey

monkey.patch_all()

import os  # noqa: E402
import signal  # noqa: E402

import cappa  # noqa: E402
import gevent.event  # noqa: E402

from samphiregate.adapters import http  # noqa: E402
from samphiregate import timers  # noqa: E402
from standins import worker  # noqa: E402
from standins.worker import _settings  # noqa: E402

ADVANCE_MS = 100


def main():
    """Serves until SIGTERM or SIGINT; what runs then is gone."""
    settings = cappa.parse(_settings.Settings)
    stop_requested = gevent.event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop_requested.set)
    capacity = (
        settings.cpu_millis,
        settings.memory_mib,
        settings.accelerators,
    )
    workers_by_id = worker.build_workers(
        [f"{settings.prefix}-{one}" for one in range(settings.workers)],
        capacity,
        incarnation=os.urandom(4).hex(),
        sample_ms=settings.sample_ms,
    )
    application = worker.Application(workers_by_id)
    server = http.NoDelayServer(settings.endpoint, application)
    server.start()
    with timers.TimerService() as service:
        with service.every(ADVANCE_MS, lambda _now: application.advance_all()):
            print(f"worker: ready at {server.server_port}", flush=True)
            stop_requested.wait()
    server.stop()


if __name__ == "__main__":
    main()
