"""Preemption of the cheapest tasks, within the teams' fair shares."""

import bisect
import itertools

import attrs

from samphiregate.core import base
from samphiregate.core import model
from samphiregate.core import placement
from samphiregate.core.preemption import _messages
from samphiregate.core.preemption import _selection
from samphiregate import parameters

# Cheapest to preempt first.
CLASSES_BY_COST = (
    model.WorkClass.REQUEST,
    model.WorkClass.BATCH,
    model.WorkClass.GANG,
    model.WorkClass.SERVICE,
)


@attrs.frozen
class Plan:
    """Tasks to preempt on one worker, and what that costs.

    Parameters
    ----------
    cost : tuple
        Number of services stopped, number of tasks stopped without a
        checkpoint, lost work in milliseconds of one core, and total number
        of tasks; compared in this order.
    """

    cost: tuple
    worker_id: str
    task_ids: tuple


class CheapestVictims(base.Policy):
    """Chooses tasks to checkpoint or stop for urgent work.

    Parameters
    ----------
    queue : FairShareQueue or None
        Queue that provides `share`, `urgent_share`, `fair_share` and
        `total_`; if None, no team is protected by its fair share, and any
        team's work may be preempted.
    tolerance : float
        Fraction of its fair share that a team may be pushed below it.
    candidates : int
        Number of each team's cheapest tasks whose workers are considered.
    teams : int
        Number of teams above their fair share that are considered, those
        with the largest surplus first.
    random_state : random.Random or None
        Unused; accepted so that policies are interchangeable.

    Notes
    -----
    A team's urgent work may always preempt other work of the same team. It
    may preempt another team's work only while the running urgent work of
    the preempting team is below that team's own fair share, and only if the
    preempted team keeps at least its fair share less the tolerance. A
    preempted team has a lower score in the queue than before, so its work
    starts earlier on free resources. Without a tolerance, nothing could be
    preempted when every team is exactly at its fair share. Urgent tasks are
    never preempted, nor are tasks of a gang that cannot be checkpointed, as
    the work of the whole gang would be lost.

    Each team's tasks are sorted by cost: checkpointable tasks first, then
    by class, then the latest started first. A decision considers at most
    `candidates` workers for each team, so their number is bounded. The
    urgent item must be queued in `queue` when the policy is queried, as a
    team without work has a fair share of 0.
    """

    parameter_table = {
        "tolerance": parameters.Interval(float, 0.0, 1.0),
        "candidates": parameters.Interval(int, 1, 10_000),
        "teams": parameters.Interval(int, 1, 10_000),
    }

    def __init__(
        self,
        *,
        queue=None,
        tolerance=0.1,
        candidates=16,
        teams=8,
        random_state=None,
    ):
        self.queue = queue
        self.tolerance = tolerance
        self.candidates = candidates
        self.teams = teams
        self.random_state = random_state
        self.check_parameters()
        self.tasks_by_id_ = {}
        self.room_by_worker_ = {}
        self._task_ids_by_worker = {}
        self._cost_keys_by_team = {}

    @base.singledispatchmethod
    def observe(self, event, now_ms):
        """Applies task and worker events; other events are ignored."""

    @observe.register
    def _(self, event: _messages.TaskRunning, now_ms):
        self._remove_task(event.task_id)
        self.tasks_by_id_[event.task_id] = event
        if not _is_preemptible(event):
            return
        ids = self._task_ids_by_worker.setdefault(event.worker_id, {})
        ids[event.task_id] = None
        cost_keys = self._cost_keys_by_team.setdefault(event.team, [])
        bisect.insort(cost_keys, _cost_key(event))

    @observe.register
    def _(self, event: _messages.TaskNotPreemptible, now_ms):
        self._remove_task(event.task_id)

    @observe.register
    def _(self, event: placement.WorkerRoomChanged, now_ms):
        self.room_by_worker_[event.worker.worker_id] = event.room

    @observe.register
    def _(self, event: placement.WorkerRemoved, now_ms):
        self.room_by_worker_.pop(event.worker_id, None)

    @base.singledispatchmethod
    def choose(self, question, now_ms):
        """Returns the tasks to preempt, or None if no worker qualifies.

        Parameters
        ----------
        question : SelectVictims
            The urgent work that needs resources.
        now_ms : int
            Monotonic time, in milliseconds.

        Returns
        -------
        Victims or None

        Raises
        ------
        TypeError
            If `question` is of another type.
        """
        raise TypeError(
            f"expected SelectVictims, not {type(question).__name__}"
        )

    @choose.register
    def _(self, question: _messages.SelectVictims, now_ms):
        budgets = self._budgets(question.team)
        best = None
        checked = set(question.excluded_workers)
        for team in budgets:
            cost_keys = self._cost_keys_by_team.get(team, ())
            for cost_key in itertools.islice(cost_keys, self.candidates):
                worker_id = self.tasks_by_id_[cost_key[-1]].worker_id
                if worker_id in checked:
                    continue
                checked.add(worker_id)
                plan = self._plan(worker_id, question, budgets, now_ms)
                if plan is None:
                    continue
                if best is None or plan.cost < best.cost:
                    best = plan
        if best is None:
            return None
        return _messages.Victims(best.worker_id, best.task_ids)

    def describe(self):
        """Returns the number of tasks and of teams with candidates."""
        return {
            "policy": "cheapest-victims",
            "tasks": len(self.tasks_by_id_),
            "teams": len(self._cost_keys_by_team),
        }

    def _remove_task(self, task_id):
        task = self.tasks_by_id_.pop(task_id, None)
        if task is None or not _is_preemptible(task):
            return
        ids = self._task_ids_by_worker[task.worker_id]
        del ids[task_id]
        if not ids:
            del self._task_ids_by_worker[task.worker_id]
        cost_keys = self._cost_keys_by_team[task.team]
        del cost_keys[bisect.bisect_left(cost_keys, _cost_key(task))]
        if not cost_keys:
            del self._cost_keys_by_team[task.team]

    def _budgets(self, team):
        """Returns how much dominant share each eligible team may lose."""
        budgets = {team: float("inf")}
        if self.queue is None:
            budgets.update(
                dict.fromkeys(self._cost_keys_by_team, float("inf"))
            )
            return budgets
        if self.queue.urgent_share(team) >= self.queue.fair_share(team):
            return budgets
        surpluses = []
        for name in self._cost_keys_by_team:
            floor = self.queue.fair_share(name) * (1.0 - self.tolerance)
            surplus = self.queue.share(name) - floor
            if name != team and surplus > 0:
                surpluses.append((-surplus, name))
        for surplus, name in sorted(surpluses)[: self.teams]:
            budgets[name] = -surplus
        return budgets

    def _plan(self, worker_id, question, budgets, now_ms):
        room = self.room_by_worker_.get(worker_id)
        if room is None:
            return None
        chosen = _selection.select_cheapest(
            self._within(budgets, worker_id), room, question.resources
        )
        if chosen is None:
            return None
        ids = tuple(task.task_id for task in chosen)
        return Plan(_cost(chosen, now_ms), worker_id, ids)

    def _within(self, budgets, worker_id):
        """Yields a worker's tasks by cost, while their teams may lose them."""
        remaining = dict(budgets)
        ids = self._task_ids_by_worker.get(worker_id, ())
        tasks = (self.tasks_by_id_[task_id] for task_id in ids)
        for task in sorted(tasks, key=_cost_key):
            share = self._share_of(task)
            if share <= remaining.get(task.team, 0.0):
                remaining[task.team] -= share
                yield task

    def _share_of(self, task):
        if self.queue is None:
            return 0.0
        return task.resources.dominant_share(self.queue.total_)


def _is_preemptible(task):
    if task.urgent:
        return False
    is_gang = task.work_class is model.WorkClass.GANG
    return task.checkpointable or not is_gang


def _cost_key(task):
    return (
        not task.checkpointable,
        CLASSES_BY_COST.index(task.work_class),
        -task.started_ms,
        task.task_id,
    )


def _cost(tasks, now_ms):
    stopped = [task for task in tasks if not task.checkpointable]
    services = sum(
        1 for task in stopped if task.work_class is model.WorkClass.SERVICE
    )
    lost_core_ms = sum(
        (now_ms - task.started_ms) * task.resources.cpu_millis // 1_000
        for task in stopped
    )
    return (services, len(stopped), lost_core_ms, len(tasks))
