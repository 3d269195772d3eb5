"""An owner of one cell with plain endpoints, in virtual time."""

import functools
import hashlib
import heapq
import itertools
import random

import attrs

from bench.owner import _stream
from samphiregate.core import cells

LINK_MS = 1
STORE_MS = 6
TICK_MS = 100
LEASE_MS = 5_000
MAX_RECORDS = 28
MAX_COMMIT_BYTES = 262_144
QUERY_SLOTS = 38
FAILED_SHARE = 0.02
REFUSED_SHARE = 0.02
LOAD_LOG_MS = 1_000


@attrs.define(eq=False)
class _Worker:
    """An endpoint: its runs, its ends and the poll that it holds."""

    running: dict = attrs.field(factory=dict)
    ended: list = attrs.field(factory=list)
    end_count: int = 0
    held: object = None


class Owner:
    """Plays a stream on a cell.

    Parameters
    ----------
    endpoint_count : int
    seed : int
    measure : callable
        Called with each call of the cell.

    Attributes
    ----------
    start_count, done_count, event_count : int
    digest : hashlib hash
        Over all actions in their order, to compare decisions.
    """

    def __init__(self, endpoint_count, seed, measure):
        self.start_count = 0
        self.done_count = 0
        self.event_count = 0
        self.digest = hashlib.sha256()
        self._now_ms = 0
        self._measure = measure
        self._random = random.Random(seed)
        self._queue = []
        self._order = itertools.count()
        self._events = []
        self._writing = False
        self._allowed = {}
        self._job_by_id = {}
        self._next_load_ms = 0
        self.cell = cells.Cell(
            epoch=1, lease_ms=LEASE_MS, inherited_lease_ms=7_400
        )
        self._workers = {}
        for registration in _stream.endpoints(endpoint_count):
            self._workers[registration.endpoint_id] = _Worker()
            self._events.append(registration)

    def play(self, arrivals, length_ms):
        """Plays the arrivals until `length_ms`."""
        for at_ms, kind, job in arrivals:
            submit = functools.partial(self._submit, kind, job)
            self._at(at_ms, submit)
        self._at(0, self._tick)
        while self._queue and self._queue[0][0] <= length_ms:
            self._now_ms, _order, call = heapq.heappop(self._queue)
            call()
            if not self._queue or self._queue[0][0] > self._now_ms:
                self._loop()

    def _at(self, at_ms, call):
        heapq.heappush(self._queue, (at_ms, next(self._order), call))

    def _after(self, delay_ms, call, *args):
        self._at(self._now_ms + delay_ms, functools.partial(call, *args))

    def _answer(self, delay_ms, event):
        self._after(delay_ms, self._deliver, event)

    def _deliver(self, event):
        self._events.append(event)

    def _wake(self):
        """Only lets the loop run."""

    def _tick(self):
        self._after(TICK_MS, self._tick)

    def _submit(self, kind, job):
        self._job_by_id[job.job_id] = (kind, job)
        self._events.append(cells.JobStored(job))

    def _loop(self):
        events, self._events = self._events, []
        for event in events:
            self.event_count += 1
            self._perform(self._measure(self.cell.handle, event, self._now_ms))
        now_ms = self._now_ms
        actions = self._measure(self.cell.plan, now_ms, now_ms, QUERY_SLOTS)
        self._perform(actions)
        if self.cell.plan_due_ms is not None:
            self._at(self.cell.plan_due_ms, self._wake)
        if now_ms >= self._next_load_ms:
            self._next_load_ms = now_ms + LOAD_LOG_MS
            self._measure(self.cell.load)
        self._write()

    def _write(self):
        if self._writing:
            return
        rows = self._measure(
            self.cell.pop_records, MAX_RECORDS, MAX_COMMIT_BYTES
        )
        if rows:
            self._writing = True
            self._after(STORE_MS, self._written, rows)

    def _written(self, rows):
        self._writing = False
        versions = tuple((row.job_id, row.version) for row in rows)
        self._events.append(cells.RecordsStored(versions))

    # Actions

    def _perform(self, actions):
        for action in actions:
            self.digest.update(repr((self._now_ms, action)).encode())
            self._perform_one(action)

    @functools.singledispatchmethod
    def _perform_one(self, action):
        """Ignores what has no effect on an endpoint, such as log lines."""

    @_perform_one.register
    def _(self, action: cells.StartTask):
        self.start_count += 1
        self._after(LINK_MS, self._start, action)

    def _start(self, action):
        outcome = cells.StartOutcome.STARTED
        if self._random.random() < REFUSED_SHARE:
            outcome = cells.StartOutcome.NO_ROOM
        else:
            self._begin(action)
        event = cells.StartAnswered(
            action.task_id, action.run, action.endpoint_id, outcome
        )
        self._answer(LINK_MS, event)

    def _begin(self, action):
        worker = self._workers[action.endpoint_id]
        _kind, job = self._job_by_id[action.task_id.job_id]
        step = job.steps[action.task_id.step]
        work_ms = round(step.estimate_ms * self._random.uniform(0.8, 1.2))
        run = (self._now_ms, work_ms)
        worker.running[action.task_id, action.run] = run
        if step.long_running:
            return
        reason = cells.EndReason.DONE
        if self._random.random() < FAILED_SHARE:
            reason = cells.EndReason.FAILED
        self._after(work_ms, self._end, action, reason)

    def _end(self, action, reason):
        worker = self._workers[action.endpoint_id]
        key = (action.task_id, action.run)
        if worker.running.pop(key, None) is None:
            return
        self.done_count += reason is cells.EndReason.DONE
        worker.end_count += 1
        row = cells.EndedRow(worker.end_count, *key, reason)
        worker.ended.append(row)
        self._answer_poll(action.endpoint_id, worker.held)

    @_perform_one.register
    def _(self, action: cells.StopTask):
        self._after(LINK_MS, self._end, action, cells.EndReason.STOPPED)
        event = cells.StopAnswered(
            action.task_id, action.run, action.endpoint_id, True
        )
        self._answer(2 * LINK_MS, event)

    @_perform_one.register
    def _(self, action: cells.PollEndpoint):
        self._after(LINK_MS, self._hold, action, self._now_ms)

    def _hold(self, action, sent_ms):
        worker = self._workers[action.endpoint_id]
        worker.ended = [
            row for row in worker.ended if row.number > action.stored_upto
        ]
        held = (action, sent_ms)
        if worker.ended or not action.wait_ms:
            self._answer_held(action.endpoint_id, held)
            return
        self._answer_poll(action.endpoint_id, worker.held)
        worker.held = held
        self._after(
            action.wait_ms, self._answer_poll, action.endpoint_id, held
        )

    def _answer_poll(self, endpoint_id, held):
        worker = self._workers[endpoint_id]
        if held is not None and worker.held is held:
            worker.held = None
            self._answer_held(endpoint_id, held)

    def _answer_held(self, endpoint_id, held):
        worker = self._workers[endpoint_id]
        running = tuple(
            cells.RunningRow(*key, percent=self._percent(*run))
            for key, run in worker.running.items()
        )
        event = cells.EndpointPolled(
            endpoint_id,
            held[1],
            self._now_ms,
            1,
            running,
            tuple(worker.ended),
        )
        self._answer(LINK_MS, event)

    def _percent(self, started_ms, work_ms):
        return min(99.0, 100.0 * (self._now_ms - started_ms) / work_ms)

    @_perform_one.register
    def _(self, action: cells.QueryPolicy):
        kind, _job = self._job_by_id[action.job_id]
        tickets = {
            endpoint_id: "ticket"
            for endpoint_id in action.endpoint_ids
            if self._is_allowed(action, endpoint_id, kind.allowed_share)
        }
        delay_ms = round(action.expected_ms)
        valid_until_ms = self._now_ms + delay_ms + action.valid_ms
        event = cells.PolicyAnswered(
            action.job_id,
            action.occurrence,
            action.step,
            action.endpoint_ids,
            tickets,
            valid_until_ms,
        )
        self._answer(delay_ms, event)

    def _is_allowed(self, action, endpoint_id, share):
        key = (action.job_id, action.step, endpoint_id)
        if key not in self._allowed:
            self._allowed[key] = self._random.random() < share
        return self._allowed[key]
