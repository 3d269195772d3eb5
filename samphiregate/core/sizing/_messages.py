"""Events, questions and answers of the sizing policies."""

import enum

import attrs

from samphiregate.core import base
from samphiregate.core import model


@attrs.frozen
class UsageObserved(base.Event):
    """The peak use of one task, beside what was declared.

    Sent once for each task, when it ends or has run for a while.
    """

    team: str
    work_class: model.WorkClass
    declared: model.Resources
    used: model.Resources


@attrs.frozen
class ComputeBooking:
    """How much should be booked for a task of this declared size?

    Parameters
    ----------
    capacity : model.Resources or None
        Capacity of the largest worker that may run it; the answer is never
        above it.
    """

    team: str
    work_class: model.WorkClass
    declared: model.Resources
    capacity: model.Resources | None = None


class ReclaimStep(enum.Enum):
    """What is done to a task, the mildest first."""

    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


@attrs.frozen
class TaskUsage:
    """One of our tasks on a worker that is over-given.

    Parameters
    ----------
    booked, used : model.Resources
        What was booked for it, and what it was last seen to use.
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
    """By how much a worker is over-given, after each usage report.

    Parameters
    ----------
    excess : model.Resources
        What our tasks have to give back; all zero if nothing.
    """

    worker_id: str
    excess: model.Resources


@attrs.frozen
class SelectReclaimAction:
    """What should be done to which tasks of an over-given worker?"""

    worker_id: str
    excess: model.Resources
    tasks: tuple[TaskUsage, ...]


@attrs.frozen
class ReclaimAction:
    """Do this to these tasks."""

    step: ReclaimStep
    task_ids: tuple[model.TaskId, ...]
