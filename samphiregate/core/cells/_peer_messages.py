"""What entry VMs ask each other about cells."""

import attrs

from samphiregate.core import base


@attrs.frozen
class AskJobState(base.PeerMessage):
    """Asks a cell's owner for the state of a job."""

    cell: str
    job_id: str


@attrs.frozen
class JobStateIs(base.PeerMessage):
    """The state; empty for a job that the owner does not hold."""

    state: str


@attrs.frozen
class AskWaiting(base.PeerMessage):
    """Asks a cell's owner how many jobs of a queue have not started."""

    cell: str
    queue: str


@attrs.frozen
class WaitingIs(base.PeerMessage):
    """The number of jobs that have not started."""

    count: int


@attrs.frozen
class RelayAdvice(base.PeerMessage):
    """Asks a VM to put a question to the policy service.

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
    """Rows of endpoint id and ticket, and how long they can be used."""

    tickets: tuple[tuple[str, str], ...]
    valid_ms: int


@attrs.frozen
class RelayWrite(base.PeerMessage):
    """Asks a VM to write a key, under conditions, as the store is away.

    Parameters
    ----------
    key : str
    value : bytes
    expected : tuple
        Key and revision of each condition.
    """

    key: str
    value: bytes
    expected: tuple[tuple[str, int], ...]


@attrs.frozen
class WriteWas(base.PeerMessage):
    """What came of a relayed write.

    Parameters
    ----------
    done : bool
    revisions : tuple
        Where a condition does not hold: each key and its revision.
    """

    done: bool
    revisions: tuple[tuple[str, int], ...] = ()


@attrs.frozen
class RelayRead(base.PeerMessage):
    """Asks a VM to read a key, as the store is away."""

    key: str


@attrs.frozen
class ItemIs(base.PeerMessage):
    """The item of a key; revision 0 where there is none."""

    key: str
    value: bytes
    revision: int
    created_revision: int


@attrs.frozen
class NotMine(base.PeerMessage):
    """The VM that was asked cannot tell; another may."""

    reason: str
