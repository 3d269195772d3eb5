"""Watches long-running tasks in a simulated cell, and fills its endpoints."""

import attrs

from features.support import cells_work
from samphiregate.core import cells

STEP_MS = 10
URGENT_GAP_MS = 100
URGENT_TASK_MS = 600
TICKET_VALID_MS = 2_000


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
    """

    simulation: object
    advice: object
    tasks: int
    is_open: bool = True
    _count: int = 0

    def submit(self):
        """Submits a job now and, while the stream is open, further ones."""
        if not self.is_open:
            return
        self._count += 1
        step = cells_work.make_step(self.tasks, estimate_ms=URGENT_TASK_MS)
        self.simulation.submit(
            cells_work.make_job(
                f"urgent-{self._count}", step, priority=0, advice=self.advice
            )
        )
        self.simulation.at(URGENT_GAP_MS, self.submit)


class RestartWatch:
    """Records how long each long-running task is without a run.

    Attributes
    ----------
    max_gap_ms : int
        Longest time between two runs of a task.
    """

    def __init__(self, simulation):
        self._simulation = simulation
        self._last_seen_ms_by_task = {}
        self.max_gap_ms = 0

    def start(self):
        """Looks at the endpoints at every step from now on."""
        self._look()
        self._simulation.at(STEP_MS, self.start)

    def _look(self):
        now_ms = self._simulation.now_ms
        for _endpoint, run in long_running_runs(self._simulation):
            self._last_seen_ms_by_task[run.task_id] = now_ms
        for last_ms in self._last_seen_ms_by_task.values():
            self.max_gap_ms = max(self.max_gap_ms, now_ms - last_ms)
