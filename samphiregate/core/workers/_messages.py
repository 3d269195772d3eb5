"""Commands to workers, their reports, and the exchange that carries both."""

import enum

import attrs

from samphiregate.core import base
from samphiregate.core import model


class WorkerTaskState(enum.Enum):
    """States of one attempt of a task, as its worker reports them.

    A worker remembers an attempt that ended or was refused until it is told
    to forget it.
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
    """Base of commands about one attempt of one task.

    Parameters
    ----------
    task_id : model.TaskId
        The task.
    attempt : int
        Number of the attempt; it rises with each start of the task, over
        all owners of its job.
    """

    task_id: model.TaskId
    attempt: int


@attrs.frozen
class StartTask(Command):
    """Start an attempt, unless the worker lacks the room.

    Parameters
    ----------
    team : str
        Team of the job.
    work_class : model.WorkClass
        Class of the job.
    resources : model.Resources
        What the worker reserves for the task.
    urgent, checkpointable : bool
        As in the job's specification; the worker reports them back, so that
        a new owner knows them.
    run_time_ms : int
        Declared run time left; 0 for a service.
    command : str
        Opaque to the scheduler.
    checkpoint : str
        Reference of the checkpoint to resume from; empty for none.
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
    """Stop an attempt; an attempt that is not there never starts."""


@attrs.frozen
class CheckpointTask(Command):
    """Save the task's progress, then stop it."""


@attrs.frozen
class ThrottleTask(Command):
    """Hold the task to `resources` from now on."""

    resources: model.Resources


@attrs.frozen
class ForgetTask(Command):
    """Drop the record of an attempt that ended or was refused."""


@attrs.frozen
class TaskReport:
    """What a worker says about one attempt.

    Parameters
    ----------
    state : WorkerTaskState
        Its state.
    team : str
        Team that the start was for.
    reserved : model.Resources
        What the worker reserves for it.
    used : model.Resources
        What it was seen to use, with a lag.
    checkpoint : str
        Reference of its last checkpoint; empty for none.
    remaining_ms : int
        Declared run time left.
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
    """A worker's answer to an exchange.

    Parameters
    ----------
    incarnation : str
        Changes when the worker restarts, which ends all of its tasks.
    accepted : bool
        False if the worker refused the exchange as a whole; it then carried
        out no command and renewed no lease.
    epoch : int
        Highest epoch that the worker has seen.
    clock_ms : int
        The worker's monotonic clock when it answered.
    tasks : tuple of TaskReport
        Attempts named in the commands, attempts that ended or were refused
        and are not forgotten, and attempts whose use changed; each attempt
        that the worker knows if `full`.
    full : bool
        Whether `tasks` lists every attempt.
    used_total : model.Resources or None
        All that is in use on the worker, ours and foreign, sampled at the
        same instant as the use of each task; None if no sample was taken
        since the last accepted exchange.
    used_ours : model.Resources
        The part of it that tasks started by commands used.
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
    """One exchange with a worker: commands, and renewal of all leases.

    Parameters
    ----------
    worker_id : str
        The worker.
    endpoint : str
        ``ip:port/path`` of the worker's protocol, without ``/exchange``.
    owner : str
        Id of the sending entry VM.
    epoch : int
        Epoch of the worker's shard; a worker refuses a lower one.
    sequence : int
        Rises with each exchange of an epoch; a worker refuses one that is
        not above the last, so that a late exchange has no effect.
    incarnation : str
        Expected incarnation; empty to take the inventory of an unknown one,
        which carries no command.
    lease_until_ms : int
        Until when the worker's tasks may run without a further exchange, on
        the worker's own clock. An exchange that arrives after this time is
        refused. 0 renews nothing and is never late.
    commands : tuple of Command
        Commands in their order.
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
        `NEVER_SENT` if the worker cannot have seen the exchange, and
        `UNKNOWN` if it may have, or may see it later.
    """

    worker_id: str
    epoch: int
    sequence: int
    outcome: model.AttemptOutcome
