"""Commands to workers, their reports, and the exchanges that carry both."""

import enum

import attrs

from samphiregate.core import base
from samphiregate.core import model


class WorkerTaskState(enum.Enum):
    """State of an attempt, as reported by its worker.

    A worker keeps the record of an attempt that ended or was refused until it
    receives a `ForgetTask`.
    """

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"
    LAPSED = "lapsed"
    REFUSED = "refused"


@attrs.frozen
class Command:
    """Base class of commands about one attempt of a task.

    Parameters
    ----------
    task_id : model.TaskId
        The task.
    attempt : int
        Number of the attempt; it increases with each start of the task,
        across all owners of its job.
    """

    task_id: model.TaskId
    attempt: int


@attrs.frozen
class StartTask(Command):
    """Starts an attempt, unless the worker lacks the resources.

    Parameters
    ----------
    team : str
        Team of the job.
    work_class : model.WorkClass
        Class of the job.
    resources : model.Resources
        Resources that the worker reserves for the task.
    urgent, checkpointable : bool
        As in the job's specification; the worker reports them back, so that
        a new owner can restore them.
    run_time_ms : int
        Remaining declared run time; 0 for a service.
    command : str
        Opaque to the scheduler.
    checkpoint : str
        Reference to the checkpoint to resume from; empty for none.
    """

    team: str
    work_class: model.WorkClass
    resources: model.Resources
    urgent: bool = False
    checkpointable: bool = False
    run_time_ms: int = 0
    command: str = ""
    checkpoint: str = ""


@attrs.frozen
class StopTask(Command):
    """Stops an attempt; one that is not on the worker never starts."""


@attrs.frozen
class CheckpointTask(Command):
    """Saves the progress of the task, then stops it."""


@attrs.frozen
class ThrottleTask(Command):
    """Limits the use of the task to `resources` from now on."""

    resources: model.Resources


@attrs.frozen
class ForgetTask(Command):
    """Drops the record of an attempt that ended or was refused."""


@attrs.frozen
class TaskReport:
    """Report of a worker about one attempt.

    Parameters
    ----------
    state : WorkerTaskState
        Its state.
    team : str
        Team for which it was started.
    reserved : model.Resources
        Resources that the worker reserves for it.
    used : model.Resources
        Measured use, which lags behind.
    checkpoint : str
        Reference to its last checkpoint; empty for none.
    remaining_ms : int
        Remaining declared run time.
    """

    task_id: model.TaskId
    attempt: int
    state: WorkerTaskState
    team: str = ""
    work_class: model.WorkClass = model.WorkClass.BATCH
    urgent: bool = False
    checkpointable: bool = False
    reserved: model.Resources = model.Resources()
    used: model.Resources = model.Resources()
    checkpoint: str = ""
    remaining_ms: int = 0


@attrs.frozen
class WorkerReport:
    """Answer of a worker to an exchange.

    Parameters
    ----------
    incarnation : str
        Changes when the worker restarts, which ends all of its tasks.
    accepted : bool
        False if the worker refused the exchange as a whole; it then executed
        no command and renewed no lease.
    epoch : int
        Highest epoch that the worker has received.
    clock_ms : int
        The worker's monotonic clock when it answered.
    tasks : tuple of TaskReport
        Attempts named in the commands, attempts that ended or were refused
        and are not forgotten, and attempts whose use changed. If `full`,
        every attempt that the worker has a record of.
    full : bool
        Whether `tasks` lists every attempt.
    used_total : model.Resources or None
        Total use on the worker, by tasks of this scheduler and by others,
        sampled at the same instant as the use of each task. None if no
        sample was taken since the last accepted exchange.
    used_ours : model.Resources
        The part of it used by tasks that were started by commands.
    age_ms : int
        Age of the sample.
    """

    incarnation: str
    accepted: bool
    epoch: int
    clock_ms: int
    tasks: tuple[TaskReport, ...] = ()
    full: bool = False
    used_total: model.Resources | None = None
    used_ours: model.Resources = model.Resources()
    age_ms: int = 0


@attrs.frozen
class ExchangeWithWorker(base.Action):
    """Sends commands to a worker and renews all of its leases.

    Parameters
    ----------
    worker_id : str
        The worker.
    endpoint : str
        ``ip:port/path`` of the worker's protocol, without ``/exchange``.
    owner : str
        Id of the sending entry VM.
    epoch : int
        Epoch of the worker's shard; the worker refuses lower ones.
    sequence : int
        Increases with each exchange of an epoch; the worker refuses one that
        is not above the last, so that a late exchange has no effect.
    incarnation : str
        Expected incarnation; empty to request the inventory of an unknown
        one, in an exchange without commands.
    lease_until_ms : int
        Time on the worker's own clock until which its tasks may run without
        a further exchange. An exchange that arrives after this time is
        refused. 0 renews no lease and is never refused as late.
    commands : tuple of Command
        Commands in the order of execution.
    full : bool
        Whether to report every attempt.
    """

    worker_id: str
    endpoint: str
    owner: str
    epoch: int
    sequence: int
    incarnation: str
    lease_until_ms: int
    commands: tuple[Command, ...] = ()
    full: bool = False


@attrs.frozen
class WorkerAnswered(base.Event):
    """The answer to an exchange."""

    worker_id: str
    epoch: int
    sequence: int
    report: WorkerReport


@attrs.frozen
class WorkerUnreachable(base.Event):
    """An exchange ended without an answer.

    Parameters
    ----------
    outcome : model.AttemptOutcome
        `NEVER_SENT` if the worker cannot have received the exchange, and
        `UNKNOWN` if it may have, or may still receive it.
    """

    worker_id: str
    epoch: int
    sequence: int
    outcome: model.AttemptOutcome
