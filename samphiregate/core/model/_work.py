"""Jobs, tasks and their states."""

import enum

import attrs

from samphiregate.core.model import _resources


class WorkClass(enum.Enum):
    """Classes of work, each with separate policies."""

    REQUEST = "request"
    SERVICE = "service"
    BATCH = "batch"
    GANG = "gang"


class AttemptOutcome(enum.Enum):
    """Outcome of one attempt to execute a request or start a task.

    Only `NEVER_SENT` and `REFUSED` guarantee that nothing was executed.
    """

    NEVER_SENT = "never-sent"
    REFUSED = "refused"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class TaskState(enum.Enum):
    """States of a task, as recorded by the owner of its job."""

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


class JobState(enum.Enum):
    """States of a job, as shown to its submitter."""

    QUEUED = "queued"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


@attrs.frozen
class TaskId:
    """One task of a job; `index` counts from 0."""

    job_id: str
    index: int

    def __lt__(self, other):
        """Orders by job, then by index; faster than the generated method."""
        if self.job_id == other.job_id:
            return self.index < other.index
        return self.job_id < other.job_id


@attrs.frozen
class JobSpec:
    """Specification of a submitted job.

    Parameters
    ----------
    job_id : str
        Unique id, assigned at admission.
    team : str
        Team whose key authorised the submission.
    work_class : WorkClass
        Service, batch or gang.
    task_count : int
        Number of tasks, or of replicas of a service.
    resources : Resources
        Declared resources of each task.
    run_time_ms : int
        Declared run time of each task; 0 for a service.
    urgent : bool
        Whether its tasks may preempt others.
    checkpointable : bool
        Whether its tasks can be checkpointed and resumed.
    max_attempts : int
        Maximum number of starts of a failing task before the job fails.
    command : str
        Command passed to the worker; opaque to the scheduler.
    """

    job_id: str
    team: str
    work_class: WorkClass
    task_count: int
    resources: _resources.Resources
    run_time_ms: int = 0
    urgent: bool = False
    checkpointable: bool = False
    max_attempts: int = 3
    command: str = ""
