"""Messages between entry VMs about jobs: calls and copies of records."""

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
        The call there. The job's id makes a repeated one harmless.
    hops : int
        How often it was passed on.
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
    """Asks an entry VM for the jobs of a team that it owns."""

    origin: str
    call_id: str
    team: str


@attrs.frozen
class ForwardedAnswer(base.PeerMessage):
    """The answer to a forwarded call."""

    answer: _messages.JobAnswer


@attrs.frozen
class TaskMark:
    """What must be remembered of one task.

    Parameters
    ----------
    state : str
        Its final state, or empty while it has none.
    """

    index: int
    state: str = ""
    failures: int = 0
    starts: int = 0
    checkpoint: str = ""
    remaining_ms: int = 0


@attrs.frozen
class JobCopy:
    """A whole copy of a job's record."""

    spec: model.JobSpec
    version: int
    cancelled: bool = False
    marks: tuple[TaskMark, ...] = ()


@attrs.frozen
class JobMarks:
    """What changed in a job's record since `base_version`."""

    job_id: str
    base_version: int
    version: int
    cancelled: bool
    marks: tuple[TaskMark, ...] = ()


@attrs.frozen
class KeepJobs(base.PeerMessage):
    """Keep copies of jobs; one with nothing in it refreshes the others.

    Parameters
    ----------
    sequence : int
        Told back in the answer.
    """

    shard_number: int
    epoch: int
    sequence: int
    copies: tuple[JobCopy, ...] = ()
    marks: tuple[JobMarks, ...] = ()
    dropped: tuple[str, ...] = ()


@attrs.frozen
class JobsKept(base.PeerMessage):
    """Copies are kept; those `missing` need to be sent as a whole."""

    shard_number: int
    epoch: int
    sequence: int
    missing: tuple[str, ...] = ()


@attrs.frozen
class AskForJobs(base.PeerMessage):
    """Which copies of a shard's jobs does the recipient keep?

    From then on it refuses copies from lower epochs of the shard.
    """

    shard_number: int
    epoch: int


@attrs.frozen
class JobsOfShard(base.PeerMessage):
    """Answer to `AskForJobs`."""

    shard_number: int
    epoch: int
    copies: tuple[JobCopy, ...]
