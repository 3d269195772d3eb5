"""Stand-in of a runner, after the page PROTOCOL (`orders` = `rpc`)."""

import asyncio
import time

from support_2 import store as stores
from support_2 import web

BEAT_S = 1.5
STOP_S = 0.05
MAX_ENDED = 500


class _Run:
    """One run of a task."""

    def __init__(self, task, number, work_s, now_s):
        self.task = task
        self.number = number
        self.work_s = work_s
        self.start_s = now_s
        self.stops_s = None

    def row(self, now_s):
        """Returns its entry in `running`."""
        share = min((now_s - self.start_s) / self.work_s, 1.0)
        return [self.task, self.number, "", int(100 * share), 1.0]


class Runner:
    """Runs tasks; the `spec` of a job says for how many milliseconds.

    Parameters
    ----------
    store : Store
    runner_id, service : str
    capacity : dict
    labels : list of str
    note : callable
        Takes the name of an event and its fields.

    Attributes
    ----------
    refuses : bool
        Whether it is unhealthy: it answers each order to start with 503 and
        does nothing.
    """

    def __init__(self, store, runner_id, service, capacity, labels, note):
        self.runner_id = runner_id
        self.service = service
        self.capacity = capacity
        self.labels = labels
        self.refuses = False
        self._store = store
        self._note = note
        self._port = 0
        self._tasks = []
        self._begin()

    def _begin(self):
        self._server = web.Server(self._answer)
        self._begin_s = time.monotonic()
        self._born_ms = round(time.time() * 1000)
        self._fence = 0
        self._lease_s = 0.0
        self._runs = {}
        self._highest = {}
        self._ended = []
        self._end_count = 0
        self._sequence = 0
        self._changed = asyncio.Event()

    async def restart(self):
        """Starts again after a crash, under the same id and address."""
        self._begin()
        self._note("runner starts again", runner=self.runner_id)
        await self.start()

    def crash(self):
        """Ends the process: its connections are reset, its runs are lost."""
        lost = [[run.task, run.number] for run in self._runs.values()]
        self._note("runner crashes", runner=self.runner_id, lost=lost)
        self._runs = {}
        self.close()

    def runs_task(self, prefix):
        """Whether it runs a task whose name begins so."""
        return any(task.startswith(prefix) for task, _run in self._runs)

    async def start(self):
        """Begins to serve and to register itself."""
        await self._server.start(port=self._port)
        self._port = int(self._server.address.rpartition(":")[2])
        self._tasks = [
            asyncio.ensure_future(self._beat()),
            asyncio.ensure_future(self._work()),
        ]
        return self

    def close(self):
        """Ends it without a word."""
        for task in self._tasks:
            task.cancel()
        self._server.close()

    async def _beat(self):
        while True:
            self._sequence += 1
            entry = {
                "service": self.service,
                "addr": self._server.address,
                "zone": "z-1",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "capacity": self.capacity,
                "labels": self.labels,
                "clock_ms": self._clock_ms(),
                "born": self._born_ms,
                "sequence": self._sequence,
            }
            self._store.put(f"servers/{self.runner_id}", stores.encode(entry))
            await asyncio.sleep(BEAT_S)

    async def _work(self):
        while True:
            await asyncio.sleep(0.01)
            now_s = time.monotonic()
            for run in list(self._runs.values()):
                if now_s >= self._lease_s:
                    self._end(run, "lapsed")
                elif run.stops_s is not None and now_s >= run.stops_s:
                    self._end(run, "stopped")
                elif now_s >= run.start_s + run.work_s:
                    self._end(run, "done")

    def _end(self, run, how):
        del self._runs[run.task, run.number]
        highest = max(self._highest.get(run.task, 0), run.number)
        self._highest[run.task] = highest
        self._end_count += 1
        self._ended.append([self._end_count, run.task, run.number, how, ""])
        self._note(
            "ended",
            runner=self.runner_id,
            task=run.task,
            run=run.number,
            how=how,
        )
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _clock_ms(self):
        return round((time.monotonic() - self._begin_s) * 1000)

    async def _answer(self, request):
        if request.path == "/health":
            return 200, {}
        expected = request.headers.get("x-expect-instance")
        if expected not in (None, self.runner_id):
            return 421, {}
        document = request.json()
        name = request.path.removeprefix("/samphiregate/")
        if name == "run-start":
            status, reason = self._start(document)
        elif name == "run-stop":
            status, reason = self._stop(document)
        elif name == "hold":
            return await self._hold(document)
        else:
            return 404, {}
        answer = {"clock_ms": self._clock_ms(), "born": self._born_ms}
        if reason:
            answer["reason"] = reason
        return status, answer

    def _is_fenced(self, document):
        token = document.get("fencing_token", 0)
        if token < self._fence:
            return True
        self._fence = token
        return False

    def _extend(self, deadline_ms):
        end_s = self._begin_s + deadline_ms / 1000
        self._lease_s = max(self._lease_s, min(end_s, time.monotonic() + 10.0))

    def _start(self, document):
        task, number = document["task"], document["run"]
        if self.refuses:
            self._note(
                "start refused",
                runner=self.runner_id,
                task=task,
                run=number,
                status=503,
            )
            return 503, None
        if self._is_fenced(document):
            return 409, "fence"
        if document["deadline_ms"] <= self._clock_ms():
            return 409, "late"
        self._extend(document["deadline_ms"])
        if (task, number) in self._runs:
            return 200, None
        if number <= self._highest.get(task, 0):
            return 409, "old"
        now_s = time.monotonic()
        work_s = int(document["spec"].split("=")[1]) / 1000
        self._runs[task, number] = _Run(task, number, work_s, now_s)
        self._note(
            "started",
            runner=self.runner_id,
            task=task,
            run=number,
            token=document.get("fencing_token", 0),
        )
        return 200, None

    def _stop(self, document):
        if self._is_fenced(document):
            return 409, "fence"
        task, number = document["task"], document["run"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self._runs.get((task, number))
        if run is not None and run.stops_s is None:
            run.stops_s = time.monotonic() + STOP_S
        return 200, None

    async def _hold(self, document):
        if self._is_fenced(document):
            return 409, {"clock_ms": self._clock_ms(), "reason": "fence"}
        if "deadline_ms" in document:
            self._extend(document["deadline_ms"])
        seen = document.get("seen_upto", 0)
        self._ended = [row for row in self._ended if row[0] > seen]
        wait_s = min(document.get("wait_ms", 0), 2_000) / 1000
        if wait_s and not self._ended:
            try:
                await asyncio.wait_for(self._changed.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        now_s = time.monotonic()
        return 200, {
            "clock_ms": self._clock_ms(),
            "born": self._born_ms,
            "running": [run.row(now_s) for run in self._runs.values()],
            "ended": self._ended[:MAX_ENDED],
        }
