"""Watches long-running tasks in a simulated cell, and fills its endpoints."""

import math

import attrs

from features.support import cells_work
from samphiregate.core import cells

STEP_MS = 10
URGENT_GAP_MS = 100
URGENT_TASK_MS = 600
TICKET_VALID_MS = 2_000
POLICY_QUERY_MS = 200
MAX_RESTART_MS = 3_000
CALM_BEFORE_MS = 4_000


def policy_timings(simulation, kind):
    """Returns the timings of a queue that needs tickets; None if not."""
    if kind == "need no tickets":
        return None
    return cells.PolicyTimings(
        simulation.policy_query_ms, 0.1, TICKET_VALID_MS
    )


def long_running_runs(simulation):
    """Returns the endpoint and run of each long-running task at work."""
    return [
        (endpoint, run)
        for endpoint in simulation.endpoint_by_id.values()
        for run in endpoint.run_by_key.values()
        if run.step.long_running
    ]


@attrs.define(eq=False)
class UrgentStream:
    """Submits urgent small tasks all the time, more than the endpoints hold.

    Parameters
    ----------
    simulation : CellSimulation
    advice : PolicyTimings or None
    tasks : int
        Number of tasks submitted every `URGENT_GAP_MS`.
    max_waiting : float
        Number of unfinished jobs at which none is submitted.
    """

    simulation: object
    advice: object
    tasks: int
    max_waiting: float = math.inf
    _count: int = 0
    _waiting_ids: list = attrs.field(factory=list)

    def submit(self):
        """Submits a job now, and further ones from now on."""
        self.simulation.at(URGENT_GAP_MS, self.submit)
        self._waiting_ids = [
            job_id
            for job_id in self._waiting_ids
            if self.simulation.cell.state_of(job_id)
            is not cells.JobState.COMPLETED
        ]
        if len(self._waiting_ids) >= self.max_waiting:
            return
        self._count += 1
        job_id = f"urgent-{bool(self.advice)}-{self._count}"
        self._waiting_ids.append(job_id)
        step = cells_work.make_step(self.tasks, estimate_ms=URGENT_TASK_MS)
        self.simulation.submit(
            cells_work.make_job(job_id, step, priority=0, advice=self.advice)
        )


class RestartWatch:
    """Watches how long each long-running task is without a run.

    A task is overdue if it has no run for `MAX_RESTART_MS` while an endpoint
    that may run it has room for it twice over, and no fault was there in
    that time and for `CALM_BEFORE_MS` before it. Room that other tasks took
    within `MAX_RESTART_MS` counts as free: the restart goes before them.

    Attributes
    ----------
    max_gap_ms : int
        Longest time between two runs of a task.
    overdue : list of str
        The first moment of each time in which a task was overdue.
    """

    def __init__(self, simulation):
        self._simulation = simulation
        self._last_seen_ms_by_task = {}
        self._room_since_ms_by_task = {}
        self._overdue_tasks = set()
        self._fault_until_ms = 0
        self.max_gap_ms = 0
        self.overdue = []

    def start(self):
        """Looks at the endpoints at every step from now on."""
        self._look()
        self._simulation.at(STEP_MS, self.start)

    def note_fault(self, span_ms):
        """Records a fault that begins now and lasts for a time."""
        until_ms = self._simulation.now_ms + span_ms
        self._fault_until_ms = max(self._fault_until_ms, until_ms)

    def _look(self):
        now_ms = self._simulation.now_ms
        running = {
            run.task_id for _, run in long_running_runs(self._simulation)
        }
        for task_id in running:
            self._last_seen_ms_by_task[task_id] = now_ms
            self._room_since_ms_by_task.pop(task_id, None)
            self._overdue_tasks.discard(task_id)
        waiting = self._last_seen_ms_by_task.keys() - running
        for task_id in waiting:
            gap_ms = now_ms - self._last_seen_ms_by_task[task_id]
            self.max_gap_ms = max(self.max_gap_ms, gap_ms)
            self._check(task_id)

    def _check(self, task_id):
        now_ms = self._simulation.now_ms
        if not self._has_room_twice(task_id):
            self._room_since_ms_by_task.pop(task_id, None)
            return
        since_ms = self._room_since_ms_by_task.setdefault(task_id, now_ms)
        is_calm = now_ms - self._fault_until_ms >= (
            CALM_BEFORE_MS + MAX_RESTART_MS
        )
        is_overdue = is_calm and now_ms - since_ms > MAX_RESTART_MS
        if is_overdue and task_id not in self._overdue_tasks:
            self._overdue_tasks.add(task_id)
            last_ms = self._last_seen_ms_by_task[task_id]
            self.overdue.append(
                f"{now_ms} ms: {task_id} has had no run since {last_ms} ms"
            )

    def _has_room_twice(self, task_id):
        simulation = self._simulation
        step = simulation.step_of(task_id)
        allowed = simulation.allowed_by_step.get(
            (task_id.job_id, task_id.step), simulation.endpoint_by_id
        )
        usable = [
            endpoint
            for endpoint in map(simulation.endpoint_by_id.get, allowed)
            if endpoint.reachable and not _is_full_of(step, task_id, endpoint)
        ]
        fitting = sum(
            step.booked.count_fitting_in(self._room(one)) for one in usable
        )
        return fitting >= 2

    def _room(self, endpoint):
        room = endpoint.capacity
        recent_ms = self._simulation.now_ms - MAX_RESTART_MS
        for run in endpoint.run_by_key.values():
            if run.step.long_running or run.started_ms < recent_ms:
                room -= run.step.booked
        return room


def _is_full_of(step, task_id, endpoint):
    """Whether an endpoint runs as many tasks of a step as it may."""
    if not step.most_per_endpoint:
        return False
    count = sum(
        run.job_id == task_id.job_id for run in endpoint.run_by_key.values()
    )
    return count >= step.most_per_endpoint
