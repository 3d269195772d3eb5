"""Events and questions of the failure judge."""

import attrs

from samphiregate.core import base


@attrs.frozen
class TaskStarting(base.Event):
    """A task is about to start on a worker.

    While a quarantined worker is probed, this keeps further work away until
    the probe has ended.
    """

    worker_id: str
    job_id: str


@attrs.frozen
class TaskEnded(base.Event):
    """A task ended by itself; stops and cancellations do not count."""

    worker_id: str
    job_id: str
    succeeded: bool


@attrs.frozen
class JobRemoved(base.Event):
    """A job is over; what was held against it is dropped."""

    job_id: str


@attrs.frozen
class WorkerRemoved(base.Event):
    """A worker left the fleet; what was held against it is dropped."""

    worker_id: str


@attrs.frozen
class MayUseWorker:
    """May a task start on this worker now?"""

    worker_id: str


@attrs.frozen
class MayRetryJob:
    """May a failed task of this job be started again?"""

    job_id: str
