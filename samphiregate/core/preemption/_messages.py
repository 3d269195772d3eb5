"""Events, questions and answers of the preemption policies."""

import attrs

from samphiregate.core import base
from samphiregate.core import model


@attrs.frozen
class TaskRunning(base.Event):
    """A task runs and may be a candidate for preemption.

    Parameters
    ----------
    started_ms : int
        When it started or was last checkpointed, monotonic milliseconds.
    """

    task_id: model.TaskId
    team: str
    worker_id: str
    resources: model.Resources
    work_class: model.WorkClass
    started_ms: int = 0
    checkpointable: bool = False
    urgent: bool = False


@attrs.frozen
class TaskNotPreemptible(base.Event):
    """A task is no longer a candidate for preemption.

    It has ended or is already being stopped.
    """

    task_id: model.TaskId


@attrs.frozen
class SelectVictims:
    """Asks which tasks to preempt for urgent work.

    Parameters
    ----------
    team : str
        Team of the urgent work.
    resources : model.Resources
        Amount that the urgent work needs on one worker.
    excluded_workers : frozenset of str
        Workers on which nothing may be preempted.
    """

    team: str
    resources: model.Resources
    excluded_workers: frozenset[str] = frozenset()


@attrs.frozen
class Victims:
    """Tasks to preempt so that a worker has enough free resources.

    Parameters
    ----------
    worker_id : str
        Worker on which the urgent work starts afterwards.
    task_ids : tuple of model.TaskId
        Tasks to checkpoint, or to stop if they cannot be checkpointed.
    """

    worker_id: str
    task_ids: tuple[model.TaskId, ...]
