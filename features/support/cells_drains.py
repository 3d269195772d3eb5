"""Drains of data centres in a simulated cell, and the starts there."""

import attrs

from features.support import cells_restart
from samphiregate.core import cells


@attrs.frozen
class Start:
    """A start in a data centre that operators drained at some time.

    Parameters
    ----------
    data_centre : str
    task_id : TaskId
    at_ms : int
    late_ms : int
        For how long the data centre was drained; negative if it was not.
    """

    data_centre: str
    task_id: cells.TaskId
    at_ms: int
    late_ms: int


class Drains:
    """The drained data centres of a simulated cell, as the store holds them.

    Parameters
    ----------
    simulation : CellSimulation

    Attributes
    ----------
    starts : list of Start
    """

    def __init__(self, simulation):
        self.starts = []
        self._simulation = simulation
        self._since_ms_by_name = {}

    def drain(self, names, notice_ms=0):
        """Drains data centres; the owner learns of it `notice_ms` later."""
        for name in names:
            self._since_ms_by_name.setdefault(name, self._simulation.now_ms)
        self._notify(notice_ms)

    def take_back(self, names, notice_ms=0):
        """Takes data centres back; the owner learns `notice_ms` later."""
        for name in names:
            del self._since_ms_by_name[name]
        self._notify(notice_ms)

    def deliver_at_takeover(self):
        """Delivers what the VM that takes over has read from the store."""
        if self._since_ms_by_name:
            self._simulation.deliver(self._event())

    def note_start(self, endpoint, task_id):
        """Records a start."""
        name = endpoint.data_centre
        since_ms = self._since_ms_by_name.get(name)
        late_ms = -1
        if since_ms is not None:
            late_ms = self._simulation.now_ms - since_ms
        self.starts.append(
            Start(name, task_id, self._simulation.now_ms, late_ms)
        )

    def _notify(self, notice_ms):
        self._simulation.at(
            notice_ms, lambda: self._simulation.announce(self._event())
        )

    def _event(self):
        return cells.DataCentresDrained(frozenset(self._since_ms_by_name))


class AwayWatch:
    """Watches how many long-running tasks are away, and for how long.

    Attributes
    ----------
    max_away : int
        Most tasks that were away at once.
    max_away_ms : int
        Longest time between two runs of a task.
    """

    def __init__(self, simulation):
        self.max_away = 0
        self.max_away_ms = 0
        self._simulation = simulation
        self._seen_ms_by_task = {}

    def start(self):
        """Looks at the endpoints at every step from now on."""
        now_ms = self._simulation.now_ms
        for _endpoint, run in cells_restart.long_running_runs(
            self._simulation
        ):
            self._seen_ms_by_task[run.task_id] = now_ms
        away_ms = [now_ms - ms for ms in self._seen_ms_by_task.values()]
        self.max_away = max(self.max_away, sum(ms > 0 for ms in away_ms))
        self.max_away_ms = max(self.max_away_ms, *away_ms)
        self._simulation.at(cells_restart.STEP_MS, self.start)
