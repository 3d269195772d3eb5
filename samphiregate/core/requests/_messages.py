"""Events, actions and peer messages about callers' requests.

A request is identified by `request_id`, which its edge assigns and which is
unique in the fleet. Attempts to execute it are numbered from 1; id and number
identify an attempt on every entry VM. Deadlines inside one entry VM are times
of its monotonic clock; messages between VMs carry the remaining time.
"""

import attrs

from samphiregate.core import base
from samphiregate.core import model
from samphiregate.core.requests import _load
from samphiregate import errors

JSON_TYPE = "application/json"
BINARY_TYPE = "application/octet-stream"


@attrs.frozen
class Refusal:
    """Reason why a request got no answer from a runner.

    Parameters
    ----------
    code : ErrorCode
        Stable code of the failure.
    ran : Ran
        Whether the request was executed.
    detail : str
        Explanation for a human reader.
    retry_after_ms : int or None
        Delay after which a retry is sensible, in milliseconds.
    """

    code: errors.ErrorCode
    ran: errors.Ran = errors.Ran.NO
    detail: str = ""
    retry_after_ms: int | None = None


@attrs.frozen
class RequestArrived(base.Event):
    """A caller's request was read completely.

    Parameters
    ----------
    request_id : str
        Unique in the fleet.
    queue : str
        Queue that it is addressed to.
    key_hash : str
        Hexadecimal SHA-256 of the key that came with it; empty without one.
    idempotent : bool
        Whether it may be executed more than once.
    deadline_ms : int
        Monotonic time by which the answer is due, in milliseconds.
    content_type : str
        Media type of the body.
    body : bytes
        Forwarded unchanged.
    """

    request_id: str
    queue: str
    key_hash: str = ""
    idempotent: bool = False
    deadline_ms: int = 0
    content_type: str = BINARY_TYPE
    body: bytes = b""

    @property
    def body_bytes(self):
        """Size of the body in bytes."""
        return len(self.body)


@attrs.frozen
class CallerDisconnected(base.Event):
    """The caller closed its connection before it was answered."""

    request_id: str


@attrs.frozen
class AnswerCaller(base.Action):
    """Give the caller its answer; sent exactly once for each request.

    Parameters
    ----------
    request_id : str
        Id from `RequestArrived`.
    refusal : Refusal or None
        Set when there is no answer of a runner to forward.
    status : int
        HTTP status of the runner's answer.
    content_type : str
        Media type of the runner's answer.
    body : bytes
        The complete body of the runner's answer.
    team : str
        Team that the request was admitted for; empty without a key.
    wait_ms : int
        Time from arrival to the start of the last attempt.
    run_ms : int
        Time that the last attempt spent with its runner.
    """

    request_id: str
    refusal: Refusal | None = None
    status: int = 0
    content_type: str = BINARY_TYPE
    body: bytes = b""
    team: str = ""
    wait_ms: int = 0
    run_ms: int = 0


@attrs.frozen
class DispatchRequest(base.PeerMessage):
    """Request of an edge to the owner of runners to execute one attempt.

    Parameters
    ----------
    remaining_ms : int
        Time left until the deadline when the message was sent.
    """

    request_id: str
    attempt: int
    team: str
    queue: str
    service: str
    idempotent: bool
    remaining_ms: int
    content_type: str = BINARY_TYPE
    body: bytes = b""


@attrs.frozen
class RequestRefused(base.PeerMessage):
    """The owner did not execute an attempt, and never will.

    Parameters
    ----------
    load : ServiceLoad or None
        Current load of the owner's runners of that service.
    """

    request_id: str
    attempt: int
    code: errors.ErrorCode
    detail: str = ""
    retry_after_ms: int | None = None
    load: _load.ServiceLoad | None = None


@attrs.frozen
class RequestFinished(base.PeerMessage):
    """An attempt that was sent to a runner has ended.

    Parameters
    ----------
    outcome : AttemptOutcome
        `ANSWERED` with the complete answer, or `UNKNOWN`.
    run_ms : int
        Time between sending and the end.
    load : ServiceLoad or None
        Current load of the owner's runners of that service.
    """

    request_id: str
    attempt: int
    outcome: model.AttemptOutcome
    status: int = 0
    content_type: str = BINARY_TYPE
    body: bytes = b""
    run_ms: int = 0
    detail: str = ""
    load: _load.ServiceLoad | None = None


@attrs.frozen
class WithdrawRequest(base.PeerMessage):
    """An edge withdraws an attempt; the owner drops it if still queued.

    Parameters
    ----------
    code : ErrorCode
        Code of the refusal that the owner sends if it dropped the attempt.
    """

    request_id: str
    attempt: int
    code: errors.ErrorCode = errors.ErrorCode.CANCELLED


@attrs.frozen
class SendToRunner(base.Action):
    """Send an attempt to a runner, once.

    Parameters
    ----------
    endpoint : str
        ``ip:port`` of the runner.
    timeout_ms : int
        Time until the deadline.
    """

    request_id: str
    attempt: int
    runner_id: str
    endpoint: str
    queue: str
    timeout_ms: int
    content_type: str = BINARY_TYPE
    body: bytes = b""


@attrs.frozen
class RunnerAnswered(base.Event):
    """A runner's complete answer.

    Parameters
    ----------
    slots_used : int or None
        Slots that the runner reports as in use after this answer.
    leaving : bool
        Whether the runner reports that it is about to stop.
    """

    request_id: str
    attempt: int
    runner_id: str
    status: int
    content_type: str = BINARY_TYPE
    body: bytes = b""
    slots_used: int | None = None
    leaving: bool = False


@attrs.frozen
class RunnerFailed(base.Event):
    """An attempt ended without a complete answer from its runner.

    Parameters
    ----------
    outcome : AttemptOutcome
        `NEVER_SENT` without a connection, `REFUSED` when the runner
        reported that it executed nothing, else `UNKNOWN`.
    """

    request_id: str
    attempt: int
    runner_id: str
    outcome: model.AttemptOutcome
    detail: str = ""
    slots_used: int | None = None
    leaving: bool = False


@attrs.frozen
class ProbeRunner(base.Action):
    """Query how many slots of a runner are in use, without sending work."""

    runner_id: str
    endpoint: str


@attrs.frozen
class RunnerProbed(base.Event):
    """Result of a `ProbeRunner`.

    Parameters
    ----------
    slots_used : int or None
        None when the runner did not answer or did not report its slots.
    leaving : bool
        Whether the runner reports that it is about to stop.
    """

    runner_id: str
    slots_used: int | None = None
    leaving: bool = False
