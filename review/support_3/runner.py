"""Stand-in of one runner, as the users' pages describe it."""

import base64
import collections
import time

import attrs
import gevent
import gevent.event
from gevent import pool
import orjson

from samphiregate.adapters import http

HEARTBEAT_S = 1.5
MISSED_HEARTBEATS = 3
HOLD_MAX_MS = 10_000
STOP_GRACE_S = 0.2
CHECKPOINT_S = 1.0
TICK_S = 0.01
MAX_LISTED_ENDS = 500
ANSWERS = {
    200: "200 OK",
    400: "400 Bad Request",
    404: "404 Not Found",
    409: "409 Conflict",
    421: "421 Misdirected Request",
    503: "503 Service Unavailable",
}


@attrs.frozen
class Work:
    """What a task does.

    Parameters
    ----------
    work_s : float
        Time that it takes; infinite for one that lasts.
    fails : bool
        Whether it fails once that is over.
    saves : bool
        Whether its step has `checkpoints`.
    """

    work_s: float
    fails: bool = False
    saves: bool = False


@attrs.define(eq=False)
class Run:
    """One run of a task on a runner.

    Attributes
    ----------
    task, saved : str
    run : int
    work : Work
    done_s : float
        Work that is done, the checkpoint's included.
    updated_s, stop_s : float
        When `done_s` was computed, and when a stop takes effect.
    """

    task: str
    run: int
    work: Work
    saved: str = ""
    done_s: float = 0.0
    updated_s: float = 0.0
    stop_s: float = float("inf")

    @property
    def percent(self):
        """Progress in percent; a task that lasts is at work at once."""
        if self.work.work_s == float("inf"):
            return 100
        return min(int(100 * self.done_s / self.work.work_s), 99)

    def save(self):
        """Notes a checkpoint if the task makes any."""
        if self.work.saves:
            self.saved = f"{self.done_s:.2f}:{self.task}"


class Runner:
    """A runner that keeps its entry in the store; a context manager.

    Parameters
    ----------
    runner_id, service, zone : str
    labels : list of str
        Kind and rack.
    capacity : dict
    values : Values
        What the store's stand-in holds.
    find_work : callable
        Takes a task's name; returns its `Work`.
    record : callable
        Takes the words of a line of the record.

    Attributes
    ----------
    refuses_starts : bool
        Whether it is unhealthy, and answers each start with 503.
    slow_factor : float
        How many times as long its work takes.
    ended_by_reason : collections.Counter
    started : list of tuple
        Time, task and run of each start, in all incarnations.
    """

    def __init__(
        self,
        runner_id,
        *,
        service,
        labels,
        capacity,
        values,
        find_work,
        record,
        zone="a",
    ):
        self.runner_id = runner_id
        self.refuses_starts = False
        self.slow_factor = 1.0
        self.ended_by_reason = collections.Counter()
        self.started = []
        self.saved_by_start = {}
        self._service = service
        self._zone = zone
        self._labels = labels
        self._capacity = capacity
        self._values = values
        self._find_work = find_work
        self._record = record
        self._server = None
        self._address = "127.0.0.1:0"
        self._greenlets = []
        self._sequence = 0
        self._silent_since_s = None
        self.state = "ready"

    def __enter__(self):
        self.start()
        return self

    def __exit__(self, *exc_info):
        self.crash()

    @property
    def is_up(self):
        """Whether its process runs."""
        return self._server is not None

    @property
    def address(self):
        """Its ``ip:port``."""
        return self._address

    def start(self):
        """Starts a new incarnation, which knows nothing of before."""
        self._born_unix_ms = time.time_ns() // 1_000_000
        self._born_s = time.monotonic()
        self._fence = 0
        self._deadline_ms = 0
        self._runs = {}
        self._least_run_by_task = {}
        self._ended = collections.deque()
        self._end_count = 0
        self._ends_changed = gevent.event.Event()
        self._sequence = 0
        self._server = http.NoDelayServer(
            self._address, self._serve, spawn=pool.Pool(), error_log=None
        )
        self._server.start()
        self._address = f"127.0.0.1:{self._server.server_port}"
        self._record("runner up", self.runner_id, self._born_unix_ms)
        self._greenlets = [
            gevent.spawn(self._work),
            gevent.spawn(self._beat),
        ]

    def crash(self):
        """Ends the process: it sends nothing, and all that runs is gone."""
        if not self.is_up:
            return
        gevent.killall(self._greenlets)
        self._server.stop(timeout=0)
        self._server = None
        lost = sorted(one.task for one in self._runs.values())
        self._runs = {}
        self._record("runner down", self.runner_id, "with it", *lost)
        gevent.spawn(self._expire, self._sequence, self._born_unix_ms)

    def running(self):
        """Returns the names of the tasks at work."""
        return [one.task for one in self._runs.values()]

    # Its entry in the store

    def _beat(self):
        while True:
            self.write_entry()
            gevent.sleep(HEARTBEAT_S)

    def write_entry(self):
        """Writes what it says of itself into the store."""
        self._sequence += 1
        entry = {
            "service": self._service,
            "addr": self._address,
            "zone": self._zone,
            "version": "1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self._sequence,
            "born": self._born_unix_ms,
            "capacity": self._capacity,
            "labels": self._labels,
        }
        value = base64.b64encode(orjson.dumps(entry)).decode()
        self._values.set(f"servers/{self.runner_id}", value)

    def _expire(self, sequence, born_unix_ms):
        gevent.sleep(HEARTBEAT_S * MISSED_HEARTBEATS)
        if not self.is_up and self._born_unix_ms == born_unix_ms:
            self._values.commit([], [], [f"servers/{self.runner_id}"])

    # Work

    def _clock_ms(self):
        return int((time.monotonic() - self._born_s) * 1_000)

    def _work(self):
        while True:
            gevent.sleep(TICK_S)
            now_s = time.monotonic()
            for one in list(self._runs.values()):
                self._advance(one, now_s)
            if self._runs and self._clock_ms() > self._deadline_ms:
                for one in list(self._runs.values()):
                    self._end(one, "lapsed")

    def _advance(self, one, now_s):
        before = int(one.done_s / CHECKPOINT_S)
        one.done_s += (now_s - one.updated_s) / self.slow_factor
        one.updated_s = now_s
        if int(one.done_s / CHECKPOINT_S) > before:
            one.save()
        if now_s >= one.stop_s:
            one.save()
            self._end(one, "stopped")
        elif one.done_s >= one.work.work_s:
            self._end(one, "failed" if one.work.fails else "done")

    def _end(self, one, how):
        del self._runs[one.task, one.run]
        self._note_least(one.task, one.run)
        self._end_count += 1
        self._ended.append(
            [self._end_count, one.task, one.run, how, one.saved]
        )
        self.ended_by_reason[how] += 1
        self._record("end", self.runner_id, one.task, one.run, how)
        self._ends_changed.set()
        self._ends_changed.clear()

    def _note_least(self, task, run):
        least = self._least_run_by_task.get(task, 0)
        self._least_run_by_task[task] = max(least, run)

    # Calls

    def _serve(self, environ, start_response):
        data = environ["wsgi.input"].read()
        status, document = self._answer(environ, data)
        body = orjson.dumps(document)
        start_response(ANSWERS[status], [("Content-Length", str(len(body)))])
        return [body]

    def _answer(self, environ, data):
        path = environ["PATH_INFO"]
        if path == "/health":
            return 200, {}
        expected = environ.get("HTTP_X_EXPECT_INSTANCE", self.runner_id)
        if expected != self.runner_id:
            return 421, {}
        call = {
            "/samphiregate/run-start": self._start,
            "/samphiregate/run-stop": self._stop,
            "/samphiregate/hold": self._hold,
        }.get(path)
        if call is None:
            return 404, {}
        document = orjson.loads(data)
        if call == self._start and self.refuses_starts:
            self._record(
                "start refused, 503", self.runner_id, document["task"]
            )
            return 503, {}
        token = document.get("fencing_token", 0)
        if token < self._fence:
            return 409, {"clock_ms": self._clock_ms(), "reason": "fence"}
        self._fence = token
        return call(document)

    def _extend(self, document):
        deadline_ms = document.get("deadline_ms")
        if deadline_ms is not None:
            most_ms = self._clock_ms() + HOLD_MAX_MS
            deadline_ms = min(deadline_ms, most_ms)
            self._deadline_ms = max(self._deadline_ms, deadline_ms)

    def _start(self, document):
        task, run = document["task"], document["run"]
        clock = {"clock_ms": self._clock_ms()}
        if (task, run) in self._runs:
            self._extend(document)
            return 200, clock
        if document["deadline_ms"] <= self._clock_ms():
            return 409, {**clock, "reason": "late"}
        self._extend(document)
        if run <= self._least_run_by_task.get(task, 0):
            return 409, {**clock, "reason": "old"}
        saved = document.get("saved", "")
        done_s = float(saved.partition(":")[0]) if saved else 0.0
        self._runs[task, run] = Run(
            task,
            run,
            self._find_work(task),
            saved,
            done_s,
            time.monotonic(),
        )
        self.started.append((time.monotonic(), task, run))
        self.saved_by_start[task, run] = saved
        self._record("start", self.runner_id, task, run, saved or "-")
        return 200, clock

    def _stop(self, document):
        task, run = document["task"], document["run"]
        one = self._runs.get((task, run))
        if one is not None:
            one.stop_s = min(one.stop_s, time.monotonic() + STOP_GRACE_S / 2)
        else:
            self._note_least(task, run)
        return 200, {"clock_ms": self._clock_ms()}

    def _hold(self, document):
        self._extend(document)
        seen_upto = document["seen_upto"]
        while self._ended and self._ended[0][0] <= seen_upto:
            self._ended.popleft()
        if not self._ended:
            self._ends_changed.wait(document.get("wait_ms", 0) / 1_000)
        running = [
            [one.task, one.run, one.saved, one.percent, 0]
            for one in self._runs.values()
        ]
        return 200, {
            "clock_ms": self._clock_ms(),
            "born": self._born_unix_ms,
            "running": running,
            "ended": list(self._ended)[:MAX_LISTED_ENDS],
        }
