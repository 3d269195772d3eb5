"""A stand-in of one runner, as a process of its own.

It follows `PROTOCOL.md`: fencing, leases, numbered ends, `born` and
`X-Expect-Instance`. What a task does is told by its `spec`, which holds a
JSON object: `ms` is its run time on this runner; without it, it lasts.

Each event is appended to a file as one line of JSON, with the time of the
machine's monotonic clock, which all processes of a case share.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import base64  # noqa: E402
import http.client  # noqa: E402
import json  # noqa: E402
import os  # noqa: E402
import signal  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402
import gevent.event  # noqa: E402
from gevent import pywsgi  # noqa: E402

PREFIX = "/samphiregate/"
MAX_ENDS = 500
STEP_S = 0.02
STOP_S = 0.05  # a stop takes this long, less than `stop_grace_ms`
STATUS_TEXTS = {
    200: "200 OK",
    400: "400 Bad Request",
    409: "409 Conflict",
    421: "421 Misdirected Request",
    503: "503 Service Unavailable",
}


class Unhealthy(Exception):
    """An order that an unhealthy runner answers with 503."""


class Refused(Exception):
    """An order that is answered with 409."""

    def __init__(self, reason):
        super().__init__(reason)
        self.reason = reason


class Run:
    """One run of a task that is at work."""

    def __init__(self, task, number, spec, clock_ms):
        self.task = task
        self.number = number
        self.started_ms = clock_ms
        self.work_ms = json.loads(spec or "{}").get("ms")
        self.stops_ms = None

    def percent(self, clock_ms):
        """Returns the progress; 100 for a task that lasts."""
        if self.work_ms is None:
            return 100
        done = (clock_ms - self.started_ms) * 100 // max(self.work_ms, 1)
        return min(done, 99)


class Runner:
    """The state of the runner, without I/O but for its record."""

    def __init__(self, flags):
        self.flags = flags
        self.born = time.time_ns() // 1_000_000
        self._zero_s = time.monotonic()
        self._record = open(flags.record, "a", buffering=1)
        self.fence = 0
        self.lease_ms = 0
        self.run_by_task = {}
        self.refused_upto_by_task = {}
        self.is_grey = False
        self.ended = []
        self._end_count = 0
        self._changed = gevent.event.Event()

    @property
    def clock_ms(self):
        """The steady clock, which begins with the process."""
        elapsed_ms = (time.monotonic() - self._zero_s) * 1000
        return int(elapsed_ms * self.flags.clock_rate)

    def write(self, event, **fields):
        """Appends an event to the record."""
        row = {
            "at": round(time.monotonic(), 3),
            "runner": self.flags.id,
            "born": self.born,
            "event": event,
            **fields,
        }
        self._record.write(json.dumps(row) + "\n")

    def start(self, document):
        """Carries out `run-start`."""
        if self.is_grey:
            raise Unhealthy
        self._check_fence(document)
        task, number = document["task"], document["run"]
        deadline_ms = document["deadline_ms"]
        if deadline_ms <= self.clock_ms:
            raise Refused("late")
        self._extend(deadline_ms)
        run = self.run_by_task.get(task)
        if run is not None and run.number == number:
            return {}
        if number <= self.refused_upto_by_task.get(task, 0):
            raise Refused("old")
        run = Run(task, number, document.get("spec", ""), self.clock_ms)
        self.run_by_task[task] = run
        self.write("run starts", task=task, run=number, fence=self.fence)
        return {}

    def stop(self, document):
        """Carries out `run-stop`."""
        self._check_fence(document)
        task, number = document["task"], document["run"]
        top = self.refused_upto_by_task.get(task, 0)
        self.refused_upto_by_task[task] = max(top, number)
        run = self.run_by_task.get(task)
        if run is not None and run.number == number and run.stops_ms is None:
            run.stops_ms = self.clock_ms + int(STOP_S * 1000)
            self.write("stop ordered", task=task, run=number)
        return {}

    def hold(self, document):
        """Carries out `hold`."""
        self._check_fence(document)
        if "deadline_ms" in document:
            self._extend(document["deadline_ms"])
        seen_upto = document.get("seen_upto", 0)
        self.ended = [row for row in self.ended if row[0] > seen_upto]
        end_s = time.monotonic() + min(document.get("wait_ms", 0), 2_000) / 1e3
        while not self.ended and (left_s := end_s - time.monotonic()) > 0:
            self._changed.clear()
            self._changed.wait(left_s)
        clock_ms = self.clock_ms
        return {
            "born": self.born,
            "running": [
                [run.task, run.number, "", run.percent(clock_ms), 0]
                for run in self.run_by_task.values()
            ],
            "ended": self.ended[:MAX_ENDS],
        }

    def turn_grey(self, is_grey):
        """Lets starts fail from now on, or succeed again."""
        self.is_grey = is_grey
        self.write("starts fail" if is_grey else "starts succeed again")

    def pace(self, document):
        """Carries out `pace`, which changes nothing here."""
        self._check_fence(document)
        return {}

    def advance(self):
        """Ends what is done, stopped or whose lease has expired."""
        clock_ms = self.clock_ms
        for run in list(self.run_by_task.values()):
            if clock_ms >= self.lease_ms:
                self._end(run, "lapsed")
            elif run.stops_ms is not None and clock_ms >= run.stops_ms:
                self._end(run, "stopped")
            elif (
                run.work_ms is not None
                and clock_ms >= run.started_ms + run.work_ms
            ):
                self._end(run, "done")

    def entry(self, sequence):
        """Returns the entry in the store."""
        cpu, mem_mb, gpu = map(int, self.flags.capacity.split(","))
        return {
            "service": self.flags.service,
            "addr": self.flags.advertised or self.flags.address,
            "zone": self.flags.zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "sequence": sequence,
            "capacity": {"cpu": cpu, "mem_mb": mem_mb, "gpu": gpu},
            "labels": self.flags.labels.split(","),
            "born": self.born,
        }

    def _check_fence(self, document):
        fence = document.get("fencing_token", 0)
        if fence < self.fence:
            raise Refused("fence")
        self.fence = fence

    def _extend(self, deadline_ms):
        longest_ms = self.clock_ms + self.flags.hold_max_ms
        self.lease_ms = max(self.lease_ms, min(deadline_ms, longest_ms))

    def _end(self, run, how):
        del self.run_by_task[run.task]
        top = self.refused_upto_by_task.get(run.task, 0)
        self.refused_upto_by_task[run.task] = max(top, run.number)
        self._end_count += 1
        self.ended.append([self._end_count, run.task, run.number, how, ""])
        self.write("run ends", task=run.task, run=run.number, how=how)
        self._changed.set()


class Application:
    """The WSGI application of the runner."""

    def __init__(self, runner):
        self._runner = runner
        self._calls = {
            "run-start": runner.start,
            "run-stop": runner.stop,
            "hold": runner.hold,
            "pace": runner.pace,
        }

    def __call__(self, environ, start_response):
        document = json.loads(environ["wsgi.input"].read() or b"{}")
        expected = environ.get("HTTP_X_EXPECT_INSTANCE", "")
        call = self._calls.get(environ["PATH_INFO"].removeprefix(PREFIX))
        answer = {}
        if expected and expected != self._runner.flags.id:
            status = 421
        elif call is None:
            status = 400
        else:
            try:
                status, answer = 200, call(document)
            except Refused as refused:
                status, answer = 409, {"reason": refused.reason}
            except Unhealthy:
                status = 503
        body = json.dumps({**answer, "clock_ms": self._runner.clock_ms})
        headers = [("Content-Type", "application/json")]
        headers.append(("Content-Length", str(len(body))))
        start_response(STATUS_TEXTS[status], headers)
        return [body.encode()]


def _call_store(address, method, path, document):
    """Sends one call to the store; returns status and document."""
    connection = http.client.HTTPConnection(address, timeout=2)
    try:
        connection.request(
            method, f"{PREFIX}{path}", json.dumps(document).encode()
        )
        answer = connection.getresponse()
        return answer.status, json.loads(answer.read() or b"{}")
    finally:
        connection.close()


def keep_registered(runner):
    """Writes the entry at each heartbeat, under a lease of three."""
    flags = runner.flags
    lease = 0
    sequence = 0
    gevent.sleep(flags.first_beat_ms / 1000)
    while True:
        sequence += 1
        try:
            if lease:
                path = f"kv-keep/{lease}"
                status, _answer = _call_store(flags.store, "POST", path, {})
                lease = lease if status == 200 else 0
            if not lease:
                lease = _register(runner, sequence)
        except (KeyError, OSError, ValueError, http.client.HTTPException):
            lease = 0
        gevent.sleep(flags.heartbeat_ms / 1000)


def _register(runner, sequence):
    flags = runner.flags
    ttl_ms = 3 * flags.heartbeat_ms
    _status, answer = _call_store(
        flags.store, "POST", "kv-lease", {"ttl_ms": ttl_ms}
    )
    value = base64.b64encode(json.dumps(runner.entry(sequence)).encode())
    write = {
        "key": f"servers/{flags.id}",
        "value": value.decode(),
        "lease": answer["lease"],
    }
    document = {"expected_rev": [], "set_keys": [write], "remove": []}
    status, _answer = _call_store(flags.store, "POST", "kv-txn", document)
    runner.write("registered", status=status)
    return answer["lease"] if status == 200 else 0


def main():
    """Serves until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--address", required=True)
    parser.add_argument("--advertised", default="")
    parser.add_argument("--service", required=True)
    parser.add_argument("--store", required=True)
    parser.add_argument("--record", required=True)
    parser.add_argument("--capacity", default="16000,65536,0")
    parser.add_argument("--labels", default="std,r1-1")
    parser.add_argument("--zone", default="a")
    parser.add_argument("--heartbeat-ms", type=int, default=1_500)
    parser.add_argument("--clock-rate", type=float, default=1.0)
    parser.add_argument("--first-beat-ms", type=int, default=0)
    parser.add_argument("--hold-max-ms", type=int, default=10_000)
    flags = parser.parse_args()
    stopped = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    runner = Runner(flags)
    gevent.signal_handler(signal.SIGUSR1, runner.turn_grey, True)
    gevent.signal_handler(signal.SIGUSR2, runner.turn_grey, False)
    host, _colon, port = flags.address.rpartition(":")
    server = pywsgi.WSGIServer(
        (host, int(port)), Application(runner), log=None
    )
    server.start()
    runner.write("up", pid=os.getpid())
    gevent.spawn(keep_registered, runner)
    while not stopped.is_set():
        runner.advance()
        stopped.wait(STEP_S)
    runner.write("down")


if __name__ == "__main__":
    main()
