"""Runs the older scheduler's stand-in until it has drained."""

from gevent import monkey

monkey.patch_all()

import functools  # noqa: E402
import random  # noqa: E402
import signal  # noqa: E402

import cappa  # noqa: E402
import gevent.event  # noqa: E402

from samphiregate.adapters import http  # noqa: E402
from samphiregate import timers  # noqa: E402
from standins import older  # noqa: E402
from standins.older import _settings  # noqa: E402

STEP_MS = 500
STATUS_OK = 200


def place_on(client, worker_id, task_id, amount, run_ms):
    """Asks a worker to take a foreign task; returns whether it did."""
    document = {"task_id": task_id, "resources": amount, "run_ms": run_ms}
    path = f"/workers/{worker_id}/foreign"
    answer = client.request_json("POST", path, document)
    return answer.status == STATUS_OK


def places_of(hosts):
    """Returns one callable for each worker of the hosts."""
    places = []
    for host in hosts:
        client = http.Client(host)
        for described in client.request("GET", "/workers").json():
            worker_id = described["worker_id"]
            places.append(functools.partial(place_on, client, worker_id))
    return places


def main():
    """Places tasks until SIGTERM or SIGINT, or until it has drained."""
    settings = cappa.parse(_settings.Settings)
    stop_requested = gevent.event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop_requested.set)
    start_ms = timers.monotonic_ms()
    scheduler = older.OlderScheduler(
        tasks=settings.tasks,
        amount=(settings.cpu_millis, settings.memory_mib, 0),
        run_ms=settings.run_ms,
        drain_start_ms=settings.drain_start_ms,
        drain_ms=settings.drain_ms,
        random_state=random.Random(settings.seed),
    )
    places = places_of(settings.hosts)
    print("older: ready.", flush=True)
    while not stop_requested.wait(STEP_MS / 1_000):
        now_ms = timers.monotonic_ms() - start_ms
        scheduler.step(places, now_ms)
        if not scheduler.target(now_ms) and not scheduler.end_ms_by_task:
            print("older: drained.", flush=True)
            return


if __name__ == "__main__":
    main()
