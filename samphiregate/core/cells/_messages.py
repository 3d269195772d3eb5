"""Events that a cell takes and actions that it asks for."""

import enum

import attrs

from samphiregate.core import base
from samphiregate.core.cells import _work


class EndReason(enum.Enum):
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    GANG_BROKEN = "broken"
    GANG_TIMEOUT = "alone"


class StartOutcome(enum.Enum):
    """What came of an order to start a task."""

    STARTED = "started"
    NO_ROOM = "no room"
    FENCED = "fenced"
    SUPERSEDED = "superseded"
    TOO_LATE = "too late"
    NO_TICKET = "no ticket"
    NOT_STARTED = "not started"
    WRONG_ENDPOINT = "wrong endpoint"
    UNKNOWN = "unknown"


@attrs.frozen
class RunningRow:
    """A run that an endpoint lists.

    Parameters
    ----------
    task_id : TaskId
    run : int
    saved : str
        Latest checkpoint; empty for none.
    percent : float
        Progress; for a task that lasts, 100 once it is at work.
    gauge : float
        Latency in milliseconds of a task that serves, otherwise the
        processor time in use.
    """

    task_id: _work.TaskId
    run: int
    saved: str = ""
    percent: float = 0.0
    measurement: float = 0.0


@attrs.frozen
class EndedRow:
    """An end that an endpoint lists, numbered in its present life."""

    number: int
    task_id: _work.TaskId
    run: int
    reason: EndReason
    saved: str = ""


@attrs.frozen
class JobStored(base.Event):
    """A job was found in the store.

    Parameters
    ----------
    job : Job
    record : JobRecord or None
        What an earlier owner noted.
    """

    job: _work.Job
    record: object = None


@attrs.frozen
class JobCancelled(base.Event):
    """A caller's cancelling of a job was stored."""

    job_id: str


@attrs.frozen
class JobRemoved(base.Event):
    """A job was removed from the store."""

    job_id: str


@attrs.frozen
class AccountsChanged(base.Event):
    """The configuration names these accounts and queues."""

    accounts: tuple[_work.Account, ...]
    queues: tuple[_work.Queue, ...] = ()


@attrs.frozen
class EndpointRegistered(base.Event):
    """An endpoint's entry was read.

    Parameters
    ----------
    endpoint_id, service, address, zone : str
    capacity : Resources
    labels : tuple of str
        Its kind and its rack.
    draining : bool
    born_unix_ms : int
        Start of its present life.
    remaining_ms : int or None
        Least time left while it drains.
    """

    endpoint_id: str
    service: str
    address: str
    zone: str
    capacity: _work.Resources
    labels: tuple[str, ...] = ()
    draining: bool = False
    started_unix_ms: int = 0
    remaining_ms: int | None = None


@attrs.frozen
class EndpointDeregistered(base.Event):
    """An endpoint's entry is gone; its tasks may still run."""

    endpoint_id: str


@attrs.frozen
class EndpointPolled(base.Event):
    """An endpoint told what runs there and what has ended.

    Parameters
    ----------
    endpoint_id : str
    sent_ms : int
        When the question was sent.
    clock_ms : int
        The endpoint's steady clock when it answered.
    born_unix_ms : int
        Start of its present life; 0 if it did not say.
    running : tuple of RunningRow
    ended : tuple of EndedRow
    """

    endpoint_id: str
    sent_ms: int
    clock_ms: int
    started_unix_ms: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]


@attrs.frozen
class PollFailed(base.Event):
    """An endpoint did not tell what runs there.

    Parameters
    ----------
    endpoint_id : str
    process_gone : bool
        Whether its process surely no longer exists, as another endpoint
        answers there. A refused connection does not tell so: a partition
        may refuse it while the process runs on.
    fenced : bool
        Whether it has seen a higher epoch.
    reason : str
        What went wrong, for the log.
    """

    endpoint_id: str
    process_gone: bool = False
    fenced: bool = False
    reason: str = ""


@attrs.frozen
class StartAnswered(base.Event):
    """An order to start came to something, or to nothing known."""

    task_id: _work.TaskId
    run: int
    endpoint_id: str
    outcome: StartOutcome


@attrs.frozen
class StopAnswered(base.Event):
    """An order to stop was answered, or not."""

    task_id: _work.TaskId
    run: int
    endpoint_id: str
    confirmed: bool


@attrs.frozen
class PolicyAnswered(base.Event):
    """The policy service answered.

    Parameters
    ----------
    job_id : str
    occurrence, step : int
    asked : tuple of str
        Endpoints that the question named.
    ticket_by_id : dict
        Ticket of each endpoint that may run the step.
    valid_until_ms : int
        Until when the tickets can be used.
    """

    job_id: str
    occurrence: int
    step: int
    queried_ids: tuple[str, ...]
    ticket_by_id: dict
    valid_until_ms: int


@attrs.frozen
class PolicyQueryFailed(base.Event):
    """The policy service gave no answer."""

    job_id: str
    occurrence: int
    step: int


@attrs.frozen
class RecordsStored(base.Event):
    """Records of jobs were stored, as rows of job id and version."""

    versions: tuple[tuple[str, int], ...]


@attrs.frozen
class StartTask(base.Action):
    """Order an endpoint to start a task.

    Parameters
    ----------
    endpoint_id, address : str
    task_id : TaskId
    run : int
    payload : str
    deadline_ms : int
        On the endpoint's clock.
    saved, ticket : str
        Empty for none.
    """

    endpoint_id: str
    address: str
    task_id: _work.TaskId
    run: int
    payload: str
    deadline_ms: int
    saved: str = ""
    ticket: str = ""


@attrs.frozen
class StopTask(base.Action):
    """Order an endpoint to stop a run, or to refuse it if it comes."""

    endpoint_id: str
    address: str
    task_id: _work.TaskId
    run: int


@attrs.frozen
class PollEndpoint(base.Action):
    """Ask an endpoint what runs there, and prolong its lease.

    Parameters
    ----------
    endpoint_id, address : str
    stored_upto : int
        Ends up to this number are stored and may be forgotten.
    wait_ms : int
        How long the answer may wait for an end.
    deadline_ms : int or None
        New lease end on the endpoint's clock; None leaves it.
    """

    endpoint_id: str
    address: str
    stored_upto: int
    wait_ms: int
    deadline_ms: int | None


@attrs.frozen
class QueryPolicy(base.Action):
    """Ask the policy service which endpoints may run a step."""

    job_id: str
    occurrence: int
    step: int
    endpoint_ids: tuple[str, ...]
    expected_ms: float
    valid_ms: int


@attrs.frozen
class StepDown(base.Action):
    """Another VM has taken the cell over; stop giving orders."""

    endpoint_id: str


@attrs.frozen
class LogDecision(base.Action):
    """A decision or changed belief, for the log.

    Parameters
    ----------
    what : str
        Short name of the decision.
    job_id : str
        The job that it touches; empty for none.
    fields : dict
        Inputs and outcome.
    """

    event: str
    job_id: str = ""
    fields: dict = attrs.field(factory=dict)
