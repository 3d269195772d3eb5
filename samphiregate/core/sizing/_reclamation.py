"""Throttling, checkpointing and stopping on overcommitted workers."""

from samphiregate.core import base
from samphiregate.core import model
from samphiregate.core.sizing import _messages
from samphiregate import parameters

RECLAIM_CLASS_ORDER = (
    model.WorkClass.BATCH,
    model.WorkClass.GANG,
    model.WorkClass.SERVICE,
    model.WorkClass.REQUEST,
)


class ReclamationPolicy(base.Policy):
    """Reclaims the excess of overcommitted workers, mildest step first.

    Parameters
    ----------
    throttle_wait_ms : int
        Time allowed for throttling to take effect, in milliseconds.
    checkpoint_wait_ms : int
        Time allowed for checkpoints after that, in milliseconds.
    random_state : random.Random or None
        Unused; accepted so that policies are interchangeable.

    Notes
    -----
    Urgent tasks are selected last. Otherwise tasks that use more than their
    booking come first, then batch work, gangs, services and requests; in
    each group, tasks with more CPU (booked or used, whichever is larger)
    come first. No more tasks are selected than needed to cover the excess.
    A step that applies to no task is skipped.
    """

    parameter_table = {
        "throttle_wait_ms": parameters.Interval(int, 0, 600_000),
        "checkpoint_wait_ms": parameters.Interval(int, 0, 600_000),
    }

    def __init__(
        self,
        *,
        throttle_wait_ms=2_000,
        checkpoint_wait_ms=5_000,
        random_state=None,
    ):
        self.throttle_wait_ms = throttle_wait_ms
        self.checkpoint_wait_ms = checkpoint_wait_ms
        self.random_state = random_state
        self.check_parameters()
        self.excess_since_by_worker_ = {}

    @base.singledispatchmethod
    def observe(self, event, now_ms):
        """Applies `WorkerExcess`; other events are ignored."""

    @observe.register
    def _(self, event: _messages.WorkerExcess, now_ms):
        if event.excess.fits_in(model.Resources()):
            self.excess_since_by_worker_.pop(event.worker_id, None)
        else:
            self.excess_since_by_worker_.setdefault(event.worker_id, now_ms)

    @base.singledispatchmethod
    def choose(self, question, now_ms):
        """Returns a `ReclaimAction` for a `SelectReclaimAction`, or None.

        Raises TypeError for any other question.
        """
        raise TypeError(
            f"expected SelectReclaimAction, not {type(question).__name__}"
        )

    @choose.register
    def _(self, question: _messages.SelectReclaimAction, now_ms):
        if question.excess.fits_in(model.Resources()):
            return None
        tasks = sorted(question.tasks, key=_reclaim_order)
        for step in self._steps(question.worker_id, now_ms):
            task_ids = _select_tasks(step, tasks, question.excess)
            if task_ids:
                return _messages.ReclaimAction(step, task_ids)
        return None

    def describe(self):
        """Returns the number of overcommitted workers."""
        return {
            "policy": "cut-back-ladder",
            "over_given": len(self.excess_since_by_worker_),
        }

    def _steps(self, worker_id, now_ms):
        since_ms = self.excess_since_by_worker_.get(worker_id, now_ms)
        waited_ms = now_ms - since_ms
        steps = list(_messages.ReclaimStep)
        if waited_ms < self.throttle_wait_ms:
            return steps
        if waited_ms < self.throttle_wait_ms + self.checkpoint_wait_ms:
            return steps[1:]
        return steps[2:]


def _overuse(task):
    return (
        max(task.used.cpu_millis - task.booked.cpu_millis, 0),
        max(task.used.memory_mib - task.booked.memory_mib, 0),
    )


def _reclaim_order(task):
    is_overusing = any(_overuse(task))
    held_cpu_millis = max(task.used.cpu_millis, task.booked.cpu_millis)
    return (
        task.urgent,
        not is_overusing,
        RECLAIM_CLASS_ORDER.index(task.work_class),
        -held_cpu_millis,
        task.task_id,
    )


def _reclaimable(step, task):
    if step is _messages.ReclaimStep.THROTTLE:
        cpu, memory = _overuse(task)
        return model.Resources(cpu, memory, 0)
    return model.Resources(
        max(task.used.cpu_millis, task.booked.cpu_millis),
        max(task.used.memory_mib, task.booked.memory_mib),
        max(task.used.accelerators, task.booked.accelerators),
    )


def _is_applicable(step, task):
    if step is _messages.ReclaimStep.THROTTLE:
        return not task.throttled
    if step is _messages.ReclaimStep.CHECKPOINT:
        return task.checkpointable
    return True


def _reduces_excess(amount, remaining):
    return (
        min(amount.cpu_millis, remaining.cpu_millis) > 0
        or min(amount.memory_mib, remaining.memory_mib) > 0
        or min(amount.accelerators, remaining.accelerators) > 0
    )


def _select_tasks(step, tasks, excess):
    remaining = excess
    task_ids = []
    for task in tasks:
        if remaining.fits_in(model.Resources()):
            break
        amount = _reclaimable(step, task)
        if _is_applicable(step, task) and _reduces_excess(amount, remaining):
            remaining = remaining - amount
            task_ids.append(task.task_id)
    return tuple(task_ids)
