"""Events and questions of the quarantine policy."""

import attrs

from samphiregate.core import base


@attrs.frozen
class TaskStarting(base.Event):
    """A task is about to start on a worker.

    On a quarantined worker this task is the probe, and no other task may
    start there until the probe has ended or timed out.
    """

    worker_id: str
    job_id: str


@attrs.frozen
class TaskEnded(base.Event):
    """A task ended by itself; not sent for stops and cancellations."""

    worker_id: str
    job_id: str
    succeeded: bool


@attrs.frozen
class JobRemoved(base.Event):
    """A job has ended; its failure history is dropped."""

    job_id: str


@attrs.frozen
class WorkerRemoved(base.Event):
    """A worker left the fleet; its failure history is dropped."""

    worker_id: str


@attrs.frozen
class MayUseWorker:
    """Question whether a task may start on a worker now."""

    worker_id: str


@attrs.frozen
class MayRetryJob:
    """Question whether a failed task of a job may be started again."""

    job_id: str
