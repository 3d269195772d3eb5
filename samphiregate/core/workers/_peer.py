"""Messages between the owners of jobs and the owners of workers."""

import enum

import attrs

from samphiregate.core import base
from samphiregate.core import model

EPOCH_SHIFT = 40
"""Bits of an attempt's number that count starts within one epoch."""


def attempt_number(epoch, start):
    """Returns the number of a start, which rises over all owners of a job.

    Parameters
    ----------
    epoch : int
        Epoch of the job's shard.
    start : int
        Counts the starts of one owner, from 0.
    """
    return (epoch << EPOCH_SHIFT) | start


def epoch_of(attempt):
    """Returns the job-shard epoch that an attempt was ordered under."""
    return attempt >> EPOCH_SHIFT


class TaskPhase(enum.Enum):
    """What became of one attempt.

    `NOT_STARTED` is proof that the attempt never ran and never will;
    `LOST` that it may have run and surely no longer does.
    """

    BOOKED = "booked"
    RUNNING = "running"
    NOT_STARTED = "not-started"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"
    LOST = "lost"


class TaskReason(enum.Enum):
    """Why an attempt was declined or ended early."""

    NONE = "none"
    NO_ROOM = "no-room"
    NO_TOKEN = "no-token"
    STALE_EPOCH = "stale-epoch"
    DUPLICATE = "duplicate"
    REFUSED_BY_WORKER = "refused-by-worker"
    CANCELLED = "cancelled"
    PREEMPTED = "preempted"
    OVER_LIMIT = "over-limit"
    OVER_USE = "over-use"
    LEAVING = "leaving"
    LEASE_LAPSED = "lease-lapsed"


@attrs.frozen
class TaskOrder:
    """An order to run one attempt of a task on any worker of the recipient.

    Parameters
    ----------
    avoided_racks : tuple of str
        Racks with other replicas of the job, to be used last.
    avoided_workers : tuple of str
        Workers on which the task failed, to be used last.
    reservation : str
        Id of the gang reservation that the task is part of, or empty.
    """

    task_id: model.TaskId
    attempt: int
    team: str
    work_class: model.WorkClass
    resources: model.Resources
    run_time_ms: int = 0
    urgent: bool = False
    checkpointable: bool = False
    command: str = ""
    checkpoint: str = ""
    avoided_racks: tuple[str, ...] = ()
    avoided_workers: tuple[str, ...] = ()
    reservation: str = ""


@attrs.frozen
class TaskStop:
    """An order to end one attempt, wherever the recipient has it."""

    task_id: model.TaskId
    attempt: int
    checkpoint: bool = False


@attrs.frozen
class AttemptId:
    """One attempt of one task."""

    task_id: model.TaskId
    attempt: int


@attrs.frozen
class TaskOrders(base.PeerMessage):
    """Orders of the owner of jobs.

    Parameters
    ----------
    sequence : int
        Rises with each message of a sender to a recipient, which ignores
        one that is not above the last.
    runs : tuple of TaskOrder
        Attempts to run.
    stops : tuple of TaskStop
        Attempts to end. One that the recipient does not know says nothing,
        as it may have moved on with its worker.
    kept : tuple of AttemptId
        Attempts whose end is on record and may be forgotten.
    """

    sequence: int
    runs: tuple[TaskOrder, ...] = ()
    stops: tuple[TaskStop, ...] = ()
    kept: tuple[AttemptId, ...] = ()


@attrs.frozen
class TaskNews:
    """What became of an attempt, told to the owner of its job.

    Parameters
    ----------
    checkpoint : str
        Reference of its last checkpoint; empty for none.
    remaining_ms : int
        Declared run time left, for a checkpointed attempt.
    """

    task_id: model.TaskId
    attempt: int
    phase: TaskPhase
    worker_id: str = ""
    rack: str = ""
    reason: TaskReason = TaskReason.NONE
    checkpoint: str = ""
    remaining_ms: int = 0


@attrs.frozen
class TaskNewsBatch(base.PeerMessage):
    """News about attempts; each end is repeated until it is kept."""

    news: tuple[TaskNews, ...]


@attrs.frozen
class AskForTasks(base.PeerMessage):
    """Which attempts of a shard's jobs exist on the recipient's workers?

    From then on the recipient refuses lower epochs of the job shard, and
    messages of the sender up to `sequence`.
    """

    shard_number: int
    epoch: int
    inquiry: int
    sequence: int


@attrs.frozen
class WorkerShard:
    """A shard whose workers have all been asked, and its epoch."""

    number: int
    epoch: int


@attrs.frozen
class TasksOfShard(base.PeerMessage):
    """Answer to `AskForTasks`.

    Parameters
    ----------
    covered : tuple of WorkerShard
        Shards whose every worker is accounted for.
    news : tuple of TaskNews
        Every attempt of the job shard known to the recipient.
    """

    shard_number: int
    epoch: int
    inquiry: int
    covered: tuple[WorkerShard, ...]
    news: tuple[TaskNews, ...]


@attrs.frozen
class ReserveGang(base.PeerMessage):
    """Hold room and tokens for tasks of a gang for a short time.

    Parameters
    ----------
    hold_ms : int
        How long the hold lasts unless it is used.
    waited_ms : int
        How long the gang has waited for a place.
    """

    reservation: str
    job_id: str
    team: str
    resources: model.Resources
    count: int
    hold_ms: int
    waited_ms: int = 0


@attrs.frozen
class GangReserved(base.PeerMessage):
    """How many tasks of a gang the recipient holds room for."""

    reservation: str
    count: int
    limited: bool = False


@attrs.frozen
class ReleaseGang(base.PeerMessage):
    """Give the rest of a reservation back."""

    reservation: str


@attrs.frozen
class TeamUsage:
    """What a team has running on the sender's workers."""

    team: str
    resources: model.Resources


@attrs.frozen
class RoomSummary(base.PeerMessage):
    """What an entry VM's workers can still take, sent once a second.

    Parameters
    ----------
    capacity : model.Resources
        Of all of its workers together.
    free : model.Resources
        Room of all of its workers together.
    largest : model.Resources
        The most of each resource that some worker has free.
    usage : tuple of TeamUsage
        Teams whose use changed since the last summary.
    """

    capacity: model.Resources
    free: model.Resources
    largest: model.Resources
    usage: tuple[TeamUsage, ...] = ()
    leaving: bool = False


@attrs.frozen
class WorkersReleased(base.PeerMessage):
    """The sender renews nothing more on the workers of a shard.

    Parameters
    ----------
    shard_number : int
        The shard.
    epoch : int
        Epoch under which the sender owned it.
    """

    shard_number: int
    epoch: int
