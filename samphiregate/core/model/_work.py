"""Jobs, tasks and the states that they pass through."""

import enum

import attrs

from samphiregate.core.model import _resources


class WorkClass(enum.Enum):
    """Classes of work; each has policies of its own."""

    REQUEST = "request"
    SERVICE = "service"
    BATCH = "batch"
    GANG = "gang"


class AttemptOutcome(enum.Enum):
    """How one attempt to execute a request or start a task ended.

    Only `NEVER_SENT` and `REFUSED` prove that nothing was executed.
    """

    NEVER_SENT = "never-sent"
    REFUSED = "refused"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class TaskState(enum.Enum):
    """States of a task, as its job's owner sees them."""

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
        """Orders by job, then by index; cheaper than the generated one."""
        if self.job_id == other.job_id:
            return self.index < other.index
        return self.job_id < other.job_id


@attrs.frozen
class JobSpec:
    """What a submitter asked for.

    Parameters
    ----------
    job_id : str
        Unique id, given at admission.
    team : str
        Team whose key came with the submission.
    work_class : WorkClass
        Service, batch or gang.
    task_count : int
        Tasks, or replicas of a service.
    resources : Resources
        Declared size of each task.
    run_time_ms : int
        Declared run time of each task; 0 for a service.
    urgent : bool
        Whether it may preempt.
    checkpointable : bool
        Whether its tasks can be checkpointed and resumed.
    max_attempts : int
        Times that a failed task is started before the job fails.
    command : str
        Opaque to the scheduler; handed to the worker.
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
