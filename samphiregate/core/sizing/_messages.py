"""Events, questions and answers of the sizing policies."""

import enum

import attrs

from samphiregate.core import base
from samphiregate.core import model


@attrs.frozen
class UsageObserved(base.Event):
    """Peak use of one task, with its declared size.

    Sent once for each task, when it ends or has run for some time.
    """

    team: str
    work_class: model.WorkClass
    declared: model.Resources
    used: model.Resources


@attrs.frozen
class ComputeBooking:
    """Question for the resources to book for a task of a declared size.

    Parameters
    ----------
    capacity : model.Resources or None
        Capacity of the largest worker that may run it, which limits the
        answer; None for no limit.
    """

    team: str
    work_class: model.WorkClass
    declared: model.Resources
    capacity: model.Resources | None = None


class ReclaimStep(enum.Enum):
    """Steps that reclaim resources from a task, mildest first."""

    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


@attrs.frozen
class TaskUsage:
    """Booking and use of one task on an overcommitted worker.

    Parameters
    ----------
    booked, used : model.Resources
        Resources booked for it, and its last reported use.
    throttled : bool
        Whether it has been throttled already.
    """

    task_id: model.TaskId
    work_class: model.WorkClass
    booked: model.Resources
    used: model.Resources
    checkpointable: bool = False
    urgent: bool = False
    throttled: bool = False


@attrs.frozen
class WorkerExcess(base.Event):
    """Amount by which a worker is overcommitted, after a usage report.

    Parameters
    ----------
    excess : model.Resources
        Resources that tasks on the worker have to free; zero if it is not
        overcommitted.
    """

    worker_id: str
    excess: model.Resources


@attrs.frozen
class SelectReclaimAction:
    """Question for the step to apply to tasks of an overcommitted worker."""

    worker_id: str
    excess: model.Resources
    tasks: tuple[TaskUsage, ...]


@attrs.frozen
class ReclaimAction:
    """A step and the tasks that it is applied to."""

    step: ReclaimStep
    task_ids: tuple[model.TaskId, ...]
