"""Messages between entry VMs about cells."""

import attrs

from samphiregate.core import base


@attrs.frozen
class AskJobState(base.PeerMessage):
    """Request to a cell's owner for the state of a job."""

    cell: str
    job_id: str


@attrs.frozen
class JobStateIs(base.PeerMessage):
    """State of a job; empty if the owner does not have the job."""

    state: str


@attrs.frozen
class JobWasStored(base.PeerMessage):
    """Notice to a cell's owner that a job was accepted; holds it encoded."""

    cell: str
    job: bytes


@attrs.frozen
class JobWasCancelled(base.PeerMessage):
    """Notice to a cell's owner that a job's cancellation was stored."""

    cell: str
    job_id: str


@attrs.frozen
class DrainWasRequested(base.PeerMessage):
    """Notice to a cell's owner that a data centre is to be drained.

    Parameters
    ----------
    cell, data_centre : str
    revision : int
        Store revision of the request, or of its removal.
    drained : bool
        False if the data centre is taken back.
    """

    cell: str
    data_centre: str
    revision: int
    drained: bool


@attrs.frozen
class NoticeTaken(base.PeerMessage):
    """Answer of the owner to a notice."""


@attrs.frozen
class AskWaiting(base.PeerMessage):
    """Request to a cell's owner for the number of a queue's waiting jobs."""

    cell: str
    queue: str


@attrs.frozen
class WaitingIs(base.PeerMessage):
    """Number of jobs that have not started."""

    count: int


@attrs.frozen
class RelayAdvice(base.PeerMessage):
    """Request to a VM to query the policy service.

    Parameters
    ----------
    job_id : str
    occurrence, step : int
    endpoint_ids : tuple of str
    timeout_ms : int
    """

    job_id: str
    occurrence: int
    step: int
    endpoint_ids: tuple[str, ...]
    timeout_ms: int


@attrs.frozen
class AdviceIs(base.PeerMessage):
    """Pairs of endpoint id and ticket, and how long the tickets are valid."""

    tickets: tuple[tuple[str, str], ...]
    valid_ms: int


@attrs.frozen
class RelayWrite(base.PeerMessage):
    """Request to a VM to write a key for a VM that cannot reach the store.

    Parameters
    ----------
    key : str
    value : bytes
    expected : tuple
        Key and revision of each condition under which to write.
    """

    key: str
    value: bytes
    expected: tuple[tuple[str, int], ...]


@attrs.frozen
class WriteWas(base.PeerMessage):
    """Outcome of a relayed write.

    Parameters
    ----------
    done : bool
    revisions : tuple
        If a condition does not hold, each key and its current revision.
    """

    done: bool
    revisions: tuple[tuple[str, int], ...] = ()


@attrs.frozen
class RelayRead(base.PeerMessage):
    """Request to a VM to read a key for a VM that cannot reach the store."""

    key: str


@attrs.frozen
class ItemIs(base.PeerMessage):
    """Item of a key; the revision is 0 if the key does not exist."""

    key: str
    value: bytes
    revision: int
    created_revision: int


@attrs.frozen
class AskInstance(base.PeerMessage):
    """Request for the instance of a process, to be answered after a time.

    Until then the open request shows that the process is there.
    """

    hold_ms: int


@attrs.frozen
class InstanceIs(base.PeerMessage):
    """Answer of a process that is asked for its instance.

    Parameters
    ----------
    instance : str
        Random id of the process.
    has_lost_store : bool
        Whether the store has not renewed its VM's lease for a while.
    """

    instance: str
    has_lost_store: bool = False


@attrs.frozen
class NotMine(base.PeerMessage):
    """Answer of a VM that cannot serve the request; another VM may."""

    reason: str
