"""The HTTP application of one process that hosts many workers."""

import math
import time

import gevent
import orjson

from standins.worker import _worker

MS_PER_S = 1_000
STATUS_TEXTS = {
    200: "200 OK",
    400: "400 Bad Request",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    409: "409 Conflict",
    500: "500 Internal Server Error",
}


def boot_clock_ms():
    """Returns a clock that also counts while the machine is suspended."""
    return int(time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_S)


class Application:
    """Serves the worker protocol for many workers.

    Parameters
    ----------
    workers_by_id : dict of str to Worker
        The workers.
    clock_ms : callable
        Monotonic time in milliseconds.

    Notes
    -----
    ``POST /workers/<id>/exchange`` is the protocol of the scheduler. The
    rest is for tests and for the older scheduler's stand-in:
    ``GET /workers`` and ``GET /workers/<id>`` tell what runs,
    ``POST /workers/<id>/faults`` sets what goes wrong,
    ``POST /workers/<id>/foreign`` places a foreign task and
    ``DELETE /workers/<id>/foreign/<task>`` ends one.
    """

    def __init__(self, workers_by_id, *, clock_ms=boot_clock_ms):
        self.workers_by_id = workers_by_id
        self.clock_ms = clock_ms
        self._paused_until_ms_by_id = {}

    def __call__(self, environ, start_response):
        try:
            status, document = self._serve(environ)
        except (KeyError, ValueError, TypeError) as error:
            status, document = 400, {"detail": str(error)}
        if document is None:
            return self._cut(environ, start_response)
        body = orjson.dumps(document)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        start_response(STATUS_TEXTS[status], headers)
        return [body]

    def advance_all(self):
        """Brings every worker up to date, so that leases lapse in time."""
        now_ms = self.clock_ms()
        for worker_id, worker in self.workers_by_id.items():
            if self._pause_left_ms(worker_id, now_ms) <= 0:
                worker.advance(now_ms)

    def _serve(self, environ):
        method = environ["REQUEST_METHOD"]
        parts = environ["PATH_INFO"].strip("/").split("/")
        if parts == ["workers"] and method == "GET":
            return 200, [
                self._describe(one) for one in self.workers_by_id.values()
            ]
        worker = None
        if parts[0] == "workers" and len(parts) > 1:
            worker = self.workers_by_id.get(parts[1])
        if worker is None:
            return 404, {"detail": "no such worker"}
        if len(parts) == 2 and method == "GET":
            return 200, self._describe(worker)
        if len(parts) == 4 and method == "DELETE":
            worker.remove_foreign(parts[3])
            return 200, {}
        if len(parts) != 3 or method != "POST":
            return 405, {"detail": "unknown call"}
        length = int(environ.get("CONTENT_LENGTH") or 0)
        document = orjson.loads(environ["wsgi.input"].read(length) or b"{}")
        handler = {
            "exchange": self._exchange,
            "faults": self._faults,
            "foreign": self._foreign,
        }.get(parts[2])
        if handler is None:
            return 404, {"detail": "unknown call"}
        return handler(worker, document)

    def _exchange(self, worker, document):
        self._wait_while_paused(worker.worker_id)
        answer = worker.exchange(document, self.clock_ms())
        if worker.faults.lose_answers > 0:
            worker.faults.lose_answers -= 1
            return 200, None
        return 200, answer

    def _faults(self, worker, document):
        for name, value in document.items():
            if not hasattr(worker.faults, name):
                raise ValueError(f"unknown fault {name}")
            setattr(worker.faults, name, value)
        if worker.faults.pause_ms:
            until_ms = self.clock_ms() + worker.faults.pause_ms
            self._paused_until_ms_by_id[worker.worker_id] = until_ms
            worker.faults.pause_ms = 0
        return 200, {}

    def _foreign(self, worker, document):
        now_ms = self.clock_ms()
        run_ms = document.get("run_ms")
        placed = worker.place_foreign(
            document["task_id"],
            document["resources"],
            None if run_ms is None else now_ms + run_ms,
            now_ms,
        )
        return (200 if placed else 409), {"placed": placed}

    def _describe(self, worker):
        worker.advance(self.clock_ms())
        return {
            "worker_id": worker.worker_id,
            "capacity": worker.capacity,
            "room": worker.room(),
            "epoch": worker.epoch,
            "tasks": [
                {
                    "job_id": one.key[0],
                    "index": one.key[1],
                    "attempt": one.key[2],
                    "state": one.state,
                    "team": one.document.get("team", ""),
                }
                for one in worker.attempts_by_key.values()
            ],
            "foreign": sorted(worker.foreign_by_id),
            "history": list(worker.history),
        }

    def _pause_left_ms(self, worker_id, now_ms):
        return self._paused_until_ms_by_id.get(worker_id, 0) - now_ms

    def _wait_while_paused(self, worker_id):
        left_ms = self._pause_left_ms(worker_id, self.clock_ms())
        if left_ms > 0:
            gevent.sleep(math.ceil(left_ms) / MS_PER_S)

    @staticmethod
    def _cut(environ, start_response):
        """Answers less than was promised, so that the answer is lost."""
        start_response("200 OK", [("Content-Length", "1000000")])
        return [b"{"]


def build_workers(worker_ids, capacity, *, incarnation, sample_ms):
    """Returns workers of one size, by id."""
    return {
        worker_id: _worker.Worker(
            worker_id,
            capacity,
            incarnation=f"{worker_id}.{incarnation}",
            sample_ms=sample_ms,
        )
        for worker_id in worker_ids
    }
