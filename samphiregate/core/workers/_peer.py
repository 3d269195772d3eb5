"""Messages between job owners and worker owners."""

import enum

import attrs

from samphiregate.core import base
from samphiregate.core import model

EPOCH_SHIFT = 40
"""Number of low bits that count the starts within one epoch."""


def attempt_number(epoch, start):
    """Returns the number of an attempt, increasing across owners of a job.

    Parameters
    ----------
    epoch : int
        Epoch of the job's shard.
    start : int
        Number of the start under this owner, from 0.
    """
    return (epoch << EPOCH_SHIFT) | start


def epoch_of(attempt):
    """Returns the epoch of the job shard under which it was ordered."""
    return attempt >> EPOCH_SHIFT


class TaskPhase(enum.Enum):
    """State of one attempt.

    `NOT_STARTED` guarantees that the attempt never ran and never will.
    `LOST` means that it may have run and is known to have ended.
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
    """Why an attempt was declined or ended early.

    `NO_ROOM` is also the reason if the chosen worker restarted or did not
    answer before the start reached it; the job's owner may order the task
    again.
    """

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
    """Order to run an attempt of a task on any worker of the recipient.

    Parameters
    ----------
    avoided_racks : tuple of str
        Racks with other replicas of the job, used only as a last resort.
    avoided_workers : tuple of str
        Workers on which the task failed, used only as a last resort.
    reservation : str
        Id of the gang reservation that the task belongs to, or empty.
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
    """Order to end an attempt, on whichever worker it is."""

    task_id: model.TaskId
    attempt: int
    checkpoint: bool = False


@attrs.frozen
class AttemptId:
    """Identifies an attempt of a task."""

    task_id: model.TaskId
    attempt: int


@attrs.frozen
class TaskOrders(base.PeerMessage):
    """Orders of a job owner.

    Parameters
    ----------
    sequence : int
        Increases with each message of a sender to a recipient; the recipient
        ignores orders of a message that is not above the last.
    runs : tuple of TaskOrder
        Attempts to run.
    stops : tuple of TaskStop
        Attempts to end. The recipient does not answer for an unknown one, as
        it may have moved to another owner with its worker.
    kept : tuple of AttemptId
        Attempts whose end is recorded and that may be forgotten.
    """

    sequence: int
    runs: tuple[TaskOrder, ...] = ()
    stops: tuple[TaskStop, ...] = ()
    kept: tuple[AttemptId, ...] = ()


@attrs.frozen
class TaskNews:
    """Update about an attempt, for the owner of its job.

    Parameters
    ----------
    checkpoint : str
        Reference to its last checkpoint; empty for none.
    remaining_ms : int
        Remaining declared run time, for a checkpointed attempt.
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
    """Updates about attempts; ends are repeated until acknowledged."""

    news: tuple[TaskNews, ...]


@attrs.frozen
class AskForTasks(base.PeerMessage):
    """Requests all attempts of a job shard on the recipient's workers.

    From then on the recipient refuses lower epochs of the job shard, and
    orders of the sender up to `sequence`.

    Parameters
    ----------
    inquiry : int
        Repeated in the answer, to match it to the request.
    """

    shard_number: int
    epoch: int
    inquiry: int
    sequence: int


@attrs.frozen
class WorkerShard:
    """A worker shard whose inventories are all complete, and its epoch."""

    number: int
    epoch: int


@attrs.frozen
class TasksOfShard(base.PeerMessage):
    """Answer to `AskForTasks`.

    Parameters
    ----------
    covered : tuple of WorkerShard
        Worker shards of the sender with a complete inventory of every
        worker.
    news : tuple of TaskNews
        All attempts of the job shard that the sender of the answer has.
    """

    shard_number: int
    epoch: int
    inquiry: int
    covered: tuple[WorkerShard, ...]
    news: tuple[TaskNews, ...]


@attrs.frozen
class ReserveGang(base.PeerMessage):
    """Requests a short hold on resources and tokens for a gang.

    Parameters
    ----------
    hold_ms : int
        How long the hold lasts if it is not used.
    waited_ms : int
        How long the gang has been waiting for places.
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
    """Answer to `ReserveGang`.

    Parameters
    ----------
    count : int
        Number of tasks for which places are held.
    limited : bool
        Whether a lack of tokens kept the count below the requested one.
    """

    reservation: str
    count: int
    limited: bool = False


@attrs.frozen
class ReleaseGang(base.PeerMessage):
    """Releases the remaining places of a reservation."""

    reservation: str


@attrs.frozen
class TeamUsage:
    """Resources booked for a team on the sender's workers."""

    team: str
    resources: model.Resources


@attrs.frozen
class RoomSummary(base.PeerMessage):
    """Free resources of an entry VM's workers.

    Sent to the entry VMs of the data centre when it changed, and again after
    `SUMMARY_RESEND_MS` without a change.

    Parameters
    ----------
    capacity : model.Resources
        Total capacity of its usable workers.
    free : model.Resources
        Total free resources of its usable workers.
    largest : model.Resources
        For each resource, the largest amount free on any one worker.
    usage : tuple of TeamUsage
        Teams whose booked resources changed since they were last sent; at
        most `MAX_USAGE_TEAMS`.
    leaving : bool
        Whether the entry VM is leaving.
    """

    capacity: model.Resources
    free: model.Resources
    largest: model.Resources
    usage: tuple[TeamUsage, ...] = ()
    leaving: bool = False


@attrs.frozen
class WorkersReleased(base.PeerMessage):
    """States that the sender renews no more leases in a worker shard.

    Parameters
    ----------
    shard_number : int
        The shard.
    epoch : int
        Epoch under which the sender owned the shard.
    """

    shard_number: int
    epoch: int
