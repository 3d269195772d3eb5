"""Messages between entry VMs about jobs: calls and replication."""

import attrs

from samphiregate.core import base
from samphiregate.core.jobs import _messages
from samphiregate.core import model


@attrs.frozen
class ForwardSubmit(base.PeerMessage):
    """A submission on its way to the owner of the job's shard.

    Parameters
    ----------
    origin : str
        Entry VM that answers the caller.
    call_id : str
        Id of the call on that entry VM. Submitting the same job id again
        has no effect.
    hops : int
        Number of entry VMs that relayed it.
    """

    origin: str
    call_id: str
    spec: model.JobSpec
    hops: int = 0


@attrs.frozen
class ForwardShow(base.PeerMessage):
    """A `ShowJob` on its way to the owner of the job's shard."""

    origin: str
    call_id: str
    team: str
    job_id: str
    wait_ms: int = 0
    hops: int = 0


@attrs.frozen
class ForwardCancel(base.PeerMessage):
    """A `CancelJob` on its way to the owner of the job's shard."""

    origin: str
    call_id: str
    team: str
    job_id: str
    hops: int = 0


@attrs.frozen
class ForwardList(base.PeerMessage):
    """Requests the jobs of a team that the recipient owns."""

    origin: str
    call_id: str
    team: str


@attrs.frozen
class ForwardedAnswer(base.PeerMessage):
    """The answer to a forwarded call."""

    answer: _messages.JobAnswer


@attrs.frozen
class TaskMark:
    """Replicated part of the record of one task.

    Parameters
    ----------
    state : str
        Outcome of the task (succeeded, failed or cancelled), or empty while
        it has none.
    failures : int
        Attempts that failed.
    starts : int
        Attempts that ran.
    checkpoint : str
        Last checkpoint, or empty.
    remaining_ms : int
        Remaining run time, from the checkpoint on.
    """

    index: int
    state: str = ""
    failures: int = 0
    starts: int = 0
    checkpoint: str = ""
    remaining_ms: int = 0


@attrs.frozen
class JobCopy:
    """Complete copy of a job's record."""

    spec: model.JobSpec
    version: int
    cancelled: bool = False
    marks: tuple[TaskMark, ...] = ()


@attrs.frozen
class JobMarks:
    """Changes of a job's record since `base_version`."""

    job_id: str
    base_version: int
    version: int
    cancelled: bool
    marks: tuple[TaskMark, ...] = ()


@attrs.frozen
class KeepJobs(base.PeerMessage):
    """Replicates changes of a shard; an empty one refreshes the replica.

    Parameters
    ----------
    sequence : int
        Correlates the `JobsKept`.
    copies : tuple of JobCopy
        Jobs that the replica may not have yet.
    marks : tuple of JobMarks
        Changes of jobs that it should have.
    dropped : tuple of str
        Ids of jobs to remove.
    """

    shard_number: int
    epoch: int
    sequence: int
    copies: tuple[JobCopy, ...] = ()
    marks: tuple[JobMarks, ...] = ()
    dropped: tuple[str, ...] = ()


@attrs.frozen
class JobsKept(base.PeerMessage):
    """Answer to `KeepJobs`.

    Parameters
    ----------
    missing : tuple of str
        Ids of jobs whose changes could not be applied; their complete copy
        has to be sent.
    """

    shard_number: int
    epoch: int
    sequence: int
    missing: tuple[str, ...] = ()


@attrs.frozen
class AskForJobs(base.PeerMessage):
    """Requests the recipient's copies of a shard's jobs.

    From then on the recipient refuses messages from lower epochs.
    """

    shard_number: int
    epoch: int


@attrs.frozen
class JobsOfShard(base.PeerMessage):
    """Answer to `AskForJobs`, with all copies of the shard."""

    shard_number: int
    epoch: int
    copies: tuple[JobCopy, ...]
