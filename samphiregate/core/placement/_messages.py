"""Events and questions of the placement policies."""

import attrs

from samphiregate.core import base
from samphiregate.core import model


@attrs.frozen
class WorkerRoomChanged(base.Event):
    """A worker has this room for new work from now on.

    Parameters
    ----------
    worker : model.WorkerInfo
        The worker; its capacity tells whether it is empty.
    room : model.Resources
        What may be placed there; amounts below zero count as zero.
    """

    worker: model.WorkerInfo
    room: model.Resources


@attrs.frozen
class WorkerRemoved(base.Event):
    """A worker takes no new work: gone, leaving or quarantined."""

    worker_id: str


@attrs.frozen
class TaskPlaced(base.Event):
    """A task of a job occupies a place on a worker.

    Parameters
    ----------
    expected_end_ms : int
        When it is expected to end, monotonic milliseconds; 0 if unknown.
    """

    job_id: str
    worker_id: str
    expected_end_ms: int = 0


@attrs.frozen
class TaskRemoved(base.Event):
    """A task of a job left a worker; the counterpart of `TaskPlaced`."""

    job_id: str
    worker_id: str


@attrs.frozen
class GangStarved(base.Event):
    """A gang waited too long: keep workers for it until it is placed.

    Policies without reservations ignore this.
    """

    job_id: str
    resources: model.Resources
    count: int


@attrs.frozen
class GangWithdrawn(base.Event):
    """A gang no longer waits; its reservation ends."""

    job_id: str


@attrs.frozen
class PlaceTask:
    """On which worker should a task start?

    Parameters
    ----------
    job_id : str
        Its job; replicas of one service are spread over racks.
    work_class : model.WorkClass
        Class of the work.
    resources : model.Resources
        Amount to book.
    excluded_workers : frozenset of str
        Workers that must not be used.
    run_time_ms : int
        Expected run time; 0 if unknown. A task that ends soon enough may
        use workers that are reserved for a gang.
    """

    job_id: str
    work_class: model.WorkClass
    resources: model.Resources
    excluded_workers: frozenset[str] = frozenset()
    run_time_ms: int = 0


@attrs.frozen
class PlaceGang:
    """On which workers should all tasks of a gang start together?

    Parameters
    ----------
    resources : model.Resources
        Amount to book for each task.
    count : int
        Tasks; several may share a worker.
    """

    job_id: str
    resources: model.Resources
    count: int
    excluded_workers: frozenset[str] = frozenset()
