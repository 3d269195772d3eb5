"""Calls about jobs from the edge, their answers, and records of times."""

import attrs

from samphiregate.core import base
from samphiregate.core import model
from samphiregate import errors


@attrs.frozen
class SubmitJob(base.Event):
    """A caller submits a job.

    Parameters
    ----------
    call_id : str
        Correlates the `JobAnswer`; unique on this entry VM.
    spec : model.JobSpec
        The job, with the team of the caller's key. Its `job_id` is
        empty; it is generated when the call is forwarded.
    idempotency_key : str
        Submissions of one team with the same key create one job; empty for
        none.
    """

    call_id: str
    spec: model.JobSpec
    idempotency_key: str = ""


@attrs.frozen
class ListJobs(base.Event):
    """A caller lists the jobs of its team in this data centre."""

    call_id: str
    team: str


@attrs.frozen
class ShowJob(base.Event):
    """A caller requests one job of its team.

    Parameters
    ----------
    wait_ms : int
        Maximum time to wait for the job to end before answering.
    """

    call_id: str
    team: str
    job_id: str
    wait_ms: int = 0


@attrs.frozen
class CancelJob(base.Event):
    """A caller cancels one job of its team."""

    call_id: str
    team: str
    job_id: str


@attrs.frozen
class JobView:
    """A job as shown to its submitter.

    Parameters
    ----------
    task_counts_by_state : dict
        Number of tasks by `model.TaskState` value.
    attempts : int
        Number of attempts that ran, over all tasks.
    """

    job_id: str
    team: str
    work_class: model.WorkClass
    state: model.JobState
    task_count: int
    urgent: bool = False
    attempts: int = 0
    task_counts_by_state: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen
class JobAnswer(base.Action):
    """The answer to a call about jobs.

    Parameters
    ----------
    call_id : str
        Id of the call.
    jobs : tuple of JobView
        The job, or the jobs of a list; empty on failure.
    error : errors.ErrorCode or None
        Why the call failed.
    detail : str
        Explanation of the error in one sentence, to be read by people.
    ran : errors.Ran
        For a failed submission, whether the job may have been accepted.
    complete : bool
        For lists, False if some entry VMs did not answer in time.
    """

    call_id: str
    jobs: tuple[JobView, ...] = ()
    error: errors.ErrorCode | None = None
    detail: str = ""
    ran: errors.Ran = errors.Ran.NO
    complete: bool = True


@attrs.frozen
class TaskStarted(base.Action):
    """Record how long a task waited for its first start.

    Parameters
    ----------
    wait_ms : int
        Time from when its job was queued until it was reported as running,
        or until it was ordered if only its success was reported.
    """

    team: str
    work_class: model.WorkClass
    wait_ms: int


@attrs.frozen
class TaskFinished(base.Action):
    """Record how long an attempt of a task ran.

    Parameters
    ----------
    run_ms : int
        Time from when it was reported as running, or was ordered if only
        its success was reported, until its end was reported.
    """

    team: str
    work_class: model.WorkClass
    run_ms: int
