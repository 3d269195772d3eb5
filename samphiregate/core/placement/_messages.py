"""Events and questions of the placement policies."""

import attrs

from samphiregate.core import base
from samphiregate.core import model


@attrs.frozen
class WorkerRoomChanged(base.Event):
    """The room of a worker for new work has changed.

    Parameters
    ----------
    worker : model.WorkerInfo
        The worker; it is empty if its room equals its capacity.
    room : model.Resources
        Resources available for new bookings; may be negative for an
        overcommitted worker.
    """

    worker: model.WorkerInfo
    room: model.Resources


@attrs.frozen
class WorkerRemoved(base.Event):
    """A worker accepts no new work: removed, leaving or quarantined."""

    worker_id: str


@attrs.frozen
class TaskPlaced(base.Event):
    """A task of a job was placed on a worker.

    Parameters
    ----------
    expected_end_ms : int
        When the task is expected to end, monotonic milliseconds; 0 if
        unknown.
    """

    job_id: str
    worker_id: str
    expected_end_ms: int = 0


@attrs.frozen
class TaskRemoved(base.Event):
    """A task of a job was removed from a worker; reverts `TaskPlaced`."""

    job_id: str
    worker_id: str


@attrs.frozen
class GangStarved(base.Event):
    """A gang has waited too long.

    Policies with reservations reserve workers for it until `GangWithdrawn`;
    after their `reservation_ms`, the next `GangStarved` ends the reservation
    as well. Other policies ignore this event.
    """

    job_id: str
    resources: model.Resources
    count: int


@attrs.frozen
class GangWithdrawn(base.Event):
    """A gang no longer waits, which ends its reservation."""

    job_id: str


@attrs.frozen
class PlaceTask:
    """Question on which worker a task should start.

    Parameters
    ----------
    job_id : str
        Job of the task; replicas of one service are spread over racks.
    work_class : model.WorkClass
        Class of the work.
    resources : model.Resources
        Resources to book.
    excluded_workers : frozenset of str
        Workers that must not be used.
    run_time_ms : int
        Expected run time in milliseconds; 0 if unknown. A task that ends
        soon enough may use workers that are reserved for a gang.
    """

    job_id: str
    work_class: model.WorkClass
    resources: model.Resources
    excluded_workers: frozenset[str] = frozenset()
    run_time_ms: int = 0


@attrs.frozen
class PlaceGang:
    """Question on which workers all tasks of a gang should start together.

    Parameters
    ----------
    resources : model.Resources
        Resources to book for each task.
    count : int
        Number of tasks; several may share a worker.
    """

    job_id: str
    resources: model.Resources
    count: int
    excluded_workers: frozenset[str] = frozenset()
