"""Events that a cell handles and actions that it returns."""

import enum

import attrs

from samphiregate.core import base
from samphiregate.core.cells import _work


MAX_ENDS_LISTED = 500  # an answer with this many ends may omit others


class EndReason(enum.Enum):
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    GANG_BROKEN = "broken"  # another member of the gang has ended
    GANG_TIMEOUT = "alone"  # the other members did not start in time


class StartOutcome(enum.Enum):
    """Outcome of an order to start a task."""

    STARTED = "started"
    NO_ROOM = "no room"  # too little free capacity on the endpoint
    FENCED = "fenced"  # the endpoint has seen a higher epoch
    # The run is not higher than one that was stopped or has ended there.
    SUPERSEDED = "superseded"
    # The lease in the order had expired when the order arrived.
    TOO_LATE = "too late"
    NO_TICKET = "no ticket"  # the ticket is missing or was not accepted
    # Refused for another reason, or not sent; known not to be executed.
    NOT_STARTED = "not started"
    # Another endpoint answers at this address.
    WRONG_ENDPOINT = "wrong endpoint"
    UNKNOWN = "unknown"  # not answered; it may have been executed


@attrs.frozen
class StartResult:
    """What became of an order to start.

    Parameters
    ----------
    outcome : StartOutcome
    clock_ms : int or None
        The endpoint's steady clock when it answered; None if it did not say.
    """

    outcome: StartOutcome
    clock_ms: int | None = None


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
        Progress; for a long-running task, 100 once it is operational.
    measurement : float
        For a task that serves requests, the latency over the last half
        second in milliseconds; otherwise the CPU use in thousandths of a
        core.
    """

    task_id: _work.TaskId
    run: int
    saved: str = ""
    percent: float = 0.0
    measurement: float = 0.0


@attrs.frozen
class EndedRow:
    """The end of a run that an endpoint lists.

    Parameters
    ----------
    number : int
        Counted within the endpoint's incarnation.
    task_id : TaskId
    run : int
    reason : EndReason
    saved : str
        Latest checkpoint; empty for none.
    """

    number: int
    task_id: _work.TaskId
    run: int
    reason: EndReason
    saved: str = ""


@attrs.frozen
class JobStored(base.Event):
    """A job was read from the store.

    Parameters
    ----------
    job : Job
    record : JobRecord or None
        Progress that an earlier owner stored.
    """

    job: _work.Job
    record: object = None


@attrs.frozen
class JobCancelled(base.Event):
    """A caller's cancellation of a job was stored."""

    job_id: str


@attrs.frozen
class CancellationRemoved(base.Event):
    """A cancellation was removed from the store."""

    job_id: str


@attrs.frozen
class JobRemoved(base.Event):
    """A job was removed from the store."""

    job_id: str


@attrs.frozen
class AccountsChanged(base.Event):
    """The configuration has new accounts and queues."""

    accounts: tuple[_work.Account, ...]
    queues: tuple[_work.Queue, ...] = ()


@attrs.frozen
class EndpointRegistered(base.Event):
    """An endpoint's registration was read from the store.

    Parameters
    ----------
    endpoint_id, service, address, zone : str
    capacity : Resources
    labels : tuple of str
        Its kind and its rack.
    draining : bool
    started_unix_ms : int
        Start of its incarnation; 0 if unknown.
    remaining_ms : int or None
        Minimum time left before it leaves, while it drains.
    cold_left_ms : int
        How much longer it is slow after its start.
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
    cold_left_ms: int = 0


@attrs.frozen
class EndpointDeregistered(base.Event):
    """An endpoint's registration was removed; its tasks may still run."""

    endpoint_id: str


@attrs.frozen
class DataCentresDrained(base.Event):
    """The set of the data centres that operators have drained was read.

    Parameters
    ----------
    names : frozenset of str
        All of them; endpoints elsewhere take starts.
    """

    names: frozenset[str]


@attrs.frozen
class EndpointPolled(base.Event):
    """An endpoint answered a poll.

    Parameters
    ----------
    endpoint_id : str
    sent_ms : int
        When the poll was sent.
    clock_ms : int
        The endpoint's steady clock when it answered.
    started_unix_ms : int
        Start of its incarnation; 0 if the answer does not contain it.
    running : tuple of RunningRow
    ended : tuple of EndedRow
    """

    endpoint_id: str
    sent_ms: int
    clock_ms: int
    started_unix_ms: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]

    @property
    def may_omit_ends(self):
        """Whether there may be further ends that it does not list."""
        return len(self.ended) >= MAX_ENDS_LISTED


@attrs.frozen
class PollFailed(base.Event):
    """A poll of an endpoint failed.

    Parameters
    ----------
    endpoint_id : str
    process_gone : bool
        Whether its process is known to have ended, as another endpoint
        answers at its address. A refused connection does not show this: it
        can be refused by a partition while the process keeps running.
    fenced : bool
        Whether the endpoint has seen a higher epoch.
    reason : str
        Cause of the failure, for the log.
    sent_ms : int or None
        When the poll was sent; None if that is not known.
    """

    endpoint_id: str
    process_gone: bool = False
    fenced: bool = False
    reason: str = ""
    sent_ms: int | None = None


@attrs.frozen
class StartAnswered(base.Event):
    """Result of an order to start; `UNKNOWN` if it was not answered.

    Parameters
    ----------
    task_id : TaskId
    run : int
    endpoint_id : str
    outcome : StartOutcome
    clock_ms : int or None
        The endpoint's steady clock when it answered; None if it did not say.
    """

    task_id: _work.TaskId
    run: int
    endpoint_id: str
    outcome: StartOutcome
    clock_ms: int | None = None


@attrs.frozen
class StopAnswered(base.Event):
    """Result of an order to stop; not confirmed if it was not answered."""

    task_id: _work.TaskId
    run: int
    endpoint_id: str
    confirmed: bool


@attrs.frozen
class PolicyAnswered(base.Event):
    """The policy service answered a query.

    Parameters
    ----------
    job_id : str
    occurrence, step : int
    queried_ids : tuple of str
        Endpoints that the query named.
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
    """A query of the policy service was not answered."""

    job_id: str
    occurrence: int
    step: int


@attrs.frozen
class RecordsStored(base.Event):
    """Records of jobs were stored.

    Parameters
    ----------
    versions : tuple
        Rows of job id and record version.
    """

    versions: tuple[tuple[str, int], ...]


@attrs.frozen
class RecordRefused(base.Event):
    """The store refused the record of a job as too large."""

    job_id: str


@attrs.frozen
class RecordDelayed(base.Event):
    """The record of a job was not stored, and is to be written again."""

    job_id: str


@attrs.frozen
class SilentRecordStored(base.Event):
    """A record of silent endpoints was stored, in the order of popping."""


@attrs.frozen
class StartTask(base.Action):
    """Order an endpoint to start a run of a task.

    Parameters
    ----------
    endpoint_id, address : str
    task_id : TaskId
    run : int
    payload : str
    deadline_ms : int
        End of the lease on the endpoint's clock.
    saved, ticket : str
        Checkpoint to resume from and policy ticket; empty for none.
    ticket_until_ms : int or None
        Until when the ticket is accepted, on the owner's clock; None if the
        start needs none.
    """

    endpoint_id: str
    address: str
    task_id: _work.TaskId
    run: int
    payload: str
    deadline_ms: int
    saved: str = ""
    ticket: str = ""
    ticket_until_ms: int | None = None


@attrs.frozen
class StopTask(base.Action):
    """Order an endpoint to stop a run, or to refuse a later start of it."""

    endpoint_id: str
    address: str
    task_id: _work.TaskId
    run: int


@attrs.frozen
class PollEndpoint(base.Action):
    """Poll an endpoint for its runs and ends, and extend its lease.

    Parameters
    ----------
    endpoint_id, address : str
    stored_upto : int
        Ends up to this number are stored and can be discarded.
    wait_ms : int
        How long the endpoint may wait for an end before it answers.
    deadline_ms : int or None
        New end of the lease on the endpoint's clock; None leaves it.
    """

    endpoint_id: str
    address: str
    stored_upto: int
    wait_ms: int
    deadline_ms: int | None


@attrs.frozen
class QueryPolicy(base.Action):
    """Query the policy service which endpoints may run a step.

    Parameters
    ----------
    job_id : str
    occurrence, step : int
    endpoint_ids : tuple of str
        Endpoints that the query names.
    expected_ms : float
        Expected time until the answer.
    valid_ms : int
        How long the tickets can be used.
    """

    job_id: str
    occurrence: int
    step: int
    endpoint_ids: tuple[str, ...]
    expected_ms: float
    valid_ms: int


@attrs.frozen
class StepDown(base.Action):
    """Stop giving orders, as another VM has taken over the cell.

    Parameters
    ----------
    endpoint_id : str
        The endpoint that has seen a higher epoch.
    """

    endpoint_id: str


@attrs.frozen
class LogDecision(base.Action):
    """Log a decision or a change of the known state.

    Parameters
    ----------
    event : str
        Name of the log event.
    job_id : str
        The job that it concerns; empty for none.
    fields : dict
        Inputs and outcome, by log field.
    """

    event: str
    job_id: str = ""
    fields: dict = attrs.field(factory=dict)
