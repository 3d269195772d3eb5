"""Events and questions of the preemption policies."""

import attrs

from samphiregate.core import base
from samphiregate.core import model


@attrs.frozen
class TaskRunning(base.Event):
    """A task runs and might be preempted.

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
class TaskRemoved(base.Event):
    """A task runs no more, or is already being stopped."""

    task_id: model.TaskId


@attrs.frozen
class SelectVictims:
    """Which tasks should make room for urgent work?

    Parameters
    ----------
    team : str
        Team of the urgent work.
    resources : model.Resources
        Amount that it needs on one worker.
    excluded_workers : frozenset of str
        Workers that must not be used.
    """

    team: str
    resources: model.Resources
    excluded_workers: frozenset[str] = frozenset()


@attrs.frozen
class Victims:
    """Tasks to stop so that a worker has room.

    Parameters
    ----------
    worker_id : str
        Worker on which the urgent work then starts.
    task_ids : tuple of model.TaskId
        Tasks to checkpoint, or to stop where they cannot be.
    """

    worker_id: str
    task_ids: tuple[model.TaskId, ...]
